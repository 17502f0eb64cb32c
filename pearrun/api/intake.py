"""Bounds what callers' connections to the own interface occupy.

Load pattern: clients send many large bodies at once, tiny chunks, requests
ahead without reading the answers, or open thousands of connections.  Sanic
bounds a single request; this module bounds all of a daemon together.
"""

import asyncio
import weakref

from loguru import logger
from sanic import Request
from sanic.http import Stage
from sanic.server.protocols.websocket_protocol import WebSocketProtocol

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.http1.turns import Turns

# How long a body may take.
BODY_TIMEOUT_MS = 10_000
# Parts of a body, such as chunks, after which another task has its turn.
PARTS_A_TURN = 64
# Bodies up to this size are received even if the large ones occupy all that
# bodies may occupy.
SMALL_BODY_BYTES = 128 * 1024
RETRY_AFTER_S = 1
# What a connection waits for its client in.
WAITING_STAGES = (Stage.IDLE, Stage.REQUEST)


class BodyIntake:
    """What the bodies of all requests of a daemon occupy.

    :param max_bytes: what bodies larger than ``SMALL_BODY_BYTES`` may occupy
        together.

    ``refused`` counts the requests that were refused for it.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.bytes = 0
        self.refused = 0
        self.turns = Turns()

    def open(self, request):
        """Return a :class:`BodyShare` that ends with a request."""
        share = BodyShare(self)
        weakref.finalize(request, share.release)
        return share


class BodyShare:
    """What the body of one request occupies.

    :param intake: the :class:`BodyIntake`.
    """

    def __init__(self, intake):
        self.intake = intake
        self.bytes = 0

    def grow(self, size):
        """Charge a part of the body.

        :raises OverloadedError: the bodies of others occupy too much.
        """
        intake = self.intake
        is_large = self.bytes + size > SMALL_BODY_BYTES
        if is_large and intake.bytes + size > intake.max_bytes:
            intake.refused += 1
            self.release()
            raise exceptions.OverloadedError(
                'too many large requests are being received', RETRY_AFTER_S
            )
        self.bytes += size
        intake.bytes += size

    def release(self):
        """Give back what was charged."""
        self.intake.bytes -= self.bytes
        self.bytes = 0


class BoundedRequest(Request):
    """A request whose body is received within the daemon's limits."""

    async def receive_body(self):
        """Receive the body; see :class:`sanic.Request`.

        :raises OverloadedError: the bodies of others occupy too much.
        :raises BodyTimeoutError: it took too long.
        """
        if self.body:
            return
        intake = self.app.ctx.body_intake
        share = intake.open(self)
        body = bytearray()
        parts = 0
        try:
            async with asyncio.timeout(to_seconds(BODY_TIMEOUT_MS)):
                async for data in self.stream:
                    share.grow(len(data))
                    body += data
                    parts += 1
                    if parts % PARTS_A_TURN == 0:
                        await intake.turns.wait()
        except TimeoutError as exc:
            raise exceptions.BodyTimeoutError(
                'the body did not arrive in time'
            ) from exc
        self.body = bytes(body)


class BoundedProtocol(WebSocketProtocol):
    """Closes connections that wait for their clients if there are too many."""

    __slots__ = ()

    def connection_made(self, transport):
        super().connection_made(transport)
        if len(self.connections) <= self.app.ctx.max_connections:
            return
        waiting = (each for each in self.connections if is_waiting(each))
        oldest = min(waiting, key=lambda each: each._time, default=self)
        oldest.abort()


def is_waiting(connection):
    """Return whether a connection waits for its client."""
    http = connection._http
    return connection.transport is not None and (
        http is None or http.stage in WAITING_STAGES
    )


def install(app, settings):
    """Set the limits of a sanic app.

    :param app: the :class:`sanic.Sanic` app, whose requests are
        :class:`BoundedRequest` objects.
    :param settings: the :class:`IntakeSettings`.
    """
    app.config.REQUEST_MAX_SIZE = settings.max_body_bytes
    app.config.REQUEST_TIMEOUT = to_seconds(settings.header_timeout_ms)
    app.ctx.body_intake = BodyIntake(settings.bodies_bytes)
    app.ctx.max_connections = settings.max_connections

    @app.on_response
    async def give_way(request, response):
        """Let other tasks run between requests that were sent ahead."""
        stream = request.stream
        if stream is not None and stream.request_body:
            # The body is not needed for the answer.
            stream.request_body = None
            stream.keep_alive = False
            logger.info('body not received', status=response.status)
        await asyncio.sleep(0)
