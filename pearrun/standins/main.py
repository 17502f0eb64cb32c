"""Command line of the stand-ins: ``pearrun-standin --kind=engine``."""

from absl import app as absl_app
from absl import flags

from pearrun import logs
from pearrun.api import web
from pearrun.standins import cloud
from pearrun.standins import engine
from pearrun.standins import link
from pearrun.standins import logstore
from pearrun.standins import service

FLAGS = flags.FLAGS
flags.DEFINE_enum(
    'kind',
    None,
    ['engine', 'service', 'log', 'cloud', 'link'],
    'Which stand-in.',
)
flags.DEFINE_string('host', '127.0.0.1', 'Address to listen on.')
flags.DEFINE_integer('port', None, 'Port to listen on.')
flags.DEFINE_string('id', 'standin', 'Endpoint id (engine, service).')
flags.DEFINE_string('zone', '-', 'Failure domain, for logs.')
flags.DEFINE_integer('slots', 8, 'Engine: batch slots.')
flags.DEFINE_float('decode_ms', 8.0, 'Engine: ms per decoded token.')
flags.DEFINE_float('prefill_ms', 0.2, 'Engine: ms per prefilled token.')
flags.DEFINE_integer('cache_blocks', 512, 'Engine: prefix cache blocks.')
flags.DEFINE_bool('enforce_fencing', True, 'Engine: refuse stale orders.')
flags.DEFINE_list('hosts', [], 'Cloud: endpoint hosts as id:zone.')
flags.DEFINE_integer('list_lag_ms', 1500, 'Cloud: host list lag.')
flags.DEFINE_integer('retention_ms', 3_600_000, 'Log: record retention.')
flags.DEFINE_integer('appends_per_second', 500, 'Log: append rate.')
flags.DEFINE_integer('listen_port', None, 'Link: port it carries.')
flags.DEFINE_string('target', None, 'Link: host:port it leads to.')
flags.DEFINE_enum('log_format', 'text', ['text', 'json'], 'Log format.')
flags.mark_flags_as_required(['kind', 'port'])


def build(kind):
    """Build the sanic app of the stand-in named by ``kind``."""
    match kind:
        case 'engine':
            return engine.build_app(
                engine.EngineConfig(
                    endpoint_id=FLAGS.id,
                    slots=FLAGS.slots,
                    decode_ms_per_token=FLAGS.decode_ms,
                    prefill_ms_per_token=FLAGS.prefill_ms,
                    cache_blocks=FLAGS.cache_blocks,
                    enforce_fencing=FLAGS.enforce_fencing,
                )
            )
        case 'service':
            return service.build_app(service.ServiceConfig(FLAGS.id))
        case 'log':
            return logstore.build_app(
                logstore.LogConfig(
                    retention_ms=FLAGS.retention_ms,
                    appends_per_second=FLAGS.appends_per_second,
                )
            )
        case 'link':
            return link.build_app(
                link.LinkConfig(FLAGS.listen_port, FLAGS.target)
            )
        case 'cloud':
            pairs = tuple(tuple(h.split(':', 1)) for h in FLAGS.hosts)
            return cloud.build_app(
                cloud.CloudConfig(hosts=pairs, list_lag_ms=FLAGS.list_lag_ms)
            )


def main(argv):
    """Start one stand-in and serve until stopped."""
    del argv
    logs.configure(f'standin-{FLAGS.kind}', FLAGS.zone, FLAGS.log_format)
    app = build(FLAGS.kind)
    web.install_admin_routes(app)
    web.serve(app, FLAGS.host, FLAGS.port)


def run():
    """Entry point of the ``pearrun-standin`` script."""
    absl_app.run(main)
