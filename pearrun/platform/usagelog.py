"""Usage counts that are not reported yet, in the platform's store."""

import dataclasses

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun import positions
from pearrun.shared import cbor
from pearrun.usage.saver import SavedRun

TOPIC = 'usage'
# Prefix of the keys that name the last window that a holder may have
# committed.  Each window and holder has a key of its own, so that a delayed
# write does not replace a later one.
CLOSED_PREFIX = 'closed/'
# The store removes keys without a value.
CLOSED_VALUE = b'1'


class UsageLog:
    """Reads and writes usage entries, one for each run of a host's process.

    :param store: the :class:`StoreClient`.
    """

    def __init__(self, store):
        self.store = store
        self._closed_keys = set()

    async def read(self):
        """Return all well-formed entries: a list of :class:`SavedRun`.

        :raises StoreError: the store did not respond.
        """
        records, _ = await self.store.read_newest(TOPIC)
        runs = []
        for record in records:
            if record.key.startswith(CLOSED_PREFIX):
                self._closed_keys.add(record.key)
                continue
            try:
                runs.append(decode(record.key, record.value))
            except exceptions.WireFormatError as exc:
                logger.bind(topic=TOPIC, code=exc.code).error(
                    f'malformed entry skipped: {exc.message}'
                )
        return runs

    async def write(self, runs):
        """Write entries; remove those of runs without counts.

        :param runs: :class:`SavedRun` objects.
        :raises StoreError: the store did not respond.
        """
        await self.store.put_all(
            TOPIC, [(make_key(run), encode(run)) for run in runs]
        )

    async def close_window(self, window, fencing):
        """Write that a window, and all before it, may be committed.

        :param fencing: fencing token of the holder that will commit it.
        :raises StoreError: the store did not respond.
        """
        key = make_closed_key(ClosedWindow(window, fencing))
        outdated = self._closed_keys - {key}
        await self.store.put_all(
            TOPIC, [(key, CLOSED_VALUE), *((old, None) for old in outdated)]
        )
        self._closed_keys = {key}

    async def read_closed(self):
        """Return the last window that a holder may have committed.

        :returns: a :class:`ClosedWindow` with the highest fencing token;
            ``None`` if no holder has written one since the store was last
            restored, or an entry is malformed.
        :raises StoreConflictError: the topic has changed meanwhile, or an
            outdated copy of it was read.
        :raises StoreError: the store did not respond.
        """
        records, end = await self.store.read_newest(TOPIC)
        keys = [
            record.key
            for record in records
            if record.key.startswith(CLOSED_PREFIX)
        ]
        try:
            closed = [decode_closed(key) for key in keys]
        except exceptions.WireFormatError as exc:
            logger.bind(topic=TOPIC, code=exc.code).error(
                f'malformed entry ignored: {exc.message}'
            )
            return None
        if not closed:
            return None
        last = ClosedWindow(
            max(item.window for item in closed),
            max(item.fencing for item in closed),
        )
        if positions.get_era(last.fencing) < positions.get_era(end):
            return None
        await self.store.put(
            TOPIC, make_closed_key(last), CLOSED_VALUE, at=end
        )
        return last


@dataclasses.dataclass(frozen=True)
class ClosedWindow:
    """The last window that a holder may have committed.

    :param fencing: the holder's fencing token.
    """

    window: int
    fencing: int


def make_closed_key(closed):
    """Return the key of a :class:`ClosedWindow`."""
    return f'{CLOSED_PREFIX}{closed.fencing}/{closed.window}'


def decode_closed(key):
    """Decode a :class:`ClosedWindow` from its key.

    :raises WireFormatError: the key is malformed.
    """
    try:
        fencing, window = key.removeprefix(CLOSED_PREFIX).split('/')
        return ClosedWindow(int(window), int(fencing))
    except ValueError as exc:
        raise exceptions.WireFormatError(f'{key}: {exc}') from exc


def make_key(run):
    """Return the key of a run's entry."""
    return f'{run.host}/{run.started_ms}'


def encode(run):
    """Encode a :class:`SavedRun`; ``None`` if it has no counts."""
    return cbor2.dumps([run.windows]) if run.windows else None


def decode(key, data):
    """Decode a :class:`SavedRun`.

    :raises WireFormatError: the entry is malformed.
    """
    try:
        host, _, started_ms = key.rpartition('/')
        (windows,) = cbor.load(data, f'usage of {key}')
        return SavedRun(
            host,
            int(started_ms),
            {int(window): dict(counts) for window, counts in windows.items()},
        )
    except (ValueError, TypeError, AttributeError) as exc:
        raise exceptions.WireFormatError(f'usage of {key}: {exc}') from exc
