"""Load that the other hosts put on endpoints, from their reports."""

import dataclasses

from pearrun.shared.runreports import RunReports


@dataclasses.dataclass(frozen=True)
class Load:
    """Load on one endpoint.

    :param calls: calls in progress.
    :param queued_tokens: prompt tokens of these calls that are not
        prefilled yet.
    """

    calls: int = 0
    queued_tokens: int = 0


NO_LOAD = Load()


class Loads(RunReports):
    """Sums the reports of all other hosts: :class:`Load` by endpoint id.

    Endpoints without calls from other hosts are omitted.
    """

    def __init__(self, clock):
        super().__init__(clock, add_loads)

    def get(self, endpoint_id):
        """Return the other hosts' :class:`Load` on an endpoint."""
        return self.sum().get(endpoint_id, NO_LOAD)


def add_loads(reports):
    """Add up several hosts' :class:`Load` by endpoint id."""
    sums = {}
    for loads in reports:
        for endpoint_id, load in loads.items():
            known = sums.get(endpoint_id)
            if known is None:
                sums[endpoint_id] = load
                continue
            sums[endpoint_id] = Load(
                known.calls + load.calls,
                known.queued_tokens + load.queued_tokens,
            )
    return sums
