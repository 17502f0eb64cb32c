"""Recovery: failover of the requests of a dead host.

For each member that is declared dead, one live daemon takes its journal
over.  The daemon is chosen by rendezvous hashing; if it does not act,
the next ones in the order do.  A takeover has four steps, of which 2
and 4 are compare-and-appends to the dead host's stream:

1. Replay the stream.
2. Append ``Sealed`` at its end, so that the old writer can append
   nothing more.
3. Copy every unfinished request to the daemon's own journal.
4. Append ``Emptied`` directly after the seal, and only then run the
   requests.

A daemon that dies between steps 2 and 4 leaves a stream that is sealed
but not emptied, and the next daemon seals it again.  If the first one
was only paused and resumes, the offset after its seal is taken, so step
4 fails: it withdraws what it wrote in step 3 and runs nothing.
"""

import asyncio
import uuid

from loguru import logger

from pearrun import exceptions
from pearrun.api import entries
from pearrun.api.journalstate import replay_journal
from pearrun.api.router import compute_rendezvous_score
from pearrun.clock import to_seconds

MAX_APPEND_ATTEMPTS = 5


class Recovery:
    """Watches the membership and takes dead hosts' requests over.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's complete :class:`Settings`.
    :param membership: this daemon's :class:`Membership`.
    :param journal: this daemon's :class:`Journal`.
    :param adopt: called for each request taken over, once it may run,
        with its :class:`entries.Accepted` and its
        :class:`entries.Progress` or ``None``.
    """

    def __init__(self, log, settings, membership, journal, adopt):
        self.log = log
        self.settings = settings
        self.membership = membership
        self.journal = journal
        self.adopt = adopt
        self.adopted = 0

    def rank(self, stream):
        """Return this daemon's rank among the takeover candidates.

        :param stream: the journal stream of the dead host.
        :returns: the rank; 0 is the first candidate.
        """
        own = self.journal.stream
        scores = {
            m.stream: compute_rendezvous_score(m.stream, stream)
            for m in self.membership.list_live()
        }
        own_score = compute_rendezvous_score(own, stream)
        return sum(
            1 for s, score in scores.items() if s != own and score > own_score
        )

    def is_due(self, member):
        """Return whether this daemon has to take a member's journal over.

        The daemon of rank n acts once the member has missed n more
        heartbeats than it takes to be declared dead.
        """
        if member.stream == self.journal.stream:
            return False
        if not self.membership.is_dead(member):
            return False
        min_missed = self.rank(member.stream)
        if not member.replaced and member.state.value != 'left':
            min_missed += self.membership.orphan_beats
        return member.missed >= min_missed

    async def watch(self):
        """Poll the members and take over dead hosts, until cancelled."""
        pause = to_seconds(self.settings.host.members_poll_ms)
        while True:
            try:
                await self.membership.poll_once()
                for member in list(self.membership.members.values()):
                    if self.is_due(member):
                        await self.take_over(member.stream)
            except exceptions.PearrunError as exc:
                logger.debug(
                    'recovery failed; will be retried', error=exc.message
                )
            await asyncio.sleep(pause)

    async def append_at(self, stream, entry, offset):
        """Append one entry at a given offset.

        An append of unknown outcome is repeated; on a conflict, the
        record at the offset is read back.

        :returns: true if the entry is at ``offset``, false if another
            record is.
        :raises JournalUnavailableError: the log service is unavailable.
        """
        nonce = uuid.uuid4().hex
        value = {'batch': nonce, 'entries': [entries.to_value(entry)]}
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                await self.log.append(stream, value, expected_offset=offset)
                return True
            except exceptions.ConfigConflictError:
                records, _ = await self.log.read(stream, offset, 1)
                return bool(records) and records[0].value['batch'] == nonce
            except exceptions.AmbiguousAppendError:
                continue
        raise exceptions.JournalUnavailableError('append outcome unknown')

    async def seal(self, stream):
        """Append this daemon's ``Sealed`` entry to a dead host's journal.

        :param stream: the journal stream of the dead host.
        :returns: the :class:`JournalState` at the seal, or ``None`` if
            another live daemon has sealed the stream, if the takeover of
            the stream is already complete (it has an ``Emptied`` entry),
            or if too many appends conflicted.
        """
        own = self.journal.stream
        for _ in range(MAX_APPEND_ATTEMPTS):
            state = await replay_journal(self.log, stream)
            if state.emptied:
                self.membership.remove(stream)
                return None
            holder = self.membership.find(state.sealed_by)
            held = holder is not None and not self.membership.is_dead(holder)
            if held and state.sealed_by != own:
                return None
            entry = entries.Sealed(by=own)
            if await self.append_at(stream, entry, state.next_offset):
                state.next_offset += 1
                return state
        return None

    async def take_over(self, stream):
        """Take over the unfinished requests of a dead host's journal.

        :param stream: the journal stream of the dead host.
        :returns: the number of requests taken over.
        :raises JournalUnavailableError: the log service is unavailable;
            the next poll retries.
        """
        own = self.journal.stream
        state = await self.seal(stream)
        if state is None:
            return 0
        unfinished = list(state.unfinished.values())
        writes = [self.journal.enqueue(entry) for entry in unfinished]
        writes += [
            self.journal.enqueue(entry) for entry in state.progress.values()
        ]
        self.journal.wake.set()
        await asyncio.gather(*writes)
        entry = entries.Emptied(by=own)
        if not await self.append_at(stream, entry, state.next_offset):
            for accepted in unfinished:
                self.journal.enqueue(entries.Withdrawn(accepted.id))
            return 0
        for request in unfinished:
            self.adopt(request, state.progress.get(request.id))
        self.adopted += len(unfinished)
        self.membership.remove(stream)
        logger.info(
            'journal taken over', stream=stream, requests=len(unfinished)
        )
        return len(unfinished)
