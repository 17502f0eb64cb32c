"""Jobs whose request crashes each engine that runs it."""

import asyncio

from pearrun import exceptions
from pearrun.api import backends
from pearrun.api.claims import KeyClaims
from pearrun.api.journal import Journal
from pearrun.api.router import Router
from pearrun.api.runner import Runner
from pearrun.api.structures import Job
from pearrun.metrics import MetricsTable
from pearrun.states import RequestState
from tests import builders

ENGINES = 8


def make_runner():
    """Return a runner with engines at whose addresses nothing listens."""
    log = builders.FakeLog()
    settings = builders.settings()
    engines = [builders.endpoint(number) for number in range(ENGINES)]
    for engine in engines:
        engine.url = f'http://127.0.0.1:{builders.free_port()}'
    return Runner(
        settings,
        None,
        Router(engines, 'boa-viagem'),
        KeyClaims(log),
        Journal(log, settings),
        None,
        MetricsTable(),
    )


def make_job(request_id='h.1.a'):
    """Return a job of an engine."""
    return Job(request_id, 'c', 'pearrun-oficina', 'crash', 8, 0, 0)


def test_a_job_that_crashes_engines_crashes_them_all(monkeypatch):
    crashed = []

    async def crash(session, endpoint, job, priority, host):
        crashed.append(endpoint.id)
        raise exceptions.BackendError('stream broke')
        yield

    monkeypatch.setattr(backends, 'stream_tokens', crash)

    async def main():
        runner = make_runner()
        job = make_job()
        service = builders.team_tree().find_service('pearrun-oficina')
        running = asyncio.create_task(runner.run(job, service))
        await asyncio.wait({running}, timeout=5)
        running.cancel()
        return job

    job = asyncio.run(main())
    assert len(crashed) <= 3
    assert job.state == RequestState.FAILED
    assert job.failure.code == 1509
