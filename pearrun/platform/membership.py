"""The list of entry hosts, kept in the platform's store."""

import collections

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun.platform.followers import BOUND_MS
from pearrun.platform.followers import LONG_POLL_MS
from pearrun.platform.followers import SharedFollower
from pearrun.shared import cbor
from pearrun.shared.members import Member
from pearrun.shared.members import MEMBER_TOPIC

# Pause between reads.  Hosts that start together register one after the other,
# and without the pause each entry would cost a read of its own.
READ_PAUSE_MS = 300
# While another host reads the list and forwards changes, this host reads the
# store itself only if the list is older than this.
MAX_LIST_AGE_MS = BOUND_MS
# Maximum age of the list while no other host forwards changes.  A host that
# forwards them also forwards the list of endpoints, every second, by which the
# others know that it is active.
LOCAL_READ_INTERVAL_MS = 3000
# Timeout of the removal of a host's own entry during its shutdown; less than
# the time that the daemon reserves before the platform kills the process.
DEREGISTER_TIMEOUT_MS = 400
# A host that has not been heard for this long is removed from the list, so
# that hosts stop connecting to it and counting it.  This exceeds the network
# partitions during which hosts continue to serve: the quota usage of a
# partitioned host is remembered only while it is listed.  A host that is still
# alive registers again.
STALE_HOST_MS = 600_000
# How long after a restore of the store entries of hosts may be missing: in a
# large fleet they notice it one after the other.
REWRITE_GRACE_MS = 5000
# Long-poll wait of a read while entries are missing or outdated.
RESTORED_POLL_MS = 1000
# Runs of hosts that have left the list, kept in case the store restores their
# entries.
MAX_LEFT_RUNS = 4096


class MemberFollower(SharedFollower):
    """Follows the list of hosts and keeps this host registered in it.

    :param own_member: this host's :class:`Member`.
    :param may_remove_stale: returns whether this host removes stale
        entries of other hosts.

    After a restore of the store, ``unconfirmed`` has the names of the hosts
    whose entries were lost, and ``outdated`` those of hosts that have left and
    whose entries are back.
    """

    def __init__(self, host, store, own_member, may_remove_stale):
        super().__init__(
            host, store, host.member_feed, LONG_POLL_MS, READ_PAUSE_MS
        )
        self.own_member = own_member
        self.may_remove_stale = may_remove_stale
        self.registered = False
        self.leaving = False
        self.list_read_ms = 0
        self.unconfirmed = set()
        self.outdated = set()
        self._left_runs = collections.OrderedDict()

    async def deregister(self):
        """Remove this host's entry, without retries: the process is ending."""
        self.leaving = True
        try:
            await self.store.put(
                MEMBER_TOPIC, self.own_member.name, None, DEREGISTER_TIMEOUT_MS
            )
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(
                f'own entry not removed: {exc.message}'
            )

    async def _read_once(self):
        if self.position is None:
            # The list does not wait for the own entry, whose write may take
            # long or have no answer.
            await super()._read_once()
        if not self.registered and not self.leaving:
            await self.store.put(
                MEMBER_TOPIC, self.own_member.name, encode(self.own_member)
            )
            self.registered = True
        if self.may_remove_stale():
            await self._remove_stale()
            await self._remove_outdated()
        self._remove_unconfirmed()
        is_settled = not self.unconfirmed and not self.outdated
        self.wait_ms = LONG_POLL_MS if is_settled else RESTORED_POLL_MS
        await super()._read_once()

    async def _remove_outdated(self):
        """Remove the entries of hosts that had left before a restore.

        A host that has started again since replaces its entry itself.
        """
        for name in sorted(self.outdated - set(self.host.members.members)):
            logger.bind(host=name).info('restored entry of a host removed')
            await self.store.put(MEMBER_TOPIC, name, None)

    def _remove_unconfirmed(self):
        """Remove hosts that are silent and whose entries are not back."""
        if self.get_rewrite_left_ms(REWRITE_GRACE_MS):
            return
        silent = self.host.members.list_silent(REWRITE_GRACE_MS)
        for name in self.unconfirmed.intersection(silent):
            self._handle_removal(name)

    async def _remove_stale(self):
        """Remove entries of hosts that ended without deregistering."""
        for name in self.host.members.list_silent(STALE_HOST_MS):
            logger.bind(host=name, silent_ms=STALE_HOST_MS).warning(
                'silent host removed from the list'
            )
            await self.store.put(MEMBER_TOPIC, name, None)

    def get_read_deadline_ms(self):
        """See :class:`SharedFollower`."""
        if self.host.feed.is_reader_active():
            return self.list_read_ms + MAX_LIST_AGE_MS
        return self.list_read_ms + LOCAL_READ_INTERVAL_MS

    def get_read_pause_ms(self):
        """See :class:`SharedFollower`."""
        return READ_PAUSE_MS

    def apply_changes(self, records, read_start_ms):
        """See :class:`Follower`."""
        super().apply_changes(records, read_start_ms)
        self.list_read_ms = max(self.list_read_ms, read_start_ms)

    def apply_snapshot(self, records, read_start_ms):
        """See :class:`Follower`."""
        self.registered = False
        listed = {record.key for record in records}
        missing = set(self.host.members.members) - listed
        if self.get_rewrite_left_ms(REWRITE_GRACE_MS):
            self.unconfirmed = missing - {self.own_member.name}
            self.outdated = {
                record.key for record in records if self._has_left(record)
            }
            records = [
                record for record in records if record.key not in self.outdated
            ]
        else:
            for name in missing:
                self._handle_removal(name)
        self.apply_changes(records, read_start_ms)
        self.host.members.listed = True

    def _has_left(self, record):
        """Return whether an entry is of a run that has left the list."""
        member = self.decode_or_skip(decode, record.key, record.value)
        return member is not None and get_run(member) in self._left_runs

    def _note_left(self, member):
        self._left_runs[get_run(member)] = None
        while len(self._left_runs) > MAX_LEFT_RUNS:
            self._left_runs.popitem(last=False)

    def _handle_put(self, record):
        member = self.decode_or_skip(decode, record.key, record.value)
        if member is None:
            return
        self.unconfirmed.discard(member.name)
        self.outdated.discard(member.name)
        self._left_runs.pop(get_run(member), None)
        previous = self.host.members.members.get(member.name)
        if previous is not None and previous.started_ms != member.started_ms:
            self._note_left(previous)
        if member.name == self.own_member.name:
            # The store may execute a delayed write of this host's previous
            # run, which replaces the entry of this run.
            self.registered = member == self.own_member
        self.host.members.put(member)
        logger.bind(
            host=member.name, address=member.address, zone=member.zone
        ).info('host listed')

    def _handle_removal(self, name):
        if name == self.own_member.name:
            self.registered = False
        self.unconfirmed.discard(name)
        self.outdated.discard(name)
        removed = self.host.members.remove(name)
        if removed is not None:
            self._note_left(removed)
            self.host.remove_host_reports(name)
            logger.bind(host=name).info('host removed')


def get_run(member):
    """Return what distinguishes the runs of all hosts."""
    return member.name, member.started_ms


def encode(member):
    """Encode a :class:`Member`."""
    return cbor2.dumps(
        [member.address, member.zone, member.started_ms, member.link_mbps]
    )


def decode(name, data):
    """Decode a :class:`Member`.

    :raises WireFormatError: the data is malformed.
    """
    try:
        address, zone, started_ms, link_mbps = cbor.load(data, f'host {name}')
        return Member(name, address, zone, started_ms, link_mbps)
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'host {name}: {exc}') from exc
