"""A holder of the duties' lease that loses the store is succeeded.

In a large fleet too few endpoints served for seconds: two zones' cheap
endpoints were taken away, and nobody ordered others.  The holder of the
lease was one of the hosts that the store turned away from 2.5 s on; no other
host took the lease in the 9 s until the store answered it again.

     2.37 front-jaboatao-2 endpoints ordered count=4
     3.13 front-jaboatao-2 lease: the store said 503
    11.73 front-jaboatao-2 endpoints ordered count=29 before=5

Hubs told each other of the lease, and each took what came back for news, so
that its notice never grew old: 20 s after a holder had lost the store all
hosts still had heard of it within the last 0.2 s.  With notices that keep
their age a successor came after 6.8 s, since it began only then to look for
how long the lease's log had stood still, though the last notice had told
where it ends.  It now takes 4.0 s.
"""

import asyncio

from pearrun.decisions import lease
from pearrun.platform.daemon import Daemon
from tests.platformsite import wait_until
from tests.test_topology import find_hubs
from tests.test_topology import play_with_hubs

# What a successor may need beyond the time for which the log must stand
# still: reports through two hubs, a tick, and calls to the store.
NEWS_MS = 1500


def cut_from_store(daemon):
    """Have a host's calls to the store fail from now on."""
    daemon.store.pool.address = '127.0.0.1:9'
    daemon.store.pool.close()
    for connection in list(daemon.store.pool.fetching):
        connection.abort()


def find_holder(daemons):
    """Return the host that holds the lease, or ``None``."""
    return next(filter(Daemon.holds_lease, daemons), None)


def test_a_holder_without_the_store_is_succeeded_in_a_fleet_with_hubs(
    monkeypatch,
):
    async def scenario(site, daemons):
        await wait_until(lambda: find_holder(daemons) is not None, 8)
        first = find_holder(daemons)
        others = [daemon for daemon in daemons if daemon is not first]
        # Let all hosts hear of it.
        await asyncio.sleep(1)
        cut_from_store(first)
        begun_ms = first.clock.now()
        await wait_until(lambda: find_holder(others) is not None, 15)
        took_ms = first.clock.since(begun_ms)
        assert took_ms < lease.TAKEOVER_DELAY_MS + NEWS_MS

    play_with_hubs(scenario, monkeypatch)


def test_a_holder_does_not_pass_on_reports_for_holding_the_lease(monkeypatch):
    """A successor lost the lease again after 3 s, and so did the next.

    Hosts told it what they tell their hubs, so it took itself for one and
    sent all reports to 22 hosts over a link of 10 Mbit/s, until its own
    calls to the store timed out:

         5.78 front-boa-viagem-23 lease taken
         6.41 front-boa-viagem-23 role among hosts is_hub=true targets=26
         8.64 front-boa-viagem-23 lease: /log-append: (timed out)
        10.74 front-boa-viagem-23 store lost: connect timed out
        13.31 front-jaboatao-2 lease taken
    """

    async def scenario(site, daemons):
        hubs = find_hubs(daemons)
        others = [daemon for daemon in daemons if daemon not in hubs]
        for hub in hubs:
            cut_from_store(hub)
        await wait_until(lambda: find_holder(others) is not None, 15)
        # Hosts plan their links and roles several times a second.
        await asyncio.sleep(1.5)
        assert find_holder(others) is not None
        assert find_hubs(daemons) == hubs

    # Two hosts in each zone are no hubs: one holds, the other one tells it.
    play_with_hubs(scenario, monkeypatch, hosts=8)
