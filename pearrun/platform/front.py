"""The address that callers reach, and the one that reports readiness."""

from loguru import logger

from pearrun import exceptions
from pearrun.platform import codec

# How soon a caller may come back to a host that has just started and
# knows no configuration: about the time its first reads take.
STARTING_RETURN_S = 0.4
# Beyond this age of the configuration, a route or key that it lacks may
# have been added since; the call is refused so that it goes elsewhere.
CONFIG_TRUSTED_MS = 4000


class Front:
    """Answers callers' requests.

    :param host: shared objects of this host.
    :param relay: the :class:`Relay`.
    """

    def __init__(self, host, relay):
        self.host = host
        self.relay = relay

    async def handle(self, request, caller):
        """Serve one request; see :class:`Server`."""
        try:
            call = self._decode(request)
        except exceptions.PearrunError as exc:
            await self._reply_error(request, caller, exc)
            return
        await self.relay.relay(call, caller)

    def _decode(self, request):
        config = self.host.config.current
        if config is None:
            raise exceptions.NoConfigurationError(
                'this host knows no configuration yet', STARTING_RETURN_S
            )
        try:
            return codec.decode_call(request, config)
        except (
            exceptions.UnknownRouteError,
            exceptions.UnknownKeyError,
        ) as exc:
            if self.host.config.age_ms() <= CONFIG_TRUSTED_MS:
                raise
            raise exceptions.NoConfigurationError(
                f'{exc.message}, but the configuration may be old',
                STARTING_RETURN_S,
            ) from exc

    async def _reply_error(self, request, caller, error):
        logger.bind(
            request_id=request.get(b'pearrun-attempt-id'),
            status=error.http_status,
            reason=error.message,
            config=self.host.config.version,
            config_age_ms=self.host.config.age_ms(),
        ).info('rejected')
        self.host.counters.rejected += 1
        body, headers = self.host.codec.encode_error(error)
        await caller.reply(error.http_status, headers, body)


class Readiness:
    """Answers the platform's question whether this host takes callers."""

    def __init__(self, host):
        self.host = host

    async def handle(self, request, caller):
        """Answer 200 while this host is ready, 503 otherwise."""
        status = 200 if self.host.is_ready() else 503
        await caller.reply(status, [(b'Content-Type', b'text/plain')], b'')
