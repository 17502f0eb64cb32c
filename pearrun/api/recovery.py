"""Recovery: taking over the requests of a host that died.

For each member taken for dead, one live daemon (the favourite of a
rendezvous hash; the next ones step in if it does not act) takes its
journal over in four steps, each fenced by compare-and-append on the
dead host's stream:

1. replay the stream;
2. append ``Sealed`` at its head, so that the old writer can write no
   more;
3. write every unfinished request into its own journal;
4. append ``Emptied`` right behind the seal, and only then run them.

A daemon that dies between 2 and 4 leaves a sealed stream that is not
emptied, and the next one seals it again.  One that is paused there
and wakes up finds the place behind its seal taken: it withdraws what
it wrote in step 3 and runs nothing.
"""

import asyncio
import uuid

from loguru import logger

from pearrun import exceptions
from pearrun.api import entries
from pearrun.api.journalstate import replay_journal
from pearrun.api.router import rendezvous_score
from pearrun.clock import to_seconds

MAX_TRIES = 5


class Recovery:
    """Watches the membership and adopts dead hosts' requests.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's whole :class:`Settings`.
    :param membership: a :class:`Membership`.
    :param journal: this daemon's :class:`Journal`.
    :param adopt: called with each :class:`entries.Accepted` taken
        over, once it may run, and its :class:`entries.Progress` or
        ``None``.
    """

    def __init__(self, log, settings, membership, journal, adopt):
        self.log = log
        self.settings = settings
        self.membership = membership
        self.journal = journal
        self.adopt = adopt
        self.adopted = 0

    def rank(self, stream):
        """Return this daemon's place among those to take a stream over."""
        own = self.journal.stream
        scores = {
            m.stream: rendezvous_score(m.stream, stream)
            for m in self.membership.live()
        }
        mine = rendezvous_score(own, stream)
        return sum(
            1 for s, score in scores.items() if s != own and score > mine
        )

    def is_due(self, member):
        """Say whether it is this daemon's turn to take a member over."""
        if member.stream == self.journal.stream:
            return False
        if not self.membership.is_dead(member):
            return False
        wait = self.rank(member.stream)
        if not member.replaced and member.state.value != 'left':
            wait += self.membership.orphan_beats
        return member.missed >= wait

    async def watch(self):
        """Follow the members and recover, for the daemon's whole life."""
        pause = to_seconds(self.settings.host.members_poll_ms)
        while True:
            try:
                await self.membership.poll_once()
                for member in list(self.membership.members.values()):
                    if self.is_due(member):
                        await self.take_over(member.stream)
            except exceptions.PearrunError as exc:
                logger.debug('recovery waits', error=exc.message)
            await asyncio.sleep(pause)

    async def append_at(self, stream, entry, offset):
        """Append one entry at an offset; say whether it is ours.

        A lost answer is settled by reading the offset back.

        :returns: true when the entry stands at ``offset``, false when
            something else does.
        :raises JournalUnavailableError: the log service is down.
        """
        nonce = uuid.uuid4().hex
        value = {'batch': nonce, 'entries': [entries.to_value(entry)]}
        for _ in range(MAX_TRIES):
            try:
                await self.log.append(stream, value, expected_offset=offset)
                return True
            except exceptions.ConfigConflictError:
                records, _ = await self.log.read(stream, offset, 1)
                return bool(records) and records[0].value['batch'] == nonce
            except exceptions.AmbiguousAppendError:
                continue
        raise exceptions.JournalUnavailableError('append not settled')

    async def seal(self, stream):
        """Seal a stream for this daemon.

        :returns: the :class:`JournalState` as sealed, or ``None`` when
            another live daemon holds it or nothing is left to do.
        """
        own = self.journal.stream
        for _ in range(MAX_TRIES):
            ledger = await replay_journal(self.log, stream)
            if ledger.emptied:
                self.membership.forget(stream)
                return None
            holder = self.membership.find(ledger.sealed_by)
            held = holder is not None and not self.membership.is_dead(holder)
            if held and ledger.sealed_by != own:
                return None
            entry = entries.Sealed(by=own)
            if await self.append_at(stream, entry, ledger.next_offset):
                ledger.next_offset += 1
                return ledger
        return None

    async def take_over(self, stream):
        """Adopt the unfinished requests of a dead host's journal.

        :returns: how many requests were adopted.
        :raises JournalUnavailableError: the log service is down; the
            next poll tries again.
        """
        own = self.journal.stream
        ledger = await self.seal(stream)
        if ledger is None:
            return 0
        owed = list(ledger.unfinished.values())
        writes = [self.journal.enqueue(entry) for entry in owed]
        writes += [
            self.journal.enqueue(entry) for entry in ledger.progress.values()
        ]
        self.journal.wake.set()
        await asyncio.gather(*writes)
        entry = entries.Emptied(by=own)
        if not await self.append_at(stream, entry, ledger.next_offset):
            for lost in owed:
                self.journal.enqueue(entries.Withdrawn(lost.id))
            return 0
        for request in owed:
            self.adopt(request, ledger.progress.get(request.id))
        self.adopted += len(owed)
        self.membership.forget(stream)
        logger.info('took over a journal', stream=stream, requests=len(owed))
        return len(owed)
