"""Endpoints that say that they leave or want rest, and the checks of it."""

import random

from tests import notices
from tests.soak import checks
from tests.soak import faults

RESTS = ('0.4', '1', '2.5', '3')
MEAN_INTERVAL_MS = 2500
INITIAL_CALM_MS = 2500
# An endpoint refuses calls for this long, and leaves within this time.
MIN_DURATION_MS = 800
MAX_DURATION_MS = 4500
# Faults that excuse a host: it knows nothing of before, or could not hear.
HOST_FAULTS = (faults.KillHost, faults.StopHost, faults.PauseHost)


def generate_notices(seed, length_ms, endpoints):
    """Generate what endpoints say, apart from other faults.

    While some of them leave, the store does not answer.

    :param endpoints: names of the endpoints' replicas.
    :returns: a list of :class:`TimedFault`.
    """
    rng = random.Random(f'notices-{seed}')
    timed = []
    start_ms = INITIAL_CALM_MS
    while start_ms < length_ms - MAX_DURATION_MS:
        duration_ms = rng.randint(MIN_DURATION_MS, MAX_DURATION_MS)
        endpoint = rng.choice(endpoints)
        if rng.random() < 0.4:
            fault = faults.LeaveEndpoint(endpoint, duration_ms)
            if rng.random() < 0.5:
                away = faults.FailStore(0, duration_ms)
                timed.append(faults.TimedFault(start_ms, away))
        else:
            rest = rng.choice(RESTS)
            fault = faults.RestEndpoint(endpoint, rest, duration_ms)
        timed.append(faults.TimedFault(start_ms, fault))
        start_ms += int(rng.expovariate(1 / MEAN_INTERVAL_MS))
    return timed


def check_notices(evidence):
    """Check that hosts heed what endpoints say in their answers.

    :returns: a list of :class:`Finding`.
    """
    records = {record.attempt: record for record in evidence.records}
    findings = []
    for runner in evidence.runners:
        findings.extend(check_leaving(evidence, runner, records))
        findings.extend(check_rests(evidence, runner))
    return findings


def check_leaving(evidence, runner, records):
    """Check the calls to an endpoint that has said that it leaves."""
    hosts = {attempt: record.host for attempt, record in records.items()}
    sent_ms = {
        attempt: record.started_ms for attempt, record in records.items()
    }
    told_ms = find_told(runner, records)
    late = notices.find_late_calls(runner, told_ms, sent_ms, hosts)
    for attempt in late:
        record = records[attempt]
        begin_ms = told_ms[record.host]
        if not is_excused(evidence, record.host, begin_ms, record.ended_ms):
            late_ms = record.started_ms - begin_ms
            message = f'{runner.id}: {late_ms} ms after its notice: {record}'
            yield checks.Finding('leaving', message)


def find_told(runner, records):
    """Return when each host had passed on a notice that an endpoint leaves."""
    told_ms = {}
    for notice in runner.leaves:
        record = records.get(notice.attempt)
        seal = f'seal.{runner.id}.{notice.attempt}'
        if record is None or not record.complete or record.seal != seal:
            continue
        known_ms = told_ms.get(record.host, record.ended_ms)
        told_ms[record.host] = min(known_ms, record.ended_ms)
    return told_ms


def check_rests(evidence, runner):
    """Check the calls to an endpoint that has asked hosts for rest."""
    records = (
        *evidence.records,
        *evidence.crash_calls,
        *evidence.recovery_calls,
    )
    hosts = {record.attempt: record.host for record in records}
    hosts.update(evidence.stream_hosts)
    for notice, calls in notices.find_broken_rests(runner, hosts):
        host = hosts.get(notice.attempt)
        end_ms = notice.at_ms + notice.rest_s * 1000
        replica = runner.id.rpartition('-')[0]
        if not is_excused(evidence, host, notice.at_ms, end_ms, replica):
            message = f'{runner.id}: {calls} calls of {host} after {notice}'
            yield checks.Finding('rests', message)


def is_excused(evidence, host, begin_ms, end_ms, replica=None):
    """Return whether a host was disturbed within a period.

    :param replica: the endpoint's replica, if a disruption of the path to it
        counts as well.
    """
    return any(
        (isinstance(fault, HOST_FAULTS) and fault.host == host)
        or (replica and getattr(fault, 'link', '') == f'endpoint-{replica}')
        for fault in checks.list_faults_in(evidence, begin_ms, end_ms)
    )
