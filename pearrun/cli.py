"""The command-line tool ``pearrun``.

Commands::

    pearrun config apply FILE [--team=NAME]   publish the team tree
    pearrun config show                       print the tree in force
    pearrun status                            each daemon's state
    pearrun drain ENDPOINT                    stop new work to it
    pearrun burn                              service-level burn report
    pearrun workload FILE                     send a burst, check answers
    pearrun bench FILE [--out=JSON] [--plot=PNG]   load and experiment tool
    pearrun wait URL...                       wait for /healthz to answer
    pearrun explain REQUEST_ID [LOG...]       a request's path, from the logs
                                              of platform hosts; - for stdin
    pearrun losses [LOG...] [--span_s=2]      which calls were lost, when and
                                              why; --span_s: a row's seconds
    pearrun help                              this text
"""

import asyncio
import contextlib
import json
import sys

from absl import app as absl_app
from absl import flags
import aiohttp
import uvloop

from pearrun import burn
from pearrun import exceptions
from pearrun import explain
from pearrun import losses
from pearrun.api import config
from pearrun.api import settings as settings_module
from pearrun.api.logservice import LogClient
from pearrun.bench import experiment
from pearrun.bench import plan
from pearrun.bench import plots
from pearrun.bench import report
from pearrun.bench import workload

# Longest wait for the log service.  A daemon gives up after 2 s and asks
# again; a command asks once, and on a busy machine its connection alone took
# over a second.
LOG_TIMEOUT_MS = 15_000

FLAGS = flags.FLAGS
flags.DEFINE_list(
    'daemons', ['http://127.0.0.1:8101'], 'Base URLs of daemons.'
)
flags.DEFINE_string('log_url', 'http://127.0.0.1:8201', 'Log service URL.')
flags.DEFINE_string('config_stream', 'config', 'Config stream name.')
flags.DEFINE_string('out', None, 'bench: write the report here as JSON.')
flags.DEFINE_string('plot', None, 'bench: draw latency and cost here (PNG).')
flags.DEFINE_float('span_s', 2.0, 'losses: seconds of a row.')
flags.DEFINE_string('team', None, 'config apply: publish only this team.')

USAGE = __doc__


def log_client(session):
    """Return a :class:`LogClient` from the command-line flags."""
    platform = settings_module.PlatformSettings(
        log_url=FLAGS.log_url,
        config_stream=FLAGS.config_stream,
        timeout_ms=LOG_TIMEOUT_MS,
    )
    return LogClient(session, platform)


async def apply_config(path):
    """Publish a team tree; print its version."""
    tree = settings_module.load_yaml(path, settings_module.TeamTree)
    async with aiohttp.ClientSession() as session:
        version, offset = await config.publish(
            log_client(session), FLAGS.config_stream, tree, FLAGS.team
        )
    print(f'published version {version} at offset {offset}')


async def show_config():
    """Print the latest published team tree."""
    async with aiohttp.ClientSession() as session:
        tree, _ = await config.read_latest(
            log_client(session), FLAGS.config_stream
        )
    print(config.tree_to_yaml(tree) if tree else 'nothing published')


async def fetch_all(path):
    """GET ``path`` from every daemon; unreachable ones give ``None``."""
    async with aiohttp.ClientSession() as session:
        bodies = []
        for url in FLAGS.daemons:
            try:
                async with session.get(f'{url}{path}') as reply:
                    bodies.append(await reply.json())
            except aiohttp.ClientError:
                bodies.append(None)
        return bodies


async def show_status():
    """Print each daemon's status."""
    bodies = await fetch_all('/v1/status')
    for url, body in zip(FLAGS.daemons, bodies, strict=True):
        print(url, json.dumps(body, indent=2) if body else 'unreachable')


async def drain(endpoint):
    """Tell the daemons to stop sending new work to an endpoint."""
    async with aiohttp.ClientSession() as session:
        for url in FLAGS.daemons:
            async with session.post(
                f'{url}/admin/drain', json={'endpoint': endpoint}
            ) as reply:
                print(url, reply.status, await reply.text())


async def show_burn():
    """Print the service-level burn report of all daemons."""
    bodies = [b for b in await fetch_all('/v1/metrics') if b]
    async with aiohttp.ClientSession() as session:
        tree, _ = await config.read_latest(
            log_client(session), FLAGS.config_stream
        )
    if tree is None:
        print('no configuration published')
        return
    print(burn.format_report(burn.build_report(bodies, tree)))


async def run_workload(path):
    """Send a workload burst, print every answer, then the burn report."""
    load = workload.load(path)
    total = sum(item.repeat for item in load.requests)
    print(f'sending {total} requests to {len(FLAGS.daemons)} daemons ...')
    outcomes = await workload.run_burst(load, FLAGS.daemons)
    whole = 0
    for number, outcome in enumerate(outcomes, 1):
        mark = 'whole' if outcome.is_correct else 'WRONG'
        whole += outcome.is_correct
        print(
            f'[{number}/{total}] {outcome.item.service} {mark} '
            f'{outcome.status}: {outcome.text or outcome.error}'
        )
    print(f'{whole} of {total} answers whole and correct')
    await show_burn()
    if whole != total:
        raise SystemExit(1)


async def run_bench(path):
    """Play a bench file; print its table, write JSON and plot."""
    played = experiment.Experiment(plan.load(path))
    rounds = await played.run()
    figures = report.build_report(rounds, played.tree)
    print(report.format_report(figures))
    if FLAGS.out:
        with open(FLAGS.out, 'w', encoding='utf-8') as handle:
            json.dump(figures, handle, indent=2)
    if FLAGS.plot:
        plots.draw(rounds, FLAGS.plot)


async def wait_healthy(urls, timeout_s=30.0):
    """Wait until every URL's ``/healthz`` answers 200.

    :raises PearrunError: some did not answer within ``timeout_s``.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    async with aiohttp.ClientSession() as session:
        for url in urls:
            while True:
                try:
                    async with session.get(f'{url}/healthz') as reply:
                        if reply.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                if loop.time() > deadline:
                    raise exceptions.PearrunError(f'{url} did not start')
                await asyncio.sleep(0.1)


def read_logs(paths):
    """Read the hosts' logs.

    :param paths: log files; standard input where there are none.
    :returns: a list of :class:`LogLine`.
    :raises InputFileError: a file cannot be read.
    """
    try:
        with contextlib.ExitStack() as stack:
            sources = [
                sys.stdin
                if path == '-'
                else stack.enter_context(open(path, encoding='utf-8'))
                for path in paths or ['-']
            ]
            return explain.read_lines(sources)
    except OSError as exc:
        raise exceptions.InputFileError(str(exc)) from exc


def explain_request(request_id, paths):
    """Print a request's time line; see :func:`read_logs`."""
    print('\n'.join(explain.explain(read_logs(paths), request_id)))


async def run_explain(request_id, paths):
    """Explain a request; a command like the others."""
    explain_request(request_id, paths)


async def run_losses(paths):
    """Print which calls were lost, when and why."""
    lines = losses.render_losses(read_logs(paths), FLAGS.span_s)
    print('\n'.join(lines))


async def show_help():
    """Print the commands."""
    print(USAGE)


def dispatch(args):
    """Return the command named by the positional arguments."""
    match args:
        case ['help']:
            return show_help()
        case ['losses', *paths]:
            return run_losses(paths)
        case ['explain', request_id, *paths]:
            return run_explain(request_id, paths)
        case ['config', 'apply', path]:
            return apply_config(path)
        case ['config', 'show']:
            return show_config()
        case ['status']:
            return show_status()
        case ['drain', endpoint]:
            return drain(endpoint)
        case ['burn']:
            return show_burn()
        case ['workload', path]:
            return run_workload(path)
        case ['bench', path]:
            return run_bench(path)
        case ['wait', *urls] if urls:
            return wait_healthy(urls)
    raise absl_app.UsageError(USAGE)


def main(argv):
    """Parse the command and run it on uvloop."""
    command = dispatch(argv[1:])
    try:
        uvloop.run(command)
    except exceptions.PearrunError as exc:
        print(f'error {exc.code}: {exc.message}', file=sys.stderr)
        raise SystemExit(1) from exc


def run():
    """Entry point of the ``pearrun`` script."""
    if sys.argv[1:] in ([], ['--help'], ['-h']):
        # absl's own help names only flags and exits with 1.
        sys.argv[1:] = ['help']
    absl_app.run(main)
