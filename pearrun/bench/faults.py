"""Fault injection through the administrative API of the stand-ins."""

import asyncio

from loguru import logger


async def post(session, url, body):
    """Send a POST request to a stand-in.

    :raises aiohttp.ClientError: it did not respond.
    """
    async with session.post(url, json=body) as reply:
        await reply.read()


async def reclaim(session, plan, fault):
    """Issue reclaim notices for a zone; stop its hosts when the time is up."""
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


async def inject(session, plan, fault):
    """Wait until a fault is due, then inject it."""
    await asyncio.sleep(fault.at_s)
    logger.info('injecting fault', fault=fault.model_dump(exclude_none=True))
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


async def inject_faults(session, plan):
    """Inject each fault of a round when it is due."""
    await asyncio.gather(*(inject(session, plan, f) for f in plan.faults))
