"""The dispatcher: accepts requests, starts their jobs, keeps answers."""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.api import journal as journal_module
from pearrun.api.crashes import JobCrashes
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
    """Accepts requests durably and runs each in a task of its own.

    A job runs apart from its caller's connection, so a caller that
    drops can come back for the answer by id.

    :param settings: the daemon's whole :class:`Settings`.
    :param router: a :class:`Router`.
    :param journal: a :class:`Journal`.
    :param config: a :class:`ConfigFollower` holding the tree in force.
    :param runner: a :class:`Runner`.
    :param metrics: a :class:`MetricsTable`.
    :param crashes: the daemon's :class:`JobCrashes`.
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
        self.crashes = crashes or JobCrashes()
        self.clock = Clock()
        self.saver = ProgressSaver(settings, journal)
        self.jobs = {}
        self.by_key = {}
        self.running = {}
        self.accepting = True

    def find(self, request_id):
        """Return a job held by this daemon, or ``None``."""
        return self.jobs.get(request_id)

    def check(self, body, key):
        """Check a request against the tree in force.

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

    async def submit(self, body, key=None, promise=True):
        """Accept a request: check it, journal it, start it.

        The acceptance goes on when the caller's connection drops in
        the middle of it, so that no journaled request is left unrun.

        :param body: a :class:`CompletionBody`.
        :param key: the caller's ``Idempotency-Key`` header, if any.
        :param promise: the caller will be told "accepted" before it
            has the answer, so the acceptance must be on the log.  A
            caller that waits for the answer of an idempotent request
            is served also when the log is down.
        :returns: the :class:`Job`; an earlier one for a repeated key.
        :raises PearrunError: a coded error; nothing was accepted.
        """
        service = self.check(body, key)
        scoped = IdempotencyKey(f'{body.model}/{key}') if key else None
        if scoped in self.by_key:
            job = await asyncio.shield(self.by_key[scoped])
            if job.prompt != body.prompt:
                raise exceptions.IdempotencyMismatchError(
                    'this Idempotency-Key was used for another request'
                )
            return job
        if not self.accepting:
            raise exceptions.CapacityError(
                'this host is stopping; others are not', retry_after_s=0
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
            idempotency_key=scoped,
        )
        self.crashes.check_request(job)
        if promise or not service.idempotent:
            work = self.accept(job, service)
        else:
            work = self.serve(job, service)
        acceptance = asyncio.create_task(work)
        if scoped is not None:
            self.by_key[scoped] = acceptance
        return await asyncio.shield(acceptance)

    async def accept(self, job, service):
        """Journal a job and start it.

        :returns: the :class:`Job`.
        :raises CapacityError: it could not be journaled.
        """
        counters = self.metrics.of(job.service)
        try:
            await self.journal_acceptance(job)
        except exceptions.PearrunError:
            self.by_key.pop(job.idempotency_key, None)
            counters.rejected += 1
            raise
        counters.accepted += 1
        job.durable = True
        self.start(job, service)
        return job

    async def journal_acceptance(self, job):
        """Write a job's acceptance to the journal.

        A host that was cut off may find its journal sealed.  Then the
        acceptance has not landed, nobody knows the job's id yet, and
        it is written to the newly opened stream under a new one.

        :raises CapacityError: it could not be journaled.
        """
        try:
            await self.journal.accept(build_accepted_entry(job))
        except exceptions.StreamSealedError:
            job.id = journal_module.new_request_id(self.journal.stream)
            await self.journal.accept(build_accepted_entry(job))

    async def serve(self, job, service):
        """Start a job at once and journal it meanwhile.

        :returns: the :class:`Job`, once it is on the log, or once the
            log fails or takes longer than ``accept_wait_ms``; it gets
            there later then, or the answer does.
        :raises JournalUnavailableError: too much waits for the log.
        """
        if self.journal.is_full:
            self.by_key.pop(job.idempotency_key, None)
            raise exceptions.JournalUnavailableError(
                'the log service is behind', retry_after_s=1
            )
        self.metrics.of(job.service).accepted += 1
        self.start(job, service)
        landed = self.journal.enqueue(build_accepted_entry(job))
        landed.add_done_callback(lambda done: note_landing(job, done))
        self.journal.wake.set()
        if not self.journal.failing:
            wait_s = to_seconds(self.settings.host.accept_wait_ms)
            await asyncio.wait({landed}, timeout=wait_s)
        return job

    def adopt(self, entry, progress=None):
        """Start a request taken over from a dead host's journal.

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
        self.metrics.of(job.service).adopted += 1
        service = self.config.tree.find_service(job.service)
        if service is None:
            self.jobs[job.id] = job
            job.state = RequestState.FAILED
            job.failure = exceptions.UnknownServiceError(
                f'service {job.service!r} was removed'
            )
            self.record_end(job)
            return
        self.start(job, service)

    def start(self, job, service):
        """Run a journaled job in a task of its own."""
        self.jobs[job.id] = job
        self.saver.record_accepted(job)
        task = asyncio.create_task(self.runner.run(job, service), name=job.id)
        self.running[job.id] = task
        task.add_done_callback(lambda done: self.end(job, done))

    def end(self, job, task):
        """Note that a job's task has ended."""
        self.running.pop(job.id, None)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                'job task failed', request_id=job.id
            )
        if job.finished and job.state != RequestState.CANCELLED:
            self.record_end(job)

    def record_end(self, job):
        """Journal a job's final state and keep its answer a while.

        :returns: the future of the journal entry's landing.
        """
        self.forget_later(job)
        return self.journal.enqueue(build_finished_entry(job))

    def forget_later(self, job):
        """Drop a finished job when its answer has been kept a while."""
        keep_s = to_seconds(self.settings.host.answer_keep_ms)
        asyncio.get_running_loop().call_later(keep_s, self.forget, job)

    def forget(self, job):
        """Drop a finished job; its answer is on the log from here on."""
        if job.readers:
            self.forget_later(job)
            return
        self.jobs.pop(job.id, None)
        self.by_key.pop(job.idempotency_key, None)

    def on_sealed(self):
        """Drop jobs that another host took over and nobody reads here.

        A job with a reader goes on: its caller gets the whole answer
        on the connection it has.
        """
        for job in list(self.jobs.values()):
            if job.finished or job.readers:
                continue
            task = self.running.get(job.id)
            if task is not None:
                task.cancel()
            job.handed_over = True
            self.jobs.pop(job.id, None)
            self.by_key.pop(job.idempotency_key, None)

    def list_running(self):
        """Return the running jobs that are still this daemon's."""
        found = [self.jobs.get(request_id) for request_id in self.running]
        return [job for job in found if job is not None]

    async def hand_over(self):
        """Stop the running jobs so that another host goes on with them.

        Callers being answered here are from now on answered through
        this host by the one that took over.
        """
        for request_id, task in list(self.running.items()):
            job = self.jobs.pop(request_id)
            task.cancel()
            job.saving = None
            self.saver.save(job)
            await job.publish(handed_over=True)
        await self.journal.flush()

    async def cancel(self, job):
        """Cancel a job; it is final once the journal says so.

        :param job: a :class:`Job` of this daemon.
        :returns: the job; one that had already ended, or whose
            non-idempotent call is under way, is left as it is.
        :raises JournalUnavailableError: stopped here, but the journal
            does not say so yet: should this host die now, another may
            run it again.
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
        landed = self.record_end(job)
        self.journal.wake.set()
        timeout = to_seconds(self.settings.platform.timeout_ms)
        try:
            await asyncio.wait_for(asyncio.shield(landed), timeout)
        except (TimeoutError, exceptions.StreamSealedError) as exc:
            unrecorded = exceptions.JournalUnavailableError(
                'cancelled here, but not recorded yet; ask again',
                retry_after_s=1,
            )
            unrecorded.not_run = False
            raise unrecorded from exc
        return job

    async def drain(self):
        """Stop accepting and wait for every running job to end."""
        self.accepting = False
        while self.running:
            await asyncio.wait(list(self.running.values()))
            await asyncio.sleep(0)


def note_landing(job, landed):
    """Note that a job's acceptance is on the log, if it is."""
    job.durable = not landed.cancelled() and landed.exception() is None
