"""Plays one plan and checks it."""

import asyncio
import pathlib
import signal
import tempfile

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1 import client
from pearrun.standins.link import LinkMode
from tests.platformsite import wait_until
from tests.soak import checks
from tests.soak import faults
from tests.soak.plan import draw_plan
from tests.soak.site import Place
from tests.soak.site import SoakSite
from tests.soak.traffic import CallKind
from tests.soak.traffic import CRASHING_BODY
from tests.soak.traffic import KINDS
from tests.soak.traffic import Traffic

HOSTS = 4
PLACES = (
    ('plain-a', 'plain', 'zone-a'),
    ('plain-b', 'plain', 'zone-b'),
    ('model-a', 'model', 'zone-a'),
    ('model-b', 'model', 'zone-b'),
    ('model-c', 'model', 'zone-b'),
)
CALLERS = 12
START_S = 20
# After the last fault: entries come back, silent connections are found,
# pauses of endpoints end, the lease moves on.
HEAL_S = 6
# A holder writes its lease within this time, late ticks included.
RENEWED_S = 2


class Player:
    """Plays a plan's faults on a site.

    :param site: the :class:`SoakSite`.
    """

    def __init__(self, site):
        self.site = site
        self.clock = Clock()
        self.played = []

    async def play(self, plan):
        """Begin each fault at its time; return when the last one ends."""
        began_ms = self.clock.now()
        under_way = []
        for timed in plan.faults:
            wait_ms = began_ms + timed.at_ms - self.clock.now()
            await asyncio.sleep(to_seconds(max(0, wait_ms)))
            self.played.append(
                faults.TimedFault(self.clock.now(), timed.fault)
            )
            under_way.append(asyncio.create_task(self.act(timed.fault)))
        await asyncio.gather(*under_way)

    async def act(self, fault):
        """Do what a fault says; return when it is over."""
        site = self.site
        match fault:
            case faults.StopHost(host):
                await site.hosts[host].stop()
            case faults.KillHost(host):
                site.hosts[host].kill()
            case faults.PauseHost(host, for_ms):
                site.hosts[host].send(signal.SIGSTOP)
                await asyncio.sleep(to_seconds(for_ms))
                site.hosts[host].send(signal.SIGCONT)
            case faults.HangUpHost(host):
                site.hosts[host].send(signal.SIGHUP)
            case faults.BreakLink(name, mode, for_ms):
                link = site.links[name]
                await link.set_mode(mode)
                await asyncio.sleep(to_seconds(for_ms))
                await link.set_mode(LinkMode.OPEN)
            case faults.FailStore(status, for_ms):
                store_faults = site.store.faults
                store_faults.status = status
                store_faults.silent = not status
                await asyncio.sleep(to_seconds(for_ms))
                store_faults.status = 0
                store_faults.silent = False
            case faults.LoseStoreAnswers(count):
                site.store.faults.lose_answers += count
            case faults.ForgetHistory():
                for name in list(site.store.topics):
                    site.store.delete_history(name)
            case faults.SpoilEndpoint(endpoint, kind, for_ms):
                place = site.places[endpoint]
                site.spoil(place, kind, True)
                await asyncio.sleep(to_seconds(for_ms))
                site.spoil(place, kind, False)
            case faults.ReplaceEndpoint(endpoint, announced, same_address):
                place = site.places[endpoint]
                await site.replace(place, announced, same_address)
            case faults.ChangeRoutes():
                site.change_routes()


async def play_seed(
    seed, length_ms, directory=None, hosts=HOSTS, crashing=False
):
    """Play one seed.

    :param length_ms: how long calls are sent.
    :param hosts: how many entry hosts; above 16 they use hubs.
    :param crashing: whether a request that crashes endpoints comes too.
    :param directory: where logs go; by default a new folder.
    :returns: ``(findings, evidence)``.
    """
    directory = pathlib.Path(directory or tempfile.mkdtemp(prefix='soak-'))
    places = [Place(*place) for place in PLACES]
    names = tuple(f'host-{number}' for number in range(1, hosts + 1))
    site = SoakSite(directory, names, places)
    plan = draw_plan(seed, length_ms, names, tuple(site.places))
    player = Player(site)
    traffic = Traffic(site, seed)
    if crashing:
        site.crash_on = CRASHING_BODY
    crash_calls = []
    try:
        await site.start()
        await wait_until(lambda: is_up(site), START_S)
        if crashing:
            site.spawn(site.restart_crashed())
            crash_task = asyncio.create_task(traffic.crash_often())
        calling = asyncio.create_task(traffic.run(CALLERS))
        await player.play(plan)
        await site.heal()
        await asyncio.sleep(HEAL_S)
        traffic.stopped = True
        await calling
        if crashing:
            crash_calls = await crash_task
        last_calls = await make_last_calls(site, traffic)
        renewed = await is_lease_renewed(site)
    finally:
        await site.stop()
    evidence = checks.Evidence(
        records=traffic.records,
        runners=list(site.runners.values()),
        left_ms=site.left_ms,
        api_calls=site.api.calls,
        exits={name: host.exits for name, host in site.hosts.items()},
        played=[*player.played, *list_crashes(site)],
        crash_calls=crash_calls,
        last_calls=last_calls,
        lease_renewed=renewed,
    )
    return checks.check_all(evidence), evidence


def list_crashes(site):
    """Return the crashes of endpoints as faults that were played."""
    return [
        faults.TimedFault(at_ms, faults.CrashEndpoint())
        for at_ms in site.crashed_ms
    ]


def is_up(site):
    """Say whether every host has announced itself."""
    return len(site.store.get_topic('keyed.hosts').newest) == len(
        site.host_names
    )


async def is_lease_renewed(site):
    """Say whether a host goes on writing the duties' lease."""
    log = site.store.get_topic('duties')
    end = log.end
    await asyncio.sleep(RENEWED_S)
    return log.end > end


async def make_last_calls(site, traffic):
    """Call every host on a connection of its own, newest route too."""
    newest = CallKind(f'/v{site.version}/', False, True)
    calls = []
    for host, address in site.fronts.items():
        for kind in (newest, *KINDS):
            connection = await client.connect(address, 1000, 2000)
            record = await traffic.call(connection, host, kind)
            connection.abort()
            traffic.records.remove(record)
            calls.append(record)
    return calls
