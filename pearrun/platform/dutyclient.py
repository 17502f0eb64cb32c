"""Client of the platform API that the duties call.

Duties are tasks that only the holder of the lease performs for all hosts.
"""

import asyncio
import json

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.http1.pool import Pool
from pearrun.http1.pool import PoolSettings
from pearrun.platform import headers as header_names

CONNECT_TIMEOUT_MS = 800
# How long sent data may stay unacknowledged before the connection is closed.
TCP_USER_TIMEOUT_MS = 1500
# Maximum wait for a response; shorter if the lease ends earlier.
CALL_TIMEOUT_MS = 2500
# The scaling orders of a service for all its zones are sent concurrently.
MAX_CONNECTIONS = 8
MAX_BODY_BYTES = 64 * 1024


class DutyClient:
    """Sends the duties' calls; aborts those open when the lease term ends.

    Aborting resets the connection, which discards data that has not been
    delivered.  Otherwise TCP would retransmit it once an interrupted network
    path recovers, seconds after the next lease holder has started to act.

    :param address: ``IP:PORT`` of the platform's API.
    :param holder: this host's name.
    """

    def __init__(self, address, holder):
        self.address = address
        self.holder = holder
        self.pool = Pool(
            address,
            PoolSettings(
                MAX_CONNECTIONS, CONNECT_TIMEOUT_MS, TCP_USER_TIMEOUT_MS
            ),
        )

    async def report_usage(self, term, window, counts):
        """Report the usage of one window.

        :param term: the :class:`Term` of this host as lease holder.
        :param window: number of the window.
        :param counts: usage by customer.
        :raises DutyCallError: the call was rejected, or no response came.
        """
        body = {'window_no': window, 'counts': counts}
        await self._post('/usage', term, body)

    async def order(self, term, order):
        """Request a number of endpoints for a service in a zone.

        :param term: the :class:`Term` of this host as lease holder.
        :param order: an :class:`Order`.
        :raises DutyCallError: the call was rejected, or no response came.
        """
        body = {
            'service': order.service,
            'zone': order.zone,
            'desired': order.count,
        }
        if order.reclaimable:
            body['spot'] = True
        await self._post('/scale', term, body)

    async def _post(self, path, term, body):
        data = json.dumps(body).encode()
        headers = [
            ('Host', self.address),
            (header_names.DUTY_HOLDER, self.holder),
            (header_names.FENCING_TOKEN, str(term.fencing)),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(data))),
        ]
        try:
            timeout_ms = min(CALL_TIMEOUT_MS, term.left_ms())
            async with asyncio.timeout(to_seconds(timeout_ms)):
                response = await self.pool.fetch(
                    'POST', path, headers, data, MAX_BODY_BYTES, term.check
                )
        except (exceptions.PearrunError, TimeoutError) as exc:
            raise exceptions.DutyCallError(
                f'{path}: {exc or "timed out"}', 0
            ) from exc
        status = response.head.status
        if status != 200:
            text = response.body[:200].decode('utf-8', 'replace')
            raise exceptions.DutyCallError(f'{path}: {status} {text}', status)
