"""The dispatcher: accepts jobs, runs them, keeps their answers."""

import asyncio
import uuid

from loguru import logger

from pearrun import backends
from pearrun import exceptions
from pearrun import metrics
from pearrun.clock import Clock
from pearrun.ids import CustomerId
from pearrun.ids import IdempotencyKey
from pearrun.ids import RequestId
from pearrun.ids import ServiceName
from pearrun.states import BackendKind
from pearrun.states import RequestState
from pearrun.structures import Job

DEFAULT_CUSTOMER = 'default'
MAX_ATTEMPTS = 3


class Dispatcher:
    """Accepts requests durably and runs each to its end.

    A job runs in a task of its own, apart from the caller's
    connection, so a caller that drops can resume its stream by id.

    :param settings: the daemon's whole :class:`Settings`.
    :param session: an :class:`aiohttp.ClientSession` for back ends.
    :param router: a :class:`Router`.
    :param journal: a :class:`Journal`.
    :param config: a :class:`ConfigFollower` holding the tree in force.
    :param claims: :class:`KeyClaims` for non-idempotent calls.
    """

    def __init__(self, settings, session, router, journal, config, claims):
        self.settings = settings
        self.session = session
        self.router = router
        self.journal = journal
        self.config = config
        self.claims = claims
        self.clock = Clock()
        self.jobs = {}
        self.by_key = {}
        self.running = {}
        self.metrics = {}
        self.accepting = True

    def service_metrics(self, service):
        """Return the metrics of a service, creating them."""
        return self.metrics.setdefault(service, metrics.ServiceMetrics())

    def find(self, request_id):
        """Return a job by id.

        :raises UnknownRequestError: no such job here (code 1300).
        """
        job = self.jobs.get(request_id)
        if job is None:
            raise exceptions.UnknownRequestError(
                f'no request {request_id!r} on this host'
            )
        return job

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

    async def submit(self, body, key=None):
        """Accept a request: check it, journal it, start it.

        :param body: a :class:`CompletionBody`.
        :param key: the caller's ``Idempotency-Key`` header, if any.
        :returns: the :class:`Job`; an earlier one for a repeated key.
        :raises PearrunError: a coded error; nothing was accepted.
        """
        service = self.check(body, key)
        scoped = IdempotencyKey(f'{body.model}/{key}') if key else None
        if scoped in self.by_key:
            return self.jobs[self.by_key[scoped]]
        if not self.accepting:
            raise exceptions.CapacityError(
                'this host is stopping', retry_after_s=1
            )
        job = Job(
            id=RequestId(uuid.uuid4().hex),
            customer=CustomerId(body.user or DEFAULT_CUSTOMER),
            service=ServiceName(body.model),
            prompt=body.prompt,
            max_tokens=body.max_tokens or service.max_tokens,
            seed=body.seed,
            accepted_ms=self.clock.now(),
            idempotency_key=scoped,
        )
        if scoped is not None:
            self.by_key[scoped] = job.id
        counters = self.service_metrics(job.service)
        try:
            claim = await self.claim_key(job, service)
            await self.journal.accept(job)
        except exceptions.PearrunError:
            self.by_key.pop(scoped, None)
            counters.rejected += 1
            raise
        counters.accepted += 1
        self.jobs[job.id] = job
        if claim is not None and not claim.won:
            work = self.follow_claim(job, service, claim)
        else:
            work = self.run(job, service)
        task = asyncio.create_task(work, name=job.id)
        self.running[job.id] = task
        task.add_done_callback(lambda _: self.running.pop(job.id, None))
        return job

    async def claim_key(self, job, service):
        """Claim a non-idempotent job's key on the log service.

        :returns: a :class:`Claim`, or ``None`` when no claim is needed.
        """
        if service.idempotent or job.idempotency_key is None:
            return None
        return await self.claims.claim(job.idempotency_key, job.id)

    async def follow_claim(self, job, service, claim):
        """Answer a job whose key another request holds, never running it."""
        try:
            text = claim.answer
            if text is None:
                text = await self.claims.wait_answer(
                    job.idempotency_key,
                    claim.request_id,
                    service.targets.total_ms,
                )
        except exceptions.PearrunError as exc:
            await job.publish(state=RequestState.FAILED, failure=exc)
            return
        await job.add_token(text)
        await job.publish(state=RequestState.DONE, finish_reason='stop')
        self.record_done(job)

    async def run(self, job, service):
        """Run a job to its end, moving it when an endpoint fails."""
        log = logger.bind(
            request_id=job.id, customer=job.customer, service=job.service
        )
        await job.publish(state=RequestState.RUNNING)
        tried = []
        try:
            while True:
                endpoint = self.router.choose(
                    job.service, job.prompt, exclude=tried
                )
                try:
                    await self.run_on(job, service, endpoint)
                    break
                except exceptions.BackendError as exc:
                    log.warning('endpoint failed', error=exc.message)
                    tried.append(endpoint.id)
                    if not service.idempotent or len(tried) >= MAX_ATTEMPTS:
                        raise
        except exceptions.PearrunError as exc:
            self.service_metrics(job.service).failed += 1
            await job.publish(state=RequestState.FAILED, failure=exc)
            log.warning('request failed', code=exc.code)
        except asyncio.CancelledError:
            failure = exceptions.CancelledError('cancelled by the caller')
            await job.publish(state=RequestState.CANCELLED, failure=failure)
            raise
        else:
            self.record_done(job)
            log.info('request done', tokens=len(job.tokens))
        finally:
            await self.journal.finish(job)
            await self.publish_answer(job, service)

    async def publish_answer(self, job, service):
        """Put a claimed key's answer on the log for other daemons."""
        if service.idempotent or job.idempotency_key is None:
            return
        if job.state == RequestState.DONE:
            await self.claims.answer(job.idempotency_key, job.text())

    async def run_on(self, job, service, endpoint):
        """Serve a job on one endpoint, continuing where it stopped."""
        job.endpoint = endpoint.id
        endpoint.in_flight += 1
        try:
            match endpoint.kind:
                case BackendKind.SERVICE:
                    result = await backends.call_service(
                        self.session, endpoint, job
                    )
                    await job.add_token(result)
                    await job.publish(
                        state=RequestState.DONE, finish_reason='stop'
                    )
                case BackendKind.ENGINE:
                    await self.stream_from(job, service, endpoint)
        finally:
            endpoint.in_flight -= 1

    async def stream_from(self, job, service, endpoint):
        """Copy an engine's tokens into the job, resuming after a move."""
        counters = self.service_metrics(job.service)
        last_ms = None
        stream = backends.stream_tokens(
            self.session,
            endpoint,
            job,
            service.priority,
            resume_from=len(job.tokens),
        )
        async for index, token in stream:
            if index is None:
                await job.publish(state=RequestState.DONE, finish_reason=token)
                return
            if index != len(job.tokens):
                continue
            now = self.clock.now()
            if last_ms is None and not job.tokens:
                metrics.record(counters.ttft, now - job.accepted_ms)
            elif last_ms is not None:
                metrics.record(counters.itl, now - last_ms)
            last_ms = now
            await job.add_token(token)

    def record_done(self, job):
        """Count a finished job in its service's metrics."""
        counters = self.service_metrics(job.service)
        counters.done += 1
        counters.tokens += len(job.tokens)
        metrics.record(counters.total, self.clock.since(job.accepted_ms))

    async def cancel(self, request_id):
        """Cancel a job that has not finished.

        :returns: the :class:`Job`.
        :raises UnknownRequestError: no such job here.
        """
        job = self.find(request_id)
        if job.finished:
            return job
        task = self.running.get(job.id)
        if task is not None:
            task.cancel()
        endpoint = self.router.endpoints.get(job.endpoint)
        if endpoint is not None and endpoint.kind == BackendKind.ENGINE:
            await backends.cancel_stream(self.session, endpoint, job)
        return job

    async def drain(self):
        """Stop accepting and wait for every running job to end."""
        self.accepting = False
        tasks = list(self.running.values())
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)
