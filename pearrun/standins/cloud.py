"""Cloud API stand-in: hosts, a delayed host list and reclaim notices.

Protocol (JSON over HTTP):

- ``GET /v1/hosts``: the host list, with states ``list_lag_ms`` old.
- ``GET /v1/notices?since=N``: reclaim notices, without delay.
- ``POST /v1/hosts`` ``{zone}``: request a replacement host; answered
  with ``503`` while replacements are refused.
- ``POST /admin/refuse`` ``{refuse}``: start or stop refusing
  replacements.
- ``POST /admin/reclaim`` ``{zone, notice_ms}``: reclaim all hosts of a
  zone.
"""

import dataclasses
import itertools

from sanic import response
from sanic import Sanic

from pearrun.clock import Clock


@dataclasses.dataclass(frozen=True)
class CloudConfig:
    """Configuration of the cloud stand-in.

    :param hosts: pairs of a host's id and zone.
    :param list_lag_ms: age of the states in the host list.
    """

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
        self.notice_numbers = itertools.count(1)
        self.refusing = config.refuse_replacements
        self.replacement_numbers = itertools.count(1)

    def list_hosts(self):
        """Return all hosts with their states of ``list_lag_ms`` ago."""
        cutoff = self.clock.now() - self.config.list_lag_ms
        states = {host: 'live' for host in self.zones}
        for at, host, state in self.changes:
            if at <= cutoff:
                states[host] = state
        return [
            {'id': host, 'zone': self.zones[host], 'state': states[host]}
            for host in sorted(self.zones)
        ]

    def add_host(self, zone):
        """Add a replacement host.

        :returns: its id.
        """
        host = f'replacement-{zone}-{next(self.replacement_numbers)}'
        self.zones[host] = zone
        return host

    def reclaim(self, zone, notice_ms):
        """Issue reclaim notices for all hosts of a zone.

        :returns: their ids, sorted.
        """
        now = self.clock.now()
        hosts = sorted(h for h, z in self.zones.items() if z == zone)
        for host in hosts:
            self.changes.append((now, host, 'leaving'))
            self.notices.append(
                {
                    'seq': next(self.notice_numbers),
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
        return response.json({'hosts': cloud.list_hosts()})

    @app.get('/v1/notices')
    async def notices(request):
        since = int(request.args.get('since', 0))
        selected = [n for n in cloud.notices if n['seq'] > since]
        return response.json({'notices': selected})

    @app.post('/v1/hosts')
    async def request_host(request):
        if cloud.refusing:
            return response.json({'error': 'no capacity'}, status=503)
        zone = str((request.json or {}).get('zone', ''))
        host = cloud.add_host(zone)
        return response.json({'id': host, 'zone': zone}, status=201)

    @app.post('/admin/refuse')
    async def refuse(request):
        cloud.refusing = bool((request.json or {}).get('refuse', True))
        return response.json({'refusing': cloud.refusing})

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
