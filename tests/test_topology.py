"""Plans of the links between hosts, and propagation through hubs."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from pearrun.decisions import topology
from pearrun.shared.members import Member
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until

ZONES = ('zone-a', 'zone-b', 'zone-c')
PLAIN = [('p1', 'plain')]


def make_members(count, link_mbps=()):
    """Return hosts distributed over the zones, in order of start time."""
    return [
        Member(
            f'h{number}',
            f'10.0.0.{number}:1',
            ZONES[number % len(ZONES)],
            number,
            dict(link_mbps).get(number, 10.0),
        )
        for number in range(count)
    ]


def plan_all(members, down=frozenset()):
    """Return the plan of every host that is not down."""
    return {
        member.name: topology.plan_links(member, members, down, False)
        for member in members
        if member.name not in down
    }


def test_small_fleet_is_full_mesh():
    plans = plan_all(make_members(topology.MAX_MESH_HOSTS))
    assert all(plan.mesh and not plan.is_hub for plan in plans.values())
    readers = [name for name, plan in plans.items() if plan.is_reader]
    assert sorted(readers) == ['h0', 'h1', 'h2']
    assert all(
        len(plan.targets) == topology.MAX_MESH_HOSTS - 1
        for plan in plans.values()
    )


def test_another_host_reads_while_reader_is_down():
    plans = plan_all(make_members(9), down={'h0'})
    readers = [name for name, plan in plans.items() if plan.is_reader]
    assert sorted(readers) == ['h1', 'h2', 'h3']


def test_large_fleet_has_hubs_and_one_reader_per_zone():
    plans = plan_all(make_members(63))
    hubs = [name for name, plan in plans.items() if plan.is_hub]
    readers = [name for name, plan in plans.items() if plan.is_reader]
    assert len(hubs) == len(ZONES) * topology.HUBS_PER_ZONE
    assert len(readers) == len(ZONES)
    assert set(readers) <= set(hubs)
    links = sum(len(plan.targets) for plan in plans.values())
    # A full mesh has 3,906 links.
    assert links < 300


def test_hosts_with_fast_links_become_hubs():
    members = make_members(30, link_mbps={27: 200.0, 28: 200.0, 29: 200.0})
    plans = plan_all(members)
    assert all(plans[name].is_reader for name in ('h27', 'h28', 'h29'))


def test_host_addressed_as_hub_acts_as_hub():
    members = make_members(30)
    plan = topology.plan_links(members[20], members, frozenset(), True)
    assert plan.is_hub
    assert not plan.is_reader
    own_zone = {m.name for m in members if m.zone == members[20].zone}
    assert own_zone - {members[20].name} <= plan.targets


@given(
    count=st.integers(topology.MAX_MESH_HOSTS + 2, 90),
    down=st.sets(st.integers(0, 89), max_size=20),
)
def test_report_reaches_every_reachable_host_in_three_hops(count, down):
    members = make_members(count)
    names_down = frozenset(f'h{number}' for number in down)
    plans = plan_all(members, names_down)
    zone_of = {member.name: member.zone for member in members}
    for origin in plans:
        reached = {origin}
        # To the hubs of its zone, to the hubs of other zones, to their hosts.
        for _ in range(3):
            reached |= {
                target
                for name in reached
                if name == origin or plans[name].is_hub
                for target in plans[name].targets
                if target in plans
            }
        up_zones = {zone_of[name] for name in plans}
        assert {zone_of[name] for name in reached} == up_zones
        assert reached == set(plans)


def run_with_hubs(scenario, monkeypatch, runners=(), hosts=6, contracts=None):
    """Run a scenario on hosts in two zones that use hubs."""
    monkeypatch.setattr(topology, 'MAX_MESH_HOSTS', 2)

    async def main():
        async with run_site(
            make_config(), runners, hosts=0, contracts=contracts
        ) as site:
            for number in range(1, hosts + 1):
                zone = 'zone-a' if number % 2 else 'zone-b'
                await site.add_host(number, zone)
            for daemon in site.hosts.values():
                await wait_until(daemon.host.is_ready)
                await wait_until(
                    lambda daemon=daemon: (
                        daemon.host.members.count_reporting() == hosts - 1
                    )
                )
            await scenario(site, list(site.hosts.values()))

    asyncio.run(main())


def find_hubs(daemons):
    """Return the hosts that act as hubs."""
    return [daemon for daemon in daemons if daemon.reporter.plan.is_hub]


def test_loads_and_placements_reach_other_zones_through_hubs(
    monkeypatch,
):
    async def scenario(site, daemons):
        assert len(find_hubs(daemons)) == 4
        site.runners['m1'].event_ms = 400
        caller = next(
            daemon for daemon in daemons if not daemon.reporter.plan.is_hub
        )
        pending_call = asyncio.create_task(
            call(
                caller,
                '/long/',
                'a',
                'POST',
                **make_prompt('aa:2000,bb:50', tokens=2050),
            )
        )
        for daemon in daemons:
            if daemon is caller:
                continue
            await wait_until(
                lambda daemon=daemon: daemon.host.loads.get('m1').calls == 1
            )
            await wait_until(
                lambda daemon=daemon: daemon.host.selection.prefixes.holds(
                    'm1', 'aa'
                )
            )
        await pending_call
        for daemon in daemons:
            await wait_until(
                lambda daemon=daemon: not daemon.host.loads.get('m1').calls
            )

    run_with_hubs(scenario, monkeypatch, [('m1', 'model')])


def test_usage_of_all_hosts_reaches_lease_holder(
    monkeypatch,
):
    async def scenario(site, daemons):
        for number, daemon in enumerate(daemons * 2):
            answer = await call(daemon, '/once/', f'a{number}')
            assert answer.status == 200
        await wait_until(lambda: count_reported(site) == 2 * len(daemons), 8)

    run_with_hubs(scenario, monkeypatch, [('p1', 'plain')])


def count_reported(site):
    """Return the calls reported for anna, each window counted once."""
    return sum(
        counts.get('anna', 0)
        for counts in dict(site.api.list_usage_reports()).values()
    )


async def add_endpoints(site, daemons, count=20):
    """Add endpoints one by one until all hosts list them.

    The recorded calls of the store are reset first.
    """
    site.store.calls.clear()
    for number in range(count):
        await site.add_runner(f'q{number}', 'plain')
        await asyncio.sleep(0.05)
    for daemon in daemons:
        await wait_until(
            lambda daemon=daemon: (
                len(daemon.host.fleet.find_by_service('plain')) == count
            )
        )


def count_reads(site):
    """Return how often the list of endpoints was read from the store."""
    return sum(
        query.get('topic') == 'keyed.servers' for _, query in site.store.calls
    )


def test_one_host_per_zone_reads_endpoints(monkeypatch):
    async def scenario(site, daemons):
        await asyncio.sleep(0.5)
        await add_endpoints(site, daemons)
        # If all six hosts read the list themselves, they make about 40 reads.
        assert count_reads(site) <= 18

    run_with_hubs(scenario, monkeypatch)


def test_one_host_per_zone_reads_host_list(
    monkeypatch,
):
    """A host that starts or ends does not make all others read."""

    async def scenario(site, daemons):
        await asyncio.sleep(1.5)
        site.store.calls.clear()
        for number in (11, 12, 13):
            added = await site.add_host(number)
            name = added.settings.name
            for daemon in daemons:
                await wait_until(
                    lambda daemon=daemon, name=name: (
                        name in daemon.host.members.members
                    ),
                    3,
                )
            await asyncio.sleep(0.5)
        reads = sum(
            path == '/log-read' and query['topic'] == 'keyed.hosts'
            for path, query in site.store.calls
        )
        # If all eight hosts read the list themselves, they make 30 reads.
        assert reads <= 18

    run_with_hubs(scenario, monkeypatch, hosts=8)


def test_one_host_of_small_fleet_reads_endpoints():
    """One host of a zone reads and forwards to the two others."""

    async def main():
        async with run_site(make_config(), [], hosts=3) as site:
            hosts = list(site.hosts.values())
            await wait_until(
                lambda: all(d.host.members.count() == 3 for d in hosts)
            )
            await asyncio.sleep(1.0)
            await add_endpoints(site, hosts)
            # If all three hosts read the list themselves, they make about 20
            # reads.
            assert count_reads(site) <= 12
            site.store.calls.clear()
            await asyncio.sleep(4)
            # Without changes, the empty reads of the reader are forwarded as
            # well.
            assert count_reads(site) <= 7

    asyncio.run(main())


def test_reader_without_store_is_replaced_quickly():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            hosts = list(site.hosts.values())
            await wait_until(
                lambda: sum(d.reporter.plan.is_reader for d in hosts) == 1
            )
            (reader,) = (d for d in hosts if d.reporter.plan.is_reader)
            reader.store.pool.address = '127.0.0.1:9'
            reader.store.pool.close()
            for connection in list(reader.store.pool.in_flight):
                connection.abort()
            runner = site.runners['p1']
            runner.state = 'draining'
            site.publish_runner(runner)
            drain_started_ms = reader.clock.now()
            for daemon in hosts:
                if daemon is not reader:
                    await wait_until(
                        lambda daemon=daemon: (
                            daemon.host.fleet.find_by_service('plain') == []
                        )
                    )
            drain_ms = reader.settings.drain_ms
            assert reader.clock.since(drain_started_ms) < 0.95 * drain_ms

    asyncio.run(main())


def test_zone_replaces_ended_hubs(monkeypatch):
    async def scenario(site, daemons):
        ended = [
            daemon
            for daemon in find_hubs(daemons)
            if daemon.settings.zone == 'zone-a'
        ]
        for daemon in ended:
            await daemon.end()
            del site.hosts[daemon.settings.name]
        (remaining,) = (
            daemon
            for daemon in site.hosts.values()
            if daemon.settings.zone == 'zone-a'
        )
        await wait_until(lambda: remaining.reporter.plan.is_reader)
        await site.add_runner('late', 'plain')
        await wait_until(lambda: 'late' in remaining.host.fleet.endpoints)
        site.runners['late'].work_ms = 2500
        pending_call = asyncio.create_task(call(remaining, '/once/', 'a'))
        for daemon in site.hosts.values():
            if daemon is not remaining:
                await wait_until(
                    lambda daemon=daemon: daemon.host.loads.get('late').calls
                )
        assert (await pending_call).status == 200

    run_with_hubs(scenario, monkeypatch)


def test_shrunken_fleet_becomes_full_mesh(monkeypatch):
    async def scenario(site, daemons):
        monkeypatch.setattr(topology, 'MAX_MESH_HOSTS', 100)
        for daemon in daemons:
            await wait_until(lambda daemon=daemon: daemon.reporter.plan.mesh)
        site.runners['m1'].event_ms = 600
        pending_call = asyncio.create_task(
            call(daemons[0], '/long/', 'a', 'POST', **make_prompt())
        )
        for daemon in daemons[1:]:
            await wait_until(
                lambda daemon=daemon: daemon.host.loads.get('m1').calls == 1
            )
        await pending_call

    run_with_hubs(scenario, monkeypatch, [('m1', 'model')])


def test_configuration_reaches_host_without_store_through_hub(
    monkeypatch,
):
    async def scenario(site, daemons):
        isolated = next(
            daemon for daemon in daemons if not daemon.reporter.plan.is_hub
        )
        isolated.store.pool.address = '127.0.0.1:9'
        isolated.store.pool.close()
        await asyncio.sleep(3.0)
        site.configure(make_config(7))
        await wait_until(lambda: isolated.host.config.version == 7, 6)
        await site.add_runner('late', 'plain')
        await wait_until(lambda: 'late' in isolated.host.fleet.endpoints)

    run_with_hubs(scenario, monkeypatch)
