"""Endpoints that refuse calls in a soak, and the check of the retry budget."""

import random

from tests.soak import checks
from tests.soak import faults

# The budget of hosts whose settings do not name one.
RATIO = 0.2
SLACK = 20
WINDOW_MS = 10_000
INITIAL_CALM_MS = 3000
MIN_DURATION_MS = 2500
MAX_DURATION_MS = 4500
MAX_PAUSE_MS = 1500
# Enough for all hosts until the end of a refusal.
LOST_RESPONSES = 60
MODEL_PATHS = ('/long/', '/short/')


def generate_refusals(seed, length_ms, hosts, endpoints):
    """Generate periods in which all endpoints refuse calls.

    In each, hosts are killed, and the store does not acknowledge writes.

    :param hosts: names of the entry hosts.
    :param endpoints: names of the endpoints' replicas.
    :returns: a list of :class:`TimedFault`.
    """
    rng = random.Random(f'refusals-{seed}')
    timed = []
    start_ms = INITIAL_CALM_MS
    while start_ms < length_ms - MAX_DURATION_MS:
        duration_ms = rng.randint(MIN_DURATION_MS, MAX_DURATION_MS)
        full = faults.EndpointFault.FULL
        chosen = [
            faults.DisruptEndpoint(endpoint, full, duration_ms)
            for endpoint in endpoints
        ]
        timed.extend(faults.TimedFault(start_ms, fault) for fault in chosen)
        lost = faults.LoseStoreResponses(LOST_RESPONSES)
        timed.append(faults.TimedFault(start_ms, lost))
        for host in rng.sample(hosts, rng.randint(1, len(hosts))):
            at_ms = start_ms + rng.randint(0, duration_ms)
            timed.append(faults.TimedFault(at_ms, faults.KillHost(host)))
        start_ms += duration_ms + rng.randint(0, MAX_PAUSE_MS)
    return timed


def check_retries(evidence):
    """Check that no service gets more retries than its budget allows.

    :returns: a list of :class:`Finding`.
    """
    findings = []
    for service in sorted({runner.service for runner in evidence.runners}):
        retries_ms = list_retries(evidence.runners, service)
        calls_ms = [
            record.started_ms
            for record in (*evidence.records, *evidence.crash_calls)
            if is_for_service(record, service)
        ]
        findings.extend(find_excess(service, calls_ms, retries_ms))
    return findings


def is_for_service(record, service):
    """Return whether a call's route leads to a service."""
    is_model = record.kind.path_prefix in MODEL_PATHS
    return is_model is (service == 'model')


def list_retries(runners, service):
    """Return when calls arrived at a service's endpoints again, in order."""
    arrivals = sorted(
        arrival
        for runner in runners
        if runner.service == service
        for arrival in runner.attempts
    )
    known = set()
    retries_ms = []
    for at_ms, attempt in arrivals:
        if attempt in known:
            retries_ms.append(at_ms)
        known.add(attempt)
    return retries_ms


def find_excess(service, calls_ms, retries_ms):
    """Yield a finding for the first window with too many retries.

    The calls are counted in the same window, half a window before and a
    window before, of which the largest number holds.
    """
    for end_ms in retries_ms:
        count = count_within(retries_ms, end_ms)
        calls = max(
            count_within(calls_ms, end_ms - shift_ms)
            for shift_ms in (0, WINDOW_MS / 2, WINDOW_MS)
        )
        if count > RATIO * calls + SLACK:
            message = f'{service}: {count} retries for {calls} calls'
            yield checks.Finding('retries', message)
            return


def count_within(times_ms, end_ms):
    """Return how many times lie in the window that ends then."""
    return sum(end_ms - WINDOW_MS <= at_ms <= end_ms for at_ms in times_ms)
