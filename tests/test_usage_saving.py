"""Persistence of usage counts across the loss of hosts."""

import asyncio
import collections
import dataclasses
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from pearrun import exceptions
from pearrun.decisions import lease
from pearrun.decisions import usagewindow
from pearrun.platform import usagelog
from pearrun.shared.reporter import ROUND_MS
from pearrun.standins.platformsite import make_config
from pearrun.usage.saver import SAVE_INTERVAL_MS
from pearrun.usage.saver import UsageSaver
from pearrun.usage.table import UsageTable
from tests.platformsite import call
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_platform_duties import count_usage
from tests.test_platform_duties import find_holders

PLAIN = [('p1', 'plain')]
HOSTS = [f'h{number}' for number in range(4)]


class StoreEntries:
    """An in-memory replacement for the :class:`StoreClient`."""

    def __init__(self):
        self.values = {}

    async def read_newest(self, topic):
        """See :class:`StoreClient`."""
        records = [StoreRecord(*item) for item in self.values.items()]
        return records, len(records)

    async def put_all(self, topic, pairs):
        """See :class:`StoreClient`."""
        for key, value in pairs:
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value


StoreRecord = collections.namedtuple('StoreRecord', 'key value')


class FakeTerm:
    """A term of the lease, reduced to its fencing token."""

    def __init__(self, fencing):
        self.fencing = fencing


class UsageMachine(RuleBasedStateMachine):
    """Hosts count, report, save, are killed and take over the lease."""

    def __init__(self):
        super().__init__()
        self.log = usagelog.UsageLog(StoreEntries())
        self.started = dict.fromkeys(HOSTS, 0)
        self.counted = collections.defaultdict(collections.Counter)
        self.reported = collections.defaultdict(collections.Counter)
        self.actual = collections.Counter()
        self.lost = collections.Counter()
        self.committed = {}
        self.window = 1
        self.fencing = 0

    @initialize()
    def begin(self):
        self.take_over()

    @rule(host=st.sampled_from(HOSTS), count=st.integers(1, 5))
    def count_calls(self, host, count):
        run = (host, self.started[host])
        self.counted[run][self.window] += count
        self.actual[self.window] += count

    @rule(host=st.sampled_from(HOSTS))
    def report(self, host):
        """A host reports its counts to the lease holder."""
        run = (host, self.started[host])
        counts = {w: {'c': n} for w, n in self.counted[run].items()}
        self.table.put(*run, counts)
        self.reported[run] = collections.Counter(self.counted[run])

    @rule()
    def save(self):
        asyncio.run(self.saver.save(max(self.committed, default=0) + 1))

    @rule(names=st.sets(st.sampled_from(HOSTS), min_size=1))
    def kill(self, names):
        """Hosts are killed; what they had not reported is lost."""
        for name in names:
            run = (name, self.started[name])
            for window, count in self.counted[run].items():
                self.lost[window] += count - self.reported[run][window]
            self.started[name] += 1

    @rule()
    def take_over(self):
        """Another host takes the lease and starts with an empty table."""
        self.table = UsageTable()
        self.saver = UsageSaver(self.table, self.log)
        self.fencing += 1
        asyncio.run(self.saver.restore(FakeTerm(self.fencing)))
        for name in HOSTS:
            self.report(name)

    @rule()
    def fail_all_hosts(self):
        """All hosts are killed at once, just after a save."""
        self.save()
        self.kill(set(HOSTS))
        self.take_over()

    @rule()
    def commit(self):
        """The window ends after all hosts have reported."""
        for name in HOSTS:
            self.report(name)
        total = self.table.sum_window(self.window).get('c', 0)
        self.committed[self.window] = total
        self.window += 1

    @invariant()
    def nothing_is_counted_twice(self):
        for window, total in self.committed.items():
            assert total <= self.actual[window]

    @invariant()
    def the_table_never_exceeds_the_actual_counts(self):
        for window in list(self.table.windows):
            total = self.table.sum_window(window).get('c', 0)
            assert total <= self.actual[window]


class UsageSavedBeforeTakeover(UsageMachine):
    """All counts saved or reported are committed, whoever is killed."""

    @rule()
    def take_over(self):
        """Take over after the former holder has saved all counts."""
        if self.fencing:
            self.save()
        super().take_over()

    @invariant()
    def only_what_was_not_reported_is_lost(self):
        for window, total in self.committed.items():
            assert total >= self.actual[window] - self.lost[window]


TestUsage = UsageMachine.TestCase
TestUsageSaved = UsageSavedBeforeTakeover.TestCase
for case in (TestUsage, TestUsageSaved):
    case.settings = settings(max_examples=60, stateful_step_count=30)


def test_counts_are_removed_from_the_store_once_reported():
    async def main():
        log = usagelog.UsageLog(StoreEntries())
        table = UsageTable()
        saver = UsageSaver(table, log)
        await saver.restore(FakeTerm(1))
        table.put('h', 1, {4: {'c': 2}})
        await saver.save(4)
        assert await log.read()
        await saver.save(5)
        assert await log.read() == []

    asyncio.run(main())


def test_counts_from_before_the_loss_of_all_hosts_are_reported():
    """The first lease holder after the loss reports the saved counts."""

    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            await wait_until(lambda: find_holders(site), 8)
            for number in range(9):
                host = list(site.hosts.values())[number % 3]
                await call(host, '/once/', f'a{number}')
            # Wait for a round of reports and for a save.
            await asyncio.sleep(0.5)
            reported = count_usage(site)
            for name in list(site.hosts):
                await site.hosts.pop(name).end()
            for number in (4, 5, 6):
                await site.add_host(number)
            await wait_until(lambda: count_usage(site) == 9, 12)
            assert reported < 9

    asyncio.run(main())


def test_a_slow_platform_blocks_neither_the_lease_nor_orders():
    """The API takes 0.5 s per call, and orders go to many zones."""

    async def main():
        config = make_config()
        zones = {f'zone-{letter}': 1.0 for letter in 'abcdefgh'}
        config['services'][1]['autoscale'] = {
            'min': 1,
            'max': 6,
            'boot_s': 1,
            'spot_price': 0.2,
            'zone_prices': zones,
        }
        async with run_site(config, PLAIN, hosts=0) as site:
            site.api.answer_ms = 500
            host = await site.add_host(1)
            host.host.settings = dataclasses.replace(
                host.settings, zones=tuple(zones)
            )
            await wait_until(lambda: find_holders(site), 8)
            began_ms = host.clock.now()
            fencing = host.duties.view.fencing
            while host.clock.since(began_ms) < 5000:
                assert host.duties.holds()
                await asyncio.sleep(0.05)
            assert host.duties.view.fencing == fencing
            orders = {
                (order['zone'], order.get('spot', False))
                for order in site.api.list_orders()
            }
            assert len(orders) == 2 * len(zones)

    asyncio.run(main())


def test_a_log_with_deleted_records_does_not_count_as_unchanged():
    """Guards against two holders at once (found by the soak, seed 31203403).

    A host had read the log 4 s before, the holder's later records were
    deleted unread, and the host claimed the lease.
    """
    view = lease.LeaseView('h2/1')
    view.note_end(8, 1000)
    view.note_expired(16, 6000)
    view.note_end(16, 6000)
    assert not view.may_claim(6000)
    assert not view.may_claim(6000 + lease.TAKEOVER_DELAY_MS - 1)
    assert view.may_claim(6000 + lease.TAKEOVER_DELAY_MS)


def test_windows_that_may_have_been_reported_are_not_committed_again():
    async def main():
        async with run_site(make_config(), PLAIN) as site:
            (host,) = site.hosts.values()
            await wait_until(lambda: find_holders(site), 8)
            duties = host.duties
            now = duties.host.corrected_clock.wall() // 1000
            duties.view.last_committed_window = now - 3
            assert duties._find_last_closed() == now - 3
            duties.view.note_history_lost(duties.clock.boot())
            assert now - 2 <= duties._find_last_closed() < now + 1

    asyncio.run(main())


def test_a_record_based_on_an_outdated_log_is_not_written():
    """Two duties write at once; the second decided on an older log."""

    async def main():
        async with run_site(make_config(), PLAIN) as site:
            (host,) = site.hosts.values()
            await wait_until(lambda: find_holders(site), 8)
            log = host.duties.log
            record = lease.LeaseRecord(lease.RecordKind.RENEW, log.view.run)
            done = await asyncio.gather(
                log.write(record), log.write(record), return_exceptions=True
            )
            failed = [item for item in done if item is not None]
            assert [type(item) for item in failed] == [
                exceptions.StoreConflictError
            ]

    asyncio.run(main())


def test_counts_of_a_host_cut_off_while_a_window_ends_are_reported():
    # The window was reported without them, a second and a half after its end.
    async def main():
        async with run_site(
            make_config(), PLAIN, hosts=3, usage_late_s=10
        ) as site:
            await wait_until(lambda: find_holders(site))
            (holder,) = find_holders(site)
            cut_off = next(
                host for host in site.hosts.values() if host is not holder
            )
            select = cut_off.reporter.select_messages
            cut_off.reporter.select_messages = lambda *args: []
            for number in range(6):
                await call(holder, '/once/', f'a{number}')
                await call(cut_off, '/once/', f'b{number}')
            await asyncio.sleep(4)
            cut_off.reporter.select_messages = select
            await wait_until(lambda: count_usage(site) == 12, 6)

    asyncio.run(main())


def test_counts_are_committed_in_time_without_those_of_a_lost_host():
    async def main():
        async with run_site(
            make_config(), PLAIN, hosts=3, usage_late_s=7
        ) as site:
            await wait_until(lambda: find_holders(site))
            (holder,) = find_holders(site)
            cut_off = next(
                host for host in site.hosts.values() if host is not holder
            )
            cut_off.reporter.select_messages = lambda *args: []
            await call(holder, '/once/', 'a1')
            began_ms = holder.clock.now()
            await wait_until(lambda: count_usage(site) == 1, 9)
            assert holder.clock.since(began_ms) < 8_000

    asyncio.run(main())


@pytest.mark.parametrize(
    ('since_end_ms', 'missing', 'final'),
    [
        (1_499, False, False),
        (1_500, False, True),
        (1_500, True, False),
        (5_499, True, False),
        (5_500, True, True),
    ],
)
def test_a_window_waits_for_missing_hosts_until_a_successor_needs_the_rest(
    since_end_ms, missing, final
):
    limits = usagewindow.WindowSettings()
    decided = usagewindow.is_final(since_end_ms, 10_000, missing, limits)
    assert decided == final


def test_windows_are_reported_after_the_lease_log_was_deleted_to_its_end():
    # A successor closes windows that the former holder may have committed.
    async def main():
        async with run_site(
            make_config(), PLAIN, hosts=2, usage_late_s=12
        ) as site:
            await wait_until(lambda: find_holders(site))
            (holder,) = find_holders(site)
            for number in range(6):
                await call(holder, '/once/', f'a{number}')
            # The holder renews its lease, which nobody else has read, but has
            # not committed the window yet.
            await asyncio.sleep(1.2)
            site.store.delete_history('duties')
            await site.hosts.pop(holder.settings.name).end()
            await wait_until(lambda: count_usage(site) == 6, 14)

    asyncio.run(main())


def test_malformed_entry_of_a_closed_window_closes_all_windows():
    async def main():
        entries = StoreEntries()
        entries.values['closed/7/x'] = b'1'
        assert await usagelog.UsageLog(entries).read_closed() is None

    asyncio.run(main())


def compute_lost_share(rng, hosts, rate_per_s=300):
    """Return the share of a window's counts lost when all hosts lose power.

    Hosts report, and the holder saves what it knows, at intervals of their
    own.  Power is lost as the window ends.
    """
    end_ms = 5_000
    saved_ms = end_ms - rng.uniform(0, SAVE_INTERVAL_MS)
    reported_ms = [saved_ms - rng.uniform(0, ROUND_MS) for _ in range(hosts)]
    calls = rate_per_s * end_ms // 1000
    lost = sum(
        rng.uniform(0, end_ms) > rng.choice(reported_ms) for _ in range(calls)
    )
    return lost / calls


def test_counts_lost_with_all_hosts_are_within_the_tolerance():
    rng = random.Random(1)
    shares = [compute_lost_share(rng, hosts=84) for _ in range(200)]
    assert max(shares) <= 0.05
