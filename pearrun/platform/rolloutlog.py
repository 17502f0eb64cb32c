"""Orders and states of roll-outs in the platform's store."""

import json

from loguru import logger

from pearrun import exceptions
from pearrun.rollouts.orders import RolloutOrder
from pearrun.rollouts.orders import RolloutState
from pearrun.rollouts.orders import RolloutStatus

TOPIC = 'status'
# Prefix of the keys of orders and of states.
KEY_PREFIX = 'rollout/'


class RolloutLog:
    """Reads and writes the states of roll-outs.

    Each write is conditional on the position read last, so that a delayed
    write of a former lease holder is not executed after one of its successor.

    :param store: the :class:`StoreClient`.
    """

    def __init__(self, store):
        self.store = store
        self.end = None

    async def read(self):
        """Return the newest :class:`RolloutStatus` by service.

        :raises StoreError: the store did not respond.
        """
        records, self.end = await self.store.read_newest(TOPIC)
        statuses = {}
        for record in records:
            if not record.key.startswith(KEY_PREFIX):
                continue
            try:
                status = decode_status(record.key, record.value)
            except exceptions.WireFormatError as exc:
                logger.bind(topic=TOPIC, code=exc.code).error(
                    f'malformed entry skipped: {exc.message}'
                )
                continue
            statuses[status.service] = status
        return statuses

    async def write(self, status):
        """Write a :class:`RolloutStatus`.

        :raises StoreConflictError: another state was written since.
        :raises StoreError: no response; the state may have been written.
        """
        position = await self.store.put(
            TOPIC,
            f'{KEY_PREFIX}{status.service}',
            encode_status(status),
            at=self.end,
        )
        self.end = position + 1
        logger.bind(
            service=status.service, to=status.to, state=status.state.value
        ).info('roll-out state written')


def decode_order(key, number, raw):
    """Decode an order of the operator.

    :param number: position of its record.
    :returns: a :class:`RolloutOrder`.
    :raises WireFormatError: the order is malformed.
    """
    try:
        item = json.loads(raw)
        duration_s = item['duration_s']
        if not isinstance(duration_s, (int, float)) or duration_s < 0:
            raise ValueError(f'invalid duration: {duration_s!r}')
        return RolloutOrder(
            check_text(item['service']),
            number,
            check_text(item['to']),
            int(duration_s * 1000),
        )
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        raise exceptions.WireFormatError(
            f'{key}: {type(exc).__name__}: {exc}'
        ) from exc


def check_text(value):
    """Return a field that must be a string with at least one character.

    :raises ValueError: it is not.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f'not a name: {value!r}')
    return value


def encode_status(status):
    """Encode a :class:`RolloutStatus`."""
    body = {
        'service': status.service,
        'to': status.to,
        'state': status.state.value,
    }
    return json.dumps(body).encode()


def decode_status(key, raw):
    """Decode a :class:`RolloutStatus`.

    :raises WireFormatError: the entry is malformed.
    """
    try:
        item = json.loads(raw)
        return RolloutStatus(
            key.removeprefix(KEY_PREFIX),
            check_text(item['to']),
            RolloutState(item['state']),
        )
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        raise exceptions.WireFormatError(
            f'{key}: {type(exc).__name__}: {exc}'
        ) from exc
