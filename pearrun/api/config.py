"""Shared configuration: the team tree, published on the log service.

A published record is ``{"version": n, "yaml": text, "team": name,
"nonce": id}``.  Publishers compare-and-append at the stream's next
offset, so of two concurrent publishers only one succeeds; the other
gets a conflict error (code 1600) and has to read the stream again.
Followers apply a record only if its version is above the current one,
so the configuration never reverts to an older version.  Before the
newest record reaches the log's retention limit, a follower appends it
again, provided that it has read the whole stream.
"""

import asyncio
import random
import uuid

from loguru import logger
import yaml

from pearrun import exceptions
from pearrun.api import settings as settings_module
from pearrun.clock import Clock
from pearrun.clock import to_seconds

MAX_APPEND_ATTEMPTS = 5


def tree_to_yaml(tree):
    """Dump a :class:`TeamTree` as YAML text."""
    dumper = getattr(yaml, 'CSafeDumper', yaml.SafeDumper)
    return yaml.dump(
        tree.model_dump(mode='json'), Dumper=dumper, sort_keys=True
    )


async def read_latest(log, stream):
    """Return the newest valid tree of a config stream.

    :returns: ``(tree, next_offset)``; ``tree`` is a :class:`TeamTree`,
        or ``None`` if the stream holds no valid one.
    """
    records, head = await log.read_all(stream)
    for record in reversed(records):
        tree = parse_record(record.value)
        if tree is not None:
            return tree, head
    return None, head


def parse_record(value):
    """Parse a record into a :class:`TeamTree`; ``None`` if invalid."""
    try:
        return settings_module.parse_yaml(
            value['yaml'], settings_module.TeamTree, source='config record'
        )
    except (exceptions.SettingsError, KeyError, TypeError) as exc:
        logger.warning('invalid config record skipped', error=str(exc))
        return None


def merge_branch(current, change, team):
    """Return the published teams with one team's branch replaced.

    :param current: the latest published :class:`TeamTree`, or ``None``.
    :param change: a :class:`TeamTree` with the new branch.
    :param team: the only team whose branch may differ.
    :raises SettingsValueError: ``team`` is not in ``change``, or no
        tree has been published yet.
    :raises ForeignBranchError: another team's branch differs.
    """
    if team not in change.teams:
        raise exceptions.SettingsValueError(f'team {team!r} not in the file')
    if current is None:
        raise exceptions.SettingsValueError(
            'no tree has been published yet: publish a complete one first'
        )
    for name, branch in change.teams.items():
        if name != team and current.teams.get(name) != branch:
            raise exceptions.ForeignBranchError(
                f'the file changes the branch of {name!r}, '
                f'but only {team!r} may be changed'
            )
    return {**current.teams, team: change.teams[team]}


async def publish(log, stream, change, team=None):
    """Publish a new version of the tree with compare-and-append.

    If the response to an append is lost, the record is appended again at
    the same offset.  A conflict then means that the offset is taken, and
    the nonce of the record at the offset tells whether it is this one.

    :param log: a :class:`LogClient`.
    :param stream: the config stream name.
    :param change: the :class:`TeamTree` to publish.
    :param team: if given, only this team's branch may change.
    :returns: ``(version, offset)`` of the published record.
    :raises ConfigConflictError: another publisher appended first.
    :raises SettingsValueError: see :func:`merge_branch`.
    :raises ForeignBranchError: see :func:`merge_branch`.
    :raises JournalUnavailableError: not published.
    :raises AmbiguousAppendError: it is unknown whether the record was
        published (code 1404).
    """
    current, head = await read_latest(log, stream)
    if team is None:
        teams = dict(change.teams)
    else:
        teams = merge_branch(current, change, team)
    # Each version takes at least one record, so on a stream whose records
    # have all expired the next offset is at least the last version.
    version = (current.version if current is not None else head) + 1
    tree = settings_module.TeamTree(version=version, teams=teams)
    nonce = uuid.uuid4().hex
    value = {
        'version': version,
        'team': team,
        'yaml': tree_to_yaml(tree),
        'nonce': nonce,
    }
    failure = None
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            return version, await log.append(
                stream, value, expected_offset=head
            )
        except exceptions.AmbiguousAppendError as exc:
            failure = exc
        except exceptions.JournalUnavailableError as exc:
            raise failure or exc from exc
        except exceptions.ConfigConflictError:
            records, _ = await log.read(stream, head, 1)
            if records and records[0].value.get('nonce') == nonce:
                return version, head
            raise
    raise failure


class ConfigFollower:
    """Keeps one daemon's team tree up to date.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's complete :class:`Settings`.
    :param on_change: called without arguments after a newer tree has
        been applied.
    """

    def __init__(self, log, settings, on_change=None):
        self.log = log
        self.settings = settings
        self.on_change = on_change
        self.clock = Clock()
        self.tree = settings.get_team_tree()
        self.next_offset = 0
        self.newest_record = None
        self.newest_seen_ms = None

    def apply(self, tree):
        """Apply a tree if it is newer than the current one.

        :returns: whether the tree was applied.
        """
        if tree is None or tree.version <= self.tree.version:
            return False
        self.tree = tree
        logger.info('configuration in force', version=tree.version)
        if self.on_change is not None:
            self.on_change()
        return True

    def receive(self, text):
        """Apply a tree that a peer has read from the log, as YAML text."""
        return self.apply(parse_record({'yaml': text}))

    async def poll_once(self):
        """Read and apply the new records of the stream.

        :raises JournalUnavailableError: the log service is unavailable.
        """
        records, self.next_offset = await self.log.read_all(
            self.settings.platform.config_stream, self.next_offset
        )
        for record in records:
            self.newest_seen_ms = self.clock.now()
            newest = (
                self.newest_record['version'] if self.newest_record else -1
            )
            if record.value.get('version', -1) >= newest:
                self.newest_record = record.value
            self.apply(parse_record(record.value))

    async def republish_before_expiry(self):
        """Append the newest record again before its retention ends.

        The record itself is appended, not this daemon's current tree,
        which may be older if this daemon cannot parse the record.  The
        append fails unless this daemon has read the whole stream, so it
        never appends an older record after a newer one.

        :returns: whether a record was appended.
        """
        if self.newest_record is None:
            return False
        keep_ms = self.settings.platform.retention_ms // 4
        keep_ms += random.randrange(keep_ms // 2)
        if self.clock.since(self.newest_seen_ms) < keep_ms:
            return False
        try:
            await self.log.append(
                self.settings.platform.config_stream,
                self.newest_record,
                expected_offset=self.next_offset,
            )
        except exceptions.PearrunError:
            return False
        return True

    async def follow(self):
        """Poll the config stream until cancelled."""
        pause = to_seconds(self.settings.host.config_poll_ms)
        while True:
            try:
                await self.poll_once()
                await self.republish_before_expiry()
            except exceptions.JournalUnavailableError:
                pass
            await asyncio.sleep(pause)
