"""Lookup of a request while its journal is being taken over."""

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
    """A membership without other daemons."""

    def find(self, stream):
        return None

    async def poll_once(self):
        return None


class NoJobs:
    """A dispatcher without jobs."""

    def find(self, request_id):
        return None


class DeadMembers:
    """A membership in which every journal's writer is known but dead."""

    def find(self, stream):
        return stream

    def is_dead(self, member):
        return True


def make_lookup(log, own_stream, members=None):
    """Return the lookup of the daemon that writes ``own_stream``."""
    members = members or NoMembers()
    journal = types.SimpleNamespace(stream=own_stream)
    return Lookup(
        builders.build_settings(), log, None, NoJobs(), members, journal
    )


def append_entries(log, stream, *written):
    """Append one record with the given entries to a journal."""
    values = [entries.to_value(entry) for entry in written]
    log.apply(stream, {'entries': values}, None)


def locate(lookup):
    """Locate the request :data:`REQUEST_ID`."""
    return asyncio.run(lookup.locate(REQUEST_ID))


def test_request_being_taken_over_is_never_unknown():
    """After the seal, the request may be missing from the new journal.

    Until the old journal is emptied, the lookup must report that the
    request is being moved rather than that it is unknown.
    """
    log = builders.FakeLog()
    old = journal_module.get_journal_stream(REQUEST_ID)
    new = journal_module.STREAM_PREFIX + 'new-1'
    lookup = make_lookup(log, new)
    accepted = entries.Accepted(
        REQUEST_ID, 'customer', 'pearrun-oficina', 'p', 8
    )
    append_entries(log, old, accepted, entries.Sealed(new))
    with pytest.raises(exceptions.RequestMovingError) as caught:
        locate(lookup)
    assert caught.value.retry_after_s == 1

    append_entries(log, new, accepted)
    with pytest.raises(exceptions.RequestMovingError):
        locate(lookup)

    finished = entries.Finished(REQUEST_ID, 'done', ('a',), 'stop')
    append_entries(log, old, entries.Emptied(new))
    append_entries(log, new, finished)
    found = locate(lookup)
    assert isinstance(found, Stored)
    assert found.finished.tokens == ('a',)


def test_request_in_no_journal_is_unknown():
    log = builders.FakeLog()
    lookup = make_lookup(log, journal_module.STREAM_PREFIX + 'new-1')
    with pytest.raises(exceptions.UnknownRequestError):
        locate(lookup)


def test_request_of_unreachable_host_is_not_unknown():
    """The host may serve it and journal it once the log is reachable."""
    log = builders.FakeLog()
    old = journal_module.get_journal_stream(REQUEST_ID)
    new = journal_module.STREAM_PREFIX + 'new-1'
    lookup = make_lookup(log, new, DeadMembers())
    with pytest.raises(exceptions.RequestMovingError) as caught:
        locate(lookup)
    assert caught.value.retry_after_s == 1

    append_entries(log, old, entries.Sealed(new), entries.Emptied(new))
    with pytest.raises(exceptions.UnknownRequestError):
        locate(lookup)
