"""Small helpers around sanic shared by the daemon and the stand-ins."""

import asyncio
import os

from sanic import response

from pearrun import exceptions

NEVER_S = 86_400


def serve(app, host, port, grace_s=15.0):
    """Run a sanic app in this process only, until it is told to stop.

    pearrun processes start no other process, so sanic's worker
    manager is not used.

    :param app: a :class:`sanic.Sanic` application.
    :param host: IP address to listen on.
    :param port: TCP port to listen on.
    :param grace_s: seconds that open connections get to finish.
    """
    app.config.GRACEFUL_SHUTDOWN_TIMEOUT = grace_s
    app.config.RESPONSE_TIMEOUT = NEVER_S
    app.config.KEEP_ALIVE_TIMEOUT = 30
    app.run(
        host=host,
        port=port,
        single_process=True,
        access_log=False,
        motd=False,
    )


def install_admin_routes(app):
    """Add what tests and measurements need of any stand-in.

    ``GET /admin/traffic`` answers ``{requests, bytes}``: heads and
    bodies of requests, and bodies of responses that are not streamed.
    ``POST /admin/die`` ``{after_ms}`` ends the process without notice,
    as a host that is taken away does.
    """
    counts = {'requests': 0, 'bytes': 0}

    @app.on_response
    async def count(request, reply):
        counts['requests'] += 1
        counts['bytes'] += len(request.head) + len(request.body or b'')
        counts['bytes'] += len(getattr(reply, 'body', None) or b'')

    @app.get('/admin/traffic')
    async def traffic(request):
        return response.json(counts)

    @app.post('/admin/die')
    async def die(request):
        after_ms = int((request.json or {}).get('after_ms', 0))
        asyncio.get_running_loop().call_later(after_ms / 1000, os._exit, 1)
        return response.json({'after_ms': after_ms})


def error_response(exc, headers=None):
    """Turn a :class:`PearrunError` into a JSON response.

    The response carries a ``Retry-After`` header when the caller may
    come back later.

    :param headers: further headers to send along.
    """
    headers = dict(headers or {})
    if exc.retry_after_s is not None:
        headers['Retry-After'] = str(int(exc.retry_after_s))
    return response.json(
        exc.to_body(), status=exc.http_status, headers=headers
    )


def install_error_handler(app):
    """Answer every :class:`PearrunError` with its code and status."""

    @app.exception(exceptions.PearrunError)
    async def handle(request, exc):
        return error_response(exc)
