"""Non-idempotent calls, made at most once even if requests are retried."""

import dataclasses

from pearrun import exceptions
from pearrun.api import backends
from pearrun.api import claims as claims_module
from pearrun.backoff import Backoff
from pearrun.clock import Clock


@dataclasses.dataclass(frozen=True)
class CallOutcome:
    """The result of a call.

    ``failure`` is set when the call may have run but returned no
    result.  ``publish`` is the kind of outcome to append to the log;
    ``None`` when another host made the call.
    """

    text: str | None = None
    failure: exceptions.PearrunError | None = None
    publish: str | None = None


class AtMostOnceCaller:
    """Makes each non-idempotent call at most once, after claiming its key.

    :param settings: the daemon's complete :class:`Settings`.
    :param session: an :class:`aiohttp.ClientSession` for back ends.
    :param claims: a :class:`KeyClaims`.
    :param journal: the daemon's :class:`Journal`.
    :param membership: the daemon's :class:`Membership`.
    :param placement: a :class:`Placement` that picks endpoints.
    :param crashes: the daemon's :class:`JobCrashTracker`.
    """

    def __init__(
        self,
        settings,
        session,
        claims,
        journal,
        membership,
        placement,
        crashes,
    ):
        self.settings = settings
        self.session = session
        self.claims = claims
        self.journal = journal
        self.membership = membership
        self.placement = placement
        self.crashes = crashes
        self.clock = Clock()

    async def call(self, job, service):
        """Make a job's call, or wait for its outcome on another host.

        :returns: a :class:`CallOutcome`; the caller of this method
            publishes it, after it has answered the client, so that the
            client does not wait for the log.
        :raises IdempotencyMismatchError: the key was used for a
            different request.
        :raises OutcomeUnknownError: the call may have run on another
            host.
        :raises CapacityError: another host is still making the call.
        """
        key = job.idempotency_key
        digest = claims_module.compute_digest(job.prompt)
        claim = await self.claim(key, digest)
        if claim.digest != digest:
            raise exceptions.IdempotencyMismatchError(
                'this Idempotency-Key was used for another request'
            )
        if not claim.won:
            text = await self.claims.wait_for_outcome(
                key,
                self.settings.host.stall_ms,
                self.membership.is_writer_dead,
            )
            return CallOutcome(text)
        try:
            text = await self.make_call(job, service)
        except exceptions.BackendError as exc:
            failure = exceptions.OutcomeUnknownError(
                f'the call may have run; it is not repeated: {exc.message}'
            )
            return CallOutcome(failure=failure, publish=claims_module.UNKNOWN)
        return CallOutcome(text, publish=claims_module.ANSWERED)

    async def claim(self, key, digest):
        """Claim a key; retry until the log is available.

        :returns: a :class:`Claim`.
        """
        attempt = claims_module.generate_attempt_id()
        backoff = Backoff()
        while True:
            try:
                return await self.claims.claim(
                    key, self.journal.stream, digest, attempt
                )
            except exceptions.CapacityError:
                await backoff.pause()

    async def make_call(self, job, service):
        """Make a claimed call; retry it only if it cannot have run.

        :returns: the service's result text.
        :raises BackendError: the call may have run.
        """
        tried = set()
        backoff = Backoff()
        while True:
            endpoint = await self.placement.choose(
                job, service, tried, backoff
            )
            started_ms = self.clock.now()
            try:
                with self.placement.track_in_flight(job, endpoint):
                    return await backends.call_service(
                        self.session, endpoint, job, self.settings.host
                    )
            except exceptions.EndpointUnreachableError:
                tried.add(endpoint.id)
                await backoff.pause()
            except exceptions.BackendError:
                ran_ms = self.clock.since(started_ms)
                self.crashes.check_for_crash(job, endpoint, ran_ms, False)
                raise
