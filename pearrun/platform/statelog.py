"""Log lines that say now and then what a host costs and knows."""

import asyncio
import time

from loguru import logger

from pearrun.clock import to_seconds

PERIOD_MS = 10_000


async def log_state(daemon):
    """Write a line every ten seconds, for the process's whole life.

    :param daemon: the host's :class:`Daemon`.
    """
    while True:
        await asyncio.sleep(to_seconds(PERIOD_MS))
        logger.bind(
            cpu_ms=round(time.process_time() * 1000),
            hosts=daemon.host.count_hosts(),
            endpoints=len(daemon.host.fleet.endpoints),
            store_calls=name_calls(daemon.store.calls),
            store_failures=daemon.store.failures,
        ).info('host state')


def name_calls(calls):
    """Return counts of store calls by one name for call and topic."""
    return {f'{call} {topic}': count for (call, topic), count in calls.items()}
