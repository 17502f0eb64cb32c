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
# Longest wait for an answer; less where the lease ends before.
CALL_MS = 2500
# Orders for all zones of a service are sent together.
MAX_CONNECTIONS = 8
MAX_BODY_BYTES = 64 * 1024


class DutyClient:
    """Sends the duties' calls, none of which outlasts its term.

    A call is given up at the end of its term with a reset of its
    connection, which drops what has not arrived: bytes that a broken path
    holds back would otherwise be sent again once it heals, seconds after a
    successor has begun to act.

    :param address: ``IP:PORT`` of the platform's API.
    :param holder: this host's name.
    """

    def __init__(self, address, holder):
        self.address = address
        self.holder = holder
        self.pool = Pool(
            address, PoolSettings(MAX_CONNECTIONS, CONNECT_MS, SILENCE_MS)
        )

    async def report_usage(self, term, window, counts):
        """Report the calls of one window, by customer.

        :param term: the :class:`Term` of this host.
        :raises DutyCallError: it was not taken, or no answer came.
        """
        body = {'window_no': window, 'counts': counts}
        await self._post('/usage', term, body)

    async def order(self, term, order):
        """Order a number of endpoints.

        :param term: the :class:`Term` of this host.
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
        await self._post('/scale', term, body)

    async def _post(self, path, term, body):
        data = json.dumps(body).encode()
        headers = [
            ('Host', self.address),
            (names.DUTY_HOLDER, self.holder),
            (names.FENCING_TOKEN, str(term.fencing)),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(data))),
        ]
        try:
            call_ms = min(CALL_MS, term.left_ms())
            async with asyncio.timeout(to_seconds(call_ms)):
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
