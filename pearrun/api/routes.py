"""Intake: the HTTP routes callers and operators use.

Callers:

- ``POST /v1/completions`` and ``POST /v1/chat/completions``
  (OpenAI-style; ``"stream": true`` answers as server-sent events).
  ``Idempotency-Key`` makes a retry return the first answer.
  ``Prefer: respond-async`` answers ``202`` once the request is
  journaled; fetch the answer later by id.
- ``GET /v1/requests/{id}``: status and answer so far, on any entry
  host; ``?stream=true&from=N`` resumes the stream at token ``N``, and
  ``?wait=true`` answers when the request has ended.
- ``POST /v1/requests/{id}/cancel``.

Every answer carries the request's id in ``X-Request-Id``, and in
``X-Pearrun-Durable`` whether it is on the platform's log, so that it
survives the loss of this host.

Operators: ``GET /healthz``, ``GET /v1/status``, ``GET /v1/metrics``,
``POST /admin/drain`` ``{endpoint}``; peers: websocket ``/peer``.
"""

import contextlib

import orjson
import pydantic
from sanic import response

from pearrun import exceptions
from pearrun.api import lookup
from pearrun.api import models
from pearrun.api import web

REQUEST_ID = 'X-Request-Id'
DURABLE = 'X-Pearrun-Durable'


def parse_body(request, model):
    """Check a JSON body against a pydantic model.

    :raises BadRequestError: not JSON or not the right shape (1200).
    """
    try:
        data = orjson.loads(request.body or b'')
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


def completion_body(job, tokens, finish_reason, chat):
    """Return a whole answer in the OpenAI shape."""
    text = ' '.join(tokens)
    choice = {'index': 0, 'finish_reason': finish_reason}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': job.id,
        'object': 'chat.completion' if chat else 'text_completion',
        'model': job.service,
        'choices': [choice],
        'usage': {'completion_tokens': len(tokens)},
    }


def chunk_body(job_id, service, index, token, chat):
    """Return one streamed token in the OpenAI chunk shape."""
    piece = token if index == 0 else ' ' + token
    if chat:
        choice = {'index': 0, 'delta': {'content': piece}}
    else:
        choice = {'index': 0, 'text': piece}
    return {
        'id': job_id,
        'object': 'chat.completion.chunk' if chat else 'text_completion',
        'model': service,
        'choices': [choice],
        'index': index,
        'token': token,
    }


async def send_events(
    request, job_id, service, tokens, chat=False, durable=True
):
    """Stream tokens to a caller as server-sent events.

    :param tokens: an async iterator of ``(index, token)``, then
        ``(None, final)``.
    """
    stream = await request.respond(
        content_type='text/event-stream',
        headers={
            'Cache-Control': 'no-cache',
            REQUEST_ID: job_id,
            DURABLE: str(durable).lower(),
        },
    )
    async with contextlib.aclosing(tokens):
        async for index, token in tokens:
            if index is None:
                body = token
            else:
                body = chunk_body(job_id, service, index, token, chat)
            await stream.send(b'data: %b\n\n' % orjson.dumps(body))
    await stream.send('data: [DONE]\n\n')
    await stream.eof()


def wants_promise(request):
    """Say whether a caller wants ``202 accepted`` before the answer."""
    return 'respond-async' in request.headers.get('Prefer', '')


async def answer(daemon, request, job, stream, chat):
    """Answer a caller: streamed, whole, or 202 for async."""
    if stream:
        tokens = daemon.lookup.follow(job.id)
        return await send_events(
            request, job.id, job.service, tokens, chat, job.durable
        )
    headers = {REQUEST_ID: job.id, DURABLE: str(job.durable).lower()}
    if wants_promise(request):
        return response.json(job.to_body(), status=202, headers=headers)
    tokens = []
    final = None
    async for index, token in daemon.lookup.follow(job.id):
        if index is None:
            final = token
        else:
            tokens.append(token)
    if final['error'] is not None:
        failure = exceptions.from_body(final['error'])
        return web.error_response(failure, headers)
    body = completion_body(job, tokens, final['finish_reason'], chat)
    return response.json(body, headers=headers)


def parse_start(request):
    """Return the ``from`` argument of a resumed stream.

    :raises BadRequestError: it is not a whole number from 0 up.
    """
    raw = request.args.get('from', '0')
    if not raw.isdecimal():
        raise exceptions.BadRequestError(f'from: not a token index: {raw!r}')
    return int(raw)


def stored_body(finished):
    """Return a stored answer in the shape of a job's status."""
    return {
        'id': finished.id,
        'state': finished.state,
        'tokens': len(finished.tokens),
        'text': ' '.join(finished.tokens),
        'finish_reason': finished.finish_reason,
        'error': finished.error,
    }


async def check_known(daemon, request_id):
    """Refuse an unknown id; one whose host is changing is waited for.

    :raises UnknownRequestError: no request has this id.
    """
    with contextlib.suppress(exceptions.RequestMovingError):
        await daemon.lookup.locate(request_id)


async def request_status(daemon, request, request_id):
    """Answer a caller about a request, wherever it is held."""
    local = request.args.get('local') == 'true'
    if local and daemon.dispatcher.find(request_id) is None:
        raise exceptions.UnknownRequestError(f'{request_id!r} is not here')
    skip = set()
    if request.args.get('stream') == 'true':
        start = parse_start(request)
        await check_known(daemon, request_id)
        tokens = daemon.lookup.follow(request_id, start)
        return await send_events(request, request_id, None, tokens)
    if request.args.get('wait') == 'true':
        await check_known(daemon, request_id)
        async for _ in daemon.lookup.follow(request_id):
            pass
    while True:
        match await daemon.lookup.locate(request_id, skip):
            case lookup.Local(job=job):
                return response.json(job.to_body())
            case lookup.Stored(finished=finished):
                return response.json(stored_body(finished))
            case lookup.Remote(member=member):
                found = await daemon.lookup.fetch(member, request_id)
                if found is not None and found[0] == 200:
                    return response.json(found[1])
                skip.add(member.stream)


async def cancel_request(daemon, request, request_id):
    """Cancel a request, wherever it is held."""
    job = daemon.dispatcher.find(request_id)
    if job is not None:
        return response.json((await daemon.dispatcher.cancel(job)).to_body())
    if request.args.get('local') == 'true':
        raise exceptions.UnknownRequestError(f'{request_id!r} is not here')
    match await daemon.lookup.locate(request_id):
        case lookup.Stored(finished=finished):
            return response.json(stored_body(finished))
        case lookup.Remote(member=member):
            found = await daemon.lookup.fetch(
                member, request_id, 'POST', '/cancel'
            )
            if found is not None:
                return response.json(found[1], status=found[0])
    raise exceptions.RequestMovingError(
        'the host of this request does not answer; ask again',
        retry_after_s=1,
    )


def install_routes(app, daemon):
    """Add the intake routes to a sanic app.

    :param app: the :class:`sanic.Sanic` app.
    :param daemon: the :class:`Daemon` that owns the parts.
    """

    @app.post('/v1/completions')
    async def completions(request):
        body = parse_body(request, models.CompletionBody)
        key = request.headers.get('Idempotency-Key')
        job = await daemon.dispatcher.submit(body, key, wants_promise(request))
        return await answer(daemon, request, job, body.stream, chat=False)

    @app.post('/v1/chat/completions')
    async def chat_completions(request):
        chat = parse_body(request, models.ChatBody)
        body = chat.to_completion()
        key = request.headers.get('Idempotency-Key')
        job = await daemon.dispatcher.submit(body, key, wants_promise(request))
        return await answer(daemon, request, job, body.stream, chat=True)

    @app.get('/v1/requests/<request_id>')
    async def status_of(request, request_id):
        return await request_status(daemon, request, request_id)

    @app.post('/v1/requests/<request_id>/cancel')
    async def cancel(request, request_id):
        return await cancel_request(daemon, request, request_id)

    @app.get('/healthz')
    async def health(request):
        accepting = daemon.dispatcher.accepting
        return response.json(
            {'ok': accepting, 'accepting': accepting},
            status=200 if accepting else 503,
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
                    name: m.to_body() for name, m in daemon.metrics.items()
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
