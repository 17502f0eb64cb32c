"""Checks of long polls that are all dead, simulated for whole fleets."""

import random

import pytest

from pearrun.decisions.pollcheck import CheckTimer

STEP_MS = 10
ROUND_MS = 200
ZONES = 3
# A slow store's response.
SLOW_READ_MS = 200


class SimulatedHost:
    """A host that knows a topic from its checks and its peers alone.

    :param number: the first host of each zone reads for it.
    :param has_readers: whether any host reads for its zone.
    """

    def __init__(self, number, bound_ms, source, has_readers):
        self.zone = number % ZONES
        self.is_reader = has_readers and number < ZONES
        self.is_hub = number < ZONES
        self.timer = CheckTimer(bound_ms, source.random)
        self.phase_ms = source.randrange(0, ROUND_MS, STEP_MS)
        self.known_ms = 0
        self.returns_ms = None
        self.sent_ms = 0
        self.knows_change = False
        self.heard_of_change = False

    def step(self, now, read_ms):
        """Send a check if one is due; apply the response of the last one.

        :returns: whether a check was sent.
        """
        if self.returns_ms is not None:
            if now >= self.returns_ms:
                self.returns_ms = None
                self.known_ms = max(self.known_ms, self.sent_ms)
            return False
        wants_change = self.heard_of_change and not self.knows_change
        if self.timer.get_left_ms(now, self.known_ms, self.is_reader) and not (
            wants_change and self.timer.allows_extra(now)
        ):
            return False
        self.timer.note_sent(now)
        self.sent_ms = now
        self.returns_ms = now + read_ms
        return True


def list_receivers(host, hosts, is_mesh):
    """Return the hosts that a host's report reaches."""
    if is_mesh:
        return hosts
    if host.is_hub:
        return [h for h in hosts if h.is_hub or h.zone == host.zone]
    return [h for h in hosts if h.is_hub and h.zone == host.zone]


def play(count, bound_ms, read_ms, changed_ms, end_ms, has_readers=True):
    """Let hosts check a topic that changes once.

    :returns: the number of checks a second before the change, and how long
        after it the last host knew it.
    """
    source = random.Random(count + changed_ms)
    hosts = [
        SimulatedHost(number, bound_ms, source, has_readers)
        for number in range(count)
    ]
    checks = 0
    for now in range(0, end_ms, STEP_MS):
        for host in hosts:
            checks += host.step(now, read_ms) and now < changed_ms
            host.knows_change |= host.known_ms >= changed_ms
        for host in hosts:
            if now % ROUND_MS != host.phase_ms:
                continue
            for other in list_receivers(host, hosts, count <= 16):
                if host.knows_change and not other.knows_change:
                    other.heard_of_change = True
                elif host.knows_change == other.knows_change:
                    other.known_ms = max(other.known_ms, host.known_ms)
        if all(host.knows_change for host in hosts):
            return 1000 * checks / changed_ms, now - changed_ms
    raise AssertionError('the change did not reach all hosts')


@pytest.mark.parametrize('has_readers', [True, False])
@pytest.mark.parametrize('read_ms', [STEP_MS, SLOW_READ_MS])
@pytest.mark.parametrize(
    ('count', 'bound_ms'), [(1, 2000), (3, 2000), (9, 2000), (84, 3000)]
)
def test_change_reaches_all_hosts_in_time_with_all_polls_dead(
    count, bound_ms, read_ms, has_readers
):
    for changed_ms in range(9000, 11_000, 170):
        _, took_ms = play(
            count, bound_ms, read_ms, changed_ms, 20_000, has_readers
        )
        assert took_ms < bound_ms


@pytest.mark.parametrize(
    ('count', 'bound_ms'), [(3, 2000), (9, 2000), (84, 3000), (300, 4000)]
)
def test_a_fleet_makes_few_checks_whatever_its_size(count, bound_ms):
    """About one per interval and failure domain at most."""
    rate, took_ms = play(count, bound_ms, STEP_MS, 20_000, 30_000)
    assert took_ms < bound_ms
    assert rate <= ZONES * 1000 / (0.3 * bound_ms)
