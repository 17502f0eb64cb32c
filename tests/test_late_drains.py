"""How long a host may go on using an endpoint that has begun to leave.

A host passed a call on to an endpoint 2.2 s after the store had
acknowledged that it leaves, where 2 s are allowed.  No line of that time
told of a lost store, a lost peer or a failed call.

A read that waits for changes may miss a record that is appended in the
millisecond in which it arrives, and answers only at the end of its wait.
A host then learns of a drain with the next record, or when the wait ends.
When 37 drains were played, one host of nine learnt of one drain 1,408 ms
after the others, with the next change, though it had been asking all along:

    52.4141 front-khomas-a-3 endpoint removed i-f0358c5a64
    52.5728 front-khomas-a-1 endpoint state i-c8ebc39db5 leaving
    52.5748 front-khomas-b-2 endpoint state i-c8ebc39db5 leaving
    53.9801 front-khomas-a-3 endpoint state i-c8ebc39db5 leaving

Its next read arrived 158 ms after the first line, when its pause of 150 ms
was over.  A shorter wait bounds one such read.  A host that is told by
another one waited for silence besides, 0.75 of the time allowed, from the
last news on: 800 ms of a read and 1,500 ms of silence made 2,309 ms.  Hosts
therefore know how old the list is, whoever read it, and read for themselves
when it is too old, without a wait.
"""

import asyncio
import json

import pytest

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.platform.endpointlist import EndpointFollower
from pearrun.platform.store import KeyedRecord
from pearrun.platform.store import READ_NOW_MS
from pearrun.shared.reports import TopicFeed
from pearrun.standins.platformsite import make_config
from tests.platformsite import make_host_context
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_endpoint_entries import ENTRY


class ScriptedStore:
    """A log of endpoints whose waiting reads miss what comes meanwhile.

    :param drain_at_read: the drain is appended as this read arrives, the
        first one being 1; 0 for never.
    :param failing_reads: numbers of reads that fail at once.
    :param hung_reads: numbers of reads that get no answer.
    """

    def __init__(self, drain_at_read=0, failing_reads=(), hung_reads=()):
        self.hung_reads = hung_reads
        self.clock = Clock()
        self.drain_at_read = drain_at_read
        self.failing_reads = failing_reads
        self.records = [make_record('ready')]
        self.reads = 0
        self.drained_ms = None

    async def newest(self, topic):
        """See :class:`StoreClient`."""
        return list(self.records), len(self.records)

    async def follow(self, topic, start, wait_ms):
        """See :class:`StoreClient`."""
        self.reads += 1
        if self.reads in self.failing_reads:
            raise exceptions.StoreUnavailableError('no answer')
        if self.reads in self.hung_reads:
            await asyncio.sleep(to_seconds(wait_ms + READ_NOW_MS))
            raise exceptions.StoreUnavailableError('no answer')
        found = self.records[start:]
        if self.reads == self.drain_at_read:
            self.drain()
        if not found and wait_ms:
            await asyncio.sleep(to_seconds(wait_ms))
        return found, start + len(found)

    def drain(self):
        """Append that the endpoint leaves."""
        self.records.append(make_record('draining'))
        self.drained_ms = self.clock.now()


def make_record(state):
    """Return the record of the one endpoint in a state."""
    return KeyedRecord('e1', json.dumps({**ENTRY, 'state': state}).encode())


def make_follower(store):
    """Return the follower of a host that another one reads for."""
    host = make_host_context()
    host.feed.followed = True
    return EndpointFollower(host, store)


async def measure_delay(follower, store):
    """Return the milliseconds from the drain until it is acted on."""
    fleet = follower.host.fleet
    await wait_until(lambda: store.drained_ms is not None)
    await wait_until(lambda: fleet.find_by_service('model') == [])
    return store.clock.since(store.drained_ms)


async def tell_late(follower, store):
    """Have another host pass on a read that missed a drain, and no more."""
    await wait_until(lambda: follower.host.fleet.find_by_service('model'))
    position = len(store.records)
    waited_ms = follower.wait_ms
    store.drain()
    await asyncio.sleep(to_seconds(waited_ms))
    follower.host.feed.offer(TopicFeed(position, position, (), waited_ms))


async def fall_silent(follower, store):
    """Have the host that reads fall silent just before a drain."""
    await wait_until(lambda: follower.host.fleet.find_by_service('model'))
    position = len(store.records)
    follower.host.feed.offer(TopicFeed(position, position, (), 0))
    store.drain()


def play(store, script=None):
    """Run a follower until it has acted on the drain.

    :param script: called with the follower and the store.
    :returns: the time that took, and the time allowed, in milliseconds.
    """

    async def main():
        follower = make_follower(store)
        tasks = [asyncio.create_task(follower.run())]
        if script is not None:
            tasks.append(asyncio.create_task(script(follower, store)))
        try:
            took_ms = await measure_delay(follower, store)
        finally:
            for task in tasks:
                task.cancel()
        return took_ms, follower.host.settings.drain_ms

    return asyncio.run(main())


@pytest.mark.parametrize(
    ('store', 'script'),
    [
        pytest.param(
            ScriptedStore(drain_at_read=1), None, id='own read missed it'
        ),
        pytest.param(ScriptedStore(), tell_late, id='reader missed it'),
        pytest.param(
            ScriptedStore(drain_at_read=1, failing_reads=(2,)),
            None,
            id='a read failed',
        ),
        pytest.param(
            ScriptedStore(hung_reads=(1,)), fall_silent, id='a read hung'
        ),
    ],
)
def test_a_drain_is_known_in_time_without_the_host_that_reads(store, script):
    took_ms, allowed_ms = play(store, script)
    assert took_ms < allowed_ms


def test_hosts_leave_the_store_to_a_reader_that_is_heard():
    """The limit on a list's age leaves room for a quiet reader's news."""

    async def main():
        async with run_site(make_config(), [('p1', 'plain')], hosts=3) as site:
            hosts = site.hosts.values()
            await wait_until(
                lambda: sum(d.reporter.plan.is_reader for d in hosts) == 1
            )
            await asyncio.sleep(1.0)
            site.store.calls.clear()
            await asyncio.sleep(3.0)
            reads = [
                query
                for path, query in site.store.calls
                if path == '/log-read' and query['topic'] == 'keyed.servers'
            ]
            assert reads
            assert all('wait_ms' in query for query in reads)

    asyncio.run(main())


def test_a_read_that_hangs_is_given_up_soon():
    """Another one follows, which may take longer: the store may be slow."""

    async def main():
        async with run_site(make_config(), [('p1', 'plain')]) as site:
            (host,) = site.hosts.values()
            site.store.faults.silent = True
            limits = []
            for _ in range(3):
                began_ms = host.clock.now()
                with pytest.raises(exceptions.StoreUnavailableError):
                    await host.store.follow('servers', 0, 0)
                limits.append(host.clock.since(began_ms))
            assert limits[0] < 1.5 * READ_NOW_MS
            assert limits[0] < limits[1] <= limits[2]

    asyncio.run(main())
