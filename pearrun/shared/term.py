"""One holding of the duties' lease: who may act, and with which token."""

from pearrun import exceptions


class Term:
    """The right to act under one fencing token.

    A call for a duty is begun under a term and must not reach the platform
    after it: a successor may have acted by then.  The token and the question
    whether it still holds are one object, so that a lease that was lost and
    taken again in the middle of a duty ends what was begun before.

    :param view: the :class:`LeaseView` of this host.
    :param clock: its ``boot`` time counts suspended time.
    """

    def __init__(self, view, clock):
        self.fencing = view.fencing
        self._view = view
        self._clock = clock

    def left_ms(self):
        """Return the milliseconds for which it still holds; 0 after it."""
        now = self._clock.boot()
        if self._view.fencing != self.fencing or not self._view.holds(now):
            return 0
        return self._view.valid_until_ms - now

    def holds(self):
        """Say whether this host may act now."""
        return self.left_ms() > 0

    def check(self):
        """Check that this host may act now.

        :raises LeaseEndedError: it may not.
        """
        if not self.holds():
            raise exceptions.LeaseEndedError(
                f'the lease with token {self.fencing} has ended'
            )
