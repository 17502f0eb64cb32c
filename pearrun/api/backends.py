"""HTTP clients of the back ends: model engines and plain services."""

import asyncio
import contextlib

import aiohttp
import orjson

from pearrun import exceptions
from pearrun.api.watchdog import Watchdog
from pearrun.clock import to_seconds

CONNECT_TIMEOUT_S = 2
STREAM_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT_S
)
CONTROL_TIMEOUT = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)


async def wait_for_response(session, endpoint, call, host):
    """Wait for the headers of an engine's response.

    A missing response may mean a long queue at the engine or a dead
    connection.  To tell them apart, the engine's load is requested on
    another connection after each ``stall_ms`` without a response; if
    that request fails too, the engine is considered failed.

    :param call: the awaitable request.
    :param host: the daemon's :class:`HostSettings`.
    :returns: the :class:`aiohttp.ClientResponse`.
    :raises BackendError: the engine did not answer the load request, or
        sent no response within ``first_token_ms``.
    """
    task = asyncio.ensure_future(call)
    stall_s = to_seconds(host.stall_ms)
    waited_s = 0.0
    try:
        while True:
            done, _ = await asyncio.wait({task}, timeout=stall_s)
            if done:
                return task.result()
            waited_s += stall_s
            if waited_s >= to_seconds(host.first_token_ms):
                raise exceptions.BackendError(
                    f'{endpoint.id} sent no response within {waited_s:g} s'
                )
            if await read_load(session, endpoint) is None:
                raise exceptions.BackendError(
                    f'{endpoint.id} did not answer a load request'
                )
    finally:
        if not task.done():
            task.cancel()


async def read_lines(response, stall_ms):
    """Iterate over the lines of a response as they arrive.

    :raises TimeoutError: no line arrived for ``stall_ms``.
    """
    timeout = TimeoutError(f'no token for {stall_ms} ms')
    watchdog = Watchdog(
        to_seconds(stall_ms), lambda: response.content.set_exception(timeout)
    )
    try:
        async for raw in response.content:
            watchdog.reset()
            yield raw
    finally:
        watchdog.stop()


async def stream_tokens(session, endpoint, job, priority, host):
    """Stream a job's remaining tokens from an engine.

    :param session: an :class:`aiohttp.ClientSession`.
    :param endpoint: the :class:`Endpoint` chosen by the router.
    :param job: the :class:`Job` to run.
    :param priority: the service's :class:`Priority`.
    :param host: the daemon's :class:`HostSettings`; after ``stall_ms``
        without data the connection is closed, because it may be dead
        although new connections to the engine work.
    :returns: an async iterator of ``(index, token)``; the last item is
        ``(None, finish_reason)``.
    :raises EndpointRefusedError: the engine refuses the request (4xx).
    :raises EndpointUnreachableError: no connection was established.
    :raises BackendError: the engine failed, or the stream broke off.
    """
    body = {
        'request_id': job.id,
        'prompt': job.prompt,
        'max_tokens': job.max_tokens,
        'seed': job.seed,
        'priority': priority.value,
        'resume_from': len(job.tokens),
        'tokens': list(job.tokens),
        'again': job.attempts > 0,
    }
    call = session.post(
        f'{endpoint.url}/v1/generate', json=body, timeout=STREAM_TIMEOUT
    )
    try:
        response = await wait_for_response(session, endpoint, call, host)
        async with response:
            if 400 <= response.status < 500:
                raise exceptions.EndpointRefusedError(
                    f'{endpoint.id} refused the request: {response.status}'
                )
            if response.status != 200:
                raise exceptions.BackendError(
                    f'{endpoint.id} answered {response.status}'
                )
            lines = read_lines(response, host.stall_ms)
            async with contextlib.aclosing(lines):
                async for raw in lines:
                    line = orjson.loads(raw)
                    if line.get('done'):
                        yield None, line.get('finish_reason', 'length')
                        return
                    yield int(line['index']), str(line['token'])
    except aiohttp.ClientConnectorError as exc:
        raise exceptions.EndpointUnreachableError(
            f'cannot connect to {endpoint.id}: {exc!r}'
        ) from exc
    except (aiohttp.ClientError, ValueError, TimeoutError) as exc:
        raise exceptions.BackendError(
            f'{endpoint.id} stream broke: {exc!r}'
        ) from exc
    raise exceptions.BackendError(f'{endpoint.id} stream ended early')


async def cancel_stream(session, endpoint, job):
    """Request that an engine stop a job's stream; errors are ignored.

    :returns: whether the engine responded.
    """
    try:
        async with session.post(
            f'{endpoint.url}/v1/cancel',
            json={'request_id': job.id},
            timeout=CONTROL_TIMEOUT,
        ):
            return True
    except (aiohttp.ClientError, OSError):
        return False


async def call_service(session, endpoint, job, host):
    """Make one call to a plain service.

    :returns: the service's result text.
    :raises EndpointUnreachableError: no connection was established, so
        the call has not run.
    :raises BackendError: the call failed and may have run; a
        non-idempotent call is not repeated.
    """
    body = {'key': job.idempotency_key or job.id, 'payload': job.prompt}
    try:
        async with session.post(
            f'{endpoint.url}/v1/call',
            json=body,
            timeout=aiohttp.ClientTimeout(
                total=to_seconds(host.stall_ms), sock_connect=CONNECT_TIMEOUT_S
            ),
        ) as r:
            data = await r.json(content_type=None)
            if r.status != 200:
                raise exceptions.BackendError(
                    f'{endpoint.id} answered {r.status}'
                )
            return str(data['result'])
    except aiohttp.ClientConnectorError as exc:
        raise exceptions.EndpointUnreachableError(
            f'cannot connect to {endpoint.id}: {exc!r}'
        ) from exc
    except (aiohttp.ClientError, ValueError, TimeoutError) as exc:
        raise exceptions.BackendError(
            f'{endpoint.id} call failed: {exc!r}'
        ) from exc


async def read_load(session, endpoint):
    """Read an engine's load.

    The engine reports it with a delay.

    :returns: active plus waiting requests, or ``None`` on failure.
    """
    try:
        async with session.get(
            f'{endpoint.url}/v1/load', timeout=CONTROL_TIMEOUT
        ) as response:
            data = await response.json(content_type=None)
            return int(data['active']) + int(data['waiting'])
    except (aiohttp.ClientError, OSError, ValueError, KeyError):
        return None
