"""Server-sent events: cutting a byte stream into whole events."""

from pearrun import exceptions

# Largest event kept while its end is awaited.
MAX_EVENT_BYTES = 1024 * 1024


class EventCutter:
    """Collects a stream's bytes and hands out whole events.

    ``last_id`` is the id of the last event handed out.
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._rest = b''

    def feed(self, data):
        """Take bytes; return all events that are complete now.

        :returns: the events' bytes, unchanged; may be empty.
        :raises ConnectionBrokenError: an event is too large.
        """
        self._rest += data
        if len(self._rest) > MAX_EVENT_BYTES:
            raise exceptions.ConnectionBrokenError('event too large')
        end = self._rest.rfind(b'\n\n')
        if end < 0:
            return b''
        whole, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
        last_id = find_last_id(whole)
        if last_id is not None:
            self.last_id = last_id
        return whole

    @property
    def rest(self):
        """Bytes of an event whose end has not come."""
        return self._rest


def find_last_id(events):
    """Return the id of the last event that has one, or ``None``."""
    for line in reversed(events.split(b'\n')):
        name, _, value = line.partition(b':')
        if name == b'id':
            return value.strip().decode('latin-1')
    return None
