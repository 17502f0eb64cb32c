"""Peer links and report rounds, mainly while hosts start and stop."""

import asyncio
import dataclasses
import functools
import random
import zlib

import pytest
from websockets.asyncio.client import connect

from pearrun import exceptions
from pearrun.decisions.topology import LinkPlan
from pearrun.shared import peerlinks
from pearrun.shared import reportcodec
from pearrun.shared import reporter
from pearrun.shared import reports
from pearrun.standins.platformsite import make_config
from tests.platformsite import make_host_context
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_topology import find_hubs
from tests.test_topology import run_with_hubs


def test_unreachable_hosts_are_not_marked_down_during_startup():
    """After a loss of all hosts, hubs may be the last to listen again."""

    async def main():
        async with run_site(make_config(), hosts=2) as site:
            first, second = site.hosts.values()
            await wait_until(lambda: first.host.members.count() == 2)
            member = first.host.members.members['host-2']
            gone = dataclasses.replace(member, address='127.0.0.1:9')
            links = first.links
            link_task = asyncio.create_task(links._maintain_link(gone))
            await asyncio.sleep(0.5)
            assert not links.down
            await asyncio.sleep(peerlinks.STARTUP_MS / 1000.0)
            assert gone in links.down
            link_task.cancel()

    asyncio.run(main())


def test_round_interval_is_shorter_after_a_start():
    async def main():
        host = make_host_context()
        own_reporter = reporter.Reporter(host, 1, None)
        assert own_reporter._round_interval_ms() == reporter.STARTUP_ROUND_MS
        own_reporter.created_ms -= reporter.STARTUP_MS
        assert own_reporter._round_interval_ms() == reporter.ROUND_MS

    asyncio.run(main())


def test_hosts_exchange_reports_soon_after_all_have_restarted(monkeypatch):
    async def scenario(site, daemons):
        names = {d.settings.name: d.settings.zone for d in daemons}
        hubs = {d.settings.name for d in find_hubs(daemons)}
        for name in names:
            await site.hosts.pop(name).end()
        # Start the former hubs last.
        for name in sorted(names, key=lambda name: name in hubs):
            number = int(name.rpartition('-')[2])
            await site.add_host(number, names[name])
        started = list(site.hosts.values())
        for daemon in started:
            await wait_until(
                lambda daemon=daemon: (
                    daemon.host.members.count_reporting() == len(started) - 1
                ),
                2,
            )

    run_with_hubs(scenario, monkeypatch)


def test_a_host_with_an_unresponsive_peer_stops_quickly():
    """Guards against waiting for the close frame until the host is killed."""

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


def test_a_hub_with_a_slow_link_sends_fewer_rounds():
    """Guards against a hub that saturates its own link.

    A host with a link of 5 Mbit/s became a hub after its zone's hubs had
    ended.  It sent 40 KB to 26 hosts five times per second, 42 Mbit/s.  For
    5 s it reached neither the store nor the other hosts, and sent calls to
    endpoints that had left; it removed one 6.4 s later than other hosts.
    """

    async def main():
        host = make_host_context()
        host.settings = dataclasses.replace(host.settings, link_mbps=5.0)
        own_reporter = reporter.Reporter(host, 1, None)
        own_reporter.created_ms -= reporter.STARTUP_MS
        own_reporter.plan = LinkPlan(False, True, True, frozenset())
        own_reporter._make_round = object
        running = asyncio.create_task(own_reporter.run())
        rounds = 0
        began_ms = host.clock.now()
        while host.clock.since(began_ms) < 1500:
            await own_reporter.wait_for_round()
            rounds += 1
            for _ in range(20):
                own_reporter.bundle([random.randbytes(4000)])
            own_reporter.trigger_round()
        running.cancel()
        sent_bytes = rounds * 20 * 4000
        allowed_bytes = 5.0 * reporter.LINK_SHARE * 1e6 / 8 * 1.5
        # One round may be sent before the first delay and one at the end.
        assert sent_bytes <= allowed_bytes + 2 * 20 * 4100

    asyncio.run(main())


def test_a_large_bundle_is_compressed_and_a_damaged_one_rejected():
    message = reportcodec.encode(reports.HostEnded('front-zone-a-1' * 400))
    data = reportcodec.encode_bundle('h', True, [message])
    assert len(data) < 1000
    ((ended, _),) = reportcodec.decode_bundle(data).messages
    assert ended == reports.HostEnded('front-zone-a-1' * 400)
    for damaged in (data[:-9], data[:20] + b'xx' + data[22:]):
        with pytest.raises(exceptions.WireFormatError):
            reportcodec.decode_bundle(damaged)
    bomb = zlib.compress(bytes(reportcodec.MAX_BUNDLE_BYTES + 1))
    with pytest.raises(exceptions.WireFormatError):
        reportcodec.decode_bundle(bomb)


class Partition:
    """Refuses connections between zones, as a partition with resets does."""

    def __init__(self, site):
        self.zones = {
            f'ws://{daemon.settings.ip}:{daemon.settings.first_port}/': (
                daemon.settings.zone
            )
            for daemon in site.hosts.values()
        }
        self.active = False

    def connect(self, zone, address, **options):
        """Replace the ``connect`` of a host in a zone."""
        if self.active and self.zones[address] != zone:
            raise ConnectionRefusedError('partitioned')
        return connect(address, **options)


def test_hubs_find_each_other_soon_after_a_partition(monkeypatch):
    # They were excluded for up to 6 s more, and the usage of hosts that did
    # not hear of the lease holder was missing in a report.
    async def scenario(site, daemons):
        partition = Partition(site)
        for daemon in daemons:
            daemon.links.connect = functools.partial(
                partition.connect, daemon.settings.zone
            )
        await asyncio.sleep(peerlinks.STARTUP_MS / 1000)
        hubs = find_hubs(daemons)
        names = {hub.settings.name for hub in hubs}
        partition.active = True
        for hub in hubs:
            for member, task in list(hub.links.links.items()):
                if member.zone != hub.settings.zone:
                    task.cancel()
                    del hub.links.links[member]
        # Longer than the first period for which hosts are considered down.
        await asyncio.sleep(peerlinks.MIN_DOWN_MS / 1000 + 0.5)
        assert any(hub.links._find_down() & names for hub in hubs)
        partition.active = False
        await asyncio.sleep(2)
        for hub in hubs:
            assert not hub.links._find_down() & names

    run_with_hubs(scenario, monkeypatch)
