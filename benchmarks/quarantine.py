"""Measure what the quarantine costs on a call's path, and its state.

Prints microseconds of processor time for each step and the bytes of the
state at its limits:

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
from pearrun.shared.quarantine import MAX_ANSWERED
from pearrun.shared.quarantine import MAX_SENT
from pearrun.shared.quarantine import Quarantine

FLAGS = flags.FLAGS

BODY_BYTES = (800, 12_000, 72_000)


@dataclasses.dataclass(frozen=True)
class FingerprintedCall:
    """A call as the quarantine sees it."""

    fingerprint: str


def measure(name, step):
    """Print the processor time of a step."""
    begun = time.process_time()
    for number in range(FLAGS.repeats):
        step(number)
    spent = time.process_time() - begun
    print(f'{name}: {spent / FLAGS.repeats * 1e6:.2f} us')


def make_suspect(number, now):
    """Return a suspect with as many crashes as are remembered."""
    crashes = {}
    for crash in range(QuarantineSettings.max_crashes):
        name = f'i-{number:05}{crash:05}'
        crashes[name] = Crash(name, now, 50, False, f'{number:016}', 'zone-a')
    return Suspect(make_fingerprint(b'%d' % number), crashes)


def main(argv):
    """Measure all steps."""
    del argv
    for size in BODY_BYTES:
        body = bytes(size)
        measure(
            f'fingerprint of {size} bytes',
            lambda number, body=body: make_fingerprint(
                b'POST', b'desk.example', b'/long/', b'anna', body
            ),
        )
    clock = Clock()
    quarantine = Quarantine(clock)
    calls = [
        FingerprintedCall(f'{number:024}') for number in range(FLAGS.repeats)
    ]
    measure(
        'look-up, nothing quarantined',
        lambda number: quarantine.left_ms(calls[number]),
    )
    measure(
        'answer noted', lambda number: quarantine.note_answered(calls[number])
    )
    measure(
        'round with no suspects', lambda number: quarantine.collect_updates()
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fresh = Quarantine(clock)
    for number in range(MAX_ANSWERED):
        fresh.note_answered(FingerprintedCall(f'answered-{number:015}'))
    after, _ = tracemalloc.get_traced_memory()
    print(f'{MAX_ANSWERED} answered requests: {after - before} bytes')
    known = [
        make_suspect(number, clock.now())
        for number in range(QuarantineSettings.max_suspects)
    ]
    fresh.merge(known, 'benchmark', forward=False)
    full, _ = tracemalloc.get_traced_memory()
    print(f'{len(known)} suspects at their limit: {full - after} bytes')
    tracemalloc.stop()
    told = [suspects.to_fields(item) for item in fresh.take_snapshot()]
    print(f'note of {MAX_SENT} of them: {len(cbor2.dumps(told))} bytes')
    begun = time.process_time()
    fresh.known.evaluate(clock.now())
    spent = time.process_time() - begun
    print(f'judging {len(known)} suspects: {spent * 1000:.1f} ms')
    measure(
        'look-up, others quarantined',
        lambda number: fresh.left_ms(calls[number]),
    )


if __name__ == '__main__':
    flags.DEFINE_integer('repeats', 5000, 'calls of each step')
    absl_app.run(main)
