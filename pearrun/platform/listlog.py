"""Versions in the log of endpoints' entries.

The log has every entry that was written since a position, also those that were
removed again, unless it has been deleted meanwhile.
"""

from loguru import logger

from pearrun import exceptions
from pearrun.platform import decoding
from pearrun.shared.reports import ENDPOINT_TOPIC
from pearrun.shared.versionhistory import DepartedVersion

# Number of reads after which the end of the log must have been reached.
MAX_READS = 8


async def read_versions(store, position):
    """Return the versions of all entries written since a position.

    :param store: the :class:`StoreClient`.
    :returns: a list of :class:`DepartedVersion` that have just left.
    :raises ExpiredOffsetError: the log has been deleted since.
    :raises StoreRestoredError: the store has been restored since.
    :raises StoreError: no response, or the end was not reached.
    """
    versions = set()
    for _ in range(MAX_READS):
        records, position = await store.read_changes(
            ENDPOINT_TOPIC, position, wait_ms=0
        )
        if not records:
            return [DepartedVersion(*version, 0) for version in versions]
        for record in records:
            if record.value is not None:
                versions.update(list_versions(record))
    raise exceptions.StoreUnavailableError(
        f'{ENDPOINT_TOPIC}: end not reached in {MAX_READS} reads'
    )


def list_versions(record):
    """Return the service and the version that an entry names.

    :returns: a list of one pair; empty if the entry is malformed.
    """
    try:
        entry = decoding.decode_endpoint(record.key, record.value)
    except exceptions.WireFormatError as exc:
        logger.bind(topic=ENDPOINT_TOPIC, code=exc.code).error(
            f'malformed record skipped: {exc.message}'
        )
        return []
    return [(entry.service, entry.version)]
