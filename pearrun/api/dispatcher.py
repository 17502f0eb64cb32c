"""The dispatcher: accepts requests, runs their jobs, keeps answers."""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.api import journal as journal_module
from pearrun.api.crashes import JobCrashTracker
from pearrun.api.progress import build_accepted_entry
from pearrun.api.progress import build_finished_entry
from pearrun.api.progress import ProgressSaver
from pearrun.api.structures import Job
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.ids import CustomerId
from pearrun.ids import IdempotencyKey
from pearrun.ids import ServiceName
from pearrun.states import RequestState

DEFAULT_CUSTOMER = 'default'


class Dispatcher:
    """Accepts requests and runs each in a task of its own.

    A job does not depend on its caller's connection: a caller that
    disconnects can fetch the answer later by the request's id.

    :param settings: the daemon's complete :class:`Settings`.
    :param router: a :class:`Router`.
    :param journal: a :class:`Journal`.
    :param config: a :class:`ConfigFollower` with the active team tree.
    :param runner: a :class:`Runner`.
    :param metrics: a :class:`MetricsTable`.
    :param crashes: the daemon's :class:`JobCrashTracker`.
    """

    def __init__(
        self,
        settings,
        router,
        journal,
        config,
        runner,
        metrics,
        crashes=None,
    ):
        self.settings = settings
        self.router = router
        self.journal = journal
        self.config = config
        self.runner = runner
        self.metrics = metrics
        self.crashes = crashes or JobCrashTracker()
        self.clock = Clock()
        self.saver = ProgressSaver(settings, journal)
        self.jobs = {}
        self.acceptances_by_key = {}
        self.running = {}
        self.accepting = True

    def find(self, request_id):
        """Return a job of this daemon, or ``None``."""
        return self.jobs.get(request_id)

    def check(self, body, key):
        """Validate a request against the active team tree.

        :returns: the service's :class:`ServiceSettings`.
        :raises UnknownServiceError: ``model`` is not a service.
        :raises UnknownCustomerError: ``user`` is not a customer.
        :raises IdempotencyKeyRequiredError: a non-idempotent service
            was called without a key.
        """
        tree = self.config.tree
        service = tree.find_service(body.model)
        if service is None:
            raise exceptions.UnknownServiceError(
                f'no service named {body.model!r}'
            )
        if body.user is not None and not tree.has_customer(body.user):
            raise exceptions.UnknownCustomerError(
                f'no customer named {body.user!r}'
            )
        if not service.idempotent and not key:
            raise exceptions.IdempotencyKeyRequiredError(
                f'{body.model!r} is not idempotent: send Idempotency-Key'
            )
        return service

    async def submit(self, body, key=None, require_durable=True):
        """Accept a request: validate it, journal it and start its job.

        The acceptance continues when the caller disconnects before it
        is complete, so that every journaled request is run.

        :param body: a :class:`CompletionBody`.
        :param key: the caller's ``Idempotency-Key`` header, if any.
        :param require_durable: whether the acceptance must be in the log,
            because the caller is told "accepted" before it has the
            answer.  A caller that waits for the answer to an idempotent
            request is served even while the log is down.
        :returns: the :class:`Job`; the earlier one for a repeated key.
        :raises PearrunError: the request was not accepted.
        """
        service = self.check(body, key)
        scoped_key = IdempotencyKey(f'{body.model}/{key}') if key else None
        if scoped_key in self.acceptances_by_key:
            job = await asyncio.shield(self.acceptances_by_key[scoped_key])
            if job.prompt != body.prompt:
                raise exceptions.IdempotencyMismatchError(
                    'this Idempotency-Key was used for another request'
                )
            return job
        if not self.accepting:
            raise exceptions.CapacityError(
                'this host is shutting down; retry on another host',
                retry_after_s=0,
            )
        self.router.admit(body.model)
        job = Job(
            id=journal_module.new_request_id(self.journal.stream),
            customer=CustomerId(body.user or DEFAULT_CUSTOMER),
            service=ServiceName(body.model),
            prompt=body.prompt,
            max_tokens=body.max_tokens or service.max_tokens,
            seed=body.seed,
            accepted_ms=self.clock.now(),
            idempotency_key=scoped_key,
        )
        self.crashes.check_request(job)
        if require_durable or not service.idempotent:
            work = self.accept(job, service)
        else:
            work = self.serve(job, service)
        acceptance = asyncio.create_task(work)
        if scoped_key is not None:
            self.acceptances_by_key[scoped_key] = acceptance
        return await asyncio.shield(acceptance)

    async def accept(self, job, service):
        """Journal a job, then start it.

        :returns: the :class:`Job`.
        :raises CapacityError: the job could not be journaled.
        """
        counters = self.metrics.get_or_create(job.service)
        try:
            await self.journal_acceptance(job)
        except exceptions.PearrunError:
            self.acceptances_by_key.pop(job.idempotency_key, None)
            counters.rejected += 1
            raise
        counters.accepted += 1
        job.durable = True
        self.start(job, service)
        return job

    async def journal_acceptance(self, job):
        """Write a job's acceptance to the journal.

        After a network partition, a host may find that another one
        sealed its journal.  The acceptance was then not written, and
        the job's id is not known to anyone yet, so the acceptance is
        written to the newly opened stream under a new id.

        :raises CapacityError: the acceptance could not be journaled.
        """
        try:
            await self.journal.accept(build_accepted_entry(job))
        except exceptions.StreamSealedError:
            job.id = journal_module.new_request_id(self.journal.stream)
            await self.journal.accept(build_accepted_entry(job))

    async def serve(self, job, service):
        """Start a job at once and journal it concurrently.

        :returns: the :class:`Job`, once its acceptance is in the log,
            or once the log fails or takes longer than
            ``accept_wait_ms``; the acceptance or the answer is then
            written later.
        :raises JournalUnavailableError: the queue of journal entries is
            full.
        """
        if self.journal.is_full:
            self.acceptances_by_key.pop(job.idempotency_key, None)
            raise exceptions.JournalUnavailableError(
                'the queue of journal entries is full', retry_after_s=1
            )
        self.metrics.get_or_create(job.service).accepted += 1
        self.start(job, service)
        append_future = self.journal.enqueue(build_accepted_entry(job))
        append_future.add_done_callback(
            lambda done: update_durability(job, done)
        )
        self.journal.wake.set()
        if not self.journal.failing:
            wait_s = to_seconds(self.settings.host.accept_wait_ms)
            await asyncio.wait({append_future}, timeout=wait_s)
        return job

    def adopt(self, entry, progress=None):
        """Run a request that was taken over from another host's journal.

        :param entry: its :class:`entries.Accepted`.
        :param progress: its :class:`entries.Progress`, if any.
        """
        if entry.id in self.jobs:
            return
        job = Job(
            id=entry.id,
            customer=entry.customer,
            service=entry.service,
            prompt=entry.prompt,
            max_tokens=entry.max_tokens,
            seed=entry.seed,
            accepted_ms=self.clock.now(),
            idempotency_key=entry.idempotency_key,
            attempts=1,
        )
        if progress is not None:
            job.tokens = list(progress.tokens)
            job.endpoint = progress.endpoint
            job.saved = len(job.tokens)
        job.durable = True
        self.metrics.get_or_create(job.service).adopted += 1
        service = self.config.tree.find_service(job.service)
        if service is None:
            self.jobs[job.id] = job
            job.state = RequestState.FAILED
            job.failure = exceptions.UnknownServiceError(
                f'service {job.service!r} no longer exists'
            )
            self.record_end(job)
            return
        self.start(job, service)

    def start(self, job, service):
        """Start an accepted job in a task of its own."""
        self.jobs[job.id] = job
        self.saver.record_accepted(job)
        task = asyncio.create_task(self.runner.run(job, service), name=job.id)
        self.running[job.id] = task
        task.add_done_callback(lambda done: self.end(job, done))

    def end(self, job, task):
        """Handle the end of a job's task."""
        self.running.pop(job.id, None)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                'job task failed', request_id=job.id
            )
        if job.finished and job.state != RequestState.CANCELLED:
            self.record_end(job)

    def record_end(self, job):
        """Journal a job's final state, and schedule the job's removal.

        :returns: a future, done once the entry is in the log.
        """
        self.schedule_removal(job)
        return self.journal.enqueue(build_finished_entry(job))

    def schedule_removal(self, job):
        """Remove a finished job after ``answer_keep_ms``."""
        keep_s = to_seconds(self.settings.host.answer_keep_ms)
        asyncio.get_running_loop().call_later(keep_s, self.remove_job, job)

    def remove_job(self, job):
        """Remove a finished job; its answer is now read from the log.

        While callers are reading the answer, the removal is postponed.
        """
        if job.readers:
            self.schedule_removal(job)
            return
        self.jobs.pop(job.id, None)
        self.acceptances_by_key.pop(job.idempotency_key, None)

    def on_sealed(self):
        """Stop jobs that another host took over, unless they have readers.

        A job with readers continues here, so that its callers receive
        the whole answer on their present connections.
        """
        for job in list(self.jobs.values()):
            if job.finished or job.readers:
                continue
            task = self.running.get(job.id)
            if task is not None:
                task.cancel()
            job.handed_over = True
            self.jobs.pop(job.id, None)
            self.acceptances_by_key.pop(job.idempotency_key, None)

    def list_running(self):
        """Return the running jobs that were not handed over."""
        found = [self.jobs.get(request_id) for request_id in self.running]
        return [job for job in found if job is not None]

    async def hand_over(self):
        """Stop the running jobs so that another host can continue them.

        Callers that are reading an answer here receive the rest of it
        through this host, from the host that took the job over.
        """
        for request_id, task in list(self.running.items()):
            job = self.jobs.pop(request_id)
            task.cancel()
            job.saving = None
            self.saver.save(job)
            await job.publish(handed_over=True)
        await self.journal.flush()

    async def cancel(self, job):
        """Cancel a job and wait until the journal has recorded it.

        :param job: a :class:`Job` of this daemon.
        :returns: the job; one that has ended already, or whose
            non-idempotent call is in progress, is not changed.
        :raises JournalUnavailableError: the job was stopped, but the
            cancellation is not recorded yet: if this host died now,
            another one might run the job again.
        """
        service = self.config.tree.find_service(job.service)
        calling = job.started and service and not service.idempotent
        if job.finished or calling:
            return job
        task = self.running.get(job.id)
        if task is not None:
            task.cancel()
        failure = exceptions.CancelledError('cancelled by the caller')
        failure.not_run = not job.started
        await job.publish(state=RequestState.CANCELLED, failure=failure)
        append_future = self.record_end(job)
        self.journal.wake.set()
        timeout = to_seconds(self.settings.platform.timeout_ms)
        try:
            await asyncio.wait_for(asyncio.shield(append_future), timeout)
        except (TimeoutError, exceptions.StreamSealedError) as exc:
            unrecorded = exceptions.JournalUnavailableError(
                'cancelled on this host, but not recorded yet; retry',
                retry_after_s=1,
            )
            unrecorded.not_run = False
            raise unrecorded from exc
        return job

    async def drain(self):
        """Stop accepting requests and wait for all running jobs to end."""
        self.accepting = False
        while self.running:
            await asyncio.wait(list(self.running.values()))
            await asyncio.sleep(0)


def update_durability(job, append_future):
    """Record whether a job's acceptance is in the log."""
    job.durable = (
        not append_future.cancelled() and append_future.exception() is None
    )
