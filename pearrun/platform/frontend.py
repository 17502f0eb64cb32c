"""HTTP handlers for callers' requests and for the readiness check."""

from loguru import logger

from pearrun import exceptions
from pearrun.platform import codec

# Retry-After of a host that has not loaded a configuration yet: roughly the
# duration of its first reads from the store.
STARTUP_RETRY_AFTER_S = 0.4
# If the configuration is older than this, an unknown route or key may have
# been added since; the call is rejected as retryable, so that the caller
# tries another host.
MAX_TRUSTED_CONFIG_AGE_MS = 4000


class Frontend:
    """Handles callers' requests.

    :param host: the :class:`HostContext`.
    :param relay: the :class:`Relay`.
    """

    def __init__(self, host, relay):
        self.host = host
        self.relay = relay

    async def handle(self, request, caller):
        """Handle one request; see :class:`Server`."""
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
                'this host has no configuration yet', STARTUP_RETRY_AFTER_S
            )
        try:
            return codec.decode_call(request, config)
        except (
            exceptions.UnknownRouteError,
            exceptions.UnknownKeyError,
        ) as exc:
            if self.host.config.age_ms() <= MAX_TRUSTED_CONFIG_AGE_MS:
                raise
            raise exceptions.NoConfigurationError(
                f'{exc.message}, but the configuration may be stale',
                STARTUP_RETRY_AFTER_S,
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


class ReadinessHandler:
    """Handles the platform's readiness checks.

    :param host: the :class:`HostContext`.
    """

    def __init__(self, host):
        self.host = host

    async def handle(self, request, caller):
        """Respond with 200 while this host is ready, 503 otherwise."""
        status = 200 if self.host.is_ready() else 503
        await caller.reply(status, [(b'Content-Type', b'text/plain')], b'')
