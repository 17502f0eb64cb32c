"""Scaling: how many endpoints to order, in which zones, of which kind.

Load pattern: waves of demand on endpoints that are billed by the second.  The
platform reclaims all reclaimable endpoints of a zone with a few seconds'
notice, often in several zones in succession, and then offers none for a
while.  A reclaimable (spot) endpoint costs less than a fifth of an on-demand
one, so enough of them are ordered in each zone that losing any single zone
leaves sufficient capacity.  On-demand endpoints only cover the shortfall that
the loss of one more zone would cause, and are released once reclaimable ones
serve again.
"""

import dataclasses
import math

# Number of places in each zone that are reserved for reclaimable endpoints.
RECLAIMABLE_RESERVE = 2


@dataclasses.dataclass(frozen=True)
class ScalingSettings:
    """Limits of the orders.

    :param min_endpoints: minimum number of endpoints of a service.
    :param slot_utilization: target utilization of the slots of an endpoint;
        the rest absorbs bursts and the uneven distribution of a wave.
    :param wait_share: fraction of the latency target that a call may wait on
        average for the prompts ahead of it, if each went to the endpoint with
        the least work.  Reports are up to 0.35 s old, so actual waits are
        several times as long, and those of a tenth of the calls three times
        longer still.
    :param max_prefill_share: maximum fraction of an endpoint's time spent on
        processing prompts; running calls generate their tokens in the rest.
    :param limit_units_per_endpoint: units per second of the customers' limits
        for which one endpoint is provided before any load was observed.
    :param spare: reclaimable endpoints ordered in each zone beyond the need,
        since a boot takes seconds and a burst arrives at once.
    :param reclaimable_hold_ms: time window over which the maximum need counts
        for reclaimable endpoints, so that the trough of a wave does not
        release endpoints that its next crest needs.
    :param on_demand_hold_ms: the same for on-demand endpoints, which cost five
        times as much and boot in a few seconds.
    :param release_ms: how long a smaller number of on-demand endpoints must
        suffice before any are released.
    :param imbalance_factor: multiplier of the need for reclaimable endpoints
        if hosts receive each other's reports late through hubs, which makes
        the load of the endpoints uneven; with it calls still find free slots
        and short queues.
    """

    min_endpoints: int = 4
    slot_utilization: float = 0.5
    wait_share: float = 0.1
    max_prefill_share: float = 0.6
    limit_units_per_endpoint: float = 100_000.0
    spare: int = 1
    reclaimable_hold_ms: int = 30_000
    on_demand_hold_ms: int = 10_000
    release_ms: int = 1_500
    imbalance_factor: float = 1.2


@dataclasses.dataclass(frozen=True)
class Order:
    """The desired number of endpoints of a service in a zone.

    :param reclaimable: whether the order is for reclaimable endpoints; those
        that cannot be reclaimed are ordered separately.
    """

    service: str
    zone: str
    reclaimable: bool
    count: int


@dataclasses.dataclass(frozen=True)
class ZoneCount:
    """Endpoints of a service that are currently serving in a zone."""

    reclaimable: int = 0
    on_demand: int = 0

    def of_kind(self, reclaimable):
        """Return the count of one kind."""
        return self.reclaimable if reclaimable else self.on_demand


@dataclasses.dataclass(frozen=True)
class Need:
    """Number of endpoints that the load requires in all zones together.

    Written to the log with these field names.

    :param lasting: the need that determines on-demand endpoints.
    :param reclaimable: the need that determines reclaimable endpoints.
    """

    lasting: int
    reclaimable: int


def compute_need(history, now_ms, settings, through_hubs=False):
    """Return the :class:`Need` from the recent history.

    :param history: number of endpoints that the demand required, by time.
    :param through_hubs: whether hosts receive reports through hubs.
    """
    on_demand = max(
        needed
        for at_ms, needed in history.items()
        if now_ms - at_ms <= settings.on_demand_hold_ms
    )
    reclaimable = max(history.values())
    if through_hubs:
        reclaimable = math.ceil(reclaimable * settings.imbalance_factor)
    return Need(on_demand, reclaimable)


def plan_orders(service, limits, zones, need, settings):
    """Plan the orders of one service.

    :param service: its name.
    :param limits: its :class:`ScaleLimits`.
    :param zones: :class:`ZoneCount` by zone.
    :param need: the :class:`Need`.
    :returns: a list of :class:`Order`, two for each zone; those for on-demand
        endpoints come first.
    """
    spare = max(0, count_serving(zones) - need.lasting)
    retained = retain_reclaimable(zones, spare)
    places = {
        zone: min(compute_max_on_demand(limits), limits.largest - count)
        for zone, count in retained.items()
    }
    total = count_on_demand(zones, need.lasting)
    on_demand = distribute_on_demand(limits, places, total)
    per_zone = count_reclaimable_per_zone(
        limits, len(zones), need.reclaimable, settings
    )
    reclaimable = {}
    for zone, count in on_demand.items():
        on_demand_total = max(count, zones[zone].on_demand)
        room = max(0, limits.largest - on_demand_total)
        reclaimable[zone] = min(max(per_zone, retained[zone]), room)
        spare -= max(0, zones[zone].reclaimable - reclaimable[zone])
    # On-demand endpoints may be released from the spare ones that remain after
    # the release of reclaimable ones.
    on_demand = retain_on_demand(on_demand, zones, max(0, spare))
    return [
        *(Order(service, zone, False, n) for zone, n in on_demand.items()),
        *(Order(service, zone, True, n) for zone, n in reclaimable.items()),
    ]


def limit_to_raises(orders, zones, others):
    """Return the orders that add endpoints while two versions serve.

    An order for fewer endpoints would release those of the new version first.
    An order counts the endpoints of both versions.

    :param orders: planned :class:`Order` objects for the version in force.
    :param zones: :class:`ZoneCount` of that version by zone.
    :param others: the same of other versions.
    """
    return [
        dataclasses.replace(
            order,
            count=order.count
            + others.get(order.zone, ZoneCount()).of_kind(order.reclaimable),
        )
        for order in orders
        if order.count > zones[order.zone].of_kind(order.reclaimable)
    ]


def count_serving(zones):
    """Return the number of serving endpoints of both kinds."""
    return sum(count.reclaimable + count.on_demand for count in zones.values())


def count_on_demand(zones, needed):
    """Return the number of on-demand endpoints needed in all zones.

    They cover the shortfall after a loss of the zone with the most reclaimable
    endpoints.
    """
    counts = [count.reclaimable for count in zones.values()]
    safe = sum(counts) - max(counts, default=0)
    return max(0, needed - safe)


def retain_reclaimable(zones, spare):
    """Return how many reclaimable endpoints each zone retains for now.

    Serving endpoints are released only as far as the remaining ones suffice,
    because their replacements, in the same or another zone, do not serve until
    they have booted.  Zones with the most reclaimable endpoints release first,
    since losing one of these zones costs the most.

    :param spare: number of serving endpoints beyond the need.
    """
    retained = {}
    for zone in sorted(zones, key=lambda name: -zones[name].reclaimable):
        released = min(zones[zone].reclaimable, spare)
        spare -= released
        retained[zone] = zones[zone].reclaimable - released
    return retained


def retain_on_demand(counts, zones, spare):
    """Return the planned counts, limiting the release to the spare ones.

    :param counts: planned on-demand endpoints by zone.
    :param spare: number of serving endpoints beyond the need.
    """
    retained = {}
    for zone, count in counts.items():
        released = min(max(0, zones[zone].on_demand - count), spare)
        spare -= released
        retained[zone] = max(count, zones[zone].on_demand - released)
    return retained


def distribute_on_demand(limits, places, total):
    """Distribute on-demand endpoints over the zones, cheapest first.

    Each zone gets a share, so that an isolated zone can serve its callers.

    :param places: maximum number for each zone.
    :returns: counts by zone.
    """
    by_price = sorted(places, key=lambda zone: get_price(limits, zone))
    counts = dict.fromkeys(by_price, 0)
    while total > 0:
        open_zones = [zone for zone in by_price if counts[zone] < places[zone]]
        if not open_zones:
            break
        zone = min(open_zones, key=lambda name: counts[name])
        counts[zone] += 1
        total -= 1
    return counts


def compute_max_on_demand(limits):
    """Return the maximum number of on-demand endpoints in a zone.

    A few places are reserved for reclaimable endpoints, which replace the
    on-demand ones one by one once they are available again.
    """
    if limits.reclaimable_price is None:
        return limits.largest
    return max(1, limits.largest - RECLAIMABLE_RESERVE)


def count_reclaimable_per_zone(limits, zone_count, needed, settings):
    """Return how many reclaimable endpoints each zone should have."""
    if limits.reclaimable_price is None:
        return 0
    without_one = max(1, zone_count - 1)
    wanted = -(-needed // without_one) + settings.spare
    return max(limits.smallest, min(limits.largest, wanted))


def get_price(limits, zone):
    """Return the price of an endpoint per second in a zone."""
    return limits.zone_prices.get(zone, 1.0)


def estimate_initial_count(limit_units, settings):
    """Return the number of endpoints before any load was observed.

    Without this estimate, a fleet that starts, or is taken over by another
    host, before its load arrives would be reduced to the minimum and would
    have to boot endpoints under the first wave.

    :param limit_units: units per second that all customers may use.
    """
    expected = math.ceil(limit_units / settings.limit_units_per_endpoint)
    return max(settings.min_endpoints, expected)


def count_needed(demand, tokens_per_ms, slots, settings):
    """Return how many endpoints a demand requires.

    The number must suffice both for free slots and for timely processing of
    prompts; the larger one counts.

    :param demand: the :class:`Demand` of all hosts.
    :param tokens_per_ms: prefill speed of an endpoint.
    :param slots: number of concurrent calls of an endpoint.
    """
    by_slots = math.ceil(demand.busy / (slots * settings.slot_utilization))
    by_prefill = count_for_prefill(demand, tokens_per_ms, settings)
    return max(settings.min_endpoints, by_slots, by_prefill)


def count_for_prefill(demand, tokens_per_ms, settings):
    """Return how many endpoints process the prompts of a demand in time.

    :param tokens_per_ms: prefill speed of an endpoint.
    """
    # The number of endpoints that would just suffice if they processed prompts
    # all the time.
    load = demand.tokens_per_s / (tokens_per_ms * 1000.0)
    count = max(1, math.ceil(load / settings.max_prefill_share))
    if not demand.target_ms or not demand.tokens_per_s:
        return count
    residual_ms = (
        demand.squares_per_s / (2 * demand.tokens_per_s) / tokens_per_ms
    )
    max_wait_ms = settings.wait_share * demand.target_ms
    while residual_ms * estimate_waits(load, count) > max_wait_ms:
        count += 1
    return count


def estimate_waits(load, count):
    """Estimate the mean wait if the least loaded endpoint is chosen.

    Uses Sakasegawa's approximation for a queue with several servers.

    :param load: offered load, in fully busy servers.
    :returns: the wait, in units of the mean residual service time.
    """
    utilization = load / count
    exponent = math.sqrt(2 * (count + 1)) - 1
    return utilization**exponent / (count * (1 - utilization))
