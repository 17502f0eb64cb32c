"""Finding a request while its journal is being taken over."""

import asyncio
import types

import pytest

from pearrun import exceptions
from pearrun.api import entries
from pearrun.api import journal as journal_module
from pearrun.api.lookup import Lookup
from pearrun.api.lookup import Stored
from tests import builders

REQUEST_ID = 'old-1.1.aa'


class NoMembers:
    """No other daemon is alive."""

    def find(self, stream):
        return None

    async def poll_once(self):
        return None


class NoJobs:
    """No job is held in memory."""

    def find(self, request_id):
        return None


class SilentWriter:
    """The request's host is known and has not been heard for a while."""

    def find(self, stream):
        return stream

    def is_dead(self, member):
        return True


def make_lookup(log, own_stream, members=None):
    """Return a lookup whose daemon writes the journal ``own_stream``."""
    members = members or NoMembers()
    journal = types.SimpleNamespace(stream=own_stream)
    return Lookup(builders.settings(), log, None, NoJobs(), members, journal)


def write(log, stream, *written):
    """Append one record of entries to a journal."""
    values = [entries.to_value(entry) for entry in written]
    log.apply(stream, {'entries': values}, None)


def locate(lookup):
    """Look the request up."""
    return asyncio.run(lookup.locate(REQUEST_ID))


def test_a_request_on_its_way_to_another_journal_is_never_unknown():
    """Between the seal and the successor's own entry it is in neither."""
    log = builders.FakeLog()
    old = journal_module.get_journal_stream(REQUEST_ID)
    new = journal_module.STREAM_PREFIX + 'new-1'
    lookup = make_lookup(log, new)
    accepted = entries.Accepted(
        REQUEST_ID, 'customer', 'pearrun-oficina', 'p', 8
    )
    write(log, old, accepted, entries.Sealed(new))
    with pytest.raises(exceptions.RequestMovingError) as caught:
        locate(lookup)
    assert caught.value.retry_after_s == 1

    write(log, new, accepted)
    with pytest.raises(exceptions.RequestMovingError):
        locate(lookup)

    finished = entries.Finished(REQUEST_ID, 'done', ('a',), 'stop')
    write(log, old, entries.Emptied(new))
    write(log, new, finished)
    found = locate(lookup)
    assert isinstance(found, Stored)
    assert found.finished.tokens == ('a',)


def test_a_request_that_no_journal_holds_is_unknown():
    log = builders.FakeLog()
    lookup = make_lookup(log, journal_module.STREAM_PREFIX + 'new-1')
    with pytest.raises(exceptions.UnknownRequestError):
        locate(lookup)


def test_a_request_of_a_host_that_is_cut_off_is_not_called_unknown():
    """It may be served there and written once the log is back."""
    log = builders.FakeLog()
    old = journal_module.get_journal_stream(REQUEST_ID)
    new = journal_module.STREAM_PREFIX + 'new-1'
    lookup = make_lookup(log, new, SilentWriter())
    with pytest.raises(exceptions.RequestMovingError) as caught:
        locate(lookup)
    assert caught.value.retry_after_s == 1

    write(log, old, entries.Sealed(new), entries.Emptied(new))
    with pytest.raises(exceptions.UnknownRequestError):
        locate(lookup)
