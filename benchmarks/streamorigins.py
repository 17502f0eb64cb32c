"""What it costs the hosts to tell each other where streams began.

``python -m benchmarks.streamorigins`` plays the messages of a second between
simulated hosts, without processes or network.
"""

import asyncio
import contextlib
import dataclasses
import tracemalloc

from pearrun.clock import Clock
from pearrun.decisions import topology
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.members import Member
from pearrun.shared.streamorigins import StreamOrigin
from pearrun.shared.streamorigins import StreamOrigins

ZONES = 3
# Rounds in which a hub forwards origins to its zone.
ROUNDS_PER_S = 5
# How long callers wait for a stream.
WAIT_MS = 15_000


@dataclasses.dataclass(frozen=True)
class Site:
    """A fleet and its resumable streams a second."""

    hosts: int
    streams_per_s: int


SITES = (Site(9, 12), Site(84, 41), Site(300, 150))


@dataclasses.dataclass
class Traffic:
    """What one host sends and receives in a second."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0


class Fleet:
    """Simulated hosts that exchange the origins of streams.

    :param site: the :class:`Site`.
    """

    def __init__(self, site):
        self.site = site
        self.members = [
            Member(f'host-{n}', f'10.0.0.{n}:1', f'zone-{n % ZONES}', n)
            for n in range(site.hosts)
        ]
        self.zones = {member.name: member.zone for member in self.members}
        self.plans = {
            member.name: topology.plan_links(
                member, self.members, frozenset(), False
            )
            for member in self.members
        }
        self.traffic = {name: Traffic() for name in self.plans}
        clock = Clock()
        self.clock = clock
        self.origins = {name: StreamOrigins(clock) for name in self.plans}
        for name, plan in self.plans.items():
            self.origins[name].is_hub = plan.is_hub

    def list_prompt_targets(self, name):
        """Return the hosts that get origins from a host at once."""
        plan = self.plans[name]
        if plan.mesh or not plan.is_hub:
            return plan.targets
        return [target for target in plan.targets if self.plans[target].is_hub]

    def send(self, source, target, origins):
        """Send origins over one link."""
        now = self.clock.now()
        note = reports.OriginNote(
            source, tuple(origin.to_left(now) for origin in origins)
        )
        encoded = reportcodec.encode(note)
        is_hub = self.plans[source].is_hub
        bundle = reportcodec.encode_bundle(source, is_hub, [encoded])
        self.traffic[source].sent += 1
        self.traffic[source].sent_bytes += len(bundle)
        self.traffic[target].received += 1
        self.origins[target].merge(origins, from_hub=is_hub)

    async def begin_stream(self, number):
        """Let a stream begin at a host, and its origin reach the others."""
        name = self.members[number % self.site.hosts].name
        origin = StreamOrigin(
            f'{number:016x}',
            'permit-assistant',
            'v1.1',
            'huka270',
            self.clock.now() + WAIT_MS,
        )
        hubs = () if self.plans[name].mesh else self.list_prompt_targets(name)
        with contextlib.ExitStack() as stack:
            outboxes = {
                hub: stack.enter_context(self.origins[hub].open_outbox())
                for hub in hubs
            }
            self.origins[name].publish(origin)
            for target in self.list_prompt_targets(name):
                self.send(name, target, (origin,))
            for hub, outbox in outboxes.items():
                await self.forward(hub, outbox)

    async def forward(self, hub, outbox):
        """Let a hub pass on at once what a host of its zone has sent."""
        try:
            async with asyncio.timeout(0):
                origins = await outbox.take()
        except TimeoutError:
            return
        for target in self.list_prompt_targets(hub):
            self.send(hub, target, origins)

    def play_round(self):
        """Let the hubs forward origins to the hosts of their zones."""
        for name, plan in self.plans.items():
            origins = self.origins[name].take_unforwarded()
            if not plan.is_hub or not origins:
                continue
            for target in plan.targets:
                same_zone = self.zones[target] == self.zones[name]
                if same_zone and not self.plans[target].is_hub:
                    self.send(name, target, origins)


async def play(site):
    """Play a second; return the :class:`Fleet`."""
    fleet = Fleet(site)
    each = site.streams_per_s // ROUNDS_PER_S
    for number in range(each * ROUNDS_PER_S):
        await fleet.begin_stream(number)
        if number % each == each - 1:
            fleet.play_round()
    return fleet


def measure_memory(streams_per_s):
    """Return the memory in KB of the origins of all streams."""
    tracemalloc.start()
    clock = Clock()
    origins = StreamOrigins(clock)
    for number in range(streams_per_s * WAIT_MS // 1000):
        origin = StreamOrigin(
            f'{number:016x}', 'm', 'v1.1', 'huka270', clock.now() + WAIT_MS
        )
        origins.merge([origin], from_hub=False)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1024


def main():
    """Print the costs for each site."""
    print('hosts  streams/s  role  sent/s  received/s  sent KB/s  kept KB')
    for site in SITES:
        fleet = asyncio.run(play(site))
        kept_kb = measure_memory(site.streams_per_s)
        for is_hub in (False, True):
            used = [
                fleet.traffic[name]
                for name, plan in fleet.plans.items()
                if plan.is_hub is is_hub
            ]
            if not used:
                continue
            sent = sum(item.sent for item in used) / len(used)
            received = sum(item.received for item in used) / len(used)
            sent_kb = sum(item.sent_bytes for item in used) / len(used) / 1024
            role = 'hub' if is_hub else 'host'
            print(
                f'{site.hosts:5}  {site.streams_per_s:9}  {role:4}'
                f'  {sent:6.1f}  {received:10.1f}  {sent_kb:9.2f}'
                f'  {kept_kb:7.0f}'
            )


if __name__ == '__main__':
    main()
