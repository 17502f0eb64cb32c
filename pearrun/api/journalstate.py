"""A journal replayed: which of its requests are still owed an answer."""

import dataclasses

from pearrun.api import entries


@dataclasses.dataclass
class JournalState:
    """What a journal stream says, up to ``next_offset``.

    Replaying is idempotent: a batch that stands twice on the log, or
    an entry written again to outlive the log's retention, changes
    nothing.
    """

    stream: str
    next_offset: int = 0
    unfinished: dict = dataclasses.field(default_factory=dict)
    progress: dict = dataclasses.field(default_factory=dict)
    finished: dict = dataclasses.field(default_factory=dict)
    withdrawn: set = dataclasses.field(default_factory=set)
    sealed_by: str | None = None
    emptied: bool = False

    def apply(self, entry):
        """Take one entry into account."""
        match entry:
            case entries.Accepted(id=request_id):
                closed = request_id in self.finished
                if not closed and request_id not in self.withdrawn:
                    self.unfinished[request_id] = entry
            case entries.Progress(id=request_id):
                if request_id in self.unfinished:
                    self.add_progress(entry)
            case entries.Finished(id=request_id):
                self.close(request_id)
                self.finished[request_id] = entry
            case entries.Withdrawn(id=request_id):
                self.close(request_id)
                self.withdrawn.add(request_id)
            case entries.Sealed(by=by):
                self.sealed_by = by
            case entries.Emptied(by=by):
                self.emptied = self.emptied or by == self.sealed_by

    def close(self, request_id):
        """Note that a request is owed no longer."""
        self.unfinished.pop(request_id, None)
        self.progress.pop(request_id, None)

    def add_progress(self, entry):
        """Join an entry's tokens to those known; a gap drops it."""
        known = self.progress.get(entry.id)
        tokens = known.tokens if known is not None else ()
        if entry.start > len(tokens):
            return
        self.progress[entry.id] = dataclasses.replace(
            entry, start=0, tokens=tokens[: entry.start] + entry.tokens
        )

    def apply_record(self, record):
        """Take one record read from the log into account."""
        for value in record.value['entries']:
            self.apply(entries.from_value(value))
        self.next_offset = record.offset + 1


async def replay_journal(log, stream):
    """Replay a journal stream from the oldest record still held.

    :param log: a :class:`LogClient`.
    :param stream: the journal stream's name.
    :returns: a :class:`JournalState`.
    :raises JournalUnavailableError: the log service is down.
    """
    ledger = JournalState(stream)
    records, ledger.next_offset = await log.read_all(stream)
    for record in records:
        ledger.apply_record(record)
    return ledger
