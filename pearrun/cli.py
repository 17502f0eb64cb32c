"""The command-line tool ``pearrun``.

Commands::

    pearrun config apply FILE [--team=NAME]   publish the team tree
    pearrun config show                       print the current tree
    pearrun status                            each daemon's state
    pearrun drain ENDPOINT                    stop sending new work to it
    pearrun burn                              burn rates of error budgets
    pearrun workload FILE                     send a burst of requests, check
                                              the responses
    pearrun bench FILE [--out=JSON] [--plot=PNG]   run a load experiment
    pearrun wait URL...                       wait until /healthz returns 200
    pearrun explain REQUEST_ID [LOG...]       a request's time line, from the
                                              logs of platform hosts; - for
                                              stdin
    pearrun losses [LOG...] [--span_s=2]      results of calls over time and
                                              by route; --span_s: seconds per
                                              row
    pearrun help                              print this help
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

# Timeout of calls to the log service.  A daemon times out after 2 s and
# retries; a command calls only once, and on a loaded machine connecting
# alone has taken over a second.
LOG_TIMEOUT_MS = 15_000

FLAGS = flags.FLAGS
flags.DEFINE_list(
    'daemons', ['http://127.0.0.1:8101'], 'Base URLs of daemons.'
)
flags.DEFINE_string('log_url', 'http://127.0.0.1:8201', 'Log service URL.')
flags.DEFINE_string('config_stream', 'config', 'Config stream name.')
flags.DEFINE_string('out', None, 'bench: file for the report, as JSON.')
flags.DEFINE_string(
    'plot', None, 'bench: file for the latency and cost plot (PNG).'
)
flags.DEFINE_float('span_s', 2.0, 'losses: seconds per row.')
flags.DEFINE_string('team', None, 'config apply: publish only this team.')

USAGE = __doc__


def make_log_client(session):
    """Return a :class:`LogClient` configured by the flags."""
    platform = settings_module.PlatformSettings(
        log_url=FLAGS.log_url,
        config_stream=FLAGS.config_stream,
        timeout_ms=LOG_TIMEOUT_MS,
    )
    return LogClient(session, platform)


async def apply_config(path):
    """Publish a team tree and print its version."""
    tree = settings_module.load_yaml(path, settings_module.TeamTree)
    async with aiohttp.ClientSession() as session:
        version, offset = await config.publish(
            make_log_client(session), FLAGS.config_stream, tree, FLAGS.team
        )
    print(f'published version {version} at offset {offset}')


async def show_config():
    """Print the latest published team tree."""
    async with aiohttp.ClientSession() as session:
        tree, _ = await config.read_latest(
            make_log_client(session), FLAGS.config_stream
        )
    print(config.tree_to_yaml(tree) if tree else 'nothing published')


async def fetch_all(path):
    """Request ``path`` from every daemon.

    :returns: the decoded bodies; ``None`` for an unreachable daemon.
    """
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
    """Print the burn report of all daemons."""
    bodies = [b for b in await fetch_all('/v1/metrics') if b]
    async with aiohttp.ClientSession() as session:
        tree, _ = await config.read_latest(
            make_log_client(session), FLAGS.config_stream
        )
    if tree is None:
        print('no configuration published')
        return
    print(burn.format_report(burn.build_report(bodies, tree)))


async def run_workload(path):
    """Send a burst of requests; print the responses and the burn report."""
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
    """Run an experiment; print its table, write JSON and the plot."""
    trial = experiment.Experiment(plan.load(path))
    rounds = await trial.run()
    figures = report.build_report(rounds, trial.tree)
    print(report.format_report(figures))
    if FLAGS.out:
        with open(FLAGS.out, 'w', encoding='utf-8') as handle:
            json.dump(figures, handle, indent=2)
    if FLAGS.plot:
        plots.draw(rounds, FLAGS.plot)


async def wait_healthy(urls, timeout_s=30.0):
    """Wait until ``/healthz`` of every URL returns 200.

    :param urls: base URLs.
    :raises PearrunError: a URL did not return 200 within ``timeout_s``.
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

    :param paths: log files; ``-`` or no path means standard input.
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
    """Print a request's time line.

    :param paths: see :func:`read_logs`.
    """
    print('\n'.join(explain.explain(read_logs(paths), request_id)))


async def run_explain(request_id, paths):
    """Run :func:`explain_request` as a command."""
    explain_request(request_id, paths)


async def run_losses(paths):
    """Print tables of the results of calls, by time and by route."""
    lines = losses.render_losses(read_logs(paths), FLAGS.span_s)
    print('\n'.join(lines))


async def show_help():
    """Print the usage text."""
    print(USAGE)


def make_command(args):
    """Return the coroutine of the command named by the arguments.

    :param args: command-line arguments without program name and flags.
    :raises UsageError: the arguments name no known command.
    """
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
    """Parse the command line and run the command on uvloop."""
    command = make_command(argv[1:])
    try:
        uvloop.run(command)
    except exceptions.PearrunError as exc:
        print(f'error {exc.code}: {exc.message}', file=sys.stderr)
        raise SystemExit(1) from exc


def run():
    """Entry point of the ``pearrun`` script."""
    if sys.argv[1:] in ([], ['--help'], ['-h']):
        # absl's own help lists only the flags and exits with 1.
        sys.argv[1:] = ['help']
    absl_app.run(main)
