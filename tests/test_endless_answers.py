"""Endpoints that send bytes without end in place of an answer."""

import asyncio

import pytest

from pearrun.standins.platformrunner import EndlessBytes
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until

RUNNERS = [('p1', 'plain'), ('p2', 'plain')]
MAX_RECEIVED_BYTES = 16 * 1024 * 1024
STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = STATUS + b'HEADERSTransfer-Encoding: chunked\r\n\r\n'
# What comes before any complete answer, so that the call can be repeated.
NO_ANSWERS = {
    'one header without end': EndlessBytes(STATUS + b'X: ', b'a'),
    'headers without end': EndlessBytes(STATUS, b'X: a\r\n'),
    'a status line without end': EndlessBytes(b'HTTP/1.1 200 ', b'a'),
    'empty lines': EndlessBytes(b'', b'\r\n'),
    'bytes that are no HTTP': EndlessBytes(b'', b'\x00\xff'),
    'responses with status 100': EndlessBytes(
        b'', b'HTTP/1.1 100 Continue\r\n\r\n'
    ),
    'responses with status 103': EndlessBytes(
        b'', b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    ),
    'a chunk size without end': EndlessBytes(CHUNKED, b'0'),
    'a chunk extension without end': EndlessBytes(CHUNKED + b'1;', b'a'),
    'trailers without end': EndlessBytes(
        CHUNKED + b'1\r\na\r\n0\r\n', b'X: a\r\n'
    ),
}
# What is a valid beginning of an answer.
BODIES = {
    'a body without length': EndlessBytes(STATUS + b'HEADERS\r\n', b'a'),
    'small chunks': EndlessBytes(CHUNKED, b'1\r\na\r\n'),
    'large chunks': EndlessBytes(CHUNKED, b'400\r\n' + b'a' * 1024 + b'\r\n'),
}


@pytest.mark.parametrize('name', NO_ANSWERS)
def test_calls_are_answered_beside_bytes_without_end(name):
    # Responses with status 100 were read until the call timed out.
    async def main():
        async with run_site(make_config(), RUNNERS, hosts=1) as site:
            daemon = site.hosts['host-1']
            runner = site.runners['p1']
            runner.faults.endless = NO_ANSWERS[name]
            for number in range(8):
                answer = await call(daemon, '/safe/', f'a{number}')
                assert answer.status == 200
            assert runner.runs
            await wait_until(lambda: not runner.server.connections)
            assert runner.endless_bytes < MAX_RECEIVED_BYTES

    asyncio.run(main())


@pytest.mark.parametrize('path', ['/safe/', '/short/'])
@pytest.mark.parametrize('name', {**NO_ANSWERS, **BODIES})
def test_bytes_without_end_do_not_hold_the_event_loop(name, path):
    async def main():
        kind = 'model' if path == '/short/' else 'plain'
        async with run_site(make_config(), [('e1', kind)], hosts=1) as site:
            daemon = site.hosts['host-1']
            runner = site.runners['e1']
            runner.faults.endless = {**NO_ANSWERS, **BODIES}[name]
            prompt = make_prompt() if kind == 'model' else {}
            pending = asyncio.create_task(
                call(daemon, path, 'a1', deadline_ms=1200, **prompt)
            )
            latest = 0.0
            loop = asyncio.get_running_loop()
            while not pending.done():
                before = loop.time()
                await asyncio.sleep(0.01)
                latest = max(latest, loop.time() - before)
            answer = await pending
            assert answer.status != 200 or not answer.complete
            assert latest < 0.5
            await wait_until(lambda: not runner.server.connections)

    asyncio.run(main())
