"""HTTP routes for callers and operators.

Callers:

- ``POST /v1/completions`` and ``POST /v1/chat/completions``
  (OpenAI-style; with ``"stream": true`` the answer is sent as
  server-sent events).  A retry with the same ``Idempotency-Key``
  returns the first answer.  With ``Prefer: respond-async`` the
  response is ``202``, sent once the request is journaled; the answer
  can be fetched later by id.
- ``GET /v1/requests/{id}``: status and answer so far, on any entry
  host.  ``?stream=true&from=N`` resumes the stream at token ``N``;
  ``?wait=true`` delays the response until the request has ended.
- ``POST /v1/requests/{id}/cancel``.

Completions and resumed streams carry the request's id in
``X-Request-Id``.  ``X-Pearrun-Durable`` says whether the request is on
the platform's log and therefore survives the loss of this host.

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

REQUEST_ID_HEADER = 'X-Request-Id'
DURABLE_HEADER = 'X-Pearrun-Durable'


def parse_body(request, model):
    """Parse a JSON body and validate it with a pydantic model.

    :raises BadRequestError: not JSON, or invalid for ``model`` (1200).
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
            f'invalid request body: {detail}'
        ) from exc


def build_completion(job, tokens, finish_reason, chat):
    """Return a complete answer in the OpenAI format."""
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


def build_chunk(job_id, service, index, token, chat):
    """Return one streamed token in the OpenAI chunk format."""
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

    :param tokens: an async iterator of ``(index, token)`` pairs that
        ends with ``(None, final)``, ``final`` being the final event.
    :param chat: whether to send chunks of a chat completion.
    :param durable: whether the request is on the platform's log.
    """
    stream = await request.respond(
        content_type='text/event-stream',
        headers={
            'Cache-Control': 'no-cache',
            REQUEST_ID_HEADER: job_id,
            DURABLE_HEADER: str(durable).lower(),
        },
    )
    async with contextlib.aclosing(tokens):
        async for index, token in tokens:
            if index is None:
                body = token
            else:
                body = build_chunk(job_id, service, index, token, chat)
            await stream.send(b'data: %b\n\n' % orjson.dumps(body))
    await stream.send('data: [DONE]\n\n')
    await stream.eof()


def prefers_async(request):
    """Return whether the caller asks for ``202`` before the answer."""
    return 'respond-async' in request.headers.get('Prefer', '')


async def respond(daemon, request, job, stream, chat):
    """Respond with the answer as a stream, in one body, or with 202."""
    if stream:
        tokens = daemon.lookup.follow(job.id)
        return await send_events(
            request, job.id, job.service, tokens, chat, job.durable
        )
    headers = {
        REQUEST_ID_HEADER: job.id,
        DURABLE_HEADER: str(job.durable).lower(),
    }
    if prefers_async(request):
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
        return web.build_error_response(failure, headers)
    body = build_completion(job, tokens, final['finish_reason'], chat)
    return response.json(body, headers=headers)


def parse_start(request):
    """Return the ``from`` argument of a resumed stream.

    :raises BadRequestError: it is not a non-negative integer.
    """
    raw = request.args.get('from', '0')
    if not raw.isdecimal():
        raise exceptions.BadRequestError(f'from: not a token index: {raw!r}')
    return int(raw)


def build_stored_status(finished):
    """Return a stored answer in the format of a job's status."""
    return {
        'id': finished.id,
        'state': finished.state,
        'tokens': len(finished.tokens),
        'text': ' '.join(finished.tokens),
        'finish_reason': finished.finish_reason,
        'error': finished.error,
    }


async def check_request_exists(daemon, request_id):
    """Check that a request id exists.

    A request that is being taken over counts as existing.

    :raises UnknownRequestError: no request has this id.
    """
    with contextlib.suppress(exceptions.RequestMovingError):
        await daemon.lookup.locate(request_id)


async def respond_status(daemon, request, request_id):
    """Respond with a request's status, whichever host holds it."""
    local = request.args.get('local') == 'true'
    if local and daemon.dispatcher.find(request_id) is None:
        raise exceptions.UnknownRequestError(
            f'request {request_id!r} is not held by this host'
        )
    skip = set()
    if request.args.get('stream') == 'true':
        start = parse_start(request)
        await check_request_exists(daemon, request_id)
        tokens = daemon.lookup.follow(request_id, start)
        return await send_events(request, request_id, None, tokens)
    if request.args.get('wait') == 'true':
        await check_request_exists(daemon, request_id)
        async for _ in daemon.lookup.follow(request_id):
            pass
    while True:
        match await daemon.lookup.locate(request_id, skip):
            case lookup.Local(job=job):
                return response.json(job.to_body())
            case lookup.Stored(finished=finished):
                return response.json(build_stored_status(finished))
            case lookup.Remote(member=member):
                reply = await daemon.lookup.fetch(member, request_id)
                if reply is not None and reply[0] == 200:
                    return response.json(reply[1])
                skip.add(member.stream)


async def cancel_request(daemon, request, request_id):
    """Cancel a request, whichever host holds it."""
    job = daemon.dispatcher.find(request_id)
    if job is not None:
        return response.json((await daemon.dispatcher.cancel(job)).to_body())
    if request.args.get('local') == 'true':
        raise exceptions.UnknownRequestError(
            f'request {request_id!r} is not held by this host'
        )
    match await daemon.lookup.locate(request_id):
        case lookup.Stored(finished=finished):
            return response.json(build_stored_status(finished))
        case lookup.Remote(member=member):
            reply = await daemon.lookup.fetch(
                member, request_id, 'POST', '/cancel'
            )
            if reply is not None:
                return response.json(reply[1], status=reply[0])
    raise exceptions.RequestMovingError(
        'the host of this request does not answer; try again',
        retry_after_s=1,
    )


def install_routes(app, daemon):
    """Add the routes to a sanic app.

    :param app: the :class:`sanic.Sanic` app.
    :param daemon: the :class:`Daemon` that handles the requests.
    """

    @app.post('/v1/completions')
    async def completions(request):
        body = parse_body(request, models.CompletionBody)
        key = request.headers.get('Idempotency-Key')
        job = await daemon.dispatcher.submit(body, key, prefers_async(request))
        return await respond(daemon, request, job, body.stream, chat=False)

    @app.post('/v1/chat/completions')
    async def chat_completions(request):
        chat = parse_body(request, models.ChatBody)
        body = chat.to_completion()
        key = request.headers.get('Idempotency-Key')
        job = await daemon.dispatcher.submit(body, key, prefers_async(request))
        return await respond(daemon, request, job, body.stream, chat=True)

    @app.get('/v1/requests/<request_id>')
    async def get_request(request, request_id):
        return await respond_status(daemon, request, request_id)

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
        return response.json(daemon.describe_status())

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
