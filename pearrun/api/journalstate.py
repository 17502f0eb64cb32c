"""State of the requests in a journal, rebuilt by replaying it."""

import dataclasses

from pearrun.api import entries


@dataclasses.dataclass
class JournalState:
    """State of a journal stream's requests before ``next_offset``.

    Replaying is idempotent: a batch that was appended twice, or an entry
    that was written again before its retention ended, changes nothing.
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
        """Apply one entry."""
        match entry:
            case entries.Accepted(id=request_id):
                is_finished = request_id in self.finished
                if not is_finished and request_id not in self.withdrawn:
                    self.unfinished[request_id] = entry
            case entries.Progress(id=request_id):
                if request_id in self.unfinished:
                    self.add_progress(entry)
            case entries.Finished(id=request_id):
                self.remove_unfinished(request_id)
                self.finished[request_id] = entry
            case entries.Withdrawn(id=request_id):
                self.remove_unfinished(request_id)
                self.withdrawn.add(request_id)
            case entries.Sealed(by=by):
                self.sealed_by = by
            case entries.Emptied(by=by):
                self.emptied = self.emptied or by == self.sealed_by

    def remove_unfinished(self, request_id):
        """Remove a request from the unfinished ones."""
        self.unfinished.pop(request_id, None)
        self.progress.pop(request_id, None)

    def add_progress(self, entry):
        """Append an entry's tokens to the known ones.

        The entry is ignored if tokens before its own are missing.
        """
        known = self.progress.get(entry.id)
        tokens = known.tokens if known is not None else ()
        if entry.start > len(tokens):
            return
        self.progress[entry.id] = dataclasses.replace(
            entry, start=0, tokens=tokens[: entry.start] + entry.tokens
        )

    def apply_record(self, record):
        """Apply one record read from the log."""
        for value in record.value['entries']:
            self.apply(entries.from_value(value))
        self.next_offset = record.offset + 1


async def replay_journal(log, stream):
    """Replay a journal stream from its oldest retained record.

    :param log: a :class:`LogClient`.
    :param stream: the journal stream's name.
    :returns: a :class:`JournalState`.
    :raises JournalUnavailableError: the log service is unavailable.
    """
    state = JournalState(stream)
    records, state.next_offset = await log.read_all(stream)
    for record in records:
        state.apply_record(record)
    return state
