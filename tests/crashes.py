"""Builders of sites on which some requests crash endpoints."""

import asyncio
import contextlib

from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until

CRASHING = b'a body that crashes endpoints'
STREAMS = ('/short/', '/long/')
# Hosts tell each other what they learnt several times in this time.
SPREAD_S = 0.4


def list_runners(count):
    """Return names and services: so many endpoints of each service."""
    return [
        (f'{service}-{number}', service)
        for service in ('plain', 'model')
        for number in range(count)
    ]


@contextlib.asynccontextmanager
async def run_crashing_site(endpoints=10, hosts=3):
    """Run a site on which :data:`CRASHING` crashes endpoints."""
    runners = list_runners(endpoints)
    async with run_site(make_config(), runners, hosts) as site:
        for runner in site.runners.values():
            runner.faults.crash_on = CRASHING
        await wait_until_heard(site)
        yield site


async def wait_until_heard(site):
    """Wait until every host has heard all others."""
    for daemon in site.hosts.values():
        members = daemon.host.members
        await wait_until(
            lambda members=members: (
                members.count_heard() == len(site.hosts) - 1
            )
        )


def count_crashed(site):
    """Return how many endpoints have crashed."""
    return sum(runner.crashed for runner in site.runners.values())


async def send(host, path, attempt, body=CRASHING):
    """Send one request; return its :class:`Answer`."""
    prompt = make_prompt() if path.startswith(STREAMS) else {}
    return await call(host, path, attempt, 'POST', body, **prompt)


async def send_often(site, path, count, name='a'):
    """Send the crashing request again and again, to one host after another.

    Entries of crashed endpoints lapse meanwhile, as the platform's do.

    :returns: the :class:`Answer` objects.
    """
    hosts = list(site.hosts.values())
    answers = []
    for number in range(count):
        host = hosts[number % len(hosts)]
        answers.append(await send(host, path, f'{name}{number}'))
        await asyncio.sleep(SPREAD_S)
        remove_crashed(site)
    return answers


def remove_crashed(site):
    """Remove the entries of crashed endpoints."""
    for name, runner in list(site.runners.items()):
        if runner.crashed and name in site.store.topic('keyed.servers').newest:
            site.store.put('servers', name, None)
