"""Non-idempotent calls: log outages and retries."""

import asyncio

from pearrun import exceptions
from pearrun.api import backends
from pearrun.api.claims import KeyClaims
from pearrun.api.journal import Journal
from pearrun.api.router import Router
from pearrun.api.runner import Runner
from pearrun.api.structures import Job
from pearrun.metrics import MetricsTable
from pearrun.states import BackendKind
from pearrun.states import RequestState
from tests import builders


def run_scenario(monkeypatch, scenario):
    """Run ``scenario(log, job, running)`` with a job on a fake log."""

    async def main():
        log = builders.FakeLog()
        settings = builders.build_settings()
        router = Router(
            [builders.make_endpoint(0, kind=BackendKind.SERVICE)], 'boa-viagem'
        )
        runner = Runner(
            settings,
            None,
            router,
            KeyClaims(log),
            Journal(log, settings),
            None,
            MetricsTable(),
        )
        job = Job('h.1.a', 'c', 'alarme-svc', 'p', 1, 0, 0, 'alarme-svc/k')
        service = builders.build_team_tree().find_service('alarme-svc')
        running = asyncio.create_task(runner.run(job, service))
        try:
            return await scenario(log, job, running)
        finally:
            running.cancel()

    return asyncio.run(main())


def test_failed_call_is_reported_during_log_outage(monkeypatch):
    """Guards against callers that wait for the log after a failed call.

    The outcome is published once the log is available again.
    """
    logs = []

    async def fail(session, endpoint, job, host):
        logs[0].down = True
        raise exceptions.BackendError('connection lost during the call')

    monkeypatch.setattr(backends, 'call_service', fail)

    async def scenario(log, job, running):
        logs.append(log)
        async with asyncio.timeout(1):
            await job.wait_for_tokens(0)
        assert job.state == RequestState.FAILED
        assert job.failure.code == 1502
        log.down = False
        async with asyncio.timeout(5):
            await running
        return [v for name in log.streams for v in log.values(name)]

    values = run_scenario(monkeypatch, scenario)
    assert [v['kind'] for v in values] == ['claimed', 'unknown']


def test_call_without_connection_is_retried(monkeypatch):
    calls = []

    async def answer_second(session, endpoint, job, host):
        calls.append(endpoint.id)
        if len(calls) == 1:
            raise exceptions.EndpointUnreachableError('refused')
        return 'acknowledged'

    monkeypatch.setattr(backends, 'call_service', answer_second)

    async def scenario(log, job, running):
        async with asyncio.timeout(5):
            await running
        return job

    job = run_scenario(monkeypatch, scenario)
    assert job.state == RequestState.DONE
    assert len(calls) == 2
