"""Processing of reports, including those that arrive more than once."""

import asyncio
import dataclasses
import time

from pearrun import exceptions
from pearrun.run import Run
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.loads import Load
from pearrun.shared.reportreceiver import ReportReceiver
from tests.platformsite import make_host_context
from tests.reportbuilders import make_report

RUN = Run('other', 1, 'zone-a')


def make_receiver():
    """Return a receiver that rejects all configurations."""
    return ReportReceiver(make_host_context(), reject_configuration)


def reject_configuration(raw):
    """Raise the error of an invalid configuration."""
    raise exceptions.WireFormatError('no configuration')


def encode_report(number, calls):
    """Return another host's encoded report of a number of calls."""
    loads = {'e': Load(calls, 0)}
    return reportcodec.encode(make_report(RUN, number, loads=loads))


def send(receiver, hub, *messages):
    """Pass encoded messages from a hub to a receiver."""
    receiver.receive(reportcodec.encode_bundle(hub, True, messages))


def test_a_report_that_two_hubs_forward_is_decoded_once(monkeypatch):
    decoded = []
    decode = reportcodec.decode

    def decode_and_count(data):
        decoded.append(data)
        return decode(data)

    monkeypatch.setattr(reportcodec, 'decode', decode_and_count)
    receiver = make_receiver()
    for number in range(1, 4):
        for hub in ('hub-1', 'hub-2'):
            send(receiver, hub, encode_report(number, number))
    assert len(decoded) == 3
    assert receiver.host.loads.get('e').calls == 3


def test_a_host_that_ends_twice_is_removed_twice():
    """Equal bytes identify copies of reports only, which have numbers."""
    receiver = make_receiver()
    ended = reportcodec.encode(reports.HostEnded('other'))
    for number in (1, 2):
        send(receiver, 'hub-1', encode_report(number, number))
        assert receiver.host.loads.get('e').calls == number
        send(receiver, 'hub-1', ended)
        assert receiver.host.loads.get('e').calls == 0


def test_an_older_report_is_ignored_after_a_newer_one():
    receiver = make_receiver()
    send(receiver, 'hub-1', encode_report(2, 2))
    send(receiver, 'hub-2', encode_report(1, 1))
    assert receiver.host.loads.get('e').calls == 2


def test_a_returning_notice_of_the_lease_keeps_its_age():
    """Hubs of two zones forward each other's notices back and forth."""
    receivers = [make_receiver(), make_receiver()]
    notice = reports.DutyNotice('holder', 3, 7)
    created_ms = receivers[0].clock.now()
    for number in range(1, 6):
        notice = forward_notice(receivers[number % 2], notice, number)
        assert notice.age_ms >= 50 * number
    for receiver in receivers:
        assert receiver.get_last_notice_ms() - created_ms < 125


def forward_notice(receiver, notice, number):
    """Send a receiver a notice; return what it forwards after 50 ms."""
    report = dataclasses.replace(
        reportcodec.decode(encode_report(number, 0)),
        run=Run(f'hub-{number}', 1, 'zone-b', True),
        duty=notice,
    )
    send(receiver, 'hub', reportcodec.encode(report))
    time.sleep(0.05)
    return receiver.find_notice()


def test_the_age_of_a_list_includes_the_transmission_delay():
    """Guards against calls to an endpoint that has announced its departure.

    Bundles queued on a saturated link were considered as fresh as when they
    were sent.  A call reached an endpoint 3.8 s after its announcement.
    """
    receiver = make_receiver()
    feed = reports.TopicFeed(4, 4, (), 100)
    data = reportcodec.encode_bundle('hub-1', True, [reportcodec.encode(feed)])
    began_ms = receiver.clock.now()
    receiver.receive(data, delay_ms=900)
    until_ms = receiver.clock.now() + 100
    changes = asyncio.run(receiver.host.feed.wait(4, until_ms))
    assert changes.asked_ms <= began_ms + 50 - 1000
