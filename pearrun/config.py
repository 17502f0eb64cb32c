"""Shared configuration: the team tree, published on the log service.

A published record is ``{"version": n, "yaml": text, "team": name}``.
Publishers compare-and-append at the stream's next offset, so two
operators racing cannot both win; the loser gets a conflict error
(code 1600) and reads again.  Followers apply a record only when its
version is above the one in force, so configuration never reverts.
"""

import asyncio

from loguru import logger
import yaml

from pearrun import exceptions
from pearrun import settings as settings_module
from pearrun.clock import to_seconds

READ_BATCH = 100


def tree_to_yaml(tree):
    """Dump a :class:`TeamTree` as YAML text."""
    dumper = getattr(yaml, 'CSafeDumper', yaml.SafeDumper)
    return yaml.dump(
        tree.model_dump(mode='json'), Dumper=dumper, sort_keys=True
    )


async def read_latest(log, stream):
    """Read a config stream to its end.

    Publishers append at the head with the next version, so the newest
    valid record is the highest version; records are parsed from the
    end until one is valid.

    :returns: ``(tree, next_offset)``; ``tree`` is the newest valid
        :class:`TeamTree`, or ``None`` if there is none.
    """
    start = 0
    values = []
    while True:
        records, start = await log.read(stream, start, READ_BATCH)
        values.extend(record.value for record in records)
        if len(records) < READ_BATCH:
            break
    for value in reversed(values):
        tree = parse_record(value)
        if tree is not None:
            return tree, start
    return None, start


def parse_record(value):
    """Turn a published record into a :class:`TeamTree`, or ``None``."""
    try:
        return settings_module.parse_yaml(
            value['yaml'], settings_module.TeamTree, source='config record'
        )
    except (exceptions.SettingsError, KeyError, TypeError) as exc:
        logger.warning('skipping bad config record', error=str(exc))
        return None


async def publish(log, stream, branch_tree, team=None):
    """Publish a new version of the tree with compare-and-append.

    :param log: a :class:`LogClient`.
    :param stream: the config stream name.
    :param branch_tree: a :class:`TeamTree` holding the change.
    :param team: when given, only this team's branch is taken from
        ``branch_tree``; the other branches stay as published.
    :returns: ``(version, offset)`` of the published record.
    :raises ConfigConflictError: another publisher got there first.
    :raises SettingsValueError: ``team`` is not in ``branch_tree``.
    """
    current, next_offset = await read_latest(log, stream)
    teams = dict(current.teams) if current is not None else {}
    if team is None:
        teams = dict(branch_tree.teams)
    elif team not in branch_tree.teams:
        raise exceptions.SettingsValueError(f'team {team!r} not in the file')
    else:
        teams[team] = branch_tree.teams[team]
    version = (current.version if current is not None else 0) + 1
    tree = settings_module.TeamTree(version=version, teams=teams)
    value = {'version': version, 'team': team, 'yaml': tree_to_yaml(tree)}
    offset = await log.append(stream, value, expected_offset=next_offset)
    return version, offset


class ConfigFollower:
    """Keeps the team tree in force on one daemon up to date.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's whole :class:`Settings`.
    """

    def __init__(self, log, settings):
        self.log = log
        self.settings = settings
        self.tree = settings.team_tree()
        self.next_offset = 0
        self.applied_at_ms = None

    def apply(self, tree):
        """Put a tree in force if it is newer; say whether it was."""
        if tree is None or tree.version <= self.tree.version:
            return False
        self.tree = tree
        logger.info('configuration in force', version=tree.version)
        return True

    async def poll_once(self):
        """Read what is new on the stream and apply it."""
        stream = self.settings.platform.config_stream
        try:
            records, self.next_offset = await self.log.read(
                stream, self.next_offset, READ_BATCH
            )
        except exceptions.ExpiredOffsetError:
            tree, self.next_offset = await read_latest(self.log, stream)
            self.apply(tree)
            return
        for record in records:
            self.apply(parse_record(record.value))

    async def follow(self):
        """Poll the config stream for the daemon's whole life."""
        pause = to_seconds(self.settings.host.config_poll_ms)
        while True:
            try:
                await self.poll_once()
            except exceptions.JournalUnavailableError:
                pass
            await asyncio.sleep(pause)
