"""Claims of idempotency keys: one request at most wins, despite failures."""

import asyncio
import time

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from pearrun import exceptions
from pearrun.api import claims as claims_module
from tests import builders

KEY = 'licence-records/k'


@given(
    attempts=st.lists(
        st.tuples(st.integers(0, 4), st.booleans(), st.booleans()),
        min_size=1,
        max_size=12,
    )
)
@hypothesis_settings(deadline=None)
def test_one_winner_despite_lost_answers_and_outages(attempts):
    """Each attempt is (request number, answer lost, log down)."""
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    winners = []
    start_s = time.process_time()

    async def scenario():
        for number, lost, down in attempts:
            log.down = down
            log.lose_answers = 1 if lost else 0
            try:
                claim = await key_claims.claim('alarme-svc/k', f'd{number}')
            except exceptions.JournalUnavailableError:
                continue
            if claim.won:
                winners.append(number)
        log.down = False

    asyncio.run(scenario())
    assert time.process_time() - start_s < builders.MAX_CPU_S
    assert len(winners) <= 1
    held = log.values(claims_module.get_claim_stream('alarme-svc/k'))
    if winners:
        assert held[0]['holder'] == f'd{winners[0]}'


def test_request_claimed_again_after_takeover_does_not_win():
    """A claim belongs to an attempt and not to a request."""
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)

    async def scenario():
        first = await key_claims.claim('alarme-svc/k', 'requests.a')
        second = await key_claims.claim('alarme-svc/k', 'requests.b')
        third = await key_claims.claim('alarme-svc/k', 'requests.a')
        return first.won, second.won, third.won

    assert asyncio.run(scenario()) == (True, False, False)


def test_claim_with_lost_answer_is_recovered_after_an_outage():
    """Guards against a call, such as an alarm, that no host ever makes.

    The claim was written, but its answer was lost in an outage.  The
    same attempt must recognize the claim as its own.
    """
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    key, attempt = 'alarme-svc/k', claims_module.generate_attempt_id()

    async def scenario():
        log.lose_answers, log.down_after_loss = 1, True
        with pytest.raises(exceptions.JournalUnavailableError):
            await key_claims.claim(key, 'requests.a', attempt=attempt)
        log.down = False
        return await key_claims.claim(key, 'requests.a', attempt=attempt)

    assert asyncio.run(scenario()).won


def test_late_answer_does_not_replace_unknown_outcome():
    """A holder that was paused cannot replace ``unknown`` by an answer."""
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    key = 'licence-records/k'

    async def scenario():
        await key_claims.claim(key, 'requests.a')
        with pytest.raises(exceptions.OutcomeUnknownError):
            await key_claims.wait_for_outcome(key, 1000, lambda holder: True)
        await key_claims.publish(key, claims_module.ANSWERED, 'late')
        with pytest.raises(exceptions.OutcomeUnknownError):
            await key_claims.wait_for_outcome(key, 1000, lambda holder: False)

    asyncio.run(scenario())


def test_call_with_key_older_than_retention_is_not_repeated():
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    key = 'licence-records/k'

    async def scenario():
        await key_claims.claim(key, 'requests.a')
        log.expire(claims_module.get_claim_stream(key), 1)
        await key_claims.claim(key, 'requests.b')

    with pytest.raises(exceptions.OutcomeUnknownError):
        asyncio.run(scenario())


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Hosts that make the call for one key and may be paused at any step.

    The service runs the call at most once, whichever appends or answers
    are lost and whichever hosts are declared dead.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.log = builders.FakeLog()
        self.claims = claims_module.KeyClaims(self.log)
        self.executions = 0
        self.resumed = [self.loop.create_future() for _ in range(3)]
        for resumed in self.resumed:
            resumed.set_result(None)
        self.tasks = []

    def run_pending(self):
        self.loop.run_until_complete(asyncio.sleep(0.002))

    def teardown(self):
        self.log.down = False
        for number in range(3):
            self.pause(number, False)
        for task in self.tasks:
            task.cancel()
        self.run_pending()
        self.loop.close()

    async def handle(self, number):
        """Handle a job as a daemon does; it may be paused at each step."""
        holder = f'requests.h{number}.1'
        try:
            claim = await self.claims.claim(KEY, holder)
            await asyncio.shield(self.resumed[number])
            if claim.won:
                self.executions += 1
                await asyncio.shield(self.resumed[number])
                await self.claims.publish(KEY, claims_module.ANSWERED, 'a')
            else:
                await self.claims.wait_for_outcome(KEY, 20, self.appears_dead)
        except (exceptions.OutcomeUnknownError, exceptions.CapacityError):
            return

    def appears_dead(self, holder):
        """Return whether a holder is paused and thus appears dead."""
        number = int(holder.split('.')[1].removeprefix('h'))
        return not self.resumed[number].done()

    @stateful.rule(number=st.integers(0, 2))
    def receive_request(self, number):
        self.tasks.append(self.loop.create_task(self.handle(number)))
        self.run_pending()

    @stateful.rule(number=st.integers(0, 2), paused=st.booleans())
    def pause(self, number, paused):
        if paused and self.resumed[number].done():
            self.resumed[number] = self.loop.create_future()
        elif not paused and not self.resumed[number].done():
            self.resumed[number].set_result(None)
        self.run_pending()

    @stateful.rule(
        down=st.booleans(), answers=st.integers(0, 2), late=st.integers(0, 2)
    )
    def set_faults(self, down, answers, late):
        self.log.down = down
        self.log.lose_answers = answers
        self.log.delay_appends = late
        self.run_pending()

    @stateful.rule()
    def deliver_late_appends(self):
        self.log.deliver()

    @stateful.invariant()
    def runs_at_most_once(self):
        assert self.executions <= 1


AtMostOnce.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
TestAtMostOnce = AtMostOnce.TestCase
