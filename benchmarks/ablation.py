"""Ablation study: the worth of days with one mechanism changed at a time.

    python -m benchmarks.ablation --bench=PROGRAM --workdir=DIR \\
        --sites=SITE,SITE --days=scale-1,trouble-2 --seeds=1,2 \\
        --variants=benchmarks/mechanisms.yaml --only='no urgency'

The bench is a program that is called as ``PROGRAM run SITE DAY --seed N``
and writes a journal entry for each call.  A day is a scenario of load and
faults, and its worth is the score that the bench gives.  For each variant,
the repository's HEAD is cloned into DIR and the replacements listed in the
variants file are applied to the clone.  Runs that already have a result in
DIR are skipped, so that an interrupted study can be continued.  ``as it is``
is the baseline, the unchanged code.
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
    """A replacement of one piece of text in a source file."""

    path: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True)
class Variant:
    """A version of the code with one mechanism changed."""

    name: str
    edits: tuple[Edit, ...] = ()

    @property
    def slug(self):
        """The name in the form used in file names."""
        return self.name.replace(' ', '-')


@dataclasses.dataclass(frozen=True)
class BenchRun:
    """A run of the bench: one day with one variant.

    :param seed: the seed of the day; 0 for its default seed.
    """

    variant: Variant
    site: pathlib.Path
    day: str
    seed: int

    @property
    def key(self):
        """The name of the run's result, without a file extension."""
        return f'{self.variant.slug}.{self.site.stem}.{self.day}.{self.seed}'

    @property
    def base_key(self):
        """The key of the same day on the unchanged code."""
        return dataclasses.replace(self, variant=Variant(UNCHANGED)).key


def read_variants(path):
    """Read the variants of a file.

    :param path: the variants file; ``None`` for the unchanged code only.
    :returns: a list of :class:`Variant`, the unchanged code first.
    """
    items = yaml.safe_load(path.read_text()) if path else {}
    changed = [
        Variant(name, tuple(Edit(**edit) for edit in edits))
        for name, edits in items.items()
    ]
    return [Variant(UNCHANGED), *changed]


def prepare_clone(variant, workdir):
    """Clone the repository and apply the edits of a variant.

    :returns: the path of the clone.
    :raises ValueError: a text to be replaced does not occur exactly once.
    """
    clone = workdir / variant.slug
    if clone.exists():
        return clone
    subprocess.run(['git', 'clone', '-q', '.', str(clone)], check=True)
    for edit in variant.edits:
        path = clone / edit.path
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise ValueError(
                f'{variant.name}: text must occur exactly once in '
                f'{edit.path}: {edit.old!r}'
            )
        path.write_text(text.replace(edit.old, edit.new))
    return clone


def run_day(run, workdir):
    """Run one day, unless it already has a result.

    :returns: the :class:`worth.DayResult`, or ``None`` if the run failed.
    """
    result = workdir / f'{run.key}.json'
    if not result.exists():
        run_bench(run, workdir / run.variant.slug, result)
    days = worth.read_days(result) if result.stat().st_size else []
    return days[0] if days else None


def run_bench(run, clone, result):
    """Call the bench; save its journal entry as the result."""
    command = [FLAGS.bench, 'run', str(run.site.resolve()), run.day]
    if run.seed:
        command += ['--seed', str(run.seed)]
    if not FLAGS.charge_cpu:
        command.append('--no-cpu')
    why = f'{FLAGS.why}: {run.variant.name}'
    command += ['--why', why]
    completed = subprocess.run(
        command, cwd=clone, capture_output=True, text=True, check=False
    )
    words = completed.stdout.split()
    result.with_suffix('.txt').write_text(completed.stdout + completed.stderr)
    found = sorted((clone / 'journal').glob(f'*-{words[-1]}.json'))
    result.write_text(found[0].read_text() if found else '')


def render_table(runs, results):
    """Return the lines of a table with one row per site and variant.

    The spread is the standard deviation of the change over the runs.
    """
    lines = [
        '| site | variant | worth | against as it is | spread | served '
        '| refused | rules broken |',
        '|---|---|---|---|---|---|---|---|',
    ]
    groups = {}
    for run in runs:
        key = (run.site.stem, run.variant.name)
        groups.setdefault(key, []).append(run)
    for (site, name), items in groups.items():
        days = [results[run.key] for run in items]
        baseline = [results[run.base_key] for run in items]
        lines.append(render_row(site, name, days, baseline))
    return lines


def render_row(site, name, days, baseline):
    """Return a table row; days without both results are left out."""
    pairs = [(day, old) for day, old in zip(days, baseline, strict=True)]
    pairs = [(day, old) for day, old in pairs if day and old]
    if not pairs:
        return f'| {site} | {name} | no results | | | | | |'
    changes = [day.worth - old.worth for day, old in pairs]
    spread = statistics.stdev(changes) if len(changes) > 1 else 0.0
    days = [day for day, _ in pairs]
    return (
        f'| {site} | {name} | {compute_mean(days, "worth"):.3f} '
        f'| {statistics.fmean(changes):+.3f} | {spread:.3f} '
        f'| {compute_mean(days, "served"):.3f} '
        f'| {compute_mean(days, "refused"):.3f} '
        f'| {sum(day.broken for day in days)} of {len(days)} |'
    )


def plot_changes(runs, results, path):
    """Plot the changes: one panel per site, one row per variant."""
    sites = list(dict.fromkeys(run.site.stem for run in runs))
    names = list(dict.fromkeys(run.variant.name for run in runs))
    names.remove(UNCHANGED)
    size = (4 * len(sites) + 3, 0.3 * len(names) + 1)
    figure, panels = pyplot.subplots(
        1, len(sites), sharey=True, figsize=size, squeeze=False
    )
    for panel, site in zip(panels[0], sites, strict=True):
        for run in runs:
            if run.site.stem != site or run.variant.name == UNCHANGED:
                continue
            change = compute_change(run, results)
            if change is not None:
                panel.plot(change, names.index(run.variant.name), 'ko')
        panel.axvline(0.0, color='grey')
        panel.set_title(site)
        panel.set_xlabel('change of worth')
    panels[0][0].set_yticks(range(len(names)), names)
    figure.tight_layout()
    figure.savefig(path)


def compute_change(run, results):
    """Return the change of the worth; ``None`` if either run failed."""
    day, old = results[run.key], results[run.base_key]
    return day.worth - old.worth if day and old else None


def compute_mean(days, field):
    """Return the mean of a field over several days."""
    return statistics.fmean(getattr(day, field) for day in days)


def main(argv):
    """Run what has no result yet and print the table."""
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
        prepare_clone(variant, workdir)
    runs = [
        BenchRun(variant, pathlib.Path(site), day, int(seed))
        for site in FLAGS.sites
        for variant in variants
        for day in FLAGS.days
        for seed in FLAGS.seeds
    ]
    with concurrent.futures.ThreadPoolExecutor(FLAGS.jobs) as pool:
        days = list(pool.map(lambda run: run_day(run, workdir), runs))
    results = {run.key: day for run, day in zip(runs, days, strict=True)}
    print('\n'.join(render_table(runs, results)))
    summary = {key: vars(day) if day else None for key, day in results.items()}
    (workdir / 'summary.json').write_text(json.dumps(summary, indent=1))
    if FLAGS.plot:
        plot_changes(runs, results, FLAGS.plot)


if __name__ == '__main__':
    flags.DEFINE_string(
        'bench', None, 'Path of the bench program.', required=True
    )
    flags.DEFINE_string('workdir', None, 'Clones and results.', required=True)
    flags.DEFINE_list('sites', None, 'Site files.', required=True)
    flags.DEFINE_list('days', ['scale-2', 'trouble-2'], 'Names of days.')
    flags.DEFINE_list('seeds', ['0'], 'Seeds; 0 for the default seed.')
    flags.DEFINE_string('variants', None, 'YAML file of variants.')
    flags.DEFINE_list('only', [], 'Variants to run; empty: all.')
    flags.DEFINE_string('plot', None, 'Plot the changes to this file.')
    flags.DEFINE_integer('jobs', 4, 'Number of parallel runs.')
    flags.DEFINE_boolean('charge_cpu', False, 'Charge CPU time.')
    flags.DEFINE_string('why', 'Ablation', '"why" of journal entries.')
    absl_app.run(main)
