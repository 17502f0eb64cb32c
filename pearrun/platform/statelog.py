"""Periodic log line with a host's resource usage and state."""

import asyncio
import time

from loguru import logger

from pearrun.clock import to_seconds

INTERVAL_MS = 10_000


async def log_state(daemon):
    """Log the host's state every ten seconds, until cancelled.

    :param daemon: the host's :class:`Daemon`.
    """
    while True:
        await asyncio.sleep(to_seconds(INTERVAL_MS))
        logger.bind(
            cpu_ms=round(time.process_time() * 1000),
            hosts=daemon.host.count_hosts(),
            endpoints=len(daemon.host.fleet.endpoints),
            store_calls=format_calls(daemon.store.calls),
            store_failures=daemon.store.failures,
            store_read_ages=daemon.store.get_read_ages(),
        ).info('host state')


def format_calls(calls):
    """Return the counts of store calls keyed by operation and topic."""
    return {f'{call} {topic}': count for (call, topic), count in calls.items()}
