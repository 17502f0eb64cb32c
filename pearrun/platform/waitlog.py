"""The longest waits of streams' callers, in the platform's store.

Load pattern: all hosts are lost, and with them what they knew of streams.  How
long callers wait decides when a stream of before can no longer be resumed.
"""

from loguru import logger

from pearrun import exceptions

TOPIC = 'streamwaits'
# The store removes keys without a value.
VALUE = b'1'


class WaitLog:
    """Saves the waits that one host knows, and reads those of all.

    Each wait has a key of its own, so that a late write of a shorter one does
    not replace it.

    :param store: the :class:`StoreClient`.
    :param waits: the :class:`CallerWaits`.
    """

    def __init__(self, store, waits):
        self.store = store
        self.waits = waits

    async def read(self):
        """Add all saved waits.

        :raises StoreError: the store did not respond.
        """
        records, _ = await self.store.read_newest(TOPIC)
        for record in records:
            try:
                self.waits.note(*decode_key(record.key))
            except exceptions.WireFormatError as exc:
                logger.bind(topic=TOPIC, code=exc.code).error(
                    f'malformed record skipped: {exc.message}'
                )
        self.waits.is_complete = True

    async def save(self):
        """Save the waits that have changed.

        :raises StoreError: the store did not respond.
        """
        pairs = self.waits.list_unsaved()
        if not pairs:
            return
        await self.store.put_all(
            TOPIC, [(make_key(*pair), VALUE) for pair in pairs]
        )
        self.waits.mark_saved(pairs)


def make_key(service, wait_ms):
    """Return the key of a service's wait."""
    return f'{service}/{wait_ms}'


def decode_key(key):
    """Return the service and the wait, in milliseconds, that a key names.

    :raises WireFormatError: the key is malformed.
    """
    service, _, wait_ms = key.rpartition('/')
    try:
        return service, int(wait_ms)
    except ValueError as exc:
        raise exceptions.WireFormatError(f'{key}: {exc}') from exc
