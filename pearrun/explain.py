"""Time line of one request, from the hosts' structured logs.

Reads the logs that entry hosts write to standard output.  The time line
consists of the request's own lines, the lines about the endpoints that it
was sent to, and other state changes of the host around that time.
"""

import dataclasses
import json

from pearrun import exceptions

# Lines up to this many seconds before a request may explain its result: this
# is the longest time for which an endpoint is avoided, or for which
# information about it is used.
BEFORE_S = 5.0
# The cause of a request's result may be logged up to this many seconds after
# it: heartbeats time out, and peer links are closed, with a delay.
AFTER_S = 3.0
# State changes of a host that affect all of its requests.
HOST_EVENTS = frozenset(
    (
        'start',
        'stopping',
        'stop',
        'store lost',
        'store regained',
        'configuration in force',
        'settings reloaded',
        'peer link down',
        'peer link up',
        'endpoints unreachable',
        'endpoints reachable',
    )
)
# Lines about a quarantine, from its first crash to its end.
QUARANTINE_EVENTS = frozenset(
    (
        'request quarantined',
        'quarantine tested',
        'quarantine ended',
        'suspect cleared',
    )
)
# Lines about one request, also of the hosts that forwarded it.
TUNNEL_EVENTS = frozenset(('tunnel', 'tunnel not opened'))
# Fields that any line may have and that are not shown.
COMMON_FIELDS = ('at', 'level', 'event', 'process', 'zone', 'dropped_lines')


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One line of a host's log.

    :param at: Unix time in seconds, by the host's clock.
    :param process: name of the host.
    :param event: the line's message.
    :param fields: all fields of the line, including those above.
    """

    at: float
    process: str
    event: str
    fields: dict

    @property
    def is_result(self):
        """Whether the line reports how a request ended."""
        return self.event in ('call', 'rejected')

    def get_endpoint_ids(self):
        """Return the ids of the endpoints that a request was sent to."""
        attempts = self.fields.get('tries') or ()
        return {attempt[0] for attempt in attempts}


def read_lines(sources):
    """Read log lines, skipping any text that is not a log line.

    :param sources: iterables of text lines.  Text before a line's first
        brace, such as a log collector's prefix, is ignored.
    :returns: a list of :class:`LogLine`, sorted by time.
    """
    lines = []
    for source in sources:
        for text in source:
            line = parse_line(text)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: line.at)


def parse_line(text):
    """Parse one line.

    :returns: a :class:`LogLine`; ``None`` if it is not a log line.
    """
    try:
        fields = json.loads(text[text.index('{') :])
        return LogLine(
            float(fields['at']), fields['process'], fields['event'], fields
        )
    except (ValueError, KeyError, TypeError):
        return None


def explain(lines, request_id):
    """Return the time line of one request, as lines of text.

    The requests that resumed its stream follow, in their order.

    :param lines: :class:`LogLine` objects, sorted by time.
    :raises UnknownRequestError: no line reports the request.
    """
    results = [
        line
        for line in lines
        if line.is_result and line.fields.get('request_id') == request_id
    ]
    results.extend(
        line
        for line in lines
        if line.is_result and line.fields.get('resumes') == request_id
    )
    if not results:
        raise exceptions.UnknownRequestError(
            f'no log line names request {request_id!r}'
        )
    text = []
    for result in results:
        text.extend(explain_result(lines, result))
    return text


def explain_result(lines, result):
    """Return the time line of one request on one host.

    :param result: the :class:`LogLine` that reports how it ended.
    """
    total_s = (result.fields.get('total_ms') or 0) / 1000
    started_s = result.at - total_s
    related = [
        line
        for line in lines
        if line is not result
        and started_s - BEFORE_S <= line.at <= result.at + AFTER_S
        and is_related(line, result)
    ]
    related.extend(list_quarantine_lines(lines, result))
    events = [(line.at, describe(line)) for line in related]
    events.extend(describe_attempts(result, started_s))
    events.append((result.at, describe(result)))
    events.sort(key=lambda event: event[0])
    resumes = result.fields.get('resumes')
    resumed = f', resumes {resumes}' if resumes else ''
    request_id = result.fields['request_id']
    text = [f'request {request_id} on {result.process}{resumed}']
    text.extend(
        f'{(at - started_s) * 1000:+9.0f} ms  {what}' for at, what in events
    )
    text.append(f'cause: {describe_cause(result)}')
    return text


def list_quarantine_lines(lines, result):
    """Return the lines about the quarantine that refused a request.

    They are those of its host, and those of all hosts about the crashes that
    the last of these names.
    """
    fingerprint = result.fields.get('quarantine')
    if fingerprint is None:
        return []
    found = [
        line
        for line in lines
        if line.event in QUARANTINE_EVENTS
        and line.process == result.process
        and line.fields.get('fingerprint') == fingerprint
        and line.at <= result.at
    ]
    started = [line for line in found if line.event == 'request quarantined']
    crashes = started[-1].fields.get('crashes', ()) if started else ()
    crashed = {crash[0] for crash in crashes}
    found.extend(
        line
        for line in lines
        if line.event == 'endpoint crashed'
        and line.fields.get('endpoint') in crashed
        and has_crashed_call(line, fingerprint)
    )
    return found


def has_crashed_call(line, fingerprint):
    """Return whether a crash line has a call with a fingerprint.

    :param fingerprint: that of a request or of a prompt part.
    """
    return any(
        fingerprint == call[0] or fingerprint in call[2]
        for call in line.fields.get('calls', ())
        if len(call) > 2
    )


def is_related(line, result):
    """Return whether a line may explain how a request ended."""
    if line.event in TUNNEL_EVENTS:
        return line.fields.get('request_id') == result.fields['request_id']
    if line.process != result.process:
        return False
    if line.event in HOST_EVENTS:
        return True
    endpoint_ids = result.get_endpoint_ids()
    if line.is_result:
        failed = line.fields.get('ending') not in ('answered', 'refused')
        return failed and bool(endpoint_ids & line.get_endpoint_ids())
    return line.fields.get('endpoint') in endpoint_ids


def describe(line):
    """Return a line's event and fields as text."""
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS and value not in ('', None)
    )
    of_others = ('tunnel', 'endpoint crashed')
    host = f'{line.process}: ' if line.event in of_others else ''
    return f'{host}{line.event} {fields}'.rstrip()


def describe_attempts(result, started_s):
    """Return the attempts of a request as ``(time, text)`` pairs.

    :param started_s: when the request arrived, in Unix seconds.
    """
    return [
        describe_attempt(started_s, *attempt)
        for attempt in result.fields.get('tries') or ()
    ]


def describe_attempt(
    started_s, endpoint, after_ms, outcome, proxy='', version='', notice=''
):
    """Return one attempt as a pair of its time and a text.

    :param proxy: the host through which it was sent, if any.
    :param version: version of the endpoint's software, if known.
    :param notice: the notice in the answer about the endpoint, if any.
    """
    through = f' through {proxy}' if proxy else ''
    software = f' ({version})' if version else ''
    text = f'sent to {endpoint}{software}{through}: {outcome or "answered"}'
    if notice:
        text += f' [endpoint: {notice}]'
    return started_s + after_ms / 1000, text


def describe_cause(result):
    """Return the cause of a request's result, as a short text."""
    fields = result.fields
    reason = fields.get('reason') or 'none given'
    if result.event == 'rejected':
        return f'status {fields.get("status")}: {reason}'
    match fields.get('ending'), fields.get('reason'):
        case 'answered', _:
            return 'none; the response was forwarded completely'
        case 'refused', 'quota':
            return (
                f'{fields.get("customer")} was over its limit: '
                f'{fields.get("units")} units asked, '
                f'{fields.get("quota_left")} left'
            )
        case 'refused', 'quarantined':
            return (
                f'endpoints crashed while running what has the fingerprint '
                f'{fields.get("quarantine")}'
            )
        case 'refused', 'overload':
            return (
                f'the first token was expected after '
                f'{fields.get("expected_ms")} ms'
            )
        case 'refused', _:
            return f'no endpoint accepted it: {reason}'
        case 'caller_left', _:
            return 'the caller closed its connection'
        case 'timed_out', _:
            return f'no answer in time: {reason}'
        case 'broken_off', _:
            return f'the stream broke in the middle: {reason}'
    return f'it may have run and has no answer: {reason}'
