"""Acceptance, sealing and takeover under faults of the log service."""

import asyncio
import contextlib

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from pearrun import exceptions
from pearrun.api import entries
from pearrun.api import journal as journal_module
from pearrun.api.journalstate import replay_journal
from pearrun.api.recovery import Recovery
from tests import builders

HOSTS = 3
TIMEOUT_MS = 10


class PausableLog:
    """One host's log client, which blocks while the host is paused."""

    def __init__(self, log):
        self.log = log
        self.resumed = asyncio.Event()
        self.resumed.set()

    async def append(self, *args, **kwargs):
        await self.resumed.wait()
        return await self.log.append(*args, **kwargs)

    async def read(self, *args, **kwargs):
        await self.resumed.wait()
        return await self.log.read(*args, **kwargs)

    async def read_all(self, *args, **kwargs):
        await self.resumed.wait()
        return await self.log.read_all(*args, **kwargs)


class FakeMembership:
    """Reports the hosts of the streams in ``dead`` as dead, even live ones."""

    def __init__(self):
        self.dead = set()
        self.orphan_beats = 2

    def find(self, stream):
        return stream

    def is_dead(self, stream):
        return stream in self.dead

    def remove(self, stream):
        pass


class Host:
    """The journal and recovery parts of one daemon."""

    def __init__(self, log, number):
        self.log = PausableLog(log)
        settings = builders.build_settings(f'h{number}', timeout_ms=TIMEOUT_MS)
        self.journal = journal_module.Journal(self.log, settings)
        self.membership = FakeMembership()
        self.adopted = []
        self.recovery = Recovery(
            self.log,
            settings,
            self.membership,
            self.journal,
            lambda entry, progress: self.adopted.append(entry.id),
        )
        self.writer = asyncio.ensure_future(self.journal.run())
        self.work = []

    def stop(self):
        for task in [self.writer, *self.work]:
            task.cancel()


class HostFailures(stateful.RuleBasedStateMachine):
    """Hosts accept requests, are paused and take each other's journals over.

    At the end one host takes over all other journals.  Then every request
    reported as accepted is finished, or unfinished on that host; every
    request reported as not run is neither of these; and no journal has
    been emptied by two hosts.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.log = builders.FakeLog()
        self.outcomes = {}
        self.streams = {}
        self.run(self.begin())

    async def begin(self):
        self.hosts = [Host(self.log, n) for n in range(HOSTS)]
        self.record_streams()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def settle(self, ms=2):
        self.run(asyncio.sleep(ms / 1000))
        self.record_streams()

    def record_streams(self):
        for host in self.hosts:
            self.streams[host.journal.stream] = host

    def teardown(self):
        self.check_outcomes()
        for host in self.hosts:
            host.stop()
        self.run(asyncio.sleep(0))
        self.loop.close()

    async def accept(self, host):
        request_id = journal_module.new_request_id(host.journal.stream)
        self.outcomes[request_id] = 'pending'
        try:
            await host.journal.accept(builders.build_acceptance(request_id))
        except exceptions.PearrunError as exc:
            self.outcomes[request_id] = 'not run' if exc.not_run else 'unknown'
        else:
            self.outcomes[request_id] = 'accepted'

    @stateful.rule(number=st.integers(0, HOSTS - 1), count=st.integers(1, 4))
    def accept_some(self, number, count):
        host = self.hosts[number]
        for _ in range(count):
            host.work.append(self.loop.create_task(self.accept(host)))
        self.settle()

    @stateful.rule(number=st.integers(0, HOSTS - 1))
    def finish_one(self, number):
        self.run(self.finish(self.hosts[number]))
        self.settle()

    async def finish(self, host):
        for request_id in sorted(host.journal.open_requests)[:1]:
            host.journal.enqueue(entries.Finished(request_id, 'done', ('x',)))

    @stateful.rule(
        answers=st.integers(0, 2),
        appends=st.integers(0, 2),
        late=st.integers(0, 2),
    )
    def lose(self, answers, appends, late):
        self.log.lose_answers = answers
        self.log.lose_appends = appends
        self.log.delay_appends = late

    @stateful.rule()
    def deliver_late_appends(self):
        self.log.deliver()
        self.settle()

    @stateful.rule(down=st.booleans(), ms=st.sampled_from([1, 30]))
    def outage(self, down, ms):
        self.log.down = down
        self.settle(ms)

    @stateful.rule(number=st.integers(0, HOSTS - 1), paused=st.booleans())
    def pause(self, number, paused):
        resumed = self.hosts[number].log.resumed
        resumed.clear() if paused else resumed.set()
        self.settle()

    async def take_over(self, host, stream):
        host.membership.dead = set(self.streams)
        with contextlib.suppress(exceptions.PearrunError):
            await host.recovery.take_over(stream)

    @stateful.rule(
        number=st.integers(0, HOSTS - 1), of=st.integers(0, HOSTS - 1)
    )
    def take_over_suspect(self, number, of):
        """One host takes over another, which may still be alive."""
        if number == of:
            return
        host = self.hosts[number]
        stream = self.hosts[of].journal.stream
        host.work.append(self.loop.create_task(self.take_over(host, stream)))
        self.settle()

    def check_outcomes(self):
        log = self.log
        log.down = False
        log.lose_answers = log.lose_appends = log.delay_appends = 0
        log.deliver()
        for host in self.hosts:
            host.log.resumed.set()
        self.settle(3 * TIMEOUT_MS)
        survivor = self.hosts[0]
        for _ in range(2):
            for stream in list(self.streams):
                if stream != survivor.journal.stream:
                    self.run(self.take_over(survivor, stream))
            self.settle(3 * TIMEOUT_MS)
        own = self.run(replay_journal(log, survivor.journal.stream))
        unfinished = set(own.unfinished)
        ended = set()
        for stream in self.streams:
            state = self.run(replay_journal(log, stream))
            ended |= set(state.finished)
            if stream != survivor.journal.stream:
                assert state.emptied
                self.check_emptied_once(stream)
        for request_id, outcome in self.outcomes.items():
            if outcome == 'accepted':
                assert request_id in unfinished | ended
            if outcome == 'not run':
                assert request_id not in unfinished | ended
            assert outcome != 'pending'

    def check_emptied_once(self, stream):
        sealed_by = None
        emptied = 0
        for value in self.log.values(stream):
            for raw in value['entries']:
                match entries.from_value(raw):
                    case entries.Sealed(by=by):
                        assert not emptied
                        sealed_by = by
                    case entries.Emptied(by=by):
                        emptied += by == sealed_by
        assert emptied == 1


HostFailures.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestHostFailures = HostFailures.TestCase


def run_with_journal(scenario, **platform):
    """Run ``scenario(log, journal)`` while the journal is being written."""

    async def main():
        log = builders.FakeLog()
        settings = builders.build_settings(**{'timeout_ms': 50, **platform})
        journal = journal_module.Journal(log, settings)
        writer = asyncio.create_task(journal.run())
        try:
            return await scenario(log, journal)
        finally:
            writer.cancel()

    return asyncio.run(main())


def test_acceptance_with_lost_response_is_resolved():
    async def scenario(log, journal):
        log.lose_answers = 1
        await journal.accept(builders.build_acceptance('h.1.a'))
        return await replay_journal(log, journal.stream)

    assert set(run_with_journal(scenario).unfinished) == {'h.1.a'}


def test_acceptance_fails_at_once_during_outage_with_not_run():
    async def scenario(log, journal):
        log.down = True
        with pytest.raises(exceptions.JournalUnavailableError) as caught:
            await journal.accept(builders.build_acceptance('h.1.a'))
        log.down = False
        await journal.write(entries.Finished('h.1.b', 'done'))
        return caught.value, await replay_journal(log, journal.stream)

    failure, state = run_with_journal(scenario)
    assert failure.not_run
    assert failure.retry_after_s >= 1
    assert not state.unfinished


def test_unresolved_acceptance_that_was_committed_is_withdrawn():
    """Its outcome was reported as unknown, so no host may run it."""

    async def scenario(log, journal):
        log.lose_answers = 1
        log.lose_after = 1000
        with pytest.raises(exceptions.AmbiguousAppendError) as caught:
            await journal.accept(builders.build_acceptance('h.1.a'))
        log.lose_appends = 0
        await journal.write(entries.Finished('h.1.b', 'done'))
        return caught.value, await replay_journal(log, journal.stream)

    failure, state = run_with_journal(scenario)
    assert not failure.not_run
    assert not state.unfinished


def test_concurrent_entries_are_batched():
    async def scenario(log, journal):
        writes = [
            journal.accept(builders.build_acceptance(f'h.1.{n}'))
            for n in range(100)
        ]
        await asyncio.gather(*writes)
        return journal.appends

    assert run_with_journal(scenario) <= 2
