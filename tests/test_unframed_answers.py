"""Answers without length or chunks, which end with their connection."""

import asyncio
import dataclasses

import pytest

from pearrun.http1.messages import ResponseHead
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.test_tunnels import run_cut_off

STREAMS = [('m1', 'model')]
EVENTS = 5


@dataclasses.dataclass(frozen=True)
class End:
    """How an endpoint ends a stream.

    :param after_events: number of events sent before; ``None`` for all.
    """

    after_events: int | None
    torn: bool = False
    orderly: bool = False

    def apply(self, faults):
        """Let an endpoint end its streams in this way."""
        faults.unframed = True
        faults.break_after_events = self.after_events
        faults.torn = self.torn
        faults.orderly = self.orderly


WHOLE = End(None, orderly=True)
BROKEN = {
    'close before any event': End(0, orderly=True),
    'close inside the first event': End(0, torn=True, orderly=True),
    'close inside an event': End(2, torn=True, orderly=True),
    'reset before any event': End(0),
    'reset inside an event': End(2, torn=True),
    'reset after an event': End(2),
}


async def send_stream(site, daemon, end, path='/short/x'):
    """Send a call whose stream ends in a given way.

    :returns: a :class:`Response`.
    """
    end.apply(site.runners['m1'].faults)
    return await call(daemon, path, 'a1', **make_prompt())


def check_broken(answer):
    """Check that an answer does not look complete."""
    assert answer.status in (0, 502) or not answer.complete


@pytest.mark.parametrize('name', BROKEN)
def test_broken_streams_without_framing_do_not_look_whole(name):
    async def main():
        async with run_site(make_config(), STREAMS) as site:
            daemon = site.hosts['host-1']
            check_broken(await send_stream(site, daemon, BROKEN[name]))
            quarantine = daemon.host.quarantine
            assert not quarantine.answers.requests

    asyncio.run(main())


@pytest.mark.parametrize('name', BROKEN)
def test_broken_streams_through_another_host_do_not_look_whole(name):
    async def scenario(site, partition, daemon):
        check_broken(await send_stream(site, daemon, BROKEN[name]))

    run_cut_off(scenario, STREAMS)


def test_streams_that_end_with_their_connection_are_whole():
    async def main():
        async with run_site(make_config(), STREAMS) as site:
            daemon = site.hosts['host-1']
            answer = await send_stream(site, daemon, WHOLE)
            assert answer.status == 200
            assert answer.complete
            assert answer.body.count(b'id: ') == EVENTS

    asyncio.run(main())


def test_streams_that_end_with_their_tunnel_are_whole():
    async def scenario(site, partition, daemon):
        answer = await send_stream(site, daemon, WHOLE)
        assert answer.complete
        assert answer.body.count(b'id: ') == EVENTS

    run_cut_off(scenario, STREAMS)


def test_resumable_streams_without_framing_go_on_after_a_reset():
    async def main():
        runners = [*STREAMS, ('m2', 'model')]
        async with run_site(make_config(), runners) as site:
            for runner in site.runners.values():
                BROKEN['reset after an event'].apply(runner.faults)
                runner.event_count = 3
            path = '/long/x'
            answer = await call(
                site.hosts['host-1'], path, 'a1', **make_prompt()
            )
            assert answer.complete
            assert answer.body.count(b'id: ') == 3

    asyncio.run(main())


def test_the_framing_of_a_body_is_recognized():
    def is_framed(*headers):
        return ResponseHead(200, list(headers)).is_framed

    assert is_framed((b'Content-Length', b'5'))
    assert is_framed((b'Transfer-Encoding', b'chunked'))
    assert is_framed((b'transfer-encoding', b'gzip, Chunked'))
    assert not is_framed((b'Connection', b'close'))
