"""The acceptance journal: requests recorded on the platform log.

A request is accepted only once its record is on the log service, so
the promise to answer it outlives this daemon.  Each failure domain
writes its own stream, ``requests.<zone>``, so a domain cut off from
the others can still accept.  When the log cannot take the record the
caller is refused at once with ``Retry-After`` (see
``docs/design.md`` for the hand-off option weighed against this).
"""

from pearrun import exceptions

ACCEPTED = 'accepted'
FINISHED = 'finished'
WITHDRAWN = 'withdrawn'


class Journal:
    """Writes acceptance and completion records for one zone.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's whole :class:`Settings`.
    """

    def __init__(self, log, settings):
        self.log = log
        self.stream = f'requests.{settings.host.zone}'
        self.daemon = settings.host.name

    async def accept(self, job):
        """Record a job as accepted; only then may the caller be told.

        :param job: the :class:`Job`.
        :returns: the record's offset.
        :raises JournalUnavailableError: not recorded; the caller must
            be told the request was not accepted.  When the outcome is
            unknown a ``withdrawn`` record follows, so that a reader of
            the stream never runs the job.
        """
        value = {
            'kind': ACCEPTED,
            'id': job.id,
            'daemon': self.daemon,
            'customer': job.customer,
            'service': job.service,
            'prompt': job.prompt,
            'max_tokens': job.max_tokens,
            'seed': job.seed,
            'idempotency_key': job.idempotency_key,
        }
        try:
            return await self.log.append(self.stream, value)
        except exceptions.AmbiguousAppendError:
            await self.withdraw(job)
            raise

    async def withdraw(self, job):
        """Record, best effort, that a job will not be run."""
        value = {'kind': WITHDRAWN, 'id': job.id}
        try:
            await self.log.append(self.stream, value)
        except exceptions.JournalUnavailableError:
            return None

    async def finish(self, job):
        """Record a job's final state and answer, best effort.

        :returns: the offset, or ``None`` when the log is unavailable.
        """
        value = {
            'kind': FINISHED,
            'id': job.id,
            'state': job.state.value,
            'idempotency_key': job.idempotency_key,
            'text': job.text(),
            'finish_reason': job.finish_reason,
        }
        try:
            return await self.log.append(self.stream, value)
        except exceptions.JournalUnavailableError:
            return None
