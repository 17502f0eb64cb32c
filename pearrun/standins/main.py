"""Command line that runs a stand-in: ``pearrun-standin --kind=engine``."""

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
    'Kind of stand-in to run.',
)
flags.DEFINE_string('host', '127.0.0.1', 'Address to listen on.')
flags.DEFINE_integer('port', None, 'Port to listen on.')
flags.DEFINE_string('id', 'standin', 'Endpoint id (engine, service).')
flags.DEFINE_string('zone', '-', 'Failure domain, used in logs.')
flags.DEFINE_integer('slots', 8, 'Engine: batch slots.')
flags.DEFINE_float('decode_ms', 8.0, 'Engine: decode time per token, ms.')
flags.DEFINE_float('prefill_ms', 0.2, 'Engine: prefill time per token, ms.')
flags.DEFINE_integer('cache_blocks', 512, 'Engine: prefix cache size, blocks.')
flags.DEFINE_bool('enforce_fencing', True, 'Engine: refuse stale orders.')
flags.DEFINE_list('hosts', [], 'Cloud: endpoint hosts, as id:zone.')
flags.DEFINE_integer('list_lag_ms', 1500, 'Cloud: delay of the host list.')
flags.DEFINE_integer('retention_ms', 3_600_000, 'Log: retention of records.')
flags.DEFINE_integer(
    'appends_per_second', 500, 'Log: limit of the append rate.'
)
flags.DEFINE_integer('listen_port', None, 'Link: port it forwards from.')
flags.DEFINE_string('target', None, 'Link: host:port it forwards to.')
flags.DEFINE_enum('log_format', 'text', ['text', 'json'], 'Log format.')
flags.mark_flags_as_required(['kind', 'port'])


def build_app(kind):
    """Build the sanic app of a kind of stand-in."""
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
    """Run one stand-in until it is stopped."""
    del argv
    logs.configure(f'standin-{FLAGS.kind}', FLAGS.zone, FLAGS.log_format)
    app = build_app(FLAGS.kind)
    web.install_admin_routes(app)
    web.serve(app, FLAGS.host, FLAGS.port)


def run():
    """Run :func:`main`; the ``pearrun-standin`` script calls this."""
    absl_app.run(main)
