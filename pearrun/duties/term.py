"""A term: one period of holding the lease, with its fencing token."""

from pearrun import exceptions


class Term:
    """The right to act under one fencing token.

    A duty call belongs to a term and must not reach the platform after its
    end, since a successor may have acted by then.  The token and the check of
    its validity are one object, so that if the lease is lost and acquired
    again during a duty, calls of the earlier term are still rejected.

    :param view: the :class:`LeaseView` of this host.
    :param clock: the clock; its ``boot`` time includes suspended time.
    """

    def __init__(self, view, clock):
        self.fencing = view.fencing
        self._view = view
        self._clock = clock

    def left_ms(self):
        """Return the remaining milliseconds of the term; 0 after its end."""
        now = self._clock.boot()
        if self._view.fencing != self.fencing or not self._view.holds(now):
            return 0
        return self._view.valid_until_ms - now

    def holds(self):
        """Return whether the term has not ended."""
        return self.left_ms() > 0

    def check(self):
        """Check that the term has not ended.

        :raises LeaseEndedError: the term has ended.
        """
        if not self.holds():
            raise exceptions.LeaseEndedError(
                f'the lease with token {self.fencing} has ended'
            )
