"""Checks of calls to endpoints that say that they leave, or want rest."""

# A host sends no call that came later than this after an answer that said
# that the endpoint leaves.
DRAIN_MS = 2000
# Calls that reach an endpoint so soon after it asked for rest do not count.
REST_GRACE_MS = 500
# Calls that a host may send to an endpoint within the rest of a refusal.
REST_CALLS = 2


def find_late_calls(runner, told_ms, sent_ms, hosts):
    """Return the calls that reached an endpoint too long after its notice.

    :param runner: the :class:`PlatformRunner`.
    :param told_ms: when it told each host that it leaves.
    :param sent_ms: when callers sent each call, by attempt id.
    :param hosts: names of the hosts by attempt id.
    :returns: attempt ids.
    """
    return [
        attempt
        for _, attempt in runner.attempts
        if (told := told_ms.get(hosts.get(attempt))) is not None
        and sent_ms[attempt] > told + DRAIN_MS
    ]


def find_told(runner, hosts):
    """Return when an endpoint told each host that it leaves."""
    told_ms = {}
    for notice in runner.leaves:
        told_ms.setdefault(hosts.get(notice.attempt), notice.at_ms)
    return told_ms


def find_broken_rests(runner, hosts):
    """Return the refusals after which a host did not let an endpoint rest.

    :param runner: the :class:`PlatformRunner`.
    :param hosts: names by attempt id of the hosts that connected to it.
    :returns: pairs of a :class:`SentNotice` and the number of calls.
    """
    broken = []
    for notice in runner.rests:
        host = hosts.get(notice.attempt)
        begin_ms = notice.at_ms + REST_GRACE_MS
        end_ms = notice.at_ms + notice.rest_s * 1000
        calls = sum(
            begin_ms < at_ms < end_ms and hosts.get(attempt) == host
            for at_ms, attempt in runner.attempts
        )
        if calls > REST_CALLS:
            broken.append((notice, calls))
    return broken


def count_late_calls(site, load):
    """Return how many calls reached any endpoint of a site too late."""
    count = 0
    for runner in site.runners.values():
        told_ms = find_told(runner, load.hosts)
        late = find_late_calls(runner, told_ms, load.sent_ms, load.hosts)
        count += len(late)
    return count


def list_broken_rests(site, load):
    """Return what :func:`find_broken_rests` finds at all endpoints."""
    return [
        broken
        for runner in site.runners.values()
        for broken in find_broken_rests(runner, load.hosts)
    ]


def find_busiest(site):
    """Return the name of the endpoint that got most calls so far."""
    return max(site.runners, key=lambda n: len(site.runners[n].attempts))


def count_served(load):
    """Return the share of the calls that were answered completely."""
    served = [item.status == 200 and item.complete for item in load.answers]
    return sum(served) / len(served)
