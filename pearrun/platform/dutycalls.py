"""Calls of the duties to the platform."""

import asyncio
import json

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.http1.pool import Pool
from pearrun.http1.pool import PoolSettings
from pearrun.platform import headers as names

CONNECT_MS = 800
SILENCE_MS = 1500
# Shorter than what is left of a lease after a renewal, so that a call
# does not outlast it.
CALL_MS = 1200
MAX_CONNECTIONS = 2
MAX_BODY_BYTES = 64 * 1024


class DutyClient:
    """Sends the duties' calls.

    :param address: ``IP:PORT`` of the platform's API.
    :param holder: this host's name.
    """

    def __init__(self, address, holder):
        self.address = address
        self.holder = holder
        self.pool = Pool(
            address, PoolSettings(MAX_CONNECTIONS, CONNECT_MS, SILENCE_MS)
        )

    async def report_usage(self, fencing, window, counts):
        """Report the calls of one window, by customer.

        :raises DutyCallError: it was not taken, or no answer came.
        """
        body = {'window_no': window, 'counts': counts}
        await self._post('/usage', fencing, body)

    async def order(self, fencing, order):
        """Order a number of endpoints.

        :param order: an :class:`Order`.
        :raises DutyCallError: it was not taken, or no answer came.
        """
        body = {
            'service': order.service,
            'zone': order.zone,
            'desired': order.count,
        }
        if order.reclaimable:
            body['spot'] = True
        await self._post('/scale', fencing, body)

    async def _post(self, path, fencing, body):
        data = json.dumps(body).encode()
        headers = [
            ('Host', self.address),
            (names.DUTY_HOLDER, self.holder),
            (names.FENCING_TOKEN, str(fencing)),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(data))),
        ]
        try:
            async with asyncio.timeout(to_seconds(CALL_MS)):
                response = await self.pool.fetch(
                    'POST', path, headers, data, MAX_BODY_BYTES
                )
        except (exceptions.PearrunError, TimeoutError) as exc:
            raise exceptions.DutyCallError(
                f'{path}: {exc or "timed out"}', 0
            ) from exc
        status = response.head.status
        if status != 200:
            text = response.body[:200].decode('utf-8', 'replace')
            raise exceptions.DutyCallError(f'{path}: {status} {text}', status)
