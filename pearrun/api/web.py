"""Sanic helpers shared by the daemon and the test stand-ins."""

import asyncio
import os

from sanic import response

from pearrun import exceptions

# One day: in effect no time limit for responses.
RESPONSE_TIMEOUT_S = 86_400


def serve(app, host, port, grace_s=15.0, protocol=None):
    """Run a sanic app in this process until it is stopped.

    Sanic's worker manager is not used, since pearrun processes do not
    start subprocesses.

    :param app: a :class:`sanic.Sanic` application.
    :param host: IP address to listen on.
    :param port: TCP port to listen on.
    :param grace_s: graceful shutdown timeout for open connections.
    :param protocol: class of the connections; by default sanic's own.
    """
    app.config.GRACEFUL_SHUTDOWN_TIMEOUT = grace_s
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = 30
    app.run(
        host=host,
        port=port,
        single_process=True,
        access_log=False,
        motd=False,
        protocol=protocol,
    )


def install_admin_routes(app):
    """Add the routes that tests and benchmarks use on every stand-in.

    ``GET /admin/traffic`` returns ``{requests, bytes}``: the number of
    requests, and the size of request heads, request bodies and
    non-streamed response bodies.
    ``POST /admin/die`` ``{after_ms}`` exits the process abruptly, like
    the loss of its host.
    """
    counts = {'requests': 0, 'bytes': 0}

    @app.on_response
    async def count_traffic(request, reply):
        counts['requests'] += 1
        counts['bytes'] += len(request.head) + len(request.body or b'')
        counts['bytes'] += len(getattr(reply, 'body', None) or b'')

    @app.get('/admin/traffic')
    async def get_traffic(request):
        return response.json(counts)

    @app.post('/admin/die')
    async def exit_process(request):
        after_ms = int((request.json or {}).get('after_ms', 0))
        asyncio.get_running_loop().call_later(after_ms / 1000, os._exit, 1)
        return response.json({'after_ms': after_ms})


def build_error_response(exc, headers=None):
    """Convert a :class:`PearrunError` to a JSON response.

    The response has a ``Retry-After`` header if the caller may retry.

    :param exc: the :class:`PearrunError`.
    :param headers: additional response headers.
    """
    headers = dict(headers or {})
    if exc.retry_after_s is not None:
        headers['Retry-After'] = str(int(exc.retry_after_s))
    return response.json(
        exc.to_body(), status=exc.http_status, headers=headers
    )


def install_error_handler(app):
    """Respond to every :class:`PearrunError` with its code and status."""

    @app.exception(exceptions.PearrunError)
    async def handle_error(request, exc):
        return build_error_response(exc)
