"""Cloud API stand-in: hosts, a lagging host list and reclaim notices.

Protocol (JSON over HTTP):

- ``GET /v1/hosts``: the host list as it stood ``list_lag_ms`` ago.
- ``GET /v1/notices?since=N``: reclaim notices, at once.
- ``POST /v1/hosts`` ``{zone}``: ask for a replacement host; refused
  with ``503`` when the stand-in is set to refuse.
- ``POST /admin/reclaim`` ``{zone, notice_ms}``: reclaim a whole zone.
"""

import dataclasses
import itertools

from sanic import response
from sanic import Sanic

from pearrun.clock import Clock


@dataclasses.dataclass(frozen=True)
class CloudConfig:
    """How the cloud stand-in behaves."""

    hosts: tuple = ()
    list_lag_ms: int = 1500
    refuse_replacements: bool = True


class Cloud:
    """State of the cloud stand-in."""

    def __init__(self, config):
        self.config = config
        self.clock = Clock()
        self.zones = dict(config.hosts)
        self.changes = []
        self.notices = []
        self.notice_seq = itertools.count(1)

    def host_list(self):
        """Return hosts with states as of ``list_lag_ms`` ago."""
        cutoff = self.clock.now() - self.config.list_lag_ms
        states = {host: 'live' for host in self.zones}
        for at, host, state in self.changes:
            if at <= cutoff:
                states[host] = state
        return [
            {'id': host, 'zone': self.zones[host], 'state': states[host]}
            for host in sorted(self.zones)
        ]

    def reclaim(self, zone, notice_ms):
        """Announce the reclaim of every host in a zone."""
        now = self.clock.now()
        hosts = sorted(h for h, z in self.zones.items() if z == zone)
        for host in hosts:
            self.changes.append((now, host, 'leaving'))
            self.notices.append(
                {
                    'seq': next(self.notice_seq),
                    'id': host,
                    'zone': zone,
                    'notice_ms': notice_ms,
                }
            )
        return hosts


def build_app(config):
    """Build the cloud stand-in's sanic app."""
    app = Sanic('pearrun-cloud')
    cloud = Cloud(config)
    app.ctx.cloud = cloud

    @app.get('/v1/hosts')
    async def hosts(request):
        return response.json({'hosts': cloud.host_list()})

    @app.get('/v1/notices')
    async def notices(request):
        since = int(request.args.get('since', 0))
        chosen = [n for n in cloud.notices if n['seq'] > since]
        return response.json({'notices': chosen})

    @app.post('/v1/hosts')
    async def request_host(request):
        if config.refuse_replacements:
            return response.json({'error': 'no capacity'}, status=503)
        return response.json({'error': 'not modelled'}, status=501)

    @app.post('/admin/reclaim')
    async def reclaim(request):
        body = request.json or {}
        zone = str(body.get('zone', ''))
        hosts = cloud.reclaim(zone, int(body.get('notice_ms', 30_000)))
        return response.json({'reclaimed': hosts})

    @app.get('/healthz')
    async def health(request):
        return response.json({'ok': True})

    return app
