"""The versions of one service, as known to one host."""

import dataclasses

from pearrun.rollouts.answers import AnswerCounts
from pearrun.rollouts.orders import RolloutOrder
from pearrun.rollouts.orders import RolloutState

# A version without an order gets calls after this time: endpoints of a version
# that the operator has ordered may be listed before the order is read.
SETTLE_MS = 3000
# Endpoints of the old versions end as a roll-out is done; those that are still
# listed after this time serve beside the new version.
REPLACED_MS = 10_000


class ServiceVersions:
    """The versions of one service.

    ``current`` is the version in force, ``None`` while unknown; ``rejected``
    holds versions that get no calls, ``replaced_ms`` when a roll-out replaced
    some.  Others serve beside the one in force without an order, from some
    time after ``first_seen_ms`` on.  ``order`` is the latest
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
        self.first_seen_ms = {}
        self.replaced_ms = {}
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

    def renumber(self, order):
        """Replace the number of the order, which was written again."""
        self.order = dataclasses.replace(self.order, number=order.number)
        self.complete_order(order)

    def reject(self, version):
        """Give a version no calls, unless it is the one in force."""
        if version != self.current:
            self.rejected.add(version)

    def replace_by(self, version, others, now_ms):
        """Put a version into force instead of others."""
        for other in others:
            self.replaced_ms[other] = now_ms
        self.replaced_ms.pop(version, None)
        self.current = version

    def is_replaced(self, version, now_ms):
        """Return whether a roll-out has replaced a version lately."""
        replaced_ms = self.replaced_ms.get(version)
        return replaced_ms is not None and now_ms - replaced_ms < REPLACED_MS

    def is_in_force(self, version, now_ms):
        """Return whether a version serves without an open order for it."""
        if version == self.current:
            return True
        if version in self.rejected or self.is_replaced(version, now_ms):
            return False
        if self.order is None or version != self.order.to:
            return True
        return self.state is RolloutState.DONE

    def note_listed(self, version, now_ms):
        """Record that an endpoint of a version is listed."""
        self.first_seen_ms.setdefault(version, now_ms)

    def serves(self, version, now_ms):
        """Return whether a version gets calls without an open order for it.

        Those beside the version of most endpoints get them once an order
        would be known.
        """
        if version == self.current:
            return True
        seen_ms = self.first_seen_ms.get(version, now_ms)
        is_settled = now_ms - seen_ms >= SETTLE_MS
        return is_settled and self.is_in_force(version, now_ms)

    def is_permitted(self, now_ms):
        """Return whether the new version may get calls."""
        return (
            self.is_open
            and self.notice is not None
            and now_ms < self.permit_until_ms
        )
