"""Clients of the back ends: model engines and plain services."""

import json

import aiohttp

from pearrun import exceptions


async def stream_tokens(session, endpoint, job, priority, resume_from=0):
    """Stream a job's tokens from an engine.

    :param session: an :class:`aiohttp.ClientSession`.
    :param endpoint: the :class:`Endpoint` chosen by the router.
    :param job: the :class:`Job` to run.
    :param priority: the service's :class:`Priority`.
    :param resume_from: index of the first token wanted.
    :returns: an async iterator of ``(index, token)``; the last item is
        ``(None, finish_reason)``.
    :raises BackendError: the engine failed or the stream broke.
    """
    body = {
        'request_id': job.id,
        'prompt': job.prompt,
        'max_tokens': job.max_tokens,
        'seed': job.seed,
        'priority': priority.value,
        'resume_from': resume_from,
    }
    try:
        async with session.post(
            f'{endpoint.url}/v1/generate', json=body
        ) as reply:
            if reply.status != 200:
                raise exceptions.BackendError(
                    f'{endpoint.id} answered {reply.status}'
                )
            async for raw in reply.content:
                line = json.loads(raw)
                if line.get('done'):
                    yield None, line.get('finish_reason', 'length')
                    return
                yield int(line['index']), str(line['token'])
    except (aiohttp.ClientError, ValueError, TimeoutError) as exc:
        raise exceptions.BackendError(
            f'{endpoint.id} stream broke: {exc!r}'
        ) from exc
    raise exceptions.BackendError(f'{endpoint.id} stream ended early')


async def cancel_stream(session, endpoint, job):
    """Ask an engine to stop a job's stream; errors are ignored."""
    try:
        async with session.post(
            f'{endpoint.url}/v1/cancel', json={'request_id': job.id}
        ):
            return True
    except aiohttp.ClientError:
        return False


async def call_service(session, endpoint, job):
    """Make one call to a plain service.

    :returns: the service's result text.
    :raises BackendError: the call failed; for a non-idempotent service
        it may still have run, so it is never repeated.
    """
    body = {'key': job.idempotency_key or job.id, 'payload': job.prompt}
    try:
        async with session.post(f'{endpoint.url}/v1/call', json=body) as r:
            data = await r.json(content_type=None)
            if r.status != 200:
                raise exceptions.BackendError(
                    f'{endpoint.id} answered {r.status}'
                )
            return str(data['result'])
    except (aiohttp.ClientError, ValueError, TimeoutError) as exc:
        raise exceptions.BackendError(
            f'{endpoint.id} call failed: {exc!r}'
        ) from exc


async def read_load(session, endpoint):
    """Read an engine's (lagging) load report; ``None`` on failure."""
    try:
        async with session.get(f'{endpoint.url}/v1/load') as reply:
            data = await reply.json(content_type=None)
            return int(data['active']) + int(data['waiting'])
    except (aiohttp.ClientError, ValueError, KeyError, TimeoutError):
        return None
