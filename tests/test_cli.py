"""Tests of the command-line tool."""

import asyncio

from aiohttp import web
import pytest

from pearrun import cli
from tests.builders import find_free_port


def test_commands_wait_for_a_slow_log_service(capsys):
    """A daemon would retry after a time-out, but a command would fail."""

    async def answer(request):
        await asyncio.sleep(2.5)
        return web.json_response({'records': [], 'next_offset': 0})

    async def main():
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', answer)
        runner = web.AppRunner(app)
        await runner.setup()
        port = find_free_port()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(cli.FLAGS, 'log_url', f'http://127.0.0.1:{port}')
            await cli.show_config()
        await runner.cleanup()

    cli.FLAGS(['pearrun'])
    asyncio.run(main())
    assert 'nothing published' in capsys.readouterr().out
