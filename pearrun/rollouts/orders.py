"""Orders of the operator to roll out a version, and what became of them."""

import dataclasses
import enum

from pearrun import positions
from pearrun.ids import ServiceName
from pearrun.ids import Version


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An order to move a service's calls to a new version.

    :param number: :data:`Position` of the order in the operator's log, which
        tells a repeated order from a record that was read twice.
    :param to: the new version.
    :param duration_ms: time from the order to its deadline.
    """

    service: ServiceName
    number: int
    to: Version
    duration_ms: int


class RolloutState(enum.Enum):
    """State of a roll-out; the last two are final."""

    RUNNING = 'running'
    DONE = 'done'
    REVERTED = 'reverted'


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """State of a roll-out as written to the store."""

    service: ServiceName
    to: Version
    state: RolloutState

    def is_final_of(self, order):
        """Return whether this is a final state of an order."""
        return self.to == order.to and self.state is not RolloutState.RUNNING


@dataclasses.dataclass(frozen=True)
class RolloutNotice:
    """What the lease holder tells the other hosts about a roll-out.

    :param routes: names of the routes whose calls all go to the new version.
    :param moved: whether all routes do, and the old endpoints may stop.
    :param turn: selects the endpoints that get the small share.
    :param share: share of all calls that goes to the new version otherwise.
    :param route_shares: that share by route, if it is not the same.
    """

    service: ServiceName
    number: int
    to: Version
    state: RolloutState
    routes: frozenset[str] = frozenset()
    moved: bool = False
    turn: int = 0
    share: float = 0.0
    route_shares: dict[str, float] = dataclasses.field(default_factory=dict)


def is_written_again(order, known):
    """Return whether an order is a known one, from a restored store.

    :param order: :class:`RolloutOrder` or :class:`RolloutNotice`.
    :param known: the latest one of the same service.
    """
    return order.to == known.to and (
        positions.get_era(order.number) > positions.get_era(known.number)
    )


def encode_notice(notice):
    """Return the fields of a :class:`RolloutNotice`."""
    return [
        notice.service,
        notice.number,
        notice.to,
        notice.state.value,
        sorted(notice.routes),
        notice.moved,
        notice.turn,
        notice.share,
        notice.route_shares,
    ]


def decode_notice(fields):
    """Decode the fields of a :class:`RolloutNotice`.

    :raises ValueError: a field is malformed.
    """
    service, number, to, state, routes, moved, turn, *shares = fields
    return RolloutNotice(
        service,
        number,
        to,
        RolloutState(state),
        frozenset(routes),
        moved,
        turn,
        *shares,
    )
