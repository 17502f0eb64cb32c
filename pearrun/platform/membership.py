"""The list of entry hosts on the platform's store."""

import asyncio

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun.backoff import Backoff
from pearrun.platform.following import Follower
from pearrun.platform.following import RETRY_BASE_MS
from pearrun.platform.following import RETRY_CAP_MS
from pearrun.shared import cbor
from pearrun.shared.members import Member

TOPIC = 'hosts'


class MemberFollower(Follower):
    """Keeps the list of hosts, and this host on it.

    :param own: this host's :class:`Member`.
    """

    def __init__(self, host, store, own):
        super().__init__(host, store, TOPIC)
        self.own = own

    async def run(self):
        """See :class:`Follower`."""
        await self._announce()
        await super().run()

    async def _announce(self):
        """Write this host's entry; tried until the store takes it."""
        backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)
        while True:
            try:
                await self.store.put(TOPIC, self.own.name, encode(self.own))
                return
            except exceptions.PearrunError as exc:
                logger.bind(code=exc.code).info(
                    f'own entry not written: {exc.message}'
                )
                await backoff.pause()

    async def leave(self):
        """Remove this host's entry; once, since it is about to end."""
        try:
            await self.store.put(TOPIC, self.own.name, None)
        except (exceptions.PearrunError, asyncio.CancelledError) as exc:
            logger.info(f'own entry not removed: {exc!r}')

    def take_all(self, records, asked_ms):
        """See :class:`Follower`."""
        self.take_changes(records, asked_ms)
        self.host.members.listed = True

    def take_changes(self, records, asked_ms):
        """See :class:`Follower`."""
        for record in records:
            if record.value is None:
                self._remove(record.key)
            else:
                self._put(record)

    def _put(self, record):
        try:
            member = decode(record.key, record.value)
        except exceptions.WireFormatError as exc:
            logger.bind(code=exc.code).error(exc.message)
            return
        self.host.members.put(member)
        logger.bind(
            host=member.name, address=member.address, zone=member.zone
        ).info('host listed')

    def _remove(self, name):
        if self.host.members.remove(name) is not None:
            self.host.forget_host(name)
            logger.bind(host=name).info('host left')


def encode(member):
    """Encode a :class:`Member`."""
    return cbor2.dumps([member.address, member.zone, member.started_ms])


def decode(name, data):
    """Decode a :class:`Member`.

    :raises WireFormatError: it is none.
    """
    try:
        address, zone, started_ms = cbor.load(data, f'host {name}')
        return Member(name, address, zone, started_ms)
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'host {name}: {exc}') from exc
