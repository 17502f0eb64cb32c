"""Tables of what journal entries say days were worth.

``python -m benchmarks.worth ENTRY...`` prints a Markdown table, a row a
day: worth, shares served, refused and failed, the parts of the worth and
the prices taken off.  An entry is a file of ``journal/`` or its id.
``--compare=ENTRY`` prints instead how days of the same name and seed differ
from that entry's.
"""

import dataclasses
import json
import pathlib
import statistics

from absl import app as absl_app
from absl import flags

FLAGS = flags.FLAGS
JOURNAL = pathlib.Path('journal')
# Prices below this part of a day's worth are left out of the tables.
LEAST_PRICE = 0.004


@dataclasses.dataclass(frozen=True)
class Day:
    """What one played day was worth.

    :param parts: share of the credit served, by part of the worth.
    :param prices: what was taken off, by name.
    """

    entry: str
    name: str
    worth: float
    served: float
    refused: float
    failed: float
    broken: int
    parts: dict[str, float]
    prices: dict[str, float]


def find_entry(name):
    """Return the path of a journal entry.

    :param name: a path or an id.
    :raises FileNotFoundError: there is none.
    """
    path = pathlib.Path(name)
    if path.exists():
        return path
    for found in sorted(JOURNAL.glob(f'*-{name}.json')):
        return found
    raise FileNotFoundError(f'no journal entry {name}')


def read_days(path):
    """Return the :class:`Day` of each day of a journal entry."""
    entry = json.loads(path.read_text())
    return [
        Day(
            entry=entry['id'],
            name=day['name'],
            worth=day['G'],
            served=day['served'],
            refused=day['refused'],
            failed=day['failed'],
            broken=len(day['rules']),
            parts={name: share for name, _, share in day['parts']},
            prices={name: part for name, _, part in day['prices']},
        )
        for day in entry['days'] or ()
        if day.get('G') is not None
    ]


def render_day(day):
    """Return a table row of one day."""
    parts = ' '.join(f'{share:.2f}' for share in day.parts.values())
    dearest = sorted(day.prices.items(), key=lambda item: -item[1])
    prices = ', '.join(
        f'{name} {part:.3f}' for name, part in dearest if part >= LEAST_PRICE
    )
    return (
        f'| {day.entry} | {day.name} | {day.worth:.3f} | {day.served:.3f} '
        f'| {day.refused:.3f} | {day.failed:.3f} | {day.broken} | {parts} '
        f'| {prices} |'
    )


def render_table(days):
    """Return the lines of a table of days, and of their mean."""
    parts = ', '.join(days[0].parts) if days else ''
    lines = [
        f'| entry | day | worth | served | refused | failed | rules broken '
        f'| {parts} | prices |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    lines.extend(render_day(day) for day in days)
    return lines


def render_means(days):
    """Return a line with the means over days that held trouble."""
    troubled = [day for day in days if is_troubled(day.name)]
    if not troubled:
        return 'no day with trouble'
    worth = statistics.fmean(day.worth for day in troubled)
    served = statistics.fmean(day.served for day in troubled)
    return (
        f'mean of {len(troubled)} days with trouble: '
        f'worth {worth:.3f}, served {served:.3f}'
    )


def is_troubled(name):
    """Say whether a day is a standard one with disruptions."""
    return not name.startswith(('quiet', 'fresh'))


def render_differences(days, before):
    """Return a line for each day that both lists hold."""
    known = {day.name: day for day in before}
    lines = []
    for day in days:
        old = known.get(day.name)
        if old is not None:
            lines.append(
                f'{day.name}: worth {old.worth:.3f} -> {day.worth:.3f} '
                f'({day.worth - old.worth:+.3f}), served '
                f'{old.served:.3f} -> {day.served:.3f} '
                f'({day.served - old.served:+.3f})'
            )
    return lines


def main(argv):
    """Print the table."""
    days = [day for name in argv[1:] for day in read_days(find_entry(name))]
    if FLAGS.compare:
        before = read_days(find_entry(FLAGS.compare))
        lines = render_differences(days, before)
    else:
        lines = [*render_table(days), '', render_means(days)]
    print('\n'.join(lines))


if __name__ == '__main__':
    flags.DEFINE_string('compare', None, 'An entry to compare days with.')
    absl_app.run(main)
