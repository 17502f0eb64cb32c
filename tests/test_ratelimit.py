"""Rate limits of endpoints: decoding, and the share of each host."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from pearrun import exceptions
from pearrun.decisions import ratelimit
from pearrun.http1.messages import ResponseHead
from pearrun.platform.codec import EndpointCodec
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.endpointlimits import EndpointLimits
from pearrun.shared.endpointlimits import LimitReport
from pearrun.shared.feed import Feed
from pearrun.shared.fleet import EndpointRecord
from pearrun.shared.fleet import Fleet
from pearrun.shared.members import Member
from pearrun.shared.members import Members
from pearrun.states import EndpointState
from tests import limits
from tests.builders import ManualClock


def decode(*values):
    """Return the rate limit of a response with these header values."""
    headers = [(b'Server-Limit', value) for value in values]
    return EndpointCodec().decode_rate_limit(ResponseHead(200, headers))


@pytest.mark.parametrize(
    ('values', 'rate_per_s'),
    [
        ((), None),
        ((b'0',), 0),
        ((b'0.25',), 0.25),
        ((b' 1.8 ',), 1.8),
        ((b'1e9',), 1e9),
        ((b'3', b'1.5'), 1.5),
    ],
)
def test_named_rate_limit_is_decoded(values, rate_per_s):
    assert decode(*values) == rate_per_s


@pytest.mark.parametrize('value', [b'', b'many', b'-1', b'nan', b'inf'])
def test_malformed_rate_limit_is_an_error(value):
    with pytest.raises(exceptions.WireFormatError):
        decode(value)


RATES = st.floats(0, 60) | st.just(0.0)
STEPS = st.lists(st.integers(1, 400), min_size=40, max_size=200)


class Host:
    """One host's limits, with a clock and a list of hosts of its own."""

    def __init__(self, name, names):
        self.clock = ManualClock()
        self.members = Members(self.clock, name)
        self.members.listed = True
        for number, other in enumerate(names):
            zone = f'zone-{number % 3}'
            self.members.put(Member(other, '', zone, number))
        self.limits = EndpointLimits(
            self.clock,
            name,
            'zone-0',
            make_fleet(),
            self.members,
            Feed(self.clock),
        )

    def send(self):
        """Send a call to the endpoint if that is allowed.

        :returns: whether it was sent.
        """
        endpoints = self.limits.fleet.find_by_service('plain')
        if not self.limits.filter_allowed(endpoints):
            return False
        self.limits.take(endpoints[0])
        return True

    def is_limited(self):
        """Return whether the endpoint has a limit or is in the ramp."""
        return self.limits.count() > 0


def make_fleet():
    """Return a :class:`Fleet` with the endpoint ``p1`` of a plain service."""
    fleet = Fleet()
    fleet.put(
        EndpointRecord(
            'p1', 'plain', '10.0.0.1:1', 'zone-0', 8, EndpointState.LIVE
        )
    )
    return fleet


def make_hosts(count):
    """Return hosts that know each other."""
    names = [f'host-{number}' for number in range(count)]
    return [Host(name, names) for name in names]


def advance(hosts, ms):
    """Advance the clocks of all hosts."""
    for host in hosts:
        host.clock.advance(ms)


def send_greedily(hosts, steps, rate_per_s=None):
    """Let all hosts send whenever they may.

    :param steps: milliseconds between their attempts.
    :param rate_per_s: the limit that answers advertise; ``None`` if no
        answers come.
    :returns: times at which calls were sent.
    """
    sent_ms = []
    for step in steps:
        advance(hosts, step)
        sent = sum(host.send() for host in hosts)
        sent_ms.extend([hosts[0].clock.now()] * sent)
        if sent and rate_per_s is not None:
            for host in hosts:
                host.limits.note_advertised('p1', rate_per_s)
    return sent_ms


def count_most(sent_ms):
    """Return the largest number of calls in a window."""
    return max(
        (
            sum(end - limits.WINDOW_MS < at <= end for at in sent_ms)
            for end in sent_ms
        ),
        default=0,
    )


@settings(max_examples=60, deadline=None)
@given(RATES, st.sampled_from([1, 2, 9, 84]), STEPS)
def test_hosts_that_send_greedily_keep_to_a_limit(rate_per_s, count, steps):
    hosts = make_hosts(count)
    for host in hosts:
        host.limits.note_advertised('p1', rate_per_s)
    sent_ms = send_greedily(hosts, steps, rate_per_s)
    allowed = limits.EXCESS_FACTOR * rate_per_s * limits.WINDOW_MS / 1000
    assert count_most(sent_ms) <= allowed + limits.EXCESS_CALLS


@pytest.mark.parametrize('count', [1, 3, 9, 84])
@pytest.mark.parametrize('rate_per_s', [0.5, 1, 1.8, 20])
def test_hosts_use_most_of_a_limit(count, rate_per_s):
    hosts = make_hosts(count)
    for host in hosts:
        host.limits.note_advertised('p1', rate_per_s)
    sent_ms = send_greedily(hosts, [50] * 400)
    assert len(sent_ms) >= 0.7 * 20 * rate_per_s


def report_to_each_other(hosts):
    """Let every host hear of every other one."""
    for host in hosts:
        for other in hosts:
            host.members.note_report(other.limits.name)


def test_share_of_a_host_that_has_ended_passes_to_another():
    hosts = make_hosts(9)
    for host in hosts:
        host.limits.note_advertised('p1', 3.0)
    sent = {
        host.limits.name: send_greedily([host], [50] * 60) for host in hosts
    }
    ended = [host for host in hosts if sent[host.limits.name]][:3]
    left = [host for host in hosts if host not in ended]
    sent_ms = []
    for _ in range(20):
        report_to_each_other(left)
        sent_ms.extend(send_greedily(left, [50] * 20))
    assert len(sent_ms) >= 0.7 * 20 * 3.0
    assert count_most(sent_ms) <= 1.5 * 3.0 * 4 + 5


def test_isolated_host_does_not_use_the_shares_of_others():
    hosts = make_hosts(9)
    for host in hosts:
        host.limits.note_advertised('p1', 3.0)
    advance(hosts, 10_000)
    for host in hosts:
        assert len(send_greedily([host], [50] * 400)) <= 20 * 3.0 / 5 + 1


def test_endpoint_with_a_limit_of_zero_is_tried_at_times():
    hosts = make_hosts(9)
    for host in hosts:
        host.limits.note_advertised('p1', 0.0)
    sent_ms = [hosts[0].clock.now(), *send_greedily(hosts, [50] * 500)]
    pauses = [after - at for at, after in itertools.pairwise(sent_ms)]
    assert max(pauses) <= 4_500
    assert min(pauses) >= 3_500


def test_answer_to_an_older_call_does_not_lift_a_limit():
    (host,) = make_hosts(1)
    sent_ms = host.clock.now()
    host.clock.advance(10)
    host.limits.note_advertised('p1', 1.0)
    host.clock.advance(10)
    host.limits.note_unlimited('p1', sent_ms)
    host.clock.advance(ratelimit.RAMP_MS + 1)
    assert host.is_limited()
    host.limits.note_unlimited('p1', host.clock.now())
    host.clock.advance(ratelimit.RAMP_MS + 1)
    assert not host.is_limited()


def test_lifted_limit_does_not_release_all_hosts_at_once():
    hosts = make_hosts(84)
    for host in hosts:
        host.limits.note_advertised('p1', 1.0)
    advance(hosts, 1000)
    for host in hosts:
        host.limits.note_unlimited('p1', host.clock.now())
    assert len(send_greedily(hosts, [20] * 50)) < 10
    advance(hosts, ratelimit.RAMP_MS)
    assert all(host.send() for host in hosts)


def test_unconfirmed_limit_ends():
    (host,) = make_hosts(1)
    host.limits.note_advertised('p1', 0.0)
    host.clock.advance(ratelimit.VALID_MS + ratelimit.RAMP_MS + 1)
    assert host.send()
    assert not host.is_limited()


def test_limit_of_a_former_process_does_not_hold_for_its_successor():
    (host,) = make_hosts(1)
    host.limits.note_advertised('p1@1', 0.0)
    assert host.send()


def test_host_without_a_list_of_hosts_does_not_call_limited_endpoints():
    (host,) = make_hosts(1)
    host.members.listed = False
    host.limits.note_advertised('p1', 5.0)
    assert not send_greedily([host], [100] * 50)


def merge(host, rate_per_s, at_ms, is_lifted=False):
    """Apply a report of another host."""
    report = LimitReport('p1', rate_per_s, is_lifted, at_ms)
    host.limits.merge([report], 'other', forward=True)


def test_older_and_repeated_reports_are_ignored():
    (host,) = make_hosts(1)
    now = host.clock.now()
    merge(host, 2.0, now - 10)
    merge(host, 3.0, now - 20)
    merge(host, 2.0, now - 10)
    merge(host, 2.0, now - 15, is_lifted=True)
    assert host.limits.get_rates('plain') == [2.0]
    assert len(host.limits.collect_updates()) == 1
    assert not host.limits.collect_updates()


def test_new_limits_are_reported_at_once_and_unchanged_ones_rarely():
    (host,) = make_hosts(1)
    rounds = []
    host.limits.notify_peers = lambda: rounds.append(host.clock.now())
    reported = 0
    for _ in range(100):
        host.limits.note_advertised('p1', 2.0)
        reported += len(host.limits.collect_updates())
        host.clock.advance(100)
    assert len(rounds) == 1
    assert reported == 2


def test_limit_that_another_host_believes_to_be_lifted_is_reported_again():
    (host,) = make_hosts(1)
    host.limits.note_advertised('p1', 2.0)
    host.limits.collect_updates()
    host.clock.advance(100)
    merge(host, 2.0, host.clock.now() - 200, is_lifted=True)
    host.limits.note_advertised('p1', 2.0)
    assert len(host.limits.collect_updates()) == 1


def test_limits_are_encoded_without_loss():
    note = reports.LimitNote(
        'h', (LimitReport('p1', 0.5, False, 20), LimitReport('p2', 2, True, 3))
    )
    assert reportcodec.decode(reportcodec.encode(note)) == note


@pytest.mark.parametrize(
    ('rates', 'usual_per_s', 'displaced'),
    [([], 5, 0), ([1, 8], 5, 0.8), ([0, 0], 5, 2), ([1], 0, 0)],
)
def test_limited_endpoints_count_by_what_they_accept(
    rates, usual_per_s, displaced
):
    assert ratelimit.count_displaced(rates, usual_per_s) == displaced
