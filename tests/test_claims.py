"""At most one request wins an idempotency key, whatever is lost."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

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
    key_claims = claims_module.KeyClaims(log, settings=None)
    winners = set()

    async def scenario():
        for number, lost, down in attempts:
            log.down = down
            log.lose_answers = 1 if lost else 0
            try:
                claim = await key_claims.claim('alarme-svc/k', f'r{number}')
            except exceptions.JournalUnavailableError:
                continue
            if claim.won:
                winners.add(claim.request_id)
        log.down = False

    asyncio.run(scenario())
    assert len(winners) <= 1
    records = log.streams.get(claims_module.stream_of('alarme-svc/k'), [])
    if winners:
        assert records[0]['id'] in winners
