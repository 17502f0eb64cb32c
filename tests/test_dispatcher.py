"""Jobs in the journal: retention, handover and acceptance."""

import asyncio

from pearrun.api import entries
from pearrun.api import journal as journal_module
from pearrun.api.config import ConfigFollower
from pearrun.api.dispatcher import Dispatcher
from pearrun.api.journalstate import replay_journal
from pearrun.api.models import CompletionBody
from pearrun.api.router import Router
from pearrun.metrics import MetricsTable
from tests import builders

TOKENS = [f't{i}' for i in range(8)]


class FakeRunner:
    """Adds a token every 5 ms, up to ``until`` tokens."""

    def __init__(self, until=len(TOKENS)):
        self.until = until

    async def run(self, job, service):
        while len(job.tokens) < self.until:
            await asyncio.sleep(0.005)
            await job.add_token(TOKENS[len(job.tokens)])
        await asyncio.sleep(60)


def run_scenario(scenario, until=len(TOKENS), **platform):
    """Run ``scenario(log, dispatcher)`` with the background tasks."""

    async def main():
        log = builders.FakeLog()
        settings = builders.build_settings(**{'timeout_ms': 50, **platform})
        journal = journal_module.Journal(log, settings)
        config = ConfigFollower(log, settings)
        config.tree = builders.build_team_tree(version=1)
        router = Router([builders.make_endpoint(0)], 'boa-viagem')
        dispatcher = Dispatcher(
            settings,
            router,
            journal,
            config,
            FakeRunner(until),
            MetricsTable(),
        )
        tasks = [
            asyncio.create_task(journal.run()),
            asyncio.create_task(
                dispatcher.saver.save_periodically(dispatcher.list_running)
            ),
        ]
        try:
            return await scenario(log, dispatcher)
        finally:
            for task in [*tasks, *dispatcher.running.values()]:
                task.cancel()

    return asyncio.run(main())


def submit(dispatcher):
    return dispatcher.submit(
        CompletionBody(model='pearrun-oficina', prompt='p', max_tokens=8)
    )


def test_running_job_is_journaled_again_before_retention_ends():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await asyncio.sleep(0.9)
        log.expire(dispatcher.journal.stream, 2)
        return job, await replay_journal(log, dispatcher.journal.stream)

    job, ledger = run_scenario(scenario, retention_ms=1000)
    assert set(ledger.unfinished) == {job.id}
    assert list(ledger.progress[job.id].tokens) == TOKENS


def test_finished_job_is_not_journaled_again():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await dispatcher.cancel(job)
        before = len(log.values(dispatcher.journal.stream))
        await asyncio.sleep(0.9)
        return before, len(log.values(dispatcher.journal.stream))

    before, after = run_scenario(scenario, retention_ms=1000)
    assert before == after


def test_handover_writes_the_tokens_to_the_journal():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await job.wait_for_tokens(2)
        await dispatcher.hand_over()
        return job, await replay_journal(log, dispatcher.journal.stream)

    job, ledger = run_scenario(scenario)
    assert job.handed_over
    assert list(ledger.progress[job.id].tokens) == job.tokens


def test_adopted_job_resumes_after_its_tokens():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await job.wait_for_tokens(2)
        await dispatcher.hand_over()
        ledger = await replay_journal(log, dispatcher.journal.stream)
        entry = ledger.unfinished[job.id]
        dispatcher.adopt(entry, ledger.progress[job.id])
        adopted = dispatcher.jobs[job.id]
        await adopted.wait_for_tokens(7)
        return adopted

    adopted = run_scenario(scenario)
    assert adopted.tokens == TOKENS
    assert adopted.attempts == 1


def test_host_with_a_sealed_journal_accepts_into_a_new_one():
    """Guards against a refusal of the first request after a partition.

    During the partition, another host has sealed this one's journal.
    """

    async def scenario(log, dispatcher):
        old = dispatcher.journal.stream
        seal = entries.to_value(entries.Sealed(by='requests.other.1'))
        await log.append(old, {'batch': 'seal', 'entries': [seal]})
        job = await submit(dispatcher)
        new = dispatcher.journal.stream
        return old, job, await replay_journal(log, new)

    old, job, ledger = run_scenario(scenario)
    assert set(ledger.unfinished) == {job.id}
    assert journal_module.get_journal_stream(job.id) == ledger.stream != old


def test_request_runs_when_its_caller_disconnects_during_acceptance():
    """Guards against journaled requests that are never run."""

    async def scenario(log, dispatcher):
        acceptance = asyncio.create_task(submit(dispatcher))
        await asyncio.sleep(0)
        acceptance.cancel()
        await asyncio.sleep(0.05)
        ledger = await replay_journal(log, dispatcher.journal.stream)
        return set(ledger.unfinished), set(dispatcher.running)

    unfinished, running = run_scenario(scenario)
    assert unfinished == running
    assert len(running) == 1


def test_request_served_during_outage_is_journaled_after_it():
    async def scenario(log, dispatcher):
        log.down = True
        body = CompletionBody(model='pearrun-oficina', prompt='p')
        job = await dispatcher.submit(body, require_durable=False)
        was_durable = job.durable
        log.down = False
        await asyncio.sleep(0.1)
        ledger = await replay_journal(log, dispatcher.journal.stream)
        return was_durable, job, ledger

    was_durable, job, ledger = run_scenario(scenario)
    assert not was_durable
    assert job.durable
    assert set(ledger.unfinished) == {job.id}
