"""Helpers for sites on which a request crashes the endpoints it runs on."""

import asyncio
import contextlib

from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until

CRASHING = b'a body that crashes endpoints'
STREAMS = ('/short/', '/long/')
# Longer than it takes all hosts to learn of a suspected, unproven crash.
CRASH_REPORT_S = 0.5


def list_runners(count):
    """Return the names and services of ``count`` endpoints per service."""
    return [
        (f'{service}-{number}', service)
        for service in ('plain', 'model')
        for number in range(count)
    ]


@contextlib.asynccontextmanager
async def run_crashing_site(endpoints=16, hosts=3):
    """Run a site on which bodies of :data:`CRASHING` crash endpoints.

    :param endpoints: number of endpoints per service.
    :param hosts: number of hosts.
    """
    runners = list_runners(endpoints)
    async with run_site(make_config(), runners, hosts) as site:
        for runner in site.runners.values():
            runner.faults.crash_on = CRASHING
        heartbeats = asyncio.create_task(site.send_heartbeats())
        await wait_until_connected(site)
        try:
            yield site
        finally:
            heartbeats.cancel()


async def wait_until_connected(site):
    """Wait until every host receives reports from all others."""
    for daemon in site.hosts.values():
        members = daemon.host.members
        await wait_until(
            lambda members=members: (
                members.count_reporting() == len(site.hosts) - 1
            )
        )


def count_crashed(site, path):
    """Return how many endpoints requests to a path have crashed."""
    return sum(runner.crashed_by == path for runner in site.runners.values())


async def send(host, path, attempt, body=CRASHING):
    """Send one request; return its :class:`Response`."""
    prompt = make_prompt() if path.startswith(STREAMS) else {}
    return await call(host, path, attempt, 'POST', body, **prompt)


async def send_parts(host, path, attempt, *part_ids):
    """Send a request with its own body and last part.

    :param part_ids: ids of the prompt's other parts.
    :returns: a :class:`Response`.
    """
    ids = (*part_ids, f'own-{attempt}')
    prompt = make_prompt(','.join(f'{part_id}:50' for part_id in ids))
    return await call(host, path, attempt, 'POST', attempt.encode(), **prompt)


def count_reached(site, prefix):
    """Return how many requests reached endpoints.

    :param prefix: of the attempt ids of the requests that count.
    """
    attempts = [
        run.request.get(b'pearrun-attempt-id')
        for runner in site.runners.values()
        for run in runner.runs
    ]
    return sum(attempt.startswith(prefix) for attempt in attempts)


def crash_on_part(site, part_id):
    """Let all endpoints crash under requests with a prompt part."""
    for runner in site.runners.values():
        runner.faults.crash_on_part = part_id


async def replace_crashed(site):
    """Start a new endpoint in place of each that has crashed."""
    remove_crashed(site)
    for name, runner in list(site.runners.items()):
        if runner.crashed_by and f'{name}+' not in site.runners:
            started = await site.add_runner(f'{name}+', runner.service)
            started.faults = runner.faults


async def send_repeatedly(site, path, count, name='a'):
    """Send the crashing request repeatedly, to each host in turn.

    After each request the entries of crashed endpoints are removed, as on
    the platform, where they expire.

    :param count: how often to send it.
    :param name: part of the attempt ids, which must be unique.
    :returns: the :class:`Response` objects.
    """
    hosts = list(site.hosts.values())
    answers = []
    for number in range(count):
        host = hosts[number % len(hosts)]
        attempt = f'{path}-{name}{number}'
        answers.append(await send(host, path, attempt))
        await asyncio.sleep(CRASH_REPORT_S)
        remove_crashed(site)
    return answers


def remove_crashed(site):
    """Remove crashed endpoints from the endpoint list."""
    listed = site.store.get_topic('keyed.servers').newest
    for name, runner in site.runners.items():
        if runner.crashed_by and name in listed:
            site.store.put('servers', name, None)
