"""Intake: the HTTP routes callers and operators use.

Callers:

- ``POST /v1/completions`` and ``POST /v1/chat/completions``
  (OpenAI-style; ``"stream": true`` answers as server-sent events).
  ``Idempotency-Key`` makes a retry return the first answer.
  ``Prefer: respond-async`` answers ``202`` once the request is
  journaled; fetch the answer later by id.
- ``GET /v1/requests/{id}``: status and answer so far;
  ``?stream=true&from=N`` resumes the stream after token ``N``.
- ``POST /v1/requests/{id}/cancel``.

Operators: ``GET /healthz``, ``GET /v1/status``, ``GET /v1/metrics``,
``POST /admin/drain`` ``{endpoint}``; peers: websocket ``/peer``.
"""

import json

import pydantic
from sanic import response

from pearrun import exceptions
from pearrun import models
from pearrun import web

SSE_HEADERS = {'Cache-Control': 'no-cache'}


def parse_body(request, model):
    """Check a JSON body against a pydantic model.

    :raises BadRequestError: not JSON or not the right shape (1200).
    """
    try:
        data = json.loads(request.body or b'')
        return model.model_validate(data)
    except ValueError as exc:
        detail = exc
        if isinstance(exc, pydantic.ValidationError):
            first = exc.errors()[0]
            where = '.'.join(str(p) for p in first['loc'])
            detail = f'{where}: {first["msg"]}'
        raise exceptions.BadRequestError(
            f'bad request body: {detail}'
        ) from exc


def completion_body(job, chat):
    """Return a job's whole answer in the OpenAI shape."""
    choice = {'index': 0, 'finish_reason': job.finish_reason}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': job.text()}
    else:
        choice['text'] = job.text()
    return {
        'id': job.id,
        'object': 'chat.completion' if chat else 'text_completion',
        'model': job.service,
        'choices': [choice],
        'usage': {'completion_tokens': len(job.tokens)},
    }


def chunk_body(job, index, chat):
    """Return one streamed token in the OpenAI chunk shape."""
    token = job.tokens[index]
    piece = token if index == 0 else ' ' + token
    if chat:
        choice = {'index': 0, 'delta': {'content': piece}}
    else:
        choice = {'index': 0, 'text': piece}
    return {
        'id': job.id,
        'object': 'chat.completion.chunk' if chat else 'text_completion',
        'model': job.service,
        'choices': [choice],
        'index': index,
    }


async def send_events(request, job, start, chat):
    """Stream a job's tokens from ``start`` as server-sent events."""
    stream = await request.respond(
        content_type='text/event-stream', headers=SSE_HEADERS
    )
    sent = start
    while True:
        await job.wait_beyond(sent)
        while sent < len(job.tokens):
            body = chunk_body(job, sent, chat)
            await stream.send(f'data: {json.dumps(body)}\n\n')
            sent += 1
        if job.finished and sent >= len(job.tokens):
            break
    final = {
        'id': job.id,
        'state': job.state.value,
        'finish_reason': job.finish_reason,
        'error': job.failure.to_body() if job.failure else None,
    }
    await stream.send(f'data: {json.dumps(final)}\n\n')
    await stream.send('data: [DONE]\n\n')
    await stream.eof()


async def answer(request, job, stream, chat):
    """Answer a caller: streamed, whole, or 202 for async."""
    if stream:
        return await send_events(request, job, 0, chat)
    if 'respond-async' in request.headers.get('Prefer', ''):
        return response.json(job.to_body(), status=202)
    await job.wait_finished()
    if job.failure is not None:
        return web.error_response(job.failure)
    return response.json(completion_body(job, chat))


def install_routes(app, daemon):
    """Add the intake routes to a sanic app.

    :param app: the :class:`sanic.Sanic` app.
    :param daemon: the :class:`Daemon` that owns the parts.
    """

    @app.post('/v1/completions')
    async def completions(request):
        body = parse_body(request, models.CompletionBody)
        key = request.headers.get('Idempotency-Key')
        job = await daemon.dispatcher.submit(body, key)
        return await answer(request, job, body.stream, chat=False)

    @app.post('/v1/chat/completions')
    async def chat_completions(request):
        chat = parse_body(request, models.ChatBody)
        body = chat.to_completion()
        key = request.headers.get('Idempotency-Key')
        job = await daemon.dispatcher.submit(body, key)
        return await answer(request, job, body.stream, chat=True)

    @app.get('/v1/requests/<request_id>')
    async def request_status(request, request_id):
        job = daemon.dispatcher.find(request_id)
        if request.args.get('stream') == 'true':
            start = int(request.args.get('from', 0))
            return await send_events(request, job, start, chat=False)
        return response.json(job.to_body())

    @app.post('/v1/requests/<request_id>/cancel')
    async def cancel(request, request_id):
        job = await daemon.dispatcher.cancel(request_id)
        return response.json(job.to_body())

    @app.get('/healthz')
    async def health(request):
        return response.json(
            {'ok': True, 'accepting': daemon.dispatcher.accepting}
        )

    @app.get('/v1/status')
    async def status(request):
        return response.json(daemon.status())

    @app.get('/v1/metrics')
    async def metrics_route(request):
        return response.json(
            {
                'daemon': daemon.settings.host.name,
                'zone': daemon.settings.host.zone,
                'services': {
                    name: m.to_body()
                    for name, m in daemon.dispatcher.metrics.items()
                },
            }
        )

    @app.post('/admin/drain')
    async def drain(request):
        endpoint = str((request.json or {}).get('endpoint', ''))
        if endpoint not in daemon.router.endpoints:
            raise exceptions.NotFoundError(f'no endpoint {endpoint!r}')
        daemon.hosts.mark_leaving(endpoint, 'operator')
        state = daemon.router.endpoints[endpoint].state
        return response.json({'endpoint': endpoint, 'state': state.value})

    @app.websocket('/peer')
    async def peer(request, websocket):
        await daemon.peers.serve(websocket)
