"""Placing jobs: which endpoint a job goes to, and for how long."""

import contextlib

from pearrun import exceptions
from pearrun.api.router import build_policy
from pearrun.clock import Clock
from pearrun.states import BackendKind
from pearrun.states import EndpointState

MIGRATION_SAFETY_FACTOR = 2


class Placement:
    """Picks endpoints for jobs and counts the jobs against them.

    :param router: the daemon's :class:`Router`.
    """

    def __init__(self, router):
        self.router = router
        self.clock = Clock()

    async def choose(self, job, service, tried, backoff):
        """Pick an endpoint, waiting for one as long as it takes.

        :param tried: a set of endpoint ids to leave out; emptied when
            nothing else is left.
        :param backoff: a :class:`Backoff` for the waiting.
        """
        while True:
            endpoint = self.find(job, service, tried)
            if endpoint is not None:
                return endpoint
            tried.clear()
            await backoff.pause()

    def find(self, job, service, exclude=()):
        """Pick an endpoint; ``None`` when there is none."""
        try:
            return self.router.choose(
                job.service, job.prompt, exclude, build_policy(service)
            )
        except exceptions.NoEndpointError:
            return None

    def find_migration_target(self, job, service, endpoint):
        """Return where to move a job whose endpoint is being reclaimed.

        :returns: an :class:`Endpoint`; ``None`` to stay, because the
            endpoint is not reclaimed, the stream will end well before
            it is, or there is nowhere to go.
        """
        if endpoint.reclaim_at_ms is None:
            return None
        left_ms = endpoint.reclaim_at_ms - self.clock.now()
        needed_ms = (job.max_tokens - len(job.tokens)) * job.token_ms
        if needed_ms * MIGRATION_SAFETY_FACTOR < left_ms:
            return None
        return self.find(job, service, {endpoint.id})

    def find_last_engine(self, job):
        """Return the engine a job last ran on, if it is known here."""
        last = self.router.endpoints.get(job.endpoint)
        if last is None or last.kind != BackendKind.ENGINE:
            return None
        return last

    def accepts_new_work(self, endpoint):
        """Say whether an endpoint takes new work."""
        return endpoint.state == EndpointState.LIVE

    @contextlib.contextmanager
    def track_in_flight(self, job, endpoint):
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
