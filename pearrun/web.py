"""Small helpers around sanic shared by the daemon and the stand-ins."""

from sanic import response

from pearrun import exceptions


def serve(app, host, port):
    """Run a sanic app in this process only, until it is told to stop.

    pearrun processes start no other process, so sanic's worker
    manager is not used.

    :param app: a :class:`sanic.Sanic` application.
    :param host: IP address to listen on.
    :param port: TCP port to listen on.
    """
    app.config.GRACEFUL_SHUTDOWN_TIMEOUT = 15.0
    app.config.KEEP_ALIVE_TIMEOUT = 30
    app.run(
        host=host,
        port=port,
        single_process=True,
        access_log=False,
        motd=False,
    )


def error_response(exc):
    """Turn a :class:`PearrunError` into a JSON response.

    The response carries a ``Retry-After`` header when the caller may
    come back later.
    """
    headers = {}
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
