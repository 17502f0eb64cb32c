"""Keeping the journal up to date about running jobs."""

import asyncio

from pearrun.api import entries
from pearrun.clock import Clock
from pearrun.clock import to_seconds


def build_accepted_entry(job):
    """Return a job's acceptance as a journal entry."""
    return entries.Accepted(
        id=job.id,
        customer=job.customer,
        service=job.service,
        prompt=job.prompt,
        max_tokens=job.max_tokens,
        seed=job.seed,
        idempotency_key=job.idempotency_key,
    )


def build_finished_entry(job):
    """Return a job's final state as a journal entry."""
    return entries.Finished(
        id=job.id,
        state=job.state.value,
        tokens=tuple(job.tokens),
        finish_reason=job.finish_reason,
        error=job.failure.to_body() if job.failure else None,
    )


class ProgressSaver:
    """Saves running jobs' progress.

    :param settings: the daemon's whole :class:`Settings`.
    :param journal: the daemon's :class:`Journal`.
    """

    def __init__(self, settings, journal):
        self.settings = settings
        self.journal = journal
        self.clock = Clock()

    def record_accepted(self, job):
        """Note that a job's acceptance has just been journaled."""
        job.saved_ms = self.clock.now()

    def save(self, job):
        """Bring the journal up to date about a running job.

        Its acceptance is written again before the log's retention
        drops it, and the tokens it got since the last time are added.
        """
        if job.saving is not None and not job.saving.done():
            return
        now = self.clock.now()
        keep_ms = self.settings.platform.retention_ms // 2
        if now - job.saved_ms >= keep_ms:
            job.saving = self.journal.enqueue(build_accepted_entry(job))
            job.saved_ms = now
            job.saved = 0
        if self.settings.host.save_progress and len(job.tokens) > job.saved:
            job.saving = self.journal.enqueue(
                entries.Progress(
                    id=job.id,
                    start=job.saved,
                    tokens=tuple(job.tokens[job.saved :]),
                    endpoint=job.endpoint,
                )
            )
            job.saved = len(job.tokens)

    async def save_periodically(self, list_jobs):
        """Save jobs again and again, for the daemon's whole life.

        :param list_jobs: returns the jobs that are running.
        """
        pause_ms = min(
            self.settings.host.progress_ms,
            self.settings.platform.retention_ms // 8,
        )
        while True:
            await asyncio.sleep(to_seconds(pause_ms))
            for job in list_jobs():
                self.save(job)
