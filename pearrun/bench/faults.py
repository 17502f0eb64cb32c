"""Bringing a round's faults about, through the stand-ins' admin ports."""

import asyncio

from loguru import logger


async def post(session, url, body):
    """Post to a stand-in's admin port.

    :raises aiohttp.ClientError: it does not answer.
    """
    async with session.post(url, json=body) as reply:
        await reply.read()


async def reclaim(session, plan, fault):
    """Announce a zone's reclaim and end its hosts after the notice."""
    await post(
        session,
        f'{plan.cloud_url}/admin/reclaim',
        {'zone': fault.reclaim_zone, 'notice_ms': fault.notice_ms},
    )
    for host in plan.hosts:
        if host.zone == fault.reclaim_zone:
            await post(
                session,
                f'{host.url}/admin/die',
                {'after_ms': fault.notice_ms},
            )


async def bring_about(session, plan, fault):
    """Wait for a fault's time and bring it about."""
    await asyncio.sleep(fault.at_s)
    logger.info('fault', fault=fault.model_dump(exclude_none=True))
    match fault:
        case _ if fault.reclaim_zone is not None:
            await reclaim(session, plan, fault)
        case _ if fault.log is not None:
            await post(session, f'{plan.log_url}/admin/faults', fault.log)
        case _ if fault.refuse_replacements is not None:
            await post(
                session,
                f'{plan.cloud_url}/admin/refuse',
                {'refuse': fault.refuse_replacements},
            )
        case _ if fault.link is not None:
            await post(
                session, f'{fault.link}/admin/link', {'mode': fault.mode}
            )


async def play_faults(session, plan):
    """Play a round's whole schedule."""
    await asyncio.gather(*(bring_about(session, plan, f) for f in plan.faults))
