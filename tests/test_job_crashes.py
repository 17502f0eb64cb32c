"""Quarantine of jobs that crash every engine on which they run."""

import asyncio

import pytest

from pearrun import exceptions
from pearrun.api import backends
from pearrun.api.claims import KeyClaims
from pearrun.api.crashes import JobCrashTracker
from pearrun.api.journal import Journal
from pearrun.api.router import Router
from pearrun.api.runner import Runner
from pearrun.api.structures import Job
from pearrun.decisions import evidence
from pearrun.metrics import MetricsTable
from pearrun.states import RequestState
from tests import builders

ENGINES = 8


def make_runner():
    """Return a runner whose engines do not listen at their addresses."""
    log = builders.FakeLog()
    settings = builders.build_settings()
    engines = [builders.make_endpoint(number) for number in range(ENGINES)]
    for engine in engines:
        engine.url = f'http://127.0.0.1:{builders.find_free_port()}'
    return Runner(
        settings,
        None,
        Router(engines, 'boa-viagem'),
        KeyClaims(log),
        Journal(log, settings),
        None,
        MetricsTable(),
    )


def make_job(request_id='h.1.a', prompt='crash'):
    """Return a job for an engine."""
    return Job(request_id, 'c', 'pearrun-oficina', prompt, 8, 0, 0)


async def crash_engines(crashes, numbers):
    """Let engines crash under a job, one after another."""
    for number in numbers:
        engine = builders.make_endpoint(number)
        engine.url = f'http://127.0.0.1:{builders.find_free_port()}'
        await crashes.check_for_crash(make_job(), engine, 5, False)


def test_a_job_that_crashes_engines_fails(monkeypatch):
    """Guards against a job whose retries crash all engines."""
    crashed = []

    async def crash(session, endpoint, job, priority, host):
        crashed.append(endpoint.id)
        raise exceptions.BackendError('stream broke')
        yield

    monkeypatch.setattr(backends, 'stream_tokens', crash)

    async def main():
        runner = make_runner()
        job = make_job()
        service = builders.build_team_tree().find_service('pearrun-oficina')
        running = asyncio.create_task(runner.run(job, service))
        await asyncio.wait({running}, timeout=5)
        running.cancel()
        return job

    job = asyncio.run(main())
    assert len(crashed) <= 3
    assert job.state == RequestState.FAILED
    assert job.failure.code == 1509


def test_a_job_with_progress_before_each_crash_is_completed(monkeypatch):
    async def crash_later(session, endpoint, job, priority, host):
        yield len(job.tokens), 'token'
        if len(job.tokens) < job.max_tokens:
            raise exceptions.BackendError('stream broke')
        yield None, 'length'

    monkeypatch.setattr(backends, 'stream_tokens', crash_later)
    monkeypatch.setattr(evidence, 'STABLE_ANSWER_MS', 0)

    async def main():
        runner = make_runner()
        job = make_job()
        job.max_tokens = 5
        service = builders.build_team_tree().find_service('pearrun-oficina')
        async with asyncio.timeout(5):
            await runner.run(job, service)
        return job

    job = asyncio.run(main())
    assert job.state == RequestState.DONE
    assert len(job.tokens) == 5


def test_a_request_that_crashed_engines_is_refused_by_every_daemon():
    async def main():
        daemons = [JobCrashTracker() for _ in range(3)]
        for number, daemon in enumerate(daemons):
            await crash_engines(daemon, [number])
            for other in daemons:
                other.receive(daemon.describe())
        # A daemon that starts later reads the heartbeats of stopped daemons.
        daemons.append(JobCrashTracker())
        daemons[-1].receive(daemons[0].describe())
        for daemon in daemons:
            with pytest.raises(exceptions.QuarantinedError) as caught:
                daemon.check_request(make_job('h.2.b'))
            assert caught.value.retry_after_s > 60
            assert caught.value.not_run
            daemon.check_request(make_job('h.2.c', 'another prompt'))

    asyncio.run(main())


def test_a_job_taken_over_fails_when_its_request_is_quarantined(monkeypatch):
    async def fail_if_called(*args):
        raise AssertionError('a quarantined job was sent')
        yield

    monkeypatch.setattr(backends, 'stream_tokens', fail_if_called)

    async def main():
        runner = make_runner()
        await crash_engines(runner.crashes, range(3))
        job = make_job('other.1.a')
        service = builders.build_team_tree().find_service('pearrun-oficina')
        async with asyncio.timeout(5):
            await runner.run(job, service)
        return job

    job = asyncio.run(main())
    assert job.state == RequestState.FAILED
    assert job.failure.code == 1509


def test_malformed_suspects_in_a_heartbeat_are_ignored():
    crashes = JobCrashTracker()
    crashes.receive([['f', None, [['e', 'no number', 1, False]]], 7])
    assert not crashes.quarantine.known.suspects
