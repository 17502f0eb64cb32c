"""The versions of one service, as known to one host."""

from pearrun.rollouts.answers import AnswerCounts
from pearrun.rollouts.orders import RolloutOrder
from pearrun.rollouts.orders import RolloutState


class ServiceVersions:
    """The versions of one service.

    ``current`` is the version in force, ``None`` while unknown; ``rejected``
    holds versions that get no calls.  ``order`` is the latest
    :class:`RolloutOrder` or :class:`RolloutNotice`, ``state`` its
    :class:`RolloutState`.  ``is_repeated`` says that an earlier order named
    the same version, so that a state in the store may belong to that one.
    """

    def __init__(self):
        self.current = None
        self.rejected = set()
        self.order = None
        self.ordered_ms = None
        self.state = None
        self.notice = None
        self.permit_until_ms = 0
        self.missing_since_ms = None
        self.is_repeated = False
        self.counts = AnswerCounts()

    @property
    def is_open(self):
        """Whether a roll-out is neither done nor reverted."""
        return self.state is RolloutState.RUNNING

    def complete_order(self, order):
        """Replace what a notice told of an order by the order itself."""
        if isinstance(order, RolloutOrder):
            self.order = order

    def reject(self, version):
        """Give a version no calls, unless it is the one in force."""
        if version != self.current:
            self.rejected.add(version)

    def is_permitted(self, now_ms):
        """Return whether the new version may get calls."""
        return (
            self.is_open
            and self.notice is not None
            and now_ms < self.permit_until_ms
        )
