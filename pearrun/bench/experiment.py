"""An experiment: rounds of the same demand under each policy in turn."""

import asyncio
import time

import aiohttp
from loguru import logger

from pearrun.api import config
from pearrun.api import settings as settings_module
from pearrun.api.logservice import LogClient
from pearrun.bench import faults
from pearrun.bench.arrivals import draw_round
from pearrun.bench.caller import Caller
from pearrun.bench.meter import Meter
from pearrun.bench.report import Round

IN_FORCE_S = 20
POLL_S = 0.05


def with_policy(tree, policy):
    """Return a tree whose services are all routed by one policy."""
    teams = {}
    for name, team in tree.teams.items():
        services = {
            service: settings.model_copy(update={'routing': policy})
            for service, settings in team.services.items()
        }
        teams[name] = team.model_copy(update={'services': services})
    return tree.model_copy(update={'teams': teams})


class Experiment:
    """Plays a plan's rounds.

    :param plan: a checked :class:`Plan`.
    :param show: called with a line of text on progress.
    """

    def __init__(self, plan, show=print):
        self.plan = plan
        self.show = show
        self.tree = None

    async def run(self):
        """Play every round.

        Policies take turns within each round's number, so that a slow
        spell of the machine falls on all of them.

        :returns: a list of :class:`Round`; :attr:`tree` is then the
            published tree the rounds were judged by.
        :raises PearrunError: no configuration, or not in force in time.
        """
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            platform = settings_module.PlatformSettings(
                log_url=self.plan.log_url
            )
            log = LogClient(session, platform)
            self.tree, _ = await config.read_latest(
                log, platform.config_stream
            )
            if self.tree is None:
                raise settings_module.exceptions.SettingsError(
                    'no configuration is published'
                )
            rounds = []
            for number in range(self.plan.rounds):
                for policy in self.plan.policies:
                    await self.set_policy(session, log, platform, policy)
                    rounds.append(
                        await self.play_round(session, number, policy)
                    )
            return rounds

    async def set_policy(self, session, log, platform, policy):
        """Publish a policy and wait until every daemon has it."""
        version, _ = await config.publish(
            log, platform.config_stream, with_policy(self.tree, policy)
        )
        for base in self.plan.daemons:
            async with asyncio.timeout(IN_FORCE_S):
                while not await self.has_version(session, base, version):
                    await asyncio.sleep(POLL_S)

    async def has_version(self, session, base, version):
        """Say whether a daemon has a version in force."""
        async with session.get(f'{base}/v1/status') as reply:
            return (await reply.json())['config_version'] >= version

    async def play_round(self, session, number, policy):
        """Play one round under one policy, from empty caches."""
        for host in self.plan.hosts:
            try:
                await faults.post(session, f'{host.url}/admin/forget', {})
            except aiohttp.ClientError:
                logger.warning('host does not answer', host=host.id)
        label = f'{policy.value}-{time.time_ns()}'
        arrivals = draw_round(self.plan, number, label)
        meter = Meter(session, self.plan)
        metering = asyncio.create_task(meter.run())
        schedule = asyncio.create_task(faults.play_faults(session, self.plan))
        started = time.monotonic()
        start = asyncio.get_running_loop().time()
        callers = [Caller(session, self.plan, a) for a in arrivals]
        runs = [asyncio.create_task(c.run(start)) for c in callers]
        outcomes = []
        for done in asyncio.as_completed(runs):
            outcomes.append(await done)
            if len(outcomes) % max(1, len(runs) // 4) == 0:
                self.show(
                    f'{policy.value} round {number + 1}: '
                    f'{len(outcomes)}/{len(runs)} answered'
                )
        wall_s = time.monotonic() - started
        await schedule
        await asyncio.sleep(2 * POLL_S)
        metering.cancel()
        return Round(policy.value, number, outcomes, meter, wall_s)
