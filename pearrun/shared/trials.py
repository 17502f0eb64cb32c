"""Calls whose outcome tells the suspects of a verdict apart.

Each may crash an endpoint, so that few hosts send them, one at a time.
"""

from loguru import logger

from pearrun.decisions import rendezvous

# Hosts of the fleet that send trial calls of one verdict.
TRIAL_HOSTS = 3
# Retry-After of such a call on another host, or while a trial is running.
TRIAL_RETRY_MS = 300
# Hosts that have not reported for this long do not count.
SILENT_MS = 2000


class Trials:
    """The trial calls of this host.

    :param members: the :class:`Members`; ``None`` for a single host.
    """

    def __init__(self, members=None):
        self.members = members
        self._running = {}

    def begin(self, verdict, call, hosts=TRIAL_HOSTS):
        """Begin a trial, unless it is for other hosts or one is running.

        :param verdict: the :class:`Verdict` that the call tests.
        :param hosts: how many hosts send trial calls of the verdict.
        :returns: whether to send the call; :meth:`end` must follow.
        """
        fingerprint = verdict.fingerprint
        if fingerprint in self._running:
            return False
        if not self.is_trial_host(fingerprint, hosts):
            return False
        self._running[fingerprint] = call.id
        logger.bind(
            fingerprint=fingerprint,
            members=sorted(verdict.members),
            request_id=call.id,
        ).info('quarantine tested')
        return True

    def end(self, call):
        """Record that a call has ended."""
        for fingerprint, call_id in list(self._running.items()):
            if call_id == call.id:
                del self._running[fingerprint]

    def is_trial_host(self, fingerprint, hosts=TRIAL_HOSTS):
        """Return whether this host sends the trial calls of a verdict.

        :param hosts: how many hosts do.

        A host that does not know the others sends none.
        """
        if self.members is None:
            return True
        if not self.members.listed:
            return False
        silent = self.members.list_silent(SILENT_MS)
        names = {member.name for member in self.members.others()}
        names.difference_update(silent)
        key = rendezvous.hash_name(fingerprint)
        own_weight = rendezvous.compute_weight(key, self.members.own_name)
        before = sum(
            rendezvous.compute_weight(key, name) > own_weight for name in names
        )
        return before < hosts
