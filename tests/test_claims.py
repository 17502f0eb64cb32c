"""At most one request wins an idempotency key, whatever is lost."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun import claims as claims_module
from pearrun import exceptions
from tests import builders


@given(
    attempts=st.lists(
        st.tuples(st.integers(0, 4), st.booleans(), st.booleans()),
        min_size=1,
        max_size=12,
    )
)
def test_one_winner_despite_lost_answers_and_outages(attempts):
    """Each attempt: (request number, answer lost, log down)."""
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    winners = []

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
    assert len(winners) <= 1
    held = log.values(claims_module.stream_of('alarme-svc/k'))
    if winners:
        assert held[0]['holder'] == f'd{winners[0]}'


def test_same_request_claimed_again_by_an_adopter_does_not_win():
    """A claim belongs to an attempt, not to a request id."""
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)

    async def scenario():
        first = await key_claims.claim('alarme-svc/k', 'requests.a')
        second = await key_claims.claim('alarme-svc/k', 'requests.b')
        third = await key_claims.claim('alarme-svc/k', 'requests.a')
        return first.won, second.won, third.won

    assert asyncio.run(scenario()) == (True, False, False)


def test_claim_whose_answer_was_lost_before_an_outage_is_still_ours():
    """Else the call would never be made: an alarm lost."""
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    key, attempt = 'alarme-svc/k', claims_module.new_attempt()

    async def scenario():
        log.lose_answers, log.down_after_loss = 1, True
        with pytest.raises(exceptions.JournalUnavailableError):
            await key_claims.claim(key, 'requests.a', attempt=attempt)
        log.down = False
        return await key_claims.claim(key, 'requests.a', attempt=attempt)

    assert asyncio.run(scenario()).won


def test_dead_holder_gives_unknown_and_the_late_answer_loses():
    """A paused holder that wakes cannot turn ``unknown`` into done."""
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    key = 'licence-records/k'

    async def scenario():
        await key_claims.claim(key, 'requests.a')
        with pytest.raises(exceptions.OutcomeUnknownError):
            await key_claims.wait_outcome(key, 1000, lambda holder: True)
        await key_claims.publish(key, claims_module.ANSWERED, 'late')
        with pytest.raises(exceptions.OutcomeUnknownError):
            await key_claims.wait_outcome(key, 1000, lambda holder: False)

    asyncio.run(scenario())


def test_key_older_than_retention_is_not_run_again():
    log = builders.FakeLog()
    key_claims = claims_module.KeyClaims(log)
    key = 'licence-records/k'

    async def scenario():
        await key_claims.claim(key, 'requests.a')
        log.expire(claims_module.stream_of(key), 1)
        await key_claims.claim(key, 'requests.b')

    with pytest.raises(exceptions.OutcomeUnknownError):
        asyncio.run(scenario())
