"""Execution of jobs, from an accepted request to its final state.

A job is retried when no endpoint is available or an endpoint fails: it
pauses, then resumes on another endpoint after its last token.
There are two exceptions: a non-idempotent call that may have run is not
repeated (see :mod:`pearrun.api.calls`), and a request that crashes the
endpoints which run it fails (see :mod:`pearrun.api.crashes`).
"""

import contextlib

from loguru import logger

from pearrun import exceptions
from pearrun import metrics as metrics_module
from pearrun.api import backends
from pearrun.api.calls import AtMostOnceCaller
from pearrun.api.crashes import JobCrashTracker
from pearrun.api.kvtransfer import transfer_cache
from pearrun.api.placement import Placement
from pearrun.backoff import Backoff
from pearrun.clock import Clock
from pearrun.states import BackendKind
from pearrun.states import RequestState

MIGRATION_TIMEOUT_MS = 2000


class Runner:
    """Runs jobs on endpoints.

    :param settings: the daemon's complete :class:`Settings`.
    :param session: an :class:`aiohttp.ClientSession` for back ends.
    :param router: a :class:`Router`.
    :param claims: :class:`KeyClaims` for non-idempotent calls.
    :param journal: the daemon's :class:`Journal`.
    :param membership: the daemon's :class:`Membership`.
    :param metrics: a :class:`MetricsTable`.
    :param crashes: the daemon's :class:`JobCrashTracker`.
    """

    def __init__(
        self,
        settings,
        session,
        router,
        claims,
        journal,
        membership,
        metrics,
        crashes=None,
    ):
        self.settings = settings
        self.session = session
        self.claims = claims
        self.metrics = metrics
        self.clock = Clock()
        self.placement = Placement(router)
        self.crashes = crashes or JobCrashTracker()
        self.at_most_once_caller = AtMostOnceCaller(
            settings,
            session,
            claims,
            journal,
            membership,
            self.placement,
            self.crashes,
        )

    async def run(self, job, service):
        """Run a job to its end and publish its final state.

        :param job: an accepted :class:`Job`.
        :param service: the service's :class:`ServiceSettings`.
        """
        await job.publish(state=RequestState.RUNNING)
        try:
            if service.idempotent:
                await self.run_idempotent(job, service)
            else:
                await self.run_non_idempotent(job, service)
        except exceptions.PearrunError as exc:
            await self.fail(job, exc)

    async def fail(self, job, failure):
        """Publish a job's failure."""
        self.metrics.get_or_create(job.service).failed += 1
        await job.publish(state=RequestState.FAILED, failure=failure)
        logger.warning(
            'request failed', code=failure.code, **job.get_log_fields()
        )

    async def finish(self, job, finish_reason):
        """Publish that a job is complete."""
        await job.publish(state=RequestState.DONE, finish_reason=finish_reason)
        counters = self.metrics.get_or_create(job.service)
        counters.done += 1
        self.crashes.note_answered(job)
        counters.tokens += len(job.tokens)
        metrics_module.record(
            counters.total, self.clock.since(job.accepted_ms)
        )
        logger.info(
            'request done', tokens=len(job.tokens), **job.get_log_fields()
        )

    async def run_non_idempotent(self, job, service):
        """Run a non-idempotent job.

        The caller gets the outcome before it is appended to the log.
        """
        outcome = await self.at_most_once_caller.call(job, service)
        if outcome.failure is not None:
            await self.fail(job, outcome.failure)
        else:
            await job.add_token(outcome.text)
            await self.finish(job, 'stop')
        if outcome.publish is not None:
            await self.claims.publish(
                job.idempotency_key, outcome.publish, outcome.text
            )

    async def run_idempotent(self, job, service):
        """Run an idempotent job; retry on another endpoint on failure.

        :raises EndpointRefusedError: the engine rejected the request
            as invalid; all other engines would, too.
        :raises CrashedEndpointsError: endpoints crashed while they ran
            the request.
        """
        counters = self.metrics.get_or_create(job.service)
        tried = set()
        backoff = Backoff()
        next_endpoint = await self.choose_resume_endpoint(job, service)
        while True:
            self.crashes.check_job(job)
            endpoint = next_endpoint or await self.placement.choose(
                job, service, tried, backoff
            )
            next_endpoint = None
            progress = len(job.tokens)
            started_ms = self.clock.now()
            try:
                next_endpoint = await self.run_on(job, service, endpoint)
            except exceptions.EndpointRefusedError:
                raise
            except exceptions.BackendError as exc:
                counters.retries += 1
                logger.warning(
                    'endpoint failed',
                    error=exc.message,
                    **job.get_log_fields(),
                )
                tried.add(endpoint.id)
                if not isinstance(exc, exceptions.EndpointUnreachableError):
                    check = self.crashes.check_for_crash(
                        job,
                        endpoint,
                        self.clock.since(started_ms),
                        len(job.tokens) > progress,
                    )
                    await self.crashes.wait_briefly(check)
                if len(job.tokens) > progress:
                    backoff = Backoff()
                await backoff.pause()
                continue
            if next_endpoint is None:
                return
            counters.moves += 1

    async def run_on(self, job, service, endpoint):
        """Run a job on one endpoint.

        :returns: ``None`` when the job is done, or the
            :class:`Endpoint` to continue on because this one is being
            reclaimed.
        """
        with self.placement.track_in_flight(job, endpoint):
            match endpoint.kind:
                case BackendKind.SERVICE:
                    text = await backends.call_service(
                        self.session, endpoint, job, self.settings.host
                    )
                    await job.add_token(text)
                    await self.finish(job, 'stop')
                    return None
                case BackendKind.ENGINE:
                    return await self.copy_stream(job, service, endpoint)

    async def copy_stream(self, job, service, endpoint):
        """Append the tokens that an engine streams to a job.

        :returns: ``None`` at the end, or the :class:`Endpoint` to
            continue on.
        """
        last_ms = None
        stream = backends.stream_tokens(
            self.session, endpoint, job, service.priority, self.settings.host
        )
        async with contextlib.aclosing(stream):
            async for index, token in stream:
                if index is None:
                    await self.finish(job, token)
                    return None
                if index != len(job.tokens):
                    continue
                last_ms = self.record_token_latency(job, last_ms)
                await job.add_token(token)
                next_endpoint = self.placement.find_migration_target(
                    job, service, endpoint
                )
                if next_endpoint is not None:
                    break
        await self.migrate(job, endpoint, next_endpoint)
        return next_endpoint

    def record_token_latency(self, job, last_ms):
        """Record the latency of a token: time to first token, or interval.

        :param last_ms: when the stream's previous token arrived, or
            ``None`` for its first.
        :returns: the arrival time of this token.
        """
        now = self.clock.now()
        counters = self.metrics.get_or_create(job.service)
        if last_ms is not None:
            metrics_module.record(counters.itl, now - last_ms)
            job.update_token_interval(now - last_ms)
        elif not job.tokens:
            metrics_module.record(counters.ttft, now - job.accepted_ms)
        return now

    async def choose_resume_endpoint(self, job, service):
        """Select where to resume a job that was taken over.

        The KV cache is on the engine that last ran the job.  The job
        resumes there if the engine accepts new requests; else the cache
        is transferred to another engine.

        :returns: an :class:`Endpoint`, or ``None`` for no preference.
        """
        last = self.placement.find_last_engine(job)
        if last is None or self.placement.accepts_new_work(last):
            return last
        target = self.placement.find(job, service)
        if target is not None:
            await self.migrate(job, last, target)
        return target

    async def migrate(self, job, source, target):
        """Transfer a job's cache, then cancel its stream on the old engine."""
        if self.settings.host.move_cache:
            await transfer_cache(
                self.session, job, source, target, MIGRATION_TIMEOUT_MS
            )
        await backends.cancel_stream(self.session, source, job)
