"""Stand-ins for a plain runner and for the platform's API."""

import asyncio
import json
import time

from common.http import encode_response
from common.http import Server


class Runner:
    """A runner that answers every request after ``work_s``.

    ``runs`` has the time, the attempt id and the tenant of each request run.
    """

    def __init__(self, runner_id, service, zone, address, slots=16):
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.work_s = 0.005
        self.state = 'ready'
        self.runs = []
        self.server = Server(self._handle)

    def make_entry(self):
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'call_seq': 0,
        }

    async def _handle(self, request, writer, peer):
        attempt = request.get('pearrun-attempt-id', '')
        if request.get('pearrun-expect-runner') not in (None, self.id):
            headers = [('Pearrun-Runner-Id', self.id)]
            writer.write(encode_response(421, headers))
            return True
        if request.path == '/healthz':
            headers = [('Pearrun-Runner-Id', self.id)]
            writer.write(encode_response(200, headers))
            return True
        self.runs.append(
            (time.monotonic(), attempt, request.get('pearrun-tenant'))
        )
        await asyncio.sleep(self.work_s)
        headers = [
            ('Pearrun-Attempt-Id', attempt),
            ('Pearrun-Runner-Seal', f'{self.id}.{attempt}'),
        ]
        writer.write(encode_response(200, headers, self.service.encode()))
        await writer.drain()
        return True


class Api:
    """The platform's API; ``calls`` has what arrived, in order."""

    def __init__(self):
        self.calls = []
        self.server = Server(self._handle)

    async def _handle(self, request, writer, peer):
        self.calls.append(
            (
                time.monotonic(),
                request.path,
                request.get('pearrun-duty-holder'),
                int(request.get('pearrun-fence-token', 0)),
                json.loads(request.body or b'{}'),
            )
        )
        writer.write(encode_response(200, (), b'{}'))
        return True
