"""Waits that hosts learn from answers while endpoints are slow."""

import heapq

from pearrun.decisions import admission
from pearrun.shared.engines import Engines
from tests.builders import ManualClock

SETTINGS = admission.AdmissionSettings()
ENDPOINTS = 6
INTERVAL_MS = 50
TOKENS = 2400
TARGET_MS = 500
TIMEOUT_MS = 3000
# Time to the first token without the prompt's.
FAST_MS = 45
SLOW_MS = 395
SLOW_UNTIL_MS = 6500
# Duration of an answer after its first token.
ANSWER_MS = 70


def play(end_ms):
    """Send calls at a steady rate to endpoints that are slow at first.

    :returns: the times at which calls were admitted, and the number sent.
    """
    clock = ManualClock()
    engines = Engines(clock)
    busy = [0] * ENDPOINTS
    events = []
    admitted = []
    for now in range(0, end_ms, INTERVAL_MS):
        while events and events[0][0] <= now:
            _, endpoint, waited_ms = heapq.heappop(events)
            if waited_ms:
                engines.note_first_token('model', TOKENS, waited_ms)
            else:
                busy[endpoint] -= 1
        endpoint = busy.index(min(busy))
        model = engines.find_by_service('model')
        expected_ms = model.predict_ms(TOKENS)
        if not admission.should_admit(
            expected_ms,
            model.base_ms,
            TIMEOUT_MS,
            TARGET_MS,
            SETTINGS,
            is_idle=not busy[endpoint],
        ):
            continue
        admitted.append(now)
        busy[endpoint] += 1
        base_ms = SLOW_MS if now < SLOW_UNTIL_MS else FAST_MS
        first_ms = base_ms + TOKENS / 55
        heapq.heappush(events, (now + first_ms, endpoint, first_ms))
        heapq.heappush(events, (now + first_ms + ANSWER_MS, endpoint, 0))
    return admitted


def test_calls_are_not_refused_for_good_after_endpoints_were_slow():
    admitted = play(12_000)
    late = [at_ms for at_ms in admitted if at_ms >= SLOW_UNTIL_MS + 1000]
    sent = (12_000 - SLOW_UNTIL_MS - 1000) / INTERVAL_MS
    assert len(late) >= 0.95 * sent


def test_idle_endpoint_takes_a_call_unless_its_own_prompt_takes_too_long():
    assert not admission.should_admit(700, 600, 3000, 600, SETTINGS)
    assert admission.should_admit(700, 600, 3000, 600, SETTINGS, is_idle=True)
    assert admission.should_admit(2500, 2400, 3000, 0, SETTINGS, is_idle=True)
    assert not admission.should_admit(
        2500, 100, 3000, 600, SETTINGS, is_idle=True
    )
