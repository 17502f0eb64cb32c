"""Stand-in for the platform API that receives usage and scaling calls."""

import asyncio
import dataclasses
import json

from pearrun.clock import to_seconds
from pearrun.http1.server import Server

JSON = [(b'Content-Type', b'application/json')]


@dataclasses.dataclass(frozen=True)
class DutyCall:
    """A call made in the course of a duty, such as usage reporting.

    :param at_ms: monotonic time of arrival.
    :param holder: the host that held the lease on the duties.
    :param fencing: the lease's fencing token.
    """

    at_ms: int
    path: str
    holder: str
    fencing: int
    body: dict


class PlatformApi:
    """Accepts and records calls.

    ``status`` is the status of all responses; calls are recorded only
    while it is 200.  ``answer_ms`` is the delay of the responses.
    """

    def __init__(self):
        self.calls = []
        self.status = 200
        self.answer_ms = 0
        self.server = Server(self._handle)

    async def listen(self, address):
        """Start serving on ``IP:PORT``."""
        await self.server.listen(address)

    def list_usage_reports(self):
        """Return the accepted usage reports as ``(window, counts)`` pairs."""
        return [
            (call.body['window_no'], call.body['counts'])
            for call in self.calls
            if call.path == '/usage'
        ]

    def list_orders(self):
        """Return the bodies of the accepted scaling orders."""
        return [call.body for call in self.calls if call.path == '/scale']

    async def _handle(self, request, caller):
        if self.status == 200:
            self.calls.append(
                DutyCall(
                    at_ms=request.received_ms,
                    path=request.path.decode(),
                    holder=request.get(b'pearrun-duty-holder'),
                    fencing=int(request.get(b'pearrun-fence-token')),
                    body=json.loads(request.body),
                )
            )
        if self.answer_ms:
            await asyncio.sleep(to_seconds(self.answer_ms))
        await caller.reply(self.status, JSON, b'{}')
