"""Links of hosts that start together."""

import asyncio
import dataclasses
import random
import zlib

import pytest
from websockets.asyncio.client import connect

from pearrun import exceptions
from pearrun.decisions.topology import LinkPlan
from pearrun.shared import peerlinks
from pearrun.shared import reporter
from pearrun.shared import reports
from pearrun.standins.platformsite import make_config
from tests.platformsite import make_host_context
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_topology import find_hubs
from tests.test_topology import play_with_hubs


def test_hosts_that_start_a_little_later_are_not_taken_to_be_down():
    """After a loss of all hosts, hubs may be the last to listen again."""

    async def main():
        async with run_site(make_config(), hosts=2) as site:
            first, second = site.hosts.values()
            await wait_until(lambda: first.host.members.count() == 2)
            member = first.host.members.members['host-2']
            gone = dataclasses.replace(member, address='127.0.0.1:9')
            links = first.make_peer_links()
            linking = asyncio.create_task(links._keep_link(gone))
            await asyncio.sleep(0.5)
            assert not links.down
            await asyncio.sleep(peerlinks.STARTING_MS / 1000.0)
            assert gone in links.down
            linking.cancel()

    asyncio.run(main())


def test_rounds_follow_sooner_after_a_start():
    async def main():
        host = make_host_context()
        made = reporter.Reporter(host, 1, None)
        assert made._round_ms() == reporter.FIRST_ROUND_MS
        made.begun_ms -= reporter.STARTING_MS
        assert made._round_ms() == reporter.ROUND_MS

    asyncio.run(main())


def test_hubs_stay_hubs_when_all_hosts_have_ended_at_once(monkeypatch):
    async def scenario(site, daemons):
        names = {d.settings.name: d.settings.zone for d in daemons}
        hubs = {d.settings.name for d in find_hubs(daemons)}
        for name in names:
            await site.hosts.pop(name).end()
        # Those that were no hubs are up first.
        for name in sorted(names, key=lambda name: name in hubs):
            number = int(name.rpartition('-')[2])
            await site.add_host(number, names[name])
        started = list(site.hosts.values())
        for daemon in started:
            await wait_until(
                lambda daemon=daemon: (
                    daemon.host.members.count_heard() == len(started) - 1
                ),
                2,
            )

    play_with_hubs(scenario, monkeypatch)


def test_a_host_ends_soon_beside_a_peer_that_answers_nothing():
    """Hosts that stop beside a cut-off one were killed in the end."""

    async def main():
        async with run_site(make_config(), hosts=1) as site:
            (daemon,) = site.hosts.values()
            settings = daemon.settings
            address = f'ws://{settings.ip}:{settings.first_port}/'
            link = await connect(address, proxy=None)
            link.transport.pause_reading()
            began_ms = daemon.clock.now()
            await daemon.end()
            assert daemon.clock.since(began_ms) < 1000
            link.transport.abort()

    asyncio.run(main())


def test_a_hub_with_a_slow_link_makes_fewer_rounds():
    """A host with a link of 5 Mbit/s followed its zone's hubs, which ended.

    It sent 40 KB to 26 hosts five times a second, 42 Mbit/s.  For 5 s it
    reached neither the store nor the other hosts, and passed calls on to
    endpoints that had left.

        43.23 front-pnw-portland-17 role among hosts is_hub=true targets=26
        45.79 front-pnw-portland-17 peer link down: keepalive ping timeout
        48.20 front-pnw-portland-17 store lost: /log-read
        51.32 front-pnw-portland-17 endpoint removed (44.92 elsewhere)
    """

    async def main():
        host = make_host_context()
        host.settings = dataclasses.replace(host.settings, link_mbps=5.0)
        made = reporter.Reporter(host, 1, None)
        made.begun_ms -= reporter.STARTING_MS
        made.plan = LinkPlan(False, True, True, frozenset())
        made._make = object
        told = asyncio.create_task(made.run())
        rounds = 0
        began_ms = host.clock.now()
        while host.clock.since(began_ms) < 1500:
            await made.next_round()
            rounds += 1
            for _ in range(20):
                made.bundle([random.randbytes(4000)])
            made.tell_at_once()
        told.cancel()
        sent_bytes = rounds * 20 * 4000
        allowed_bytes = 5.0 * reporter.LINK_SHARE * 1e6 / 8 * 1.5
        # One round may be sent before the first wait, one at the end.
        assert sent_bytes <= allowed_bytes + 2 * 20 * 4100

    asyncio.run(main())


def test_a_large_bundle_is_compressed_and_a_damaged_one_refused():
    message = reports.encode(reports.HostEnded('front-zone-a-1' * 400))
    data = reports.encode_bundle('h', True, [message])
    assert len(data) < 1000
    ((ended, _),) = reports.decode_bundle(data).messages
    assert ended == reports.HostEnded('front-zone-a-1' * 400)
    for damaged in (data[:-9], data[:20] + b'xx' + data[22:]):
        with pytest.raises(exceptions.WireFormatError):
            reports.decode_bundle(damaged)
    bomb = zlib.compress(bytes(reports.MAX_BUNDLE_BYTES + 1))
    with pytest.raises(exceptions.WireFormatError):
        reports.decode_bundle(bomb)
