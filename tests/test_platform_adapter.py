"""Settings, decoding and peer messages of the platform adapter."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tomllib

import pytest

from pearrun import exceptions
from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import RegressionSums
from pearrun.http1.messages import Request
from pearrun.ids import HostName
from pearrun.logs import BoundedWriter
from pearrun.platform import codec
from pearrun.platform import decoding
from pearrun.platform import settings as settings_module
from pearrun.platform.store import decode_keyed
from pearrun.platform.store import split_records
from pearrun.platform.store import StoreClient
from pearrun.relay.events import EventSplitter
from pearrun.run import Run
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.clocksync import CorrectedClock
from pearrun.shared.configuration import CallKind
from pearrun.shared.loads import Load
from pearrun.shared.prompts import PromptPlacement
from pearrun.shared.quotas import AdmittedUnits
from pearrun.standins.platformsite import make_config
from pearrun.standins.platformsite import make_settings_fields
from pearrun.standins.platformsite import render_settings
from pearrun.standins.platformsite import StandinSite
from pearrun.standins.platformsite import STREAM_HOST
from pearrun.standins.platformstore import join_records
from pearrun.states import EndpointState
from pearrun.usage.table import UsageTable
from tests.builders import find_free_port

RUN = Run(HostName('h'), 5, 'zone-a')
PORTS = {'front': 8360, 'ready': 8365, 'peer': 7500}


def make_fields(**bounds):
    """Return the fields of a settings file."""
    site = StandinSite('10.0.0.1:1', '10.0.0.1:2')
    return make_settings_fields(
        'h', 'zone-a', '10.1.0.1', site, PORTS, **bounds
    )


def test_settings_are_decoded_once_into_milliseconds(tmp_path):
    path = tmp_path / 'boot.toml'
    path.write_text(render_settings(make_fields(grace_s=8, budget_slack=58)))
    settings = settings_module.load(path)
    assert settings.shutdown_ms == 8000
    assert settings.retry.slack == 58
    assert settings.zones == ('zone-a', 'zone-b')
    assert settings.duties.names == {'usage', 'autoscale'}


@pytest.mark.parametrize(
    ('text', 'error'),
    [
        ('node = ', exceptions.SettingsSyntaxError),
        ('node = "h"', exceptions.SettingsValueError),
        ('port_range = [1]', exceptions.SettingsValueError),
    ],
)
def test_bad_settings_are_coded_errors(tmp_path, text, error):
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    with pytest.raises(error):
        settings_module.load(path)
    with pytest.raises(exceptions.SettingsSyntaxError):
        settings_module.load(tmp_path / 'absent.toml')


def test_unknown_settings_are_ignored(tmp_path):
    fields = {**make_fields(), 'new_field': 7}
    path = tmp_path / 'boot.toml'
    path.write_text(render_settings(fields))
    assert settings_module.load(path).name == 'h'


def decode_config(**fields):
    """Return the decoded configuration of the stand-in site."""
    raw = json.dumps(make_config(**fields)).encode()
    return decoding.decode_configuration(raw)


def test_host_and_prefix_select_the_route_and_unknown_keys_no_customer():
    config = decode_config()
    config.routes.append(config.routes[0])
    assert config.find_route(STREAM_HOST.upper(), '/long/x').name == 'long'
    assert config.find_route('other.example', '/long/x') is None
    assert config.find_route(STREAM_HOST, '/long') is None
    assert config.find_customer('nobody') is None


def test_only_idempotent_and_resumable_routes_are_retried():
    routes = {route.name: route for route in decode_config().routes}
    assert routes['safe'].retryable
    assert routes['long'].retryable
    assert not routes['once'].retryable
    assert not routes['short'].retryable
    raw = make_config()['routes'][0]
    unknown = decoding.decode_route({**raw, 'kind': 'something new'})
    assert unknown.kind is CallKind.NON_IDEMPOTENT


@pytest.mark.parametrize('raw', [b'', b'[]', b'{"version": "x"}', b'\xff'])
def test_malformed_records_are_coded_errors(raw):
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_configuration(raw)
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e', raw)


def test_endpoint_entry_fields_are_decoded():
    raw = {'service': 's', 'addr': '10.0.0.1:1', 'zone': 'z', 'slots': 8}
    raw['state'] = 'draining'
    entry = decoding.decode_endpoint(
        'e', json.dumps({**raw, 'spot': True, 'leaves_ms': 2500}).encode()
    )
    assert entry.state is EndpointState.LEAVING
    assert entry.reclaimable
    assert entry.leaves_ms == 2500


def make_request(**headers):
    """Return a request for the route ``long``."""
    fields = {'Host': f'{STREAM_HOST}:80', 'Pearrun-Attempt-Id': 'a'}
    fields['Authorization'] = 'Token key-of-anna'
    for name, value in headers.items():
        fields[name.replace('_', '-')] = value
    pairs = [(k.encode(), v.encode()) for k, v in fields.items()]
    return Request(b'GET', b'/long/x?y=/z', pairs, received_ms=1000)


def test_call_timeout_is_the_earlier_of_deadline_and_route_timeout():
    config = decode_config()
    call = codec.decode_call(make_request(Pearrun_Deadline_Ms='700'), config)
    assert call.timeout_at_ms == 1700
    call = codec.decode_call(make_request(Pearrun_Deadline_Ms='9000'), config)
    assert call.timeout_at_ms == 4000
    assert call.deadline_ms == 10_000


def test_quota_units_are_tokens_or_the_default_count():
    config = decode_config()
    headers = {
        'Pearrun_Token_Count': '1460,80',
        'Pearrun_Prompt_Prefix': '5c:800,91:410,e4:250',
    }
    call = codec.decode_call(make_request(**headers), config)
    assert call.units == 1540
    assert [part.tokens for part in call.prompt.parts] == [800, 410, 250]
    assert codec.decode_call(make_request(), config).units == 200


@pytest.mark.parametrize(
    'headers',
    [
        {'Pearrun_Token_Count': 'many'},
        {'Pearrun_Token_Count': '1,2', 'Pearrun_Prompt_Prefix': 'a:b'},
        {'Pearrun_Deadline_Ms': 'soon'},
    ],
)
def test_malformed_headers_are_bad_requests(headers):
    with pytest.raises(exceptions.BadRequestError):
        codec.decode_call(make_request(**headers), decode_config())


def test_records_are_split_as_they_were_joined():
    records = [b'', b'a', b'b' * 300]
    assert split_records(join_records(records)) == records
    assert decode_keyed(b'\x03keyvalue').value == b'value'
    assert decode_keyed(b'\x03key').value is None


def test_events_are_complete_wherever_the_bytes_are_split():
    stream = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
    for size in range(1, 12):
        splitter = EventSplitter()
        whole = b''.join(
            splitter.feed(stream[at : at + size])
            for at in range(0, len(stream), size)
        )
        assert whole.endswith(b'data: b\n\n')
        assert splitter.last_event_id == '2'
        assert splitter.incomplete == b'id: 3\nda'


def test_reports_are_decoded_as_they_were_encoded():
    report = reports.HostReport(
        run=RUN,
        number=2,
        hosts=1,
        wall_ms=7,
        config_version=3,
        config_age_ms=12,
        loads={'e': Load(2, 900)},
        admitted={'anna': AdmittedUnits(10, 2)},
        placed=(PromptPlacement('e', ('p', 'q')),),
        duty=reports.DutyNotice(HostName('h'), 9, 12, 150),
        demands={'s': Demand(2.5, 900, 1_000_000, 800)},
        engines={'s': RegressionSums(12.25, 4000, 700, 5_000_000, 90_000)},
    )
    messages = [
        report,
        reports.UsageNote(RUN, {4: {'anna': 3}}),
        reports.TopicFeed(7, 9, (('e', b'entry'), ('f', None)), 30),
        reports.HostEnded(HostName('h')),
        reports.ConfigCopy(HostName('h'), b'raw'),
    ]
    encoded = [reportcodec.encode(message) for message in messages]
    assert [reportcodec.decode(item) for item in encoded] == messages
    bundle = reportcodec.decode_bundle(
        reportcodec.encode_bundle('h', True, encoded)
    )
    assert bundle.sender == 'h'
    assert bundle.from_hub
    assert bundle.messages == list(zip(messages, encoded, strict=True))
    for data in (b'', b'\x01', b'\x82\x61x\x61y', b'\x83\x61h\xf4\x81\x41x'):
        with pytest.raises(exceptions.WireFormatError):
            reportcodec.decode_bundle(data)
    for data in (b'', b'\x01', b'\x82\x61x\x61y'):
        with pytest.raises(exceptions.WireFormatError):
            reportcodec.decode(data)


class StepClock:
    """A clock whose wall time can be stepped."""

    def __init__(self):
        self.step_ms = 0

    def now(self):
        return 1000

    def wall(self):
        return 1_000_000 + self.step_ms


def test_stepped_clock_follows_the_median_of_all_hosts():
    clock = StepClock()
    time = CorrectedClock(clock)
    for host in 'abcd':
        time.put_report(host, 1_000_010)
    assert time.wall() == 1_000_000
    clock.step_ms = 2400
    assert time.wall() == 1_000_010
    clock.step_ms = 0
    time.put_report('a', 1_002_400)
    assert time.wall() == 1_000_000


def test_usage_of_a_killed_run_is_kept_and_added_to_by_the_next_run():
    table = UsageTable()
    table.put('h', 1, {5: {'anna': 3}})
    table.put('h', 1, {5: {'anna': 4}})
    table.put('h', 2, {5: {'anna': 1}})
    table.put('i', 1, {5: {'anna': 1, 'ben': 2}})
    assert table.sum_window(5) == {'anna': 6, 'ben': 2}
    assert table.sum_window(6) == {}


class FakeMessage:
    """The attributes of a loguru message that the log writer uses."""

    def __init__(self, text):
        moment = type('Moment', (), {'timestamp': lambda self: 1.0})()
        level = type('Level', (), {'name': 'INFO'})()
        self.record = {
            'time': moment,
            'level': level,
            'message': text,
            'extra': {},
            'exception': None,
        }


def test_log_lines_beyond_the_rate_are_counted_not_written():
    reader, writer = os.pipe()
    now = [0.0]
    log = BoundedWriter(writer, clock=lambda: now[0])
    for number in range(2000):
        log.write(FakeMessage(f'line {number}'))
    now[0] += 1.0
    log.write(FakeMessage('last'))
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert json.loads(lines[-1])['dropped_lines'] == 2000 - (len(lines) - 1)
    assert log.dropped_total == 2000 - (len(lines) - 1)


def test_stalled_reader_never_blocks_the_log():
    reader, writer = os.pipe()
    log = BoundedWriter(writer, clock=lambda: 0.0)
    log._allowance = 1e9
    for _ in range(5000):
        log.write(FakeMessage('x' * 200))
    assert log.dropped_total > 0
    os.set_blocking(reader, False)
    text = os.read(reader, 1 << 20).decode()
    for line in text.splitlines()[:-1]:
        json.loads(line)


def test_silent_store_times_out_calls_and_recovery_aborts_long_polls():
    async def main():
        site = StandinSite(
            f'127.0.0.1:{find_free_port()}', f'127.0.0.1:{find_free_port()}'
        )
        await site.start()
        fields = make_fields()
        fields['platform'] = {'addr': site.store_address}
        store = StoreClient(settings_module.decode(fields).store)
        waiting = asyncio.create_task(store.read('t', 0, 30_000))
        await asyncio.sleep(0.1)
        site.store.faults.silent = True
        with pytest.raises(exceptions.StoreUnavailableError):
            await store.append('t', [b'x'], timeout_ms=100)
        site.store.faults.silent = False
        assert await store.read_newest('u') == ([], 0)
        with pytest.raises(exceptions.StoreUnavailableError):
            await waiting
        await site.stop()

    asyncio.run(main())


@pytest.mark.parametrize('module', ['site', 'h11'])
def test_sighup_during_startup_does_not_end_the_process(module, tmp_path):
    """SIGHUP must be ignored while packages are found and imported.

    This takes most of the startup time, and the default action of SIGHUP ends
    the process.

    :param module: the signal is sent when the import of this module ends.
    """
    settings = tmp_path / 'boot.toml'
    settings.write_text('node = 1')
    root = pathlib.Path(__file__).parent.parent
    deployed = tomllib.loads((root / 'deploy/system.toml').read_text())
    command = deployed['roles']['entry']['run'].split()
    process = subprocess.Popen(
        [sys.executable, '-X', 'importtime', *command[1:]],
        cwd=root,
        env={**os.environ, 'PEARRUN_BOOT': str(settings)},
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
        stderr=subprocess.PIPE,
        text=True,
    )
    for line in process.stderr:
        if line.endswith(f' {module}\n'):
            process.send_signal(signal.SIGHUP)
            break
    rest = process.stderr.read()
    assert process.wait() == 1
    assert 'error 1102' in rest
