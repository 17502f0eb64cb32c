"""Case 2: one partition of the store is down for a moment, silently."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import http  # noqa: E402
from common import site as sites  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PARTITION = 'keyed.op'
OUTAGE_S = 4.5
# Bounds of the settings.
CONFIG_S = 2.0
# Pause between the end of the outage and the change: more than touch_ms.
CALM_S = 4.0
WATCH_S = 8.0
OLD_KEY, NEW_KEY, KEPT_KEY = 'key-removed', 'key-added', 'key-kept'


def make_first():
    routes = [
        sites.make_route('moved', 'service-a', 'non_idempotent'),
        sites.make_route('kept', 'service-a', 'non_idempotent'),
        sites.make_route('dropped', 'service-a', 'non_idempotent'),
    ]
    tenants = {'anna': [KEPT_KEY, OLD_KEY]}
    return sites.make_config(3, routes, ['service-a', 'service-b'], tenants)


def make_second():
    routes = [
        sites.make_route('moved', 'service-b', 'non_idempotent'),
        sites.make_route('kept', 'service-a', 'non_idempotent'),
    ]
    tenants = {'anna': [KEPT_KEY, NEW_KEY]}
    return sites.make_config(8, routes, ['service-a', 'service-b'], tenants)


# What is sent, and what only the older version allows.
PROBES = (
    ('moved', KEPT_KEY, 'run by the old service'),
    ('dropped', KEPT_KEY, 'run with a dropped route'),
    ('kept', OLD_KEY, 'run with a dropped key'),
    ('kept', NEW_KEY, 'refused though the key is there'),
)


def is_old(index, response):
    """Return whether a response is one that only the older version allows."""
    if response is None:
        return False
    if index == 0:
        return response.status == 200 and response.body == b'service-a'
    if index == 3:
        return response.status in (401, 403, 404)
    return response.status == 200


async def probe(site, count, is_second=True):
    """Send one request of each kind to each host.

    :param is_second: whether only the second version is in force.
    :returns: how many were handled as only the first one allows.
    """
    broken = 0
    for host, address in site.addresses.items():
        for index, (route, key, meaning) in enumerate(PROBES):
            attempt = f'{count}-{host}-{index}'
            sent = site.now()
            response = await http.call(
                address,
                'POST',
                f'/{route}/x',
                sites.make_headers(attempt, key),
                b'body',
            )
            status = response.status if response else 0
            body = response.body[:9].decode('latin-1') if status == 200 else ''
            old = is_second and is_old(index, response)
            broken += old
            site.note(
                f'sent at {sent:.3f} to {host}: {attempt} /{route}/ {key} -> '
                f'{status} {body}{"  OLD: " + meaning if old else ""}'
            )
    return broken


async def main(record):
    async with sites.run_site(record) as site:
        for service in ('service-a', 'service-b'):
            for zone in site.zones:
                await site.add_runner(f'i-{service}-{zone}', service, zone)
        site.store.put('op', 'config', make_first())
        for number in range(1, 7):
            site.add_host(number, site.zones[number % 3])
        try:
            await site.wait_ready()
        except TimeoutError:
            site.note('a host is not ready')
            return 2
        await asyncio.sleep(3.0)
        await probe(site, 'before', is_second=False)
        if TROUBLE:
            site.store.silence(PARTITION)
            site.note(
                f'{PARTITION} goes silent, {site.store.swallowed} calls lost'
            )
        await asyncio.sleep(OUTAGE_S)
        if TROUBLE:
            site.store.restore(PARTITION)
            site.note(
                f'{PARTITION} is back, {site.store.swallowed} calls lost'
            )
        await asyncio.sleep(CALM_S)
        site.store.put('op', 'config', make_second())
        acked = site.now()
        site.note('the store acknowledges version 8')
        await asyncio.sleep(CONFIG_S + 0.1)
        broken = 0
        rounds = 0
        while site.now() - acked < CONFIG_S + WATCH_S:
            broken += await probe(site, f'round{rounds}')
            rounds += 1
            await asyncio.sleep(1.0)
        for runner in site.runners.values():
            for at, attempt, tenant in runner.runs:
                site.note(
                    f'run at {at - site.began:.3f} by {runner.id}: {attempt} '
                    f'tenant {tenant}'
                )
        site.note(f'{broken} requests handled as only version 3 allows')
        return 1 if broken else 0


if __name__ == '__main__':
    sites.run_case(main, FOLDER)
