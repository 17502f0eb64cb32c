"""Whom hosts tell what they know, and what reaches whom through hubs."""

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
    """Return hosts spread over the zones, in the order of their starts."""
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
    """Return every host's plan; hosts that are down have none."""
    return {
        member.name: topology.plan_links(member, members, down, False)
        for member in members
        if member.name not in down
    }


def test_few_hosts_tell_all_others():
    plans = plan_all(make_members(topology.MESH_HOSTS))
    assert all(plan.mesh and not plan.is_hub for plan in plans.values())
    readers = [name for name, plan in plans.items() if plan.is_reader]
    assert sorted(readers) == ['h0', 'h1', 'h2']
    assert all(
        len(plan.targets) == topology.MESH_HOSTS - 1 for plan in plans.values()
    )


def test_another_host_of_a_zone_reads_while_its_reader_is_down():
    plans = plan_all(make_members(9), down={'h0'})
    readers = [name for name, plan in plans.items() if plan.is_reader]
    assert sorted(readers) == ['h1', 'h2', 'h3']


def test_many_hosts_have_hubs_and_one_reader_in_each_zone():
    plans = plan_all(make_members(63))
    hubs = [name for name, plan in plans.items() if plan.is_hub]
    readers = [name for name, plan in plans.items() if plan.is_reader]
    assert len(hubs) == len(ZONES) * topology.HUBS_EACH_ZONE
    assert len(readers) == len(ZONES)
    assert set(readers) <= set(hubs)
    links = sum(len(plan.targets) for plan in plans.values())
    # A full mesh has 3,906 links.
    assert links < 300


def test_hosts_with_fast_links_are_hubs():
    members = make_members(30, link_mbps={27: 200.0, 28: 200.0, 29: 200.0})
    plans = plan_all(members)
    assert all(plans[name].is_reader for name in ('h27', 'h28', 'h29'))


def test_a_host_that_is_told_as_a_hub_acts_as_one():
    members = make_members(30)
    plan = topology.plan_links(members[20], members, frozenset(), True)
    assert plan.is_hub
    assert not plan.is_reader
    own_zone = {m.name for m in members if m.zone == members[20].zone}
    assert own_zone - {members[20].name} <= plan.targets


@given(
    count=st.integers(topology.MESH_HOSTS + 2, 90),
    down=st.sets(st.integers(0, 89), max_size=20),
)
def test_news_reaches_every_host_that_is_up_in_three_steps(count, down):
    members = make_members(count)
    names_down = frozenset(f'h{number}' for number in down)
    plans = plan_all(members, names_down)
    zone_of = {member.name: member.zone for member in members}
    for origin in plans:
        reached = {origin}
        # To its hubs, to other zones' hubs, to their zones.
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


def play_with_hubs(scenario, monkeypatch, runners=(), hosts=6):
    """Run a scenario on hosts in two zones that use hubs."""
    monkeypatch.setattr(topology, 'MESH_HOSTS', 2)

    async def main():
        async with run_site(make_config(), runners, hosts=0) as site:
            for number in range(1, hosts + 1):
                zone = 'zone-a' if number % 2 else 'zone-b'
                await site.add_host(number, zone)
            for daemon in site.hosts.values():
                await wait_until(daemon.host.is_ready)
                await wait_until(
                    lambda daemon=daemon: (
                        daemon.host.members.count_heard() == hosts - 1
                    )
                )
            await scenario(site, list(site.hosts.values()))

    asyncio.run(main())


def find_hubs(daemons):
    """Return the hosts that pass on what others tell them."""
    return [daemon for daemon in daemons if daemon.reporter.plan.is_hub]


def test_loads_placements_and_units_reach_other_zones_through_hubs(
    monkeypatch,
):
    async def scenario(site, daemons):
        assert len(find_hubs(daemons)) == 4
        site.runners['m1'].event_ms = 400
        caller = next(
            daemon for daemon in daemons if not daemon.reporter.plan.is_hub
        )
        calling = asyncio.create_task(
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
        await calling
        for daemon in daemons:
            await wait_until(
                lambda daemon=daemon: not daemon.host.loads.get('m1').calls
            )

    play_with_hubs(scenario, monkeypatch, [('m1', 'model')])


def test_usage_of_all_hosts_reaches_the_holder_through_links_of_its_own(
    monkeypatch,
):
    async def scenario(site, daemons):
        for number, daemon in enumerate(daemons * 2):
            answer = await call(daemon, '/once/', f'a{number}')
            assert answer.status == 200
        await wait_until(lambda: count_reported(site) == 2 * len(daemons), 8)

    play_with_hubs(scenario, monkeypatch, [('p1', 'plain')])


def count_reported(site):
    """Return all calls reported for anna, a window counted once."""
    return sum(
        counts.get('anna', 0)
        for counts in dict(site.api.list_usage_reports()).values()
    )


async def add_endpoints(site, daemons, count=20):
    """Add endpoints one by one until all hosts know them; count reads anew."""
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


def test_one_host_of_a_zone_reads_the_endpoints_for_the_others(monkeypatch):
    async def scenario(site, daemons):
        await asyncio.sleep(0.5)
        await add_endpoints(site, daemons)
        # Six hosts that read for themselves make some 40 of these.
        assert count_reads(site) <= 18

    play_with_hubs(scenario, monkeypatch)


def test_one_host_of_a_zone_reads_the_list_of_hosts_for_the_others(
    monkeypatch,
):
    """Hosts that start or end one by one do not wake all others."""

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
        # Eight hosts that read for themselves make 30 of these.
        assert reads <= 18

    play_with_hubs(scenario, monkeypatch, hosts=8)


def test_few_hosts_of_a_zone_read_the_endpoints_once():
    """Three hosts of a zone; two of them are told what the third reads."""

    async def main():
        async with run_site(make_config(), [], hosts=3) as site:
            hosts = list(site.hosts.values())
            await wait_until(
                lambda: all(d.host.members.count() == 3 for d in hosts)
            )
            await asyncio.sleep(1.0)
            await add_endpoints(site, hosts)
            # Three hosts that read for themselves make some 20 of these.
            assert count_reads(site) <= 12
            site.store.calls.clear()
            await asyncio.sleep(4)
            # When nothing changes, a reader's empty reads are news too.
            assert count_reads(site) <= 7

    asyncio.run(main())


def test_a_reader_that_loses_the_store_costs_its_zone_little_time():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            hosts = list(site.hosts.values())
            await wait_until(
                lambda: sum(d.reporter.plan.is_reader for d in hosts) == 1
            )
            (reader,) = (d for d in hosts if d.reporter.plan.is_reader)
            reader.store.pool.address = '127.0.0.1:9'
            reader.store.pool.close()
            for connection in list(reader.store.pool.fetching):
                connection.abort()
            runner = site.runners['p1']
            runner.state = 'draining'
            site.publish_runner(runner)
            listed_ms = reader.clock.now()
            for daemon in hosts:
                if daemon is not reader:
                    await wait_until(
                        lambda daemon=daemon: (
                            daemon.host.fleet.find_by_service('plain') == []
                        )
                    )
            drain_ms = reader.settings.drain_ms
            assert reader.clock.since(listed_ms) < 0.95 * drain_ms

    asyncio.run(main())


def test_a_zone_whose_hubs_end_finds_others(monkeypatch):
    async def scenario(site, daemons):
        ended = [
            daemon
            for daemon in find_hubs(daemons)
            if daemon.settings.zone == 'zone-a'
        ]
        for daemon in ended:
            await daemon.end()
            del site.hosts[daemon.settings.name]
        (left,) = (
            daemon
            for daemon in site.hosts.values()
            if daemon.settings.zone == 'zone-a'
        )
        await wait_until(lambda: left.reporter.plan.is_reader)
        await site.add_runner('late', 'plain')
        await wait_until(lambda: 'late' in left.host.fleet.endpoints)
        site.runners['late'].work_ms = 2500
        calling = asyncio.create_task(call(left, '/once/', 'a'))
        for daemon in site.hosts.values():
            if daemon is not left:
                await wait_until(
                    lambda daemon=daemon: daemon.host.loads.get('late').calls
                )
        assert (await calling).status == 200

    play_with_hubs(scenario, monkeypatch)


def test_a_fleet_that_becomes_small_hears_every_host_itself(monkeypatch):
    async def scenario(site, daemons):
        monkeypatch.setattr(topology, 'MESH_HOSTS', 100)
        for daemon in daemons:
            await wait_until(lambda daemon=daemon: daemon.reporter.plan.mesh)
        site.runners['m1'].event_ms = 600
        calling = asyncio.create_task(
            call(daemons[0], '/long/', 'a', 'POST', **make_prompt())
        )
        for daemon in daemons[1:]:
            await wait_until(
                lambda daemon=daemon: daemon.host.loads.get('m1').calls == 1
            )
        await calling

    play_with_hubs(scenario, monkeypatch, [('m1', 'model')])


def test_the_configuration_reaches_a_host_without_the_store_by_its_hub(
    monkeypatch,
):
    async def scenario(site, daemons):
        cut_off = next(
            daemon for daemon in daemons if not daemon.reporter.plan.is_hub
        )
        cut_off.store.pool.address = '127.0.0.1:9'
        cut_off.store.pool.close()
        await asyncio.sleep(3.0)
        site.configure(make_config(7))
        await wait_until(lambda: cut_off.host.config.version == 7, 6)
        await site.add_runner('late', 'plain')
        await wait_until(lambda: 'late' in cut_off.host.fleet.endpoints)

    play_with_hubs(scenario, monkeypatch)
