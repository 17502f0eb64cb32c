"""A trial, not a case: a service leaves the configuration and comes back.

    python3 review/trials/readded_service.py

Exits with 1 if a process of the system ended by itself.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import site as sites  # noqa: E402

ROUNDS = 5
# How long the service is left out: longer than on_demand_hold_ms (10 s).
AWAY_S = 11.3
MODEL = {
    'name': 'model',
    'health_path': '/healthz',
    'max_conns': 110,
    'proto': 'h1',
    'tls': False,
    'engine': {'slots': 16, 'kv_capacity': 100000},
    'autoscale': {
        'min': 1,
        'max': 4,
        'boot_s': 4.0,
        'spot_price': 0.18,
        'zone_prices': {'za': 1, 'zb': 1, 'zc': 1},
    },
}


def make_config(version, with_model):
    routes = [sites.make_route('kept', 'plain')]
    services = ['plain']
    if with_model:
        routes.append(sites.make_route('model', 'model', 'stream'))
        services.append(MODEL)
    return sites.make_config(version, routes, services, {'anna': ['key']})


async def main(record):
    async with sites.run_site(record) as site:
        for zone in site.zones:
            await site.add_runner(f'plain-{zone}', 'plain', zone)
            await site.add_runner(f'model-{zone}', 'model', zone)
        site.store.put('op', 'config', make_config(1, True))
        for number in range(1, 5):
            site.add_host(number, site.zones[number % 3])
        await site.wait_ready()
        await asyncio.sleep(8)
        ended = 0
        for number in range(ROUNDS):
            version = 2 + 2 * number
            site.store.put('op', 'config', make_config(version, False))
            site.note('the service is left out')
            await asyncio.sleep(AWAY_S + 0.13 * number)
            site.store.put('op', 'config', make_config(version + 1, True))
            site.note('the service is back')
            await asyncio.sleep(9)
            for name, process in list(site.processes.items()):
                if process.poll() is not None:
                    ended += 1
                    site.note(f'{name} has ended by itself')
                    site.launch(name)
        site.note(f'{ended} processes ended by themselves')
        return 1 if ended else 0


if __name__ == '__main__':
    sites.run_case(main, FOLDER)
