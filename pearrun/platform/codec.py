"""Decoding of callers' requests and encoding of endpoint requests."""

import json
import math

from pearrun import exceptions
from pearrun.decisions.brittleness import Brittleness
from pearrun.http1.messages import drop_hop_by_hop
from pearrun.http1.messages import get_all_headers
from pearrun.platform import headers as header_names
from pearrun.relay.call import Call
from pearrun.relay.responsekinds import ResponseKind
from pearrun.shared.endpointnotice import EndpointNotice
from pearrun.shared.endpointnotice import NO_NOTICE
from pearrun.shared.endpointnotice import NoticeField
from pearrun.shared.prompts import Prompt
from pearrun.shared.prompts import PromptPart

AUTH_SCHEME_PREFIX = 'token '
# Highest number, and so the lowest priority, that endpoints accept.
LOWEST_PRIORITY = 9
# The customer's priority takes precedence over the route's: each customer
# priority is divided into this many route priorities.
ROUTE_PRIORITY_LEVELS = 3
# Used if neither the caller nor the route sets a timeout.
DEFAULT_TIMEOUT_MS = 30_000
# A longer deadline is shortened to this one, of a day.
MAX_DEADLINE_MS = 86_400_000
# More tokens than any endpoint holds.  Sums of larger numbers, and negative
# ones, would distort quotas, demand and the expected times of other calls.
MAX_TOKENS = 100_000_000
# Value of the header by which an endpoint announces that it leaves.
LEAVING_VALUE = '1'
# Headers of an endpoint's response that are not forwarded.
DROPPED_RESPONSE_HEADERS = frozenset((b'content-length',))


def decode_call(request, config):
    """Decode a request into a call.

    :param request: the :class:`Request`.
    :param config: the :class:`Configuration` in force.
    :returns: a :class:`Call`.
    :raises UnknownRouteError: no route matches.
    :raises UnknownKeyError: the API key is missing or matches no customer.
    :raises BadRequestError: a header is missing or malformed.
    """
    authority = (request.get(b'host') or '').rpartition(':')
    name = (
        authority[0]
        if authority[1] and authority[2].isdigit()
        else authority[2]
    )
    path = request.path.decode('latin-1')
    route = config.find_route(name, path)
    if route is None:
        raise exceptions.UnknownRouteError(f'no route for {name}{path}')
    customer = authenticate(request, route, config)
    attempt_id = request.get(header_names.ATTEMPT_ID)
    if not attempt_id:
        raise exceptions.BadRequestError('the request id header is missing')
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
        priority=compute_priority(route, customer),
        units=count_units(customer, prompt),
        prompt=prompt,
        last_event_id=request.get(header_names.LAST_EVENT_ID),
        resumes=request.get(header_names.RESUMES),
    )


def authenticate(request, route, config):
    """Return the customer that a request's API key belongs to.

    :returns: a :class:`Customer`; ``None`` if no key matches and the route is
        public, or if no customers are configured.
    :raises UnknownKeyError: the key is missing or matches no customer, and
        the route is not public.
    """
    if not config.has_customers:
        return None
    value = request.get(header_names.AUTHORIZATION) or ''
    customer = None
    if value.lower().startswith(AUTH_SCHEME_PREFIX):
        customer = config.find_customer(
            value[len(AUTH_SCHEME_PREFIX) :].strip()
        )
    if customer is None and not route.public:
        raise exceptions.UnknownKeyError('the API key matches no customer')
    return customer


def compute_priority(route, customer):
    """Return a call's priority; 0 is the most urgent."""
    if customer is None or customer.priority is None:
        return min(LOWEST_PRIORITY, route.priority)
    route_priority = min(ROUTE_PRIORITY_LEVELS - 1, route.priority)
    return min(
        LOWEST_PRIORITY,
        customer.priority * ROUTE_PRIORITY_LEVELS + route_priority,
    )


def count_units(customer, prompt):
    """Return how many quota units a call consumes."""
    if customer is None or not customer.counts_tokens:
        return 1.0
    tokens = prompt.tokens + prompt.output_tokens
    return float(tokens or customer.plain_tokens)


def decode_deadline(request):
    """Return how many milliseconds the caller waits for a response.

    :returns: milliseconds; ``None`` if the request does not state it.
    :raises BadRequestError: the header is malformed.
    """
    value = request.get(header_names.DEADLINE_MS)
    if value is None:
        return None
    try:
        return min(MAX_DEADLINE_MS, max(1, int(float(value))))
    except (OverflowError, ValueError) as exc:
        raise exceptions.BadRequestError(
            f'invalid deadline {value!r}'
        ) from exc


def decode_prompt(request):
    """Decode the headers that describe a request's prompt.

    :returns: a :class:`Prompt`.
    :raises BadRequestError: a header is malformed.
    """
    count = request.get(header_names.TOKEN_COUNT)
    if count is None:
        return Prompt()
    try:
        tokens, _, output_tokens = count.partition(',')
        hint = request.get(header_names.LENGTH_HINT)
        return Prompt(
            tokens=decode_tokens(tokens),
            output_tokens=decode_tokens(output_tokens or '0'),
            expected_tokens=decode_tokens(hint) if hint else None,
            parts=decode_parts(request.get(header_names.PROMPT_PARTS)),
        )
    except (OverflowError, ValueError) as exc:
        raise exceptions.BadRequestError(
            f'invalid token count: {exc}'
        ) from exc


def decode_tokens(value):
    """Decode a number of tokens.

    :raises OverflowError: it is infinite.
    :raises ValueError: it is no number from 0 to :data:`MAX_TOKENS`.
    """
    tokens = int(float(value))
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f'not from 0 to {MAX_TOKENS}')
    return tokens


def decode_parts(value):
    """Decode the parts of a prompt.

    :param value: a comma-separated list of ``ID:TOKENS``, or ``None``.
    :returns: a tuple of :class:`PromptPart`.
    :raises ValueError: the list is malformed.
    """
    parts = []
    for entry in (value or '').split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if part_id:
            parts.append(PromptPart(part_id, decode_tokens(tokens)))
    return tuple(parts)


def decode_rate(value):
    """Decode a rate.

    :returns: a number per second.
    :raises WireFormatError: the value is not a finite number from 0 on.
    """
    return decode_number(value, 'rate')


def decode_number(value, what):
    """Decode a number.

    :param what: what it stands for, for error messages.
    :raises WireFormatError: the value is not a finite number from 0 on.
    """
    try:
        number = float(value)
    except ValueError as exc:
        raise exceptions.WireFormatError(f'invalid {what} {value!r}') from exc
    if not math.isfinite(number) or number < 0:
        raise exceptions.WireFormatError(f'invalid {what} {value!r}')
    return number


def decode_seconds(value):
    """Decode a length of time.

    :returns: seconds, which may be fractions.
    :raises WireFormatError: the value is not a finite number from 0 on.
    """
    return decode_number(value, 'time')


class EndpointCodec:
    """Encodes and decodes the messages of endpoints and callers."""

    def encode_headers(self, call, record, now_ms, last_event_id):
        """Return the headers of the request that sends a call to an endpoint.

        :param record: the endpoint's :class:`EndpointRecord`.
        :param last_event_id: id of the last event received, after which the
            stream resumes; ``None`` for a new stream.
        """
        request = call.request
        headers = drop_hop_by_hop(request.headers, header_names.RESERVED)
        left_ms = max(1, call.timeout_at_ms - now_ms)
        added = [
            (b'Pearrun-Deadline-Ms', str(left_ms)),
            (b'Pearrun-Expect-Runner', record.name),
        ]
        if call.prompt.tokens:
            # A stream that has begun goes before new ones.
            begun = last_event_id is not None
            urgency = max(0, call.priority - begun)
            added.append((b'Pearrun-Urgency', str(urgency)))
        if call.customer is not None:
            added.append((b'Pearrun-Tenant', call.customer.name))
        if last_event_id is not None:
            added.append((b'Last-Event-Id', last_event_id))
        if request.has_body:
            added.append((b'Content-Length', str(len(request.body))))
        headers.extend(
            (name, value.encode('latin-1')) for name, value in added
        )
        return headers

    def classify_response(self, head, call):
        """Classify a response to a call by its status and headers.

        :returns: a :class:`ResponseKind`.
        """
        echoed = head.get(header_names.ATTEMPT_ID)
        if echoed is not None and echoed != call.id:
            return ResponseKind.STRAY
        if head.status == 421:
            return ResponseKind.WRONG_ENDPOINT
        if head.get(header_names.NOT_RUN) is not None:
            return ResponseKind.NOT_RUN
        if head.get(header_names.SEAL) is None:
            return ResponseKind.UNSEALED
        return ResponseKind.ANSWER

    def decode_notice(self, head):
        """Return the notices in a response about the endpoint that sent it.

        :param head: the :class:`ResponseHead`.
        :returns: an :class:`EndpointNotice`.
        """
        names = {name.lower() for name, _ in head.headers}
        if names.isdisjoint(header_names.NOTICES):
            return NO_NOTICE
        decoders = {
            NoticeField.LEAVING: self.decode_leaving,
            NoticeField.REST: self.decode_rest,
            NoticeField.RATE_LIMIT: self.decode_rate_limit,
            NoticeField.BRITTLENESS: self.decode_brittleness,
        }
        values = {}
        errors = {}
        for field, decode in decoders.items():
            try:
                values[field] = decode(head)
            except exceptions.WireFormatError as exc:
                errors[field] = exc
        return EndpointNotice(
            is_leaving=values.get(NoticeField.LEAVING, False),
            rest_ms=values.get(NoticeField.REST),
            rate_limit=values.get(NoticeField.RATE_LIMIT),
            brittleness=values.get(NoticeField.BRITTLENESS),
            errors=errors,
        )

    def decode_leaving(self, head):
        """Return whether a response announces that its endpoint leaves.

        :raises WireFormatError: the header has an unknown value.
        """
        values = get_all_headers(head.headers, header_names.LEAVING)
        if not values:
            return False
        if LEAVING_VALUE not in (value.strip() for value in values):
            raise exceptions.WireFormatError(
                f'invalid notice of leaving {values!r}'
            )
        return True

    def decode_rest(self, head):
        """Return for how long an endpoint wants no calls from this host.

        :returns: milliseconds, the longest if several are given; ``None`` if
            the response is no refusal or gives no time.
        :raises WireFormatError: no value is a number of seconds.
        """
        if head.status != 503:
            return None
        values = get_all_headers(
            head.headers, header_names.RECEIVED_RETRY_AFTER
        )
        rests_s = []
        error = None
        for value in values:
            try:
                rests_s.append(decode_seconds(value))
            except exceptions.WireFormatError as exc:
                error = exc
        if rests_s:
            return math.ceil(max(rests_s) * 1000)
        if error is not None:
            raise error
        return None

    def decode_rate_limit(self, head):
        """Return the rate limit that an endpoint advertises in a response.

        :returns: calls per second from all hosts together, the lowest if
            several are advertised; ``None`` if none is.
        :raises WireFormatError: a value is not a rate.
        """
        values = get_all_headers(head.headers, header_names.RATE_LIMIT)
        return min(map(decode_rate, values), default=None)

    def decode_brittleness(self, head):
        """Return what a response says about its endpoint's brittleness.

        :returns: a :class:`Brittleness`, the least if several are named;
            ``None`` if the endpoint is not brittle.
        :raises WireFormatError: a value is not a rate.
        """
        values = get_all_headers(head.headers, header_names.BRITTLE)
        if not values:
            return None
        return Brittleness(min(map(decode_rate, values)))

    def forward_headers(self, head):
        """Return the headers of a response that are sent to the caller."""
        return drop_hop_by_hop(head.headers, DROPPED_RESPONSE_HEADERS)

    def encode_error(self, error):
        """Encode an error raised by this host as a response to the caller.

        :returns: ``(body, headers)``.
        """
        headers = [(b'Content-Type', b'application/json')]
        if error.retry_after_s is not None:
            value = f'{error.retry_after_s:.3f}'.encode()
            headers.append((header_names.RETRY_AFTER, value))
        return json.dumps(error.to_body()).encode(), headers
