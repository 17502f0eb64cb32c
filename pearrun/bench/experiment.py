"""Experiments: rounds of the same requests under each routing policy."""

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

CONFIG_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.05


def apply_policy(tree, policy):
    """Return a configuration tree with one policy for all services."""
    teams = {}
    for name, team in tree.teams.items():
        services = {
            service: settings.model_copy(update={'routing': policy})
            for service, settings in team.services.items()
        }
        teams[name] = team.model_copy(update={'services': services})
    return tree.model_copy(update={'teams': teams})


class Experiment:
    """Runs the rounds of a plan.

    :param plan: the :class:`Plan`.
    :param show: called with lines of text that describe the progress.
    """

    def __init__(self, plan, show=print):
        self.plan = plan
        self.show = show
        self.tree = None

    async def run(self):
        """Run all rounds.

        All policies run a round before the next round starts, so that a
        temporarily slow machine affects all policies.

        Sets :attr:`tree` to the published configuration, which has the
        targets of the services.

        :returns: a list of :class:`Round`.
        :raises PearrunError: no configuration is published.
        :raises TimeoutError: a daemon did not apply a configuration
            within ``CONFIG_TIMEOUT_S``.
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
                        await self.run_round(session, number, policy)
                    )
            return rounds

    async def set_policy(self, session, log, platform, policy):
        """Publish a policy and wait until all daemons have applied it."""
        version, _ = await config.publish(
            log, platform.config_stream, apply_policy(self.tree, policy)
        )
        for base in self.plan.daemons:
            async with asyncio.timeout(CONFIG_TIMEOUT_S):
                while not await self.has_version(session, base, version):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def has_version(self, session, base, version):
        """Return whether a daemon has applied a configuration version."""
        async with session.get(f'{base}/v1/status') as reply:
            return (await reply.json())['config_version'] >= version

    async def run_round(self, session, number, policy):
        """Run a round under one policy, with prefix caches empty at first."""
        for host in self.plan.hosts:
            try:
                await faults.post(session, f'{host.url}/admin/forget', {})
            except aiohttp.ClientError:
                logger.warning('host unreachable', host=host.id)
        label = f'{policy.value}-{time.time_ns()}'
        arrivals = draw_round(self.plan, number, label)
        meter = Meter(session, self.plan)
        meter_task = asyncio.create_task(meter.run())
        fault_task = asyncio.create_task(
            faults.inject_faults(session, self.plan)
        )
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
        await fault_task
        await asyncio.sleep(2 * POLL_INTERVAL_S)
        meter_task.cancel()
        return Round(policy.value, number, outcomes, meter, wall_s)
