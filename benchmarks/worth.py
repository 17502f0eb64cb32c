"""Tables of the results in the bench's journal.

``python -m benchmarks.worth ENTRY...`` prints a Markdown table with one row
per day, which is a scenario of the bench: its worth (the score), the shares
of calls served, refused and failed, the components of the worth, and the
deductions from it (prices).  An entry is a file in ``journal/`` or its id.
With ``--compare=ENTRY``, the differences from the days of the same name in
that entry are printed instead.
"""

import dataclasses
import json
import pathlib
import statistics

from absl import app as absl_app
from absl import flags

FLAGS = flags.FLAGS
JOURNAL = pathlib.Path('journal')
# Prices below this are left out of the tables.
MIN_PRICE_SHARE = 0.004


@dataclasses.dataclass(frozen=True)
class DayResult:
    """The result of one day.

    :param worth: the score of the day, ``G`` in the journal.
    :param broken: number of rules that were broken.
    :param parts: share of the credit earned, by component of the worth.
    :param prices: deductions from the worth, by name.
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

    :param name: the path or the id of the entry.
    :raises FileNotFoundError: there is no such entry.
    """
    path = pathlib.Path(name)
    if path.exists():
        return path
    for found in sorted(JOURNAL.glob(f'*-{name}.json')):
        return found
    raise FileNotFoundError(f'no journal entry {name}')


def read_days(path):
    """Return the :class:`DayResult` of each scored day of an entry."""
    entry = json.loads(path.read_text())
    return [
        DayResult(
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
    """Return the table row of one day."""
    parts = ' '.join(f'{share:.2f}' for share in day.parts.values())
    by_price = sorted(day.prices.items(), key=lambda item: -item[1])
    prices = ', '.join(
        f'{name} {part:.3f}'
        for name, part in by_price
        if part >= MIN_PRICE_SHARE
    )
    return (
        f'| {day.entry} | {day.name} | {day.worth:.3f} | {day.served:.3f} '
        f'| {day.refused:.3f} | {day.failed:.3f} | {day.broken} | {parts} '
        f'| {prices} |'
    )


def render_table(days):
    """Return the lines of a table of days."""
    parts = ', '.join(days[0].parts) if days else ''
    lines = [
        f'| entry | day | worth | served | refused | failed | rules broken '
        f'| {parts} | prices |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    lines.extend(render_day(day) for day in days)
    return lines


def render_means(days):
    """Return a line with the means over the days with faults."""
    faulted = [day for day in days if has_faults(day.name)]
    if not faulted:
        return 'no day with faults'
    worth = statistics.fmean(day.worth for day in faulted)
    served = statistics.fmean(day.served for day in faulted)
    return (
        f'mean of {len(faulted)} days with faults: '
        f'worth {worth:.3f}, served {served:.3f}'
    )


def has_faults(name):
    """Return whether a day has faults, judging by its name."""
    return not name.startswith(('quiet', 'fresh'))


def render_differences(days, before):
    """Return a line for each day that is in both lists."""
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
    """Print the table or the differences."""
    days = [day for name in argv[1:] for day in read_days(find_entry(name))]
    if FLAGS.compare:
        before = read_days(find_entry(FLAGS.compare))
        lines = render_differences(days, before)
    else:
        lines = [*render_table(days), '', render_means(days)]
    print('\n'.join(lines))


if __name__ == '__main__':
    flags.DEFINE_string('compare', None, 'The entry to compare with.')
    absl_app.run(main)
