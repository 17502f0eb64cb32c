"""The runner of jobs: from an accepted request to its final state.

An accepted request is never given up: when no endpoint can serve it,
or one fails in the middle, the job pauses and goes on elsewhere, from
the last token it has.  A non-idempotent call is the exception: once
it may have run, it is not made again.
"""

import contextlib

from loguru import logger

from pearrun import backends
from pearrun import claims as claims_module
from pearrun import exceptions
from pearrun import metrics as metrics_module
from pearrun.backoff import Backoff
from pearrun.clock import Clock
from pearrun.handoff import move_cache
from pearrun.router import policy_of
from pearrun.states import BackendKind
from pearrun.states import EndpointState
from pearrun.states import RequestState

MOVE_TIMEOUT_MS = 2000
MOVE_SAFETY = 2


class Runner:
    """Runs jobs on endpoints.

    :param settings: the daemon's whole :class:`Settings`.
    :param session: an :class:`aiohttp.ClientSession` for back ends.
    :param router: a :class:`Router`.
    :param claims: :class:`KeyClaims` for non-idempotent calls.
    :param journal: the daemon's :class:`Journal`.
    :param membership: the daemon's :class:`Membership`.
    :param metrics: a :class:`MetricsTable`.
    """

    def __init__(
        self, settings, session, router, claims, journal, membership, metrics
    ):
        self.settings = settings
        self.session = session
        self.router = router
        self.claims = claims
        self.journal = journal
        self.membership = membership
        self.metrics = metrics
        self.clock = Clock()

    async def run(self, job, service):
        """Run a job to its end and publish its final state.

        :param job: an accepted :class:`Job`.
        :param service: the service's :class:`ServiceSettings`.
        """
        counters = self.metrics.of(job.service)
        await job.publish(state=RequestState.RUNNING)
        try:
            if service.idempotent:
                await self.run_repeatable(job, service)
            else:
                await self.run_once(job, service)
        except exceptions.PearrunError as exc:
            counters.failed += 1
            await job.publish(state=RequestState.FAILED, failure=exc)
            logger.warning(
                'request failed',
                request_id=job.id,
                customer=job.customer,
                service=job.service,
                code=exc.code,
            )
            return
        counters.done += 1
        counters.tokens += len(job.tokens)
        metrics_module.record(
            counters.total, self.clock.since(job.accepted_ms)
        )
        logger.info(
            'request done',
            request_id=job.id,
            customer=job.customer,
            service=job.service,
            tokens=len(job.tokens),
        )

    async def choose(self, job, service, tried, backoff):
        """Pick an endpoint, waiting for one as long as it takes."""
        while True:
            try:
                return self.router.choose(
                    job.service, job.prompt, tried, policy_of(service)
                )
            except exceptions.NoEndpointError:
                tried.clear()
                await backoff.pause()

    async def run_repeatable(self, job, service):
        """Run an idempotent job, moving on when an endpoint fails.

        :raises EndpointRefusedError: the engine refuses the request
            itself; no other engine would take it.
        """
        counters = self.metrics.of(job.service)
        tried = set()
        backoff = Backoff()
        refuge = await self.revisit(job)
        while True:
            endpoint = refuge or await self.choose(
                job, service, tried, backoff
            )
            refuge = None
            progress = len(job.tokens)
            try:
                refuge = await self.run_on(job, service, endpoint)
            except exceptions.EndpointRefusedError:
                raise
            except exceptions.BackendError as exc:
                counters.retries += 1
                logger.warning(
                    'endpoint failed', request_id=job.id, error=exc.message
                )
                tried.add(endpoint.id)
                if len(job.tokens) > progress:
                    backoff = Backoff()
                await backoff.pause()
                continue
            if refuge is None:
                return
            counters.moves += 1

    async def run_on(self, job, service, endpoint):
        """Serve a job on one endpoint.

        :returns: ``None`` when the job is done, or the
            :class:`Endpoint` to go on at because this one is being
            reclaimed.
        """
        with self.occupy(job, endpoint):
            match endpoint.kind:
                case BackendKind.SERVICE:
                    text = await backends.call_service(
                        self.session, endpoint, job, self.settings.host
                    )
                    await self.finish_call(job, text)
                    return None
                case BackendKind.ENGINE:
                    return await self.stream_from(job, service, endpoint)

    @contextlib.contextmanager
    def occupy(self, job, endpoint):
        """Count a job against an endpoint while it runs there."""
        begun = job.started
        job.endpoint = endpoint.id
        job.started = True
        endpoint.in_flight += 1
        try:
            yield
            job.attempts += 1
        except exceptions.EndpointUnreachableError:
            job.started = begun
            raise
        except exceptions.BackendError:
            job.attempts += 1
            raise
        finally:
            endpoint.in_flight -= 1

    async def finish_call(self, job, text):
        """Publish a plain service's answer as the job's only token."""
        await job.add_token(text)
        await job.publish(state=RequestState.DONE, finish_reason='stop')

    async def stream_from(self, job, service, endpoint):
        """Copy an engine's tokens into the job, from where it stands.

        :returns: ``None`` at the end, or where to go on.
        """
        counters = self.metrics.of(job.service)
        last_ms = None
        stream = backends.stream_tokens(
            self.session,
            endpoint,
            job,
            service.priority,
            self.settings.host,
        )
        async with contextlib.aclosing(stream):
            async for index, token in stream:
                if index is None:
                    await job.publish(
                        state=RequestState.DONE, finish_reason=token
                    )
                    return None
                if index != len(job.tokens):
                    continue
                now = self.clock.now()
                if last_ms is None and not job.tokens:
                    metrics_module.record(counters.ttft, now - job.accepted_ms)
                elif last_ms is not None:
                    metrics_module.record(counters.itl, now - last_ms)
                    job.token_ms += 0.2 * (now - last_ms - job.token_ms)
                last_ms = now
                await job.add_token(token)
                refuge = self.find_refuge(job, endpoint)
                if refuge is not None:
                    break
        await self.move(job, endpoint, refuge)
        return refuge

    async def revisit(self, job):
        """Return where a job taken over is best continued.

        Its cache is where it ran last: there, if that endpoint stays;
        else it is carried to another one.

        :returns: an :class:`Endpoint`, or ``None`` for no preference.
        """
        last = self.router.endpoints.get(job.endpoint)
        if last is None or last.kind != BackendKind.ENGINE:
            return None
        if last.state == EndpointState.LIVE:
            return last
        try:
            target = self.router.choose(job.service, job.prompt)
        except exceptions.NoEndpointError:
            return None
        await self.move(job, last, target)
        return target

    def find_refuge(self, job, endpoint):
        """Return where to move a job whose endpoint is being reclaimed.

        :returns: an :class:`Endpoint`; ``None`` to stay, because the
            endpoint is not reclaimed, the stream will end well before
            it is, or there is nowhere to go.
        """
        if endpoint.reclaim_at_ms is None:
            return None
        left_ms = endpoint.reclaim_at_ms - self.clock.now()
        needed_ms = (job.max_tokens - len(job.tokens)) * job.token_ms
        if needed_ms * MOVE_SAFETY < left_ms:
            return None
        try:
            return self.router.choose(
                job.service, job.prompt, exclude={endpoint.id}
            )
        except exceptions.NoEndpointError:
            return None

    async def move(self, job, source, target):
        """Stop a stream at its old engine and carry its cache along."""
        if self.settings.host.move_cache:
            await move_cache(
                self.session, job, source, target, MOVE_TIMEOUT_MS
            )
        await backends.cancel_stream(self.session, source, job)

    async def run_once(self, job, service):
        """Make a non-idempotent call, or learn what became of it.

        :raises OutcomeUnknownError: it may have run.
        :raises IdempotencyMismatchError: the key belongs to another
            request.
        :raises CapacityError: another host is still making the call.
        """
        key = job.idempotency_key
        digest = claims_module.digest_of(job.prompt)
        attempt = claims_module.new_attempt()
        backoff = Backoff()
        while True:
            try:
                claim = await self.claims.claim(
                    key, self.journal.stream, digest, attempt
                )
                break
            except exceptions.CapacityError:
                await backoff.pause()
        if claim.digest != digest:
            raise exceptions.IdempotencyMismatchError(
                'this Idempotency-Key was used for another request'
            )
        if not claim.won:
            await self.finish_call(job, await self.wait_outcome(key))
            return
        try:
            text = await self.call_once(job, service)
        except exceptions.BackendError as exc:
            await self.claims.publish(key, claims_module.UNKNOWN)
            raise exceptions.OutcomeUnknownError(
                f'the call may have run; it is not repeated: {exc.message}'
            ) from exc
        await self.finish_call(job, text)
        await self.claims.publish(key, claims_module.ANSWERED, text)

    async def wait_outcome(self, key):
        """Wait for the outcome of a call that another host claimed."""
        return await self.claims.wait_outcome(
            key, self.settings.host.stall_ms, self.membership.is_gone
        )

    async def call_once(self, job, service):
        """Make a claimed call; only a call that cannot have run is retried.

        :returns: the service's answer.
        :raises BackendError: the call may have run.
        """
        tried = set()
        backoff = Backoff()
        while True:
            endpoint = await self.choose(job, service, tried, backoff)
            try:
                with self.occupy(job, endpoint):
                    return await backends.call_service(
                        self.session, endpoint, job, self.settings.host
                    )
            except exceptions.EndpointUnreachableError:
                tried.add(endpoint.id)
                await backoff.pause()
