"""Stand-in of the platform's API that the duties call."""

import asyncio
import dataclasses
import json

from pearrun.clock import to_seconds
from pearrun.http1.server import Server

JSON = [(b'Content-Type', b'application/json')]


@dataclasses.dataclass(frozen=True)
class DutyCall:
    """One call, as it arrived.

    :param at_ms: monotonic time.
    """

    at_ms: int
    path: str
    holder: str
    fencing: int
    body: dict


class PlatformApi:
    """Records the duties' calls; ``status`` is answered to each.

    ``answer_ms`` is how long an answer takes.
    """

    def __init__(self):
        self.calls = []
        self.status = 200
        self.answer_ms = 0
        self.server = Server(self._handle)

    async def listen(self, address):
        """Begin to serve on ``IP:PORT``."""
        await self.server.listen(address)

    def usage(self):
        """Return all accepted usage reports as (window, counts)."""
        return [
            (call.body['window_no'], call.body['counts'])
            for call in self.calls
            if call.path == '/usage'
        ]

    def orders(self):
        """Return the accepted orders' bodies."""
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
