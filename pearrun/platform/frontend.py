"""HTTP handlers for callers' requests and for the readiness check."""

from loguru import logger

from pearrun import exceptions
from pearrun.http1.screening import BodyUnwanted
from pearrun.http1.screening import BodyWanted
from pearrun.http1.screening import Refusal
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

    def screen(self, request):
        """Decide on a request before its body is received; see `Server`.

        :returns: a :class:`Refusal`, or a :class:`BodyWanted` with the time
            that the call has left.
        """
        try:
            call = self._decode(request)
        except exceptions.PearrunError as exc:
            return self._make_refusal(request, exc)
        error = self.relay.find_refusal(call)
        if error is not None:
            return self._encode_refusal(error)
        return BodyWanted(call.timeout_at_ms - self.host.clock.now())

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
        refusal = self._make_refusal(request, error)
        await caller.reply(refusal.status, refusal.headers, refusal.body)

    def _make_refusal(self, request, error):
        """Log an error and return the :class:`Refusal` that reports it."""
        logger.bind(
            request_id=request.get(b'pearrun-attempt-id'),
            status=error.http_status,
            reason=error.message,
            config=self.host.config.version,
            config_age_ms=self.host.config.age_ms(),
        ).info('rejected')
        self.host.counters.rejected += 1
        return self._encode_refusal(error)

    def _encode_refusal(self, error):
        body, headers = self.host.codec.encode_error(error)
        return Refusal(error.http_status, headers, body)


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


def screen_out_body(request):
    """Let the body of a request be discarded, since no handler uses it."""
    del request
    return BodyUnwanted()
