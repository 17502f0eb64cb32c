"""Placement of jobs on endpoints, and their migration on a reclaim."""

import contextlib

from pearrun import exceptions
from pearrun.api.router import build_policy
from pearrun.clock import Clock
from pearrun.states import BackendKind
from pearrun.states import EndpointState

MIGRATION_SAFETY_FACTOR = 2


class Placement:
    """Selects endpoints for jobs and counts the jobs in flight there.

    :param router: the daemon's :class:`Router`.
    """

    def __init__(self, router):
        self.router = router
        self.clock = Clock()

    async def choose(self, job, service, tried, backoff):
        """Select an endpoint; wait until there is one.

        :param tried: a set of endpoint ids to exclude; it is cleared
            when no other endpoint is left.
        :param backoff: a :class:`Backoff` for the time between attempts.
        """
        while True:
            endpoint = self.find(job, service, tried)
            if endpoint is not None:
                return endpoint
            tried.clear()
            await backoff.pause()

    def find(self, job, service, exclude=()):
        """Select an endpoint, or return ``None`` if there is none."""
        try:
            return self.router.choose(
                job.service, job.prompt, exclude, build_policy(service)
            )
        except exceptions.NoEndpointError:
            return None

    def find_migration_target(self, job, service, endpoint):
        """Return where to migrate a job whose endpoint is being reclaimed.

        :returns: an :class:`Endpoint`; ``None`` if the job stays,
            because its endpoint is not being reclaimed, its stream will
            end well before that, or there is no other endpoint.
        """
        if endpoint.reclaim_at_ms is None:
            return None
        left_ms = endpoint.reclaim_at_ms - self.clock.now()
        needed_ms = (job.max_tokens - len(job.tokens)) * job.token_ms
        if needed_ms * MIGRATION_SAFETY_FACTOR < left_ms:
            return None
        return self.find(job, service, {endpoint.id})

    def find_last_engine(self, job):
        """Return the engine that last ran a job, if this router has it."""
        last = self.router.endpoints.get(job.endpoint)
        if last is None or last.kind != BackendKind.ENGINE:
            return None
        return last

    def accepts_new_work(self, endpoint):
        """Return whether an endpoint accepts new requests."""
        return endpoint.state == EndpointState.LIVE

    @contextlib.contextmanager
    def track_in_flight(self, job, endpoint):
        """Count a job as in flight on an endpoint while it runs there.

        Also updates the job's ``endpoint``, ``started`` and ``attempts``.
        """
        was_started = job.started
        job.endpoint = endpoint.id
        job.started = True
        endpoint.in_flight += 1
        try:
            yield
            job.attempts += 1
        except exceptions.EndpointUnreachableError:
            job.started = was_started
            raise
        except exceptions.BackendError:
            job.attempts += 1
            raise
        finally:
            endpoint.in_flight -= 1
