"""Plays days with one mechanism changed at a time, and tables the worth.

    python -m benchmarks.ablation --bench=PROGRAM --workdir=DIR \\
        --sites=SITE,SITE --days=scale-1,trouble-2 --seeds=1,2 \\
        --variants=benchmarks/mechanisms.yaml --only=hubs,urgency

The bench is a program that is called as ``PROGRAM run SITE DAY --seed N``
and keeps a journal.  For each variant the repository's HEAD is cloned into
DIR and changed as the variants' file says: a list of pieces of text and what
stands in their place.  A play that has a result in DIR is not repeated, so
that a run that was broken off goes on.  ``as it is`` is the code unchanged.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import subprocess

from absl import app as absl_app
from absl import flags
from matplotlib import pyplot
import yaml

from benchmarks import worth

FLAGS = flags.FLAGS
UNCHANGED = 'as it is'


@dataclasses.dataclass(frozen=True)
class Edit:
    """A piece of a file's text and what stands in its place."""

    path: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True)
class Variant:
    """The code with one mechanism changed."""

    name: str
    edits: tuple[Edit, ...] = ()

    @property
    def slug(self):
        """The name as part of a file's name."""
        return self.name.replace(' ', '-')


@dataclasses.dataclass(frozen=True)
class Play:
    """One day to be played with one variant; seed 0 is the day's own."""

    variant: Variant
    site: pathlib.Path
    day: str
    seed: int

    @property
    def key(self):
        """The name of the play's result."""
        return f'{self.variant.slug}.{self.site.stem}.{self.day}.{self.seed}'

    @property
    def base_key(self):
        """The name of the result of the same day on the unchanged code."""
        return dataclasses.replace(self, variant=Variant(UNCHANGED)).key


def read_variants(path):
    """Return the :class:`Variant` of a file, the unchanged one first."""
    items = yaml.safe_load(path.read_text()) if path else {}
    changed = [
        Variant(name, tuple(Edit(**edit) for edit in edits))
        for name, edits in items.items()
    ]
    return [Variant(UNCHANGED), *changed]


def prepare(variant, workdir):
    """Clone the repository and change it.

    :returns: the clone's path.
    :raises ValueError: a text to replace is not there, or more than once.
    """
    clone = workdir / variant.slug
    if clone.exists():
        return clone
    subprocess.run(['git', 'clone', '-q', '.', str(clone)], check=True)
    for edit in variant.edits:
        path = clone / edit.path
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise ValueError(f'{variant.name}: {edit.path}: {edit.old!r}')
        path.write_text(text.replace(edit.old, edit.new))
    return clone


def play(item, workdir):
    """Play one day, unless its result is there.

    :returns: the :class:`worth.Day`, or ``None`` where it failed.
    """
    result = workdir / f'{item.key}.json'
    if not result.exists():
        run_bench(item, workdir / item.variant.slug, result)
    days = worth.read_days(result) if result.stat().st_size else []
    return days[0] if days else None


def run_bench(item, clone, result):
    """Have the bench play a day; keep its journal entry as the result."""
    command = [FLAGS.bench, 'run', str(item.site.resolve()), item.day]
    if item.seed:
        command += ['--seed', str(item.seed)]
    if not FLAGS.charge_cpu:
        command.append('--no-cpu')
    why = f'{FLAGS.why}: {item.variant.name}'
    command += ['--why', why]
    done = subprocess.run(
        command, cwd=clone, capture_output=True, text=True, check=False
    )
    lines = done.stdout.split()
    result.with_suffix('.txt').write_text(done.stdout + done.stderr)
    found = sorted((clone / 'journal').glob(f'*-{lines[-1]}.json'))
    result.write_text(found[0].read_text() if found else '')


def render(plays, results):
    """Return a table: a row a site and variant, with its spread."""
    lines = [
        '| site | variant | worth | against as it is | spread | served '
        '| refused | rules broken |',
        '|---|---|---|---|---|---|---|---|',
    ]
    groups = {}
    for item in plays:
        key = (item.site.stem, item.variant.name)
        groups.setdefault(key, []).append(item)
    for (site, name), items in groups.items():
        days = [results[item.key] for item in items]
        base = [results[item.base_key] for item in items]
        lines.append(render_row(site, name, days, base))
    return lines


def render_row(site, name, days, base):
    """Return a row; days that failed on either side are left out."""
    pairs = [(day, old) for day, old in zip(days, base, strict=True)]
    pairs = [(day, old) for day, old in pairs if day and old]
    if not pairs:
        return f'| {site} | {name} | not played | | | | | |'
    changes = [day.worth - old.worth for day, old in pairs]
    spread = statistics.stdev(changes) if len(changes) > 1 else 0.0
    days = [day for day, _ in pairs]
    return (
        f'| {site} | {name} | {mean(days, "worth"):.3f} '
        f'| {statistics.fmean(changes):+.3f} | {spread:.3f} '
        f'| {mean(days, "served"):.3f} | {mean(days, "refused"):.3f} '
        f'| {sum(day.broken for day in days)} of {len(days)} |'
    )


def plot(plays, results, path):
    """Draw what each variant changes: a panel a site, a point a play."""
    sites = list(dict.fromkeys(item.site.stem for item in plays))
    names = list(dict.fromkeys(item.variant.name for item in plays))
    names.remove(UNCHANGED)
    size = (4 * len(sites) + 3, 0.3 * len(names) + 1)
    figure, panels = pyplot.subplots(
        1, len(sites), sharey=True, figsize=size, squeeze=False
    )
    for panel, site in zip(panels[0], sites, strict=True):
        for item in plays:
            if item.site.stem != site or item.variant.name == UNCHANGED:
                continue
            change = change_of(item, results)
            if change is not None:
                panel.plot(change, names.index(item.variant.name), 'ko')
        panel.axvline(0.0, color='grey')
        panel.set_title(site)
        panel.set_xlabel('change of worth')
    panels[0][0].set_yticks(range(len(names)), names)
    figure.tight_layout()
    figure.savefig(path)


def change_of(item, results):
    """Return what a play's variant changes; ``None`` if one failed."""
    day, old = results[item.key], results[item.base_key]
    return day.worth - old.worth if day and old else None


def mean(days, field):
    """Return the mean of a field of days."""
    return statistics.fmean(getattr(day, field) for day in days)


def main(argv):
    """Play what is missing and print the table."""
    del argv
    workdir = pathlib.Path(FLAGS.workdir).resolve()
    workdir.mkdir(parents=True, exist_ok=True)
    path = pathlib.Path(FLAGS.variants) if FLAGS.variants else None
    variants = [
        variant
        for variant in read_variants(path)
        if not FLAGS.only or variant.name in (UNCHANGED, *FLAGS.only)
    ]
    for variant in variants:
        prepare(variant, workdir)
    plays = [
        Play(variant, pathlib.Path(site), day, int(seed))
        for site in FLAGS.sites
        for variant in variants
        for day in FLAGS.days
        for seed in FLAGS.seeds
    ]
    with concurrent.futures.ThreadPoolExecutor(FLAGS.jobs) as pool:
        days = list(pool.map(lambda item: play(item, workdir), plays))
    results = {item.key: day for item, day in zip(plays, days, strict=True)}
    print('\n'.join(render(plays, results)))
    summary = {key: vars(day) if day else None for key, day in results.items()}
    (workdir / 'summary.json').write_text(json.dumps(summary, indent=1))
    if FLAGS.plot:
        plot(plays, results, FLAGS.plot)


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, 'The bench program.', required=True)
    flags.DEFINE_string('workdir', None, 'Clones, results.', required=True)
    flags.DEFINE_list('sites', None, 'Site files.', required=True)
    flags.DEFINE_list('days', ['scale-2', 'trouble-2'], 'Days by name.')
    flags.DEFINE_list('seeds', ['0'], 'Seeds; 0 is the day as it is.')
    flags.DEFINE_string('variants', None, 'YAML file of variants.')
    flags.DEFINE_list('only', [], 'Variants to play; empty: all.')
    flags.DEFINE_string('plot', None, 'Draw the changes into this file.')
    flags.DEFINE_integer('jobs', 4, 'Plays at a time.')
    flags.DEFINE_boolean('charge_cpu', False, 'Charge processor time.')
    flags.DEFINE_string('why', 'Ablation', 'The journal entries\' "why".')
    absl_app.run(main)
