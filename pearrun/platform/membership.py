"""The list of entry hosts on the platform's store."""

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun.platform.following import SharedFollower
from pearrun.platform.following import WAIT_MS
from pearrun.shared import cbor
from pearrun.shared.members import Member
from pearrun.shared.members import MEMBER_TOPIC

# Pause between reads: hosts that start together announce themselves one
# after the other, and each change would wake the host that reads.
PAUSE_MS = 300
# A host that is told by another one reads the list itself once it is this
# old: the other one's reads wait for WAIT_MS at the most.
OLDEST_LIST_MS = WAIT_MS + 5000
# It does so sooner, and this often, while nobody passes anything on: the
# list of endpoints is passed on every second.
ALONE_PAUSE_MS = 3000
# How long a host that ends waits for the removal of its entry: less than
# the time it keeps free before the kill.
LEAVE_MS = 400
# A host that nobody has heard for this long is taken off the list, so
# that it is dialled and counted no more.  Longer than the cuts that hosts
# go on serving in: a cut-off host's use of the quotas is remembered only
# while it is listed.  One that still lives lists itself again.
SILENT_MS = 600_000


class MemberFollower(SharedFollower):
    """Keeps the list of hosts, and this host on it.

    :param own: this host's :class:`Member`.
    :param may_tidy: says whether this host removes others' old entries.
    """

    def __init__(self, host, store, own, may_tidy):
        super().__init__(host, store, host.member_feed, WAIT_MS, PAUSE_MS)
        self.own = own
        self.may_tidy = may_tidy
        self.announced = False
        self.leaving = False
        self.listed_ms = 0

    async def leave(self):
        """Remove this host's entry; once, since it is about to end."""
        self.leaving = True
        try:
            await self.store.put(MEMBER_TOPIC, self.own.name, None, LEAVE_MS)
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(
                f'own entry not removed: {exc.message}'
            )

    async def _read_once(self):
        if not self.announced and not self.leaving:
            await self.store.put(MEMBER_TOPIC, self.own.name, encode(self.own))
            self.announced = True
        if self.may_tidy():
            await self._remove_silent()
        await super()._read_once()

    async def _remove_silent(self):
        """Take hosts off the list that ended without doing so."""
        for name in self.host.members.list_silent(SILENT_MS):
            logger.bind(host=name, silent_ms=SILENT_MS).warning(
                'silent host taken off the list'
            )
            await self.store.put(MEMBER_TOPIC, name, None)

    def due_ms(self):
        """See :class:`SharedFollower`."""
        if self.host.feed.is_reader_active():
            return self.listed_ms + OLDEST_LIST_MS
        return self.listed_ms + ALONE_PAUSE_MS

    def reading_pause_ms(self):
        """See :class:`SharedFollower`."""
        return PAUSE_MS

    def take_changes(self, records, asked_ms):
        """See :class:`Follower`."""
        super().take_changes(records, asked_ms)
        self.listed_ms = max(self.listed_ms, asked_ms)

    def take_all(self, records, asked_ms):
        """See :class:`Follower`."""
        self.announced = False
        listed = {record.key for record in records}
        for name in set(self.host.members.members) - listed:
            self._remove(name)
        self.take_changes(records, asked_ms)
        self.host.members.listed = True

    def _put(self, record):
        member = self.decode(decode, record.key, record.value)
        if member is None:
            return
        if member.name == self.own.name:
            # The store may do a write of this host's last run late.
            self.announced = member == self.own
        self.host.members.put(member)
        logger.bind(
            host=member.name, address=member.address, zone=member.zone
        ).info('host listed')

    def _remove(self, name):
        if name == self.own.name:
            self.announced = False
        if self.host.members.remove(name) is not None:
            self.host.remove_host_reports(name)
            logger.bind(host=name).info('host left')


def encode(member):
    """Encode a :class:`Member`."""
    return cbor2.dumps(
        [member.address, member.zone, member.started_ms, member.link_mbps]
    )


def decode(name, data):
    """Decode a :class:`Member`.

    :raises WireFormatError: it is none.
    """
    try:
        address, zone, started_ms, link_mbps = cbor.load(data, f'host {name}')
        return Member(name, address, zone, started_ms, link_mbps)
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'host {name}: {exc}') from exc
