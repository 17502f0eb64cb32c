"""Shared configuration: the team tree, published on the log service.

A published record is ``{"version": n, "yaml": text, "team": name,
"nonce": id}``.  Publishers compare-and-append at the stream's next
offset, so two operators racing cannot both win; the loser gets a
conflict error (code 1600) and reads again.  Followers apply a record
only when its version is above the one in force, so configuration
never reverts.  Before the log's retention drops the newest record, a
follower appends it again, at the head it has read up to.
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

MAX_TRIES = 5


def tree_to_yaml(tree):
    """Dump a :class:`TeamTree` as YAML text."""
    dumper = getattr(yaml, 'CSafeDumper', yaml.SafeDumper)
    return yaml.dump(
        tree.model_dump(mode='json'), Dumper=dumper, sort_keys=True
    )


async def read_latest(log, stream):
    """Read a config stream to its end.

    :returns: ``(tree, next_offset)``; ``tree`` is the newest valid
        :class:`TeamTree`, or ``None`` if there is none.
    """
    records, head = await log.read_all(stream)
    for record in reversed(records):
        tree = parse_record(record.value)
        if tree is not None:
            return tree, head
    return None, head


def parse_record(value):
    """Turn a published record into a :class:`TeamTree`, or ``None``."""
    try:
        return settings_module.parse_yaml(
            value['yaml'], settings_module.TeamTree, source='config record'
        )
    except (exceptions.SettingsError, KeyError, TypeError) as exc:
        logger.warning('skipping bad config record', error=str(exc))
        return None


def merge_branch(current, change, team):
    """Return the published teams with one team's branch replaced.

    :param current: the :class:`TeamTree` in force, or ``None``.
    :param change: a :class:`TeamTree` holding the new branch.
    :param team: the only team whose branch may differ.
    :raises SettingsValueError: ``team`` is not in ``change``, or no
        tree is published that the branch could be put in.
    :raises ForeignBranchError: another team's branch differs.
    """
    if team not in change.teams:
        raise exceptions.SettingsValueError(f'team {team!r} not in the file')
    if current is None:
        raise exceptions.SettingsValueError(
            'no tree is published yet: publish a whole one first'
        )
    for name, branch in change.teams.items():
        if name != team and current.teams.get(name) != branch:
            raise exceptions.ForeignBranchError(
                f'the file changes the branch of {name!r}, '
                f'and only {team!r} may be changed'
            )
    return {**current.teams, team: change.teams[team]}


async def publish(log, stream, change, team=None):
    """Publish a new version of the tree with compare-and-append.

    A lost answer is settled by appending again at the same offset and
    reading back what stands there.

    :param log: a :class:`LogClient`.
    :param stream: the config stream name.
    :param change: a :class:`TeamTree` holding the change.
    :param team: when given, only this team's branch may change.
    :returns: ``(version, offset)`` of the published record.
    :raises ConfigConflictError: another publisher got there first.
    :raises SettingsValueError: see :func:`merge_branch`.
    :raises ForeignBranchError: see :func:`merge_branch`.
    :raises JournalUnavailableError: not published, or (1404) unknown.
    """
    current, head = await read_latest(log, stream)
    if team is None:
        teams = dict(change.teams)
    else:
        teams = merge_branch(current, change, team)
    # With nothing left on the log, the head is above all old versions.
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
    for _ in range(MAX_TRIES):
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
    """Keeps the team tree in force on one daemon up to date.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's whole :class:`Settings`.
    :param on_change: called without arguments when a newer tree is in
        force.
    """

    def __init__(self, log, settings, on_change=None):
        self.log = log
        self.settings = settings
        self.on_change = on_change
        self.clock = Clock()
        self.tree = settings.team_tree()
        self.next_offset = 0
        self.newest = None
        self.seen_ms = None

    def apply(self, tree):
        """Put a tree in force if it is newer; say whether it was."""
        if tree is None or tree.version <= self.tree.version:
            return False
        self.tree = tree
        logger.info('configuration in force', version=tree.version)
        if self.on_change is not None:
            self.on_change()
        return True

    def receive(self, text):
        """Take a tree's YAML from a peer, which has it from the log."""
        return self.apply(parse_record({'yaml': text}))

    async def poll_once(self):
        """Read what is new on the stream and apply it.

        :raises JournalUnavailableError: the log service is down.
        """
        records, self.next_offset = await self.log.read_all(
            self.settings.platform.config_stream, self.next_offset
        )
        for record in records:
            self.seen_ms = self.clock.now()
            newest = self.newest['version'] if self.newest else -1
            if record.value.get('version', -1) >= newest:
                self.newest = record.value
            self.apply(parse_record(record.value))

    async def refresh(self):
        """Append the newest record again before retention drops it.

        What is appended is the record itself, not the tree in force
        here, which may be older if this daemon cannot read it.  The
        append lands only if this daemon has read the stream to its
        head, so it can never put an older record behind a newer one.

        :returns: true when a record was appended.
        """
        if self.newest is None:
            return False
        keep_ms = self.settings.platform.retention_ms // 4
        keep_ms += random.randrange(keep_ms // 2)
        if self.clock.since(self.seen_ms) < keep_ms:
            return False
        try:
            await self.log.append(
                self.settings.platform.config_stream,
                self.newest,
                expected_offset=self.next_offset,
            )
        except exceptions.PearrunError:
            return False
        return True

    async def follow(self):
        """Poll the config stream for the daemon's whole life."""
        pause = to_seconds(self.settings.host.config_poll_ms)
        while True:
            try:
                await self.poll_once()
                await self.refresh()
            except exceptions.JournalUnavailableError:
                pass
            await asyncio.sleep(pause)
