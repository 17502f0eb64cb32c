"""Usage counts that are not reported yet, in the platform's store."""

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun.shared import cbor
from pearrun.usage.saver import SavedRun

TOPIC = 'usage'


class UsageLog:
    """Reads and writes usage entries, one for each run of a host's process.

    :param store: the :class:`StoreClient`.
    """

    def __init__(self, store):
        self.store = store

    async def read(self):
        """Return all well-formed entries: a list of :class:`SavedRun`.

        :raises StoreError: the store did not respond.
        """
        records, _ = await self.store.read_newest(TOPIC)
        runs = []
        for record in records:
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
