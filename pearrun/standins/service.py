"""Plain service stand-in, whose calls are not idempotent.

Protocol: ``POST /v1/call`` ``{key, payload}`` executes the call and
returns ``{result, executions}``; ``GET /v1/executions`` returns how
often each key was executed, so that tests can check at-most-once
execution.
"""

import asyncio
import collections
import dataclasses

from sanic import response
from sanic import Sanic


@dataclasses.dataclass(frozen=True)
class ServiceConfig:
    """Configuration of the plain service stand-in."""

    endpoint_id: str
    delay_ms: int = 20


def build_app(config):
    """Build the plain service stand-in's sanic app."""
    app = Sanic('pearrun-service')
    executions = collections.Counter()
    app.ctx.executions = executions

    @app.post('/v1/call')
    async def call(request):
        body = request.json or {}
        key = str(body.get('key', ''))
        payload = str(body.get('payload', ''))
        await asyncio.sleep(config.delay_ms / 1000.0)
        executions[key] += 1
        return response.json(
            {
                'result': f'acknowledged {payload}',
                'executions': executions[key],
            }
        )

    @app.get('/v1/executions')
    async def list_executions(request):
        return response.json({'executions': dict(executions)})

    @app.get('/v1/stats')
    async def stats(request):
        return response.json({'executions': dict(executions)})

    @app.post('/admin/forget')
    async def forget(request):
        return response.json({'forgotten': False})

    @app.get('/healthz')
    async def health(request):
        return response.json({'ok': True, 'id': config.endpoint_id})

    return app
