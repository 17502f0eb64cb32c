"""Usage counts that outlast the hosts that counted them."""

import asyncio
import collections
import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from pearrun import exceptions
from pearrun.decisions import lease
from pearrun.platform import usagelog
from pearrun.shared.usageboard import UsageBoard
from pearrun.shared.usagesaving import UsageSaving
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_platform_duties import count_usage
from tests.test_platform_duties import find_holders

PLAIN = [('p1', 'plain')]
HOSTS = [f'h{number}' for number in range(4)]


class StoreEntries:
    """An in-memory store of usage entries; encodes as the real one does."""

    def __init__(self):
        self.values = {}

    async def newest(self, topic):
        """See :class:`StoreClient`."""
        records = [Record(*item) for item in self.values.items()]
        return records, len(records)

    async def put_all(self, topic, pairs):
        """See :class:`StoreClient`."""
        for key, value in pairs:
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value


Record = collections.namedtuple('Record', 'key value')


class Terms:
    """Stands for a term of the lease."""

    def __init__(self, fencing):
        self.fencing = fencing


class UsageMachine(RuleBasedStateMachine):
    """Hosts count, report, save, are killed and succeed each other."""

    def __init__(self):
        super().__init__()
        self.log = usagelog.UsageLog(StoreEntries())
        self.started = dict.fromkeys(HOSTS, 0)
        self.counted = collections.defaultdict(collections.Counter)
        self.reported = collections.defaultdict(collections.Counter)
        self.truth = collections.Counter()
        self.lost = collections.Counter()
        self.agreed = {}
        self.window = 1
        self.fencing = 0

    @initialize()
    def begin(self):
        self.succeed()

    @rule(host=st.sampled_from(HOSTS), count=st.integers(1, 5))
    def count_calls(self, host, count):
        run = (host, self.started[host])
        self.counted[run][self.window] += count
        self.truth[self.window] += count

    @rule(host=st.sampled_from(HOSTS))
    def report(self, host):
        """A host tells the holder what it has counted."""
        run = (host, self.started[host])
        counts = {w: {'c': n} for w, n in self.counted[run].items()}
        self.board.put(*run, counts)
        self.reported[run] = collections.Counter(self.counted[run])

    @rule()
    def save(self):
        asyncio.run(self.saving.save(max(self.agreed, default=0) + 1))

    @rule(names=st.sets(st.sampled_from(HOSTS), min_size=1))
    def kill(self, names):
        """Hosts end; what they had not reported is lost."""
        for name in names:
            run = (name, self.started[name])
            for window, count in self.counted[run].items():
                self.lost[window] += count - self.reported[run][window]
            self.started[name] += 1

    @rule()
    def succeed(self):
        """Another host takes the lease; it has heard of nobody yet."""
        self.board = UsageBoard()
        self.saving = UsageSaving(self.board, self.log)
        self.fencing += 1
        asyncio.run(self.saving.take_up(Terms(self.fencing)))
        for name in HOSTS:
            self.report(name)

    @rule()
    def lose_all(self):
        """All hosts end at once, just after the holder has saved."""
        self.save()
        self.kill(set(HOSTS))
        self.succeed()

    @rule()
    def agree(self):
        """The window has ended, and all hosts have reported."""
        for name in HOSTS:
            self.report(name)
        total = self.board.total(self.window).get('c', 0)
        self.agreed[self.window] = total
        self.window += 1

    @invariant()
    def nothing_is_counted_twice(self):
        for window, total in self.agreed.items():
            assert total <= self.truth[window]

    @invariant()
    def a_board_never_exceeds_the_truth(self):
        for window in list(self.board.windows):
            total = self.board.total(window).get('c', 0)
            assert total <= self.truth[window]


class UsageWithoutSuccession(UsageMachine):
    """All that was saved or reported is agreed, whoever was killed."""

    @rule()
    def succeed(self):
        """Succeed after the former holder has saved all that it knew."""
        if self.fencing:
            self.save()
        super().succeed()

    @invariant()
    def only_what_was_not_reported_is_lost(self):
        for window, total in self.agreed.items():
            assert total >= self.truth[window] - self.lost[window]


TestUsage = UsageMachine.TestCase
TestUsageSaved = UsageWithoutSuccession.TestCase
for case in (TestUsage, TestUsageSaved):
    case.settings = settings(max_examples=60, stateful_step_count=30)


def test_counts_of_runs_that_are_reported_leave_the_store():
    async def main():
        log = usagelog.UsageLog(StoreEntries())
        board = UsageBoard()
        saving = UsageSaving(board, log)
        await saving.take_up(Terms(1))
        board.put('h', 1, {4: {'c': 2}})
        await saving.save(4)
        assert await log.read()
        await saving.save(5)
        assert await log.read() == []

    asyncio.run(main())


def test_what_was_counted_before_all_hosts_ended_is_reported():
    """The first holder after the loss reports it."""

    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            await wait_until(lambda: find_holders(site), 8)
            for number in range(9):
                host = list(site.hosts.values())[number % 3]
                await call(host, '/once/', f'a{number}')
            # Reports take a round, and saving as long again.
            await asyncio.sleep(0.5)
            reported = count_usage(site)
            for name in list(site.hosts):
                await site.hosts.pop(name).end()
            for number in (4, 5, 6):
                await site.add_host(number)
            await wait_until(lambda: count_usage(site) == 9, 12)
            assert reported < 9

    asyncio.run(main())


def test_a_slow_platform_keeps_neither_lease_nor_orders():
    """Its API takes half a second to answer; orders are for many zones."""

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
                for order in site.api.orders()
            }
            assert len(orders) == 2 * len(zones)

    asyncio.run(main())


def test_a_log_that_was_deleted_has_not_stood_still():
    """A host claimed the lease beside its holder (soak, seed 31203403).

    It had read the log 4 s before; the holder's records were deleted since.
    """
    view = lease.LeaseView('h2/1')
    view.note_end(8, 1000)
    view.note_expired(16)
    view.note_end(16, 6000)
    assert not view.may_claim(6000)
    assert not view.may_claim(6000 + lease.TAKEOVER_DELAY_MS - 1)
    assert view.may_claim(6000 + lease.TAKEOVER_DELAY_MS)


def test_windows_that_may_have_been_reported_are_not_agreed_again():
    async def main():
        async with run_site(make_config(), PLAIN) as site:
            (host,) = site.hosts.values()
            await wait_until(lambda: find_holders(site), 8)
            duties = host.duties
            now = duties.host.time.wall() // 1000
            duties.view.agreed_until = now - 3
            assert duties._may_be_agreed(now - 3)
            assert not duties._may_be_agreed(now - 2)
            duties.view.note_history_lost(duties.clock.boot())
            assert duties._may_be_agreed(now - 2)
            assert not duties._may_be_agreed(now + 1)

    asyncio.run(main())


def test_a_record_is_not_written_behind_records_that_came_meanwhile():
    """Two duties write at once; the second one decided on an older log."""

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
