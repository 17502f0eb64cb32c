"""Where calls were lost, from the hosts' structured logs.

Answers the questions after a bad day: which calls, at which moments, for
which reason.  Calls are counted by span of time and by route, each under
what became of it.
"""

import collections
import dataclasses
import enum

from pearrun.metrics import new_histogram
from pearrun.metrics import record

# Percentile of the time to the first byte that the tables show.
SHOWN_PERCENTILE = 95.0
COLUMN_WIDTH = 10


class Fate(enum.Enum):
    """What became of a call, in the order of the tables' columns."""

    IN_TIME = 'in time'
    LATE = 'late'
    OVER_QUOTA = 'quota'
    OVERLOAD = 'overload'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKEN_OFF = 'broken'
    TIMED_OUT = 'timed out'
    CALLER_LEFT = 'left'


FATES_BY_ENDING = {
    'failed': Fate.FAILED,
    'error': Fate.FAILED,
    'broken_off': Fate.BROKEN_OFF,
    'timed_out': Fate.TIMED_OUT,
    'caller_left': Fate.CALLER_LEFT,
}
FATES_BY_REASON = {'quota': Fate.OVER_QUOTA, 'overload': Fate.OVERLOAD}


@dataclasses.dataclass
class Row:
    """Calls of one span of time, or of one route."""

    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    first_ms: object = dataclasses.field(default_factory=new_histogram)

    def add(self, line):
        """Count a call's :class:`LogLine`."""
        self.counts[find_fate(line.fields)] += 1
        first_ms = line.fields.get('first_ms')
        if first_ms is not None:
            record(self.first_ms, first_ms)


def find_fate(fields):
    """Return the :class:`Fate` that a call's log line tells of."""
    ending = fields.get('ending')
    if ending == 'refused':
        return FATES_BY_REASON.get(fields.get('reason'), Fate.REFUSED)
    if ending != 'answered':
        return FATES_BY_ENDING.get(ending, Fate.FAILED)
    if fields.get('status', 0) >= 500:
        return Fate.FAILED
    target_ms = fields.get('target_ms') or 0
    first_ms = fields.get('first_ms') or 0
    late = target_ms and first_ms > target_ms
    return Fate.LATE if late else Fate.IN_TIME


def count_by_span(lines, span_s):
    """Return a :class:`Row` by the second at which its span begins.

    A call belongs to the span in which it came.

    :param lines: :class:`LogLine` objects.
    """
    calls = [line for line in lines if line.event == 'call']
    if not calls:
        return {}
    start = min(begin_of(line) for line in calls)
    rows = collections.defaultdict(Row)
    for line in calls:
        span = int((begin_of(line) - start) // span_s * span_s)
        rows[span].add(line)
    return dict(sorted(rows.items()))


def count_by_route(lines):
    """Return a :class:`Row` by route."""
    rows = collections.defaultdict(Row)
    for line in lines:
        if line.event == 'call':
            rows[line.fields.get('route', '')].add(line)
    return dict(sorted(rows.items()))


def begin_of(line):
    """Return when a call came, in seconds of its host's time of day."""
    return line.at - (line.fields.get('total_ms') or 0) / 1000.0


def render(title, rows):
    """Return the lines of a table; columns without any call are left out.

    :param title: what the rows' names are.
    :param rows: :class:`Row` by name.
    """
    shown = [
        fate for fate in Fate if any(row.counts[fate] for row in rows.values())
    ]
    width = max([len(title), *(len(str(name)) for name in rows)])
    heads = ['calls', *(fate.value for fate in shown), 'p95 ms']
    lines = [title.ljust(width) + ''.join(pad(head) for head in heads)]
    for name, row in rows.items():
        cells = [
            sum(row.counts.values()),
            *(row.counts[fate] for fate in shown),
            row.first_ms.get_value_at_percentile(SHOWN_PERCENTILE),
        ]
        lines.append(str(name).ljust(width) + ''.join(map(pad, cells)))
    return lines


def pad(cell):
    """Return a cell's text, right-aligned."""
    return str(cell).rjust(COLUMN_WIDTH)


def render_losses(lines, span_s):
    """Return both tables, as lines of text.

    :param lines: :class:`LogLine` objects of all hosts.
    :param span_s: seconds of a row of the first table.
    """
    return [
        *render('from s', count_by_span(lines, span_s)),
        '',
        *render('route', count_by_route(lines)),
    ]
