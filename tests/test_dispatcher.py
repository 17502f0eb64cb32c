"""Jobs on the journal: kept past retention, handed over with tokens."""

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

WORDS = [f't{i}' for i in range(8)]


class FakeRunner:
    """Adds one token every few milliseconds, up to ``until``."""

    def __init__(self, until=len(WORDS)):
        self.until = until

    async def run(self, job, service):
        while len(job.tokens) < self.until:
            await asyncio.sleep(0.005)
            await job.add_token(WORDS[len(job.tokens)])
        await asyncio.sleep(60)


def play(scenario, until=len(WORDS), **platform):
    """Run ``scenario(log, dispatcher)`` with the background tasks going."""

    async def main():
        log = builders.FakeLog()
        settings = builders.settings(**{'timeout_ms': 50, **platform})
        journal = journal_module.Journal(log, settings)
        config = ConfigFollower(log, settings)
        config.tree = builders.team_tree(version=1)
        router = Router([builders.endpoint(0)], 'boa-viagem')
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


def test_running_job_is_written_again_before_retention_drops_it():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await asyncio.sleep(0.9)
        log.expire(dispatcher.journal.stream, 2)
        return job, await replay_journal(log, dispatcher.journal.stream)

    job, ledger = play(scenario, retention_ms=1000)
    assert set(ledger.unfinished) == {job.id}
    assert list(ledger.progress[job.id].tokens) == WORDS


def test_finished_job_is_not_written_again():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await dispatcher.cancel(job)
        before = len(log.values(dispatcher.journal.stream))
        await asyncio.sleep(0.9)
        return before, len(log.values(dispatcher.journal.stream))

    before, after = play(scenario, retention_ms=1000)
    assert before == after


def test_hand_over_leaves_the_tokens_on_the_log():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await job.wait_beyond(2)
        await dispatcher.hand_over()
        return job, await replay_journal(log, dispatcher.journal.stream)

    job, ledger = play(scenario)
    assert job.handed_over
    assert list(ledger.progress[job.id].tokens) == job.tokens


def test_adopted_job_goes_on_behind_its_tokens():
    async def scenario(log, dispatcher):
        job = await submit(dispatcher)
        await job.wait_beyond(2)
        await dispatcher.hand_over()
        ledger = await replay_journal(log, dispatcher.journal.stream)
        entry = ledger.unfinished[job.id]
        dispatcher.adopt(entry, ledger.progress[job.id])
        adopted = dispatcher.jobs[job.id]
        await adopted.wait_beyond(7)
        return adopted

    adopted = play(scenario)
    assert adopted.tokens == WORDS
    assert adopted.attempts == 1


def test_host_that_finds_its_journal_sealed_accepts_into_a_new_one():
    """As after a partition: the first caller is not to be refused."""

    async def scenario(log, dispatcher):
        old = dispatcher.journal.stream
        seal = entries.to_value(entries.Sealed(by='requests.other.1'))
        await log.append(old, {'batch': 'seal', 'entries': [seal]})
        job = await submit(dispatcher)
        new = dispatcher.journal.stream
        return old, job, await replay_journal(log, new)

    old, job, ledger = play(scenario)
    assert set(ledger.unfinished) == {job.id}
    assert journal_module.get_journal_stream(job.id) == ledger.stream != old


def test_caller_that_leaves_while_being_accepted_leaves_no_orphan():
    """A journaled request is run although its caller has gone."""

    async def scenario(log, dispatcher):
        asking = asyncio.create_task(submit(dispatcher))
        await asyncio.sleep(0)
        asking.cancel()
        await asyncio.sleep(0.05)
        ledger = await replay_journal(log, dispatcher.journal.stream)
        return set(ledger.unfinished), set(dispatcher.running)

    unfinished, running = play(scenario)
    assert unfinished == running
    assert len(running) == 1


def test_waiting_caller_is_journaled_once_the_log_is_back():
    async def scenario(log, dispatcher):
        log.down = True
        body = CompletionBody(model='pearrun-oficina', prompt='p')
        job = await dispatcher.submit(body, promise=False)
        told = job.durable
        log.down = False
        await asyncio.sleep(0.1)
        ledger = await replay_journal(log, dispatcher.journal.stream)
        return told, job, ledger

    told, job, ledger = play(scenario)
    assert not told
    assert job.durable
    assert set(ledger.unfinished) == {job.id}
