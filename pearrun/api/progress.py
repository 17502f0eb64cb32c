"""Journal entries of jobs, and periodic saving of their progress."""

import asyncio

from pearrun.api import entries
from pearrun.clock import Clock
from pearrun.clock import to_seconds


def build_accepted_entry(job):
    """Return the journal entry for a job's acceptance."""
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
    """Return the journal entry for a job's final state."""
    return entries.Finished(
        id=job.id,
        state=job.state.value,
        tokens=tuple(job.tokens),
        finish_reason=job.finish_reason,
        error=job.failure.to_body() if job.failure else None,
    )


class ProgressSaver:
    """Writes the progress of running jobs to the journal.

    :param settings: the daemon's complete :class:`Settings`.
    :param journal: the daemon's :class:`Journal`.
    """

    def __init__(self, settings, journal):
        self.settings = settings
        self.journal = journal
        self.clock = Clock()

    def record_accepted(self, job):
        """Set the time when a job's acceptance was last written to now."""
        job.saved_ms = self.clock.now()

    def save(self, job):
        """Write a running job's unsaved progress to the journal.

        The acceptance is written again before the log's retention drops
        it; the tokens generated since the last save are added.  Nothing
        is written while the previous save is still under way.
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
        """Save the running jobs at regular intervals, until cancelled.

        :param list_jobs: a callable that returns the running jobs.
        """
        pause_ms = min(
            self.settings.host.progress_ms,
            self.settings.platform.retention_ms // 8,
        )
        while True:
            await asyncio.sleep(to_seconds(pause_ms))
            for job in list_jobs():
                self.save(job)
