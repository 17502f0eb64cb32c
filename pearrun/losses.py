"""Report on the results of calls, from the hosts' structured logs.

Shows which calls were late, refused or failed, when and why.  Calls are
counted by time span and by route, in one column for each result.
"""

import collections
import dataclasses
import enum

from pearrun.metrics import new_histogram
from pearrun.metrics import record

# Percentile of the time to the first byte in the tables.
SHOWN_PERCENTILE = 95.0
COLUMN_WIDTH = 10


class CallResult(enum.Enum):
    """Result of a call, in the order of the tables' columns."""

    IN_TIME = 'in time'
    LATE = 'late'
    OVER_QUOTA = 'quota'
    OVERLOAD = 'overload'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKEN_OFF = 'broken'
    TIMED_OUT = 'timed out'
    CALLER_LEFT = 'left'


RESULTS_BY_ENDING = {
    'failed': CallResult.FAILED,
    'error': CallResult.FAILED,
    'broken_off': CallResult.BROKEN_OFF,
    'timed_out': CallResult.TIMED_OUT,
    'caller_left': CallResult.CALLER_LEFT,
}
RESULTS_BY_REASON = {
    'quota': CallResult.OVER_QUOTA,
    'overload': CallResult.OVERLOAD,
}


@dataclasses.dataclass
class Row:
    """Calls of one time span or of one route.

    :param counts: number of calls by :class:`CallResult`.
    :param first_byte: histogram of the time to the first byte, in ms.
    """

    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    first_byte: object = dataclasses.field(default_factory=new_histogram)

    def add(self, line):
        """Count a call's :class:`LogLine`."""
        self.counts[classify_call(line.fields)] += 1
        first_ms = line.fields.get('first_ms')
        if first_ms is not None:
            record(self.first_byte, first_ms)


def classify_call(fields):
    """Return the :class:`CallResult` of a call.

    :param fields: the fields of the call's log line.
    """
    ending = fields.get('ending')
    if ending == 'refused':
        return RESULTS_BY_REASON.get(fields.get('reason'), CallResult.REFUSED)
    if ending != 'answered':
        return RESULTS_BY_ENDING.get(ending, CallResult.FAILED)
    if fields.get('status', 0) >= 500:
        return CallResult.FAILED
    target_ms = fields.get('target_ms') or 0
    first_ms = fields.get('first_ms') or 0
    late = target_ms and first_ms > target_ms
    return CallResult.LATE if late else CallResult.IN_TIME


def count_by_span(lines, span_s):
    """Count calls by time span.

    A call belongs to the span in which it arrived.

    :param lines: :class:`LogLine` objects.
    :param span_s: length of a span in seconds.
    :returns: :class:`Row` objects by the start of their span, in seconds
        since the first call.
    """
    calls = [line for line in lines if line.event == 'call']
    if not calls:
        return {}
    start = min(get_arrival_s(line) for line in calls)
    rows = collections.defaultdict(Row)
    for line in calls:
        span_start_s = int((get_arrival_s(line) - start) // span_s * span_s)
        rows[span_start_s].add(line)
    return dict(sorted(rows.items()))


def count_by_route(lines):
    """Count calls by route.

    :returns: :class:`Row` objects by route name.
    """
    rows = collections.defaultdict(Row)
    for line in lines:
        if line.event == 'call':
            rows[line.fields.get('route', '')].add(line)
    return dict(sorted(rows.items()))


def get_arrival_s(line):
    """Return when a call arrived, in Unix seconds by its host's clock."""
    return line.at - (line.fields.get('total_ms') or 0) / 1000.0


def render(title, rows):
    """Return a table as lines of text; empty columns are omitted.

    :param title: heading of the first column, which has the rows' names.
    :param rows: :class:`Row` objects by name.
    """
    shown = [
        result
        for result in CallResult
        if any(row.counts[result] for row in rows.values())
    ]
    width = max([len(title), *(len(str(name)) for name in rows)])
    headings = ['calls', *(result.value for result in shown), 'p95 ms']
    lines = [
        title.ljust(width)
        + ''.join(format_cell(heading) for heading in headings)
    ]
    for name, row in rows.items():
        cells = [
            sum(row.counts.values()),
            *(row.counts[result] for result in shown),
            row.first_byte.get_value_at_percentile(SHOWN_PERCENTILE),
        ]
        lines.append(str(name).ljust(width) + ''.join(map(format_cell, cells)))
    return lines


def format_cell(cell):
    """Return a cell's text, right-aligned."""
    return str(cell).rjust(COLUMN_WIDTH)


def render_losses(lines, span_s):
    """Return the tables by time span and by route, as lines of text.

    :param lines: :class:`LogLine` objects of all hosts.
    :param span_s: seconds per row of the first table.
    """
    return [
        *render('from s', count_by_span(lines, span_s)),
        '',
        *render('route', count_by_route(lines)),
    ]
