"""Reports that reach a host more than once."""

import asyncio
import dataclasses
import time

from pearrun import exceptions
from pearrun.shared import reports
from pearrun.shared.loads import Load
from pearrun.shared.reportboard import ReportBoard
from pearrun.shared.run import Run
from tests.platformsite import make_host_context
from tests.reportbuilders import make_report

RUN = Run('other', 1, 'zone-a')


def make_board():
    """Return the board of a host that takes no configurations."""
    return ReportBoard(make_host_context(), decode_nothing)


def decode_nothing(raw):
    """Stand where configurations are decoded."""
    raise exceptions.WireFormatError('no configuration')


def encode_report(number, calls):
    """Return an encoded report of another host."""
    loads = {'e': Load(calls, 0)}
    return reports.encode(make_report(RUN, number, loads=loads))


def tell(board, hub, *messages):
    """Have a hub tell a board some messages."""
    board.take_encoded(reports.encode_bundle(hub, True, messages))


def test_a_report_that_two_hubs_pass_on_is_decoded_once(monkeypatch):
    decoded = []
    decode = reports.decode

    def decode_and_count(data):
        decoded.append(data)
        return decode(data)

    monkeypatch.setattr(reports, 'decode', decode_and_count)
    board = make_board()
    for number in range(1, 4):
        for hub in ('hub-1', 'hub-2'):
            tell(board, hub, encode_report(number, number))
    assert len(decoded) == 3
    assert board.host.loads.get('e').calls == 3


def test_a_host_that_ends_twice_is_forgotten_twice():
    """Only reports are told apart by their bytes: they bear numbers."""
    board = make_board()
    ended = reports.encode(reports.HostEnded('other'))
    for number in (1, 2):
        tell(board, 'hub-1', encode_report(number, number))
        assert board.host.loads.get('e').calls == number
        tell(board, 'hub-1', ended)
        assert board.host.loads.get('e').calls == 0


def test_an_older_report_is_not_taken_after_a_newer_one():
    board = make_board()
    tell(board, 'hub-1', encode_report(2, 2))
    tell(board, 'hub-2', encode_report(1, 1))
    assert board.host.loads.get('e').calls == 2


def test_a_notice_of_the_lease_that_comes_back_is_no_news():
    """Hubs of two zones tell each other what the other one told."""
    boards = [make_board(), make_board()]
    notice = reports.DutyNotice('holder', 3, 7)
    said_ms = boards[0].clock.now()
    for number in range(1, 6):
        notice = pass_notice(boards[number % 2], notice, number)
        assert notice.age_ms >= 50 * number
    for board in boards:
        assert board.heard_duty_ms() - said_ms < 125


def pass_notice(board, notice, number):
    """Tell a board of the lease, and return what it tells after 50 ms."""
    report = dataclasses.replace(
        reports.decode(encode_report(number, 0)),
        run=Run(f'hub-{number}', 1, 'zone-b', True),
        duty=notice,
    )
    tell(board, 'hub', reports.encode(report))
    time.sleep(0.05)
    return board.find_notice()


def test_the_age_of_a_list_counts_its_way_over_a_full_link():
    """A call reached an endpoint 3.8 s after it had said that it leaves.

    Bundles of many reports filled a slow link.  What queued there was taken
    to be as fresh as when it was sent.
    """
    board = make_board()
    feed = reports.TopicFeed(4, 4, (), 100)
    data = reports.encode_bundle('hub-1', True, [reports.encode(feed)])
    began_ms = board.clock.now()
    board.take_encoded(data, delay_ms=900)
    until_ms = board.clock.now() + 100
    changes = asyncio.run(board.host.feed.wait(4, until_ms))
    assert changes.asked_ms <= began_ms + 50 - 1000
