"""The site of a soak: stand-ins in this process, hosts in theirs."""

import asyncio
import dataclasses
import os
import pathlib

from pearrun.clock import Clock
from pearrun.standins.link import Link
from pearrun.standins.link import LinkConfig
from pearrun.standins.link import LinkMode
from pearrun.standins.platformrunner import PlatformRunner
from pearrun.standins.platformrunner import RunnerFaults
from pearrun.standins.platformsite import make_config
from pearrun.standins.platformsite import make_route
from pearrun.standins.platformsite import make_settings_fields
from pearrun.standins.platformsite import render_settings
from pearrun.standins.platformsite import StandinSite
from tests.builders import free_port
from tests.soak.process import HostProcess

GRACE_S = 4
# Work of the endpoints: short enough for many calls in a run, long enough
# that signals and cuts meet calls in the middle.
WORK_MS = 40
EVENT_MS = 30
EVENT_COUNT = 10
# How long an endpoint serves after it said that it leaves.
LINGER_S = 2.5
# After an endpoint breaks off, its entry goes about this much later.
LAPSE_S = 1.0
# How often crashed endpoints are looked for.
CRASH_POLL_S = 0.02


@dataclasses.dataclass
class Place:
    """Where one endpoint after the other serves."""

    name: str
    service: str
    zone: str
    link: Link = None
    runner: PlatformRunner = None
    generation: int = 0
    restarting: bool = False


@dataclasses.dataclass(frozen=True)
class HostPlace:
    """Addresses that a host's settings name."""

    store_address: str
    api_address: str


class SoakSite(StandinSite):
    """A site whose hosts are processes and whose links can be broken.

    :param directory: where settings files and logs go.
    :param hosts: names of the entry hosts.
    :param places: :class:`Place` objects, still empty.
    """

    def __init__(self, directory, hosts, places):
        super().__init__(
            f'127.0.0.1:{free_port()}', f'127.0.0.1:{free_port()}'
        )
        self.directory = pathlib.Path(directory)
        self.host_names = hosts
        self.places = {place.name: place for place in places}
        self.links = {}
        self.hosts = {}
        self.fronts = {}
        self.left_ms = {}
        self.version = 0
        self.crash_on = None
        self.crashed_ms = []
        self.clock = Clock()
        self.tasks = set()
        self.ports = {
            'front': free_port(),
            'ready': free_port(),
            'peer': free_port(),
        }

    async def start(self):
        """Start stand-ins, endpoints, links and hosts."""
        await super().start()
        self.change_routes()
        for place in self.places.values():
            await self.fill(place)
        self.spawn(self.send_heartbeats())
        for number, name in enumerate(self.host_names, 1):
            await self.start_host(number, name)

    async def start_host(self, number, name):
        """Write a host's settings and start its process."""
        ip = f'127.{1 + os.getpid() % 250}.{number}.1'
        place = HostPlace(
            await self.add_link(f'store-{name}', self.store_address),
            await self.add_link(f'api-{name}', self.api_address),
        )
        zone = 'zone-a' if number % 2 else 'zone-b'
        fields = make_settings_fields(
            name, zone, ip, place, self.ports, grace_s=GRACE_S
        )
        path = self.directory / f'{name}.toml'
        path.write_text(render_settings(fields))
        self.fronts[name] = fields['listen']['front']
        log_path = self.directory / f'{name}.log'
        self.hosts[name] = HostProcess(name, path, log_path, GRACE_S)
        self.spawn(self.hosts[name].run())

    async def add_link(self, name, target):
        """Start a link to an address.

        :returns: the address it listens on.
        """
        port = free_port()
        link = self.links[name] = Link(LinkConfig(port, target))
        await link.start()
        return f'127.0.0.1:{port}'

    def spawn(self, coroutine):
        """Run a coroutine beside the others; keep it until it ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # endpoints

    async def fill(self, place, same_address=False):
        """Start the next endpoint of a place and list it."""
        place.generation += 1
        name = f'{place.name}-{place.generation}'
        runner = PlatformRunner(name, place.service, place.zone)
        runner.work_ms = WORK_MS
        runner.event_ms = EVENT_MS
        runner.event_count = EVENT_COUNT
        runner.faults = self.make_faults()
        if same_address:
            await runner.listen(place.link.config.target)
        else:
            await runner.listen(f'127.0.0.1:{free_port()}')
            await self.add_link(f'endpoint-{place.name}', runner.address)
            place.link = self.links[f'endpoint-{place.name}']
        place.runner = self.runners[name] = runner
        self.publish_runner(runner)

    def publish_runner(self, runner):
        """Write an endpoint's entry, with its link's address."""
        place = self.places[runner.id.rpartition('-')[0]]
        port = place.link.config.listen_port
        entry = {**runner.make_entry(), 'addr': f'127.0.0.1:{port}'}
        self.store.put('servers', runner.id, entry)

    async def replace(self, place, announced, same_address):
        """Have a place's endpoint leave and the next one come."""
        runner = place.runner
        if announced:
            runner.state = 'draining'
            self.publish_runner(runner)
            self.left_ms[runner.id] = self.clock.now()
            if not same_address:
                await self.fill(place)
            await asyncio.sleep(LINGER_S)
        await self.end_runner(runner)
        if not announced:
            await asyncio.sleep(LAPSE_S)
        self.store.put('servers', runner.id, None)
        if place.runner is runner:
            await self.fill(place, same_address)

    async def end_runner(self, runner):
        """End an endpoint; what it still runs breaks off."""
        runner.end()
        await runner.server.listener.wait_closed()

    def make_faults(self):
        """Return the faults of a sound endpoint."""
        return RunnerFaults(crash_on=self.crash_on)

    async def restart_crashed(self):
        """Start crashed endpoints anew, for the site's whole life."""
        while True:
            await asyncio.sleep(CRASH_POLL_S)
            for place in self.places.values():
                if place.runner.crashed_by and not place.restarting:
                    place.restarting = True
                    self.crashed_ms.append(place.runner.ended_ms)
                    self.spawn(self.restart(place, place.runner))

    async def restart(self, place, runner):
        """Refuse connections where an endpoint crashed; start another one."""
        await place.link.set_mode(LinkMode.CUT)
        await asyncio.sleep(LAPSE_S)
        self.store.put('servers', runner.id, None)
        if place.runner is runner:
            await self.fill(place)
        place.restarting = False

    def spoil(self, place, fault, on):
        """Switch a fault of a place's present endpoint."""
        faults = self.make_faults()
        if on:
            setattr(faults, fault.value, True)
        place.runner.faults = faults

    # configuration

    def change_routes(self):
        """Publish a version whose route ``/vN/`` replaces the one before."""
        self.version += 1
        config = make_config(self.version)
        prefix = f'/v{self.version}/'
        config['routes'].append(make_route(prefix, prefix, 'plain'))
        self.configure(config)

    # the end

    async def heal(self):
        """End every fault that lasts."""
        for link in self.links.values():
            await link.set_mode(LinkMode.OPEN)
        self.store.faults.status = 0
        self.store.faults.silent = False
        self.store.faults.lose_answers = 0
        for place in self.places.values():
            place.runner.faults = self.make_faults()

    async def stop(self):
        """End everything this site started."""
        for host in self.hosts.values():
            await host.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for link in self.links.values():
            link.close()
        await super().stop()
