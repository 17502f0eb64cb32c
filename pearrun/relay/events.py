"""Server-sent events: splitting a byte stream into complete events."""

from pearrun import exceptions

# Maximum number of bytes buffered while an event is incomplete.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Buffers a stream's bytes and returns complete events.

    ``last_event_id`` is the id of the last event returned that has one.

    :param last_event_id: its initial value.
    """

    def __init__(self, last_event_id=None):
        self.last_event_id = last_event_id
        self._buffer = b''

    def feed(self, data):
        """Add received bytes; return all events that are now complete.

        :returns: the events' bytes, unchanged; may be empty.
        :raises ConnectionBrokenError: an event is too large.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise exceptions.ConnectionBrokenError('event too large')
        end = self._buffer.rfind(b'\n\n')
        if end < 0:
            return b''
        complete, self._buffer = (
            self._buffer[: end + 2],
            self._buffer[end + 2 :],
        )
        event_id = find_last_event_id(complete)
        if event_id is not None:
            self.last_event_id = event_id
        return complete

    @property
    def incomplete(self):
        """Bytes received of an event that is not complete yet."""
        return self._buffer


def find_last_event_id(events):
    """Return the id of the last event that has one, or ``None``."""
    for line in reversed(events.split(b'\n')):
        name, _, value = line.partition(b':')
        if name == b'id':
            return value.strip().decode('latin-1')
    return None
