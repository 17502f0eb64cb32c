"""Benchmark of the quarantine's CPU time per call and memory use.

Prints the CPU time of each operation in microseconds, and the size of the
quarantine's state at its limits:

    python -m benchmarks.quarantine
"""

import dataclasses
import time
import tracemalloc

from absl import app as absl_app
from absl import flags
import cbor2

from pearrun.clock import Clock
from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import Suspect
from pearrun.decisions.quarantine import QuarantineSettings
from pearrun.fingerprints import make_fingerprint
from pearrun.shared import suspects
from pearrun.shared.quarantine import MAX_SENT
from pearrun.shared.quarantine import Quarantine
from pearrun.shared.recentanswers import MAX_ANSWERED

FLAGS = flags.FLAGS

BODY_BYTES = (800, 12_000, 72_000)


@dataclasses.dataclass(frozen=True)
class FingerprintedCall:
    """A call with the attributes that the quarantine uses."""

    id: str
    fingerprints: tuple[str, ...]


def measure(name, operation):
    """Print the mean CPU time of an operation.

    :param operation: called with the number of the repetition.
    """
    started = time.process_time()
    for number in range(FLAGS.repeats):
        operation(number)
    spent = time.process_time() - started
    print(f'{name}: {spent / FLAGS.repeats * 1e6:.2f} us')


def make_suspect(number, now_ms):
    """Return a suspect with the maximum number of crashes."""
    crashes = {}
    for crash in range(QuarantineSettings.max_crashes):
        name = f'i-{number:05}{crash:05}'
        crashes[name] = Crash(
            name, now_ms, 50, False, f'{number:016}', 'zone-a'
        )
    return Suspect(make_fingerprint(b'%d' % number), crashes)


def main(argv):
    """Measure all operations and print the results."""
    del argv
    for size in BODY_BYTES:
        body = bytes(size)
        measure(
            f'fingerprint of a {size}-byte body',
            lambda number, body=body: make_fingerprint(
                b'POST', b'desk.example', b'/long/', b'anna', body
            ),
        )
    clock = Clock()
    quarantine = Quarantine(clock)
    calls = [
        FingerprintedCall('c', (f'{number:024}', 'part-a', f'part-{number}'))
        for number in range(FLAGS.repeats)
    ]
    measure(
        'lookup, nothing quarantined',
        lambda number: quarantine.left_ms(calls[number]),
    )
    measure(
        'recording an answer',
        lambda number: quarantine.note_answered(calls[number]),
    )
    measure(
        'collecting updates, no suspects',
        lambda number: quarantine.collect_updates(),
    )
    tracemalloc.start()
    empty, _ = tracemalloc.get_traced_memory()
    fresh = Quarantine(clock)
    for number in range(MAX_ANSWERED):
        fresh.note_answered(
            FingerprintedCall('c', (f'answered-{number:015}',))
        )
    with_answers, _ = tracemalloc.get_traced_memory()
    print(f'{MAX_ANSWERED} answered requests: {with_answers - empty} bytes')
    known = [
        make_suspect(number, clock.now())
        for number in range(QuarantineSettings.max_suspects)
    ]
    fresh.merge(known, 'benchmark', forward=False)
    with_suspects, _ = tracemalloc.get_traced_memory()
    print(
        f'{len(known)} suspects with the maximum number of crashes: '
        f'{with_suspects - with_answers} bytes'
    )
    tracemalloc.stop()
    updates = [suspects.to_fields(item) for item in fresh.take_snapshot()]
    print(
        f'message with {MAX_SENT} of them: {len(cbor2.dumps(updates))} bytes'
    )
    started = time.process_time()
    fresh.known.evaluate(clock.now())
    spent = time.process_time() - started
    print(f'evaluating {len(known)} suspects: {spent * 1000:.1f} ms')
    measure(
        'lookup, others quarantined',
        lambda number: fresh.left_ms(calls[number]),
    )


if __name__ == '__main__':
    flags.DEFINE_integer('repeats', 5000, 'repetitions of each operation')
    absl_app.run(main)
