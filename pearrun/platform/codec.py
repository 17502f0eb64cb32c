"""Decoding of callers' requests, encoding of requests to endpoints."""

import json

from pearrun import exceptions
from pearrun.http1.messages import drop_hop_by_hop
from pearrun.platform import headers as names
from pearrun.relay.call import Call
from pearrun.relay.responsekinds import ResponseKind
from pearrun.shared.prompts import Prompt
from pearrun.shared.prompts import PromptPart

KEY_SCHEME = 'token '
# Least urgent value an endpoint knows.
LEAST_URGENT = 9
# A customer's rank goes before its route's: routes of one customer rank
# use this many values.
ROUTE_RANKS = 3
# Answer time assumed where neither caller nor route names one.
DEFAULT_TIMEOUT_MS = 30_000
# Headers of an endpoint's answer that are not passed on as they are.
ANSWER_DROPPED = frozenset((b'content-length',))


def decode_call(request, config):
    """Turn a request into a call.

    :param request: the :class:`Request`.
    :param config: the :class:`Configuration` in force.
    :returns: a :class:`Call`.
    :raises UnknownRouteError: no route takes it.
    :raises UnknownKeyError: its key is no customer's.
    :raises BadRequestError: a header is missing or malformed.
    """
    host = (request.get(b'host') or '').rpartition(':')
    name = host[0] if host[1] and host[2].isdigit() else host[2]
    path = request.path.decode('latin-1')
    route = config.find_route(name, path)
    if route is None:
        raise exceptions.UnknownRouteError(f'no route for {name}{path}')
    customer = find_customer(request, route, config)
    attempt_id = request.get(names.ATTEMPT_ID)
    if not attempt_id:
        raise exceptions.BadRequestError('the request has no id')
    allowed_ms = decode_deadline(request)
    timeout_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
    prompt = decode_prompt(request)
    return Call(
        id=attempt_id,
        request=request,
        route=route,
        customer=customer,
        deadline_ms=request.received_ms + (allowed_ms or timeout_ms),
        timeout_at_ms=request.received_ms
        + min(timeout_ms, allowed_ms or timeout_ms),
        priority=rank(route, customer),
        units=count_units(customer, prompt),
        prompt=prompt,
        last_event_id=request.get(names.LAST_EVENT_ID),
    )


def find_customer(request, route, config):
    """Return the customer whose key a request bears.

    :returns: a :class:`Customer`; ``None`` where none is needed.
    :raises UnknownKeyError: the key is missing or no customer's.
    """
    if not config.has_customers:
        return None
    value = request.get(names.AUTHORIZATION) or ''
    customer = None
    if value.lower().startswith(KEY_SCHEME):
        customer = config.find_customer(value[len(KEY_SCHEME) :].strip())
    if customer is None and not route.public:
        raise exceptions.UnknownKeyError('no customer has this key')
    return customer


def rank(route, customer):
    """Return how urgent a call is; 0 is first."""
    if customer is None or customer.priority is None:
        return min(LEAST_URGENT, route.priority)
    within = min(ROUTE_RANKS - 1, route.priority)
    return min(LEAST_URGENT, customer.priority * ROUTE_RANKS + within)


def count_units(customer, prompt):
    """Return what a call counts against its customer's quota."""
    if customer is None or not customer.counts_tokens:
        return 1.0
    tokens = prompt.tokens + prompt.output_tokens
    return float(tokens or customer.plain_tokens)


def decode_deadline(request):
    """Return the milliseconds a caller will wait, or ``None``."""
    value = request.get(names.DEADLINE_MS)
    if value is None:
        return None
    try:
        return max(1, int(float(value)))
    except ValueError as exc:
        raise exceptions.BadRequestError(f'bad deadline {value!r}') from exc


def decode_prompt(request):
    """Decode what a request says of its prompt."""
    count = request.get(names.TOKEN_COUNT)
    if count is None:
        return Prompt()
    try:
        tokens, _, output_tokens = count.partition(',')
        hint = request.get(names.LENGTH_HINT)
        return Prompt(
            tokens=int(tokens),
            output_tokens=int(output_tokens or 0),
            expected_tokens=int(float(hint)) if hint else None,
            parts=decode_parts(request.get(names.PROMPT_PARTS)),
        )
    except ValueError as exc:
        raise exceptions.BadRequestError(f'bad token count: {exc}') from exc


def decode_parts(value):
    """Decode a prompt's parts: ID:TOKENS, separated by commas."""
    parts = []
    for entry in (value or '').split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if part_id:
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


class EndpointCodec:
    """Headers between this host and endpoints or callers."""

    def encode_headers(self, call, record, now_ms, last_event_id):
        """Return the headers of a call's request to an endpoint.

        :param record: the endpoint's :class:`EndpointRecord`.
        :param last_event_id: the event to go on after, or ``None``.
        """
        request = call.request
        headers = drop_hop_by_hop(request.headers, names.OWN)
        left_ms = max(1, call.timeout_at_ms - now_ms)
        own = [
            (b'Pearrun-Deadline-Ms', str(left_ms)),
            (b'Pearrun-Expect-Runner', record.name),
        ]
        if call.prompt.tokens:
            own.append((b'Pearrun-Urgency', str(call.priority)))
        if call.customer is not None:
            own.append((b'Pearrun-Tenant', call.customer.name))
        if last_event_id is not None:
            own.append((b'Last-Event-Id', last_event_id))
        if request.has_body:
            own.append((b'Content-Length', str(len(request.body))))
        headers.extend((name, value.encode('latin-1')) for name, value in own)
        return headers

    def judge(self, head, call):
        """Say what a response head means for a call.

        :returns: a :class:`ResponseKind`.
        """
        echoed = head.get(names.ATTEMPT_ID)
        if echoed is not None and echoed != call.id:
            return ResponseKind.STRAY
        if head.status == 421:
            return ResponseKind.WRONG_ENDPOINT
        if head.get(names.NOT_RUN) is not None:
            return ResponseKind.NOT_RUN
        if head.get(names.SEAL) is None:
            return ResponseKind.UNSEALED
        return ResponseKind.ANSWER

    def forward_headers(self, head):
        """Return the headers of an answer to pass on."""
        return drop_hop_by_hop(head.headers, ANSWER_DROPPED)

    def encode_error(self, error):
        """Encode an error of ours for a caller.

        :returns: ``(body, headers)``.
        """
        headers = [(b'Content-Type', b'application/json')]
        if error.retry_after_s is not None:
            value = f'{error.retry_after_s:.3f}'.encode()
            headers.append((names.RETRY_AFTER, value))
        return json.dumps(error.to_body()).encode(), headers
