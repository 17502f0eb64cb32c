"""Command line: ``python -m tests.soak --seeds=50 --first=1``."""

import asyncio
import collections
import pathlib
import time

from absl import app
from absl import flags

from tests.soak.play import play_seed

FLAGS = flags.FLAGS


def main(argv):
    """Play seeds one after the other; exit with 1 after a finding."""
    del argv
    found = 0
    first = FLAGS.first if FLAGS.first is not None else int(time.time())
    for seed in range(first, first + FLAGS.seeds):
        directory = pathlib.Path(FLAGS.logs) / f'seed-{seed}'
        directory.mkdir(parents=True, exist_ok=True)
        findings, evidence = asyncio.run(
            play_seed(
                seed,
                FLAGS.length_s * 1000,
                directory,
                FLAGS.hosts,
                FLAGS.crashing,
            )
        )
        statuses = collections.Counter(r.status for r in evidence.records)
        print(
            f'seed {seed}: {len(evidence.played)} faults, '
            f'{len(evidence.records)} calls {dict(statuses)}, '
            f'{len(findings)} findings',
            flush=True,
        )
        for finding in findings:
            print(f'  {finding.check}: {finding.what}', flush=True)
        found += bool(findings)
    print(f'{FLAGS.seeds} seeds, {found} with findings')
    raise SystemExit(1 if found else 0)


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 1, 'How many seeds are played.')
    flags.DEFINE_integer('first', None, 'First seed; by default the time.')
    flags.DEFINE_integer('length_s', 20, 'Seconds of calls and faults.')
    flags.DEFINE_integer('hosts', 4, 'Entry hosts; above 16 they use hubs.')
    flags.DEFINE_bool('crashing', False, 'A request crashes endpoints.')
    flags.DEFINE_string('logs', '/tmp/pearrun-soak', 'Where logs go.')
    app.run(main)
