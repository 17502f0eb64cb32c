"""How many endpoints to order, where, and of which kind.

Load pattern: waves of demand on endpoints paid by the second, while the
platform reclaims all cheap endpoints of a zone at a few seconds'
notice, often several zones in a row, and sells no more of them for a
while.  A reclaimable endpoint costs under a fifth of another one, so
each zone gets so many that the loss of any one zone leaves enough.
Lasting endpoints fill exactly what the loss of one more zone would
leave short, and are given back once reclaimable ones serve again.
"""

import dataclasses
import math

# Places of a zone that lasting endpoints never take.
ROOM_TO_RETURN = 2


@dataclasses.dataclass(frozen=True)
class ScalingSettings:
    """Limits of the orders.

    :param fewest: endpoints of a service that always serve.
    :param slots_share: part of an endpoint's slots that calls should take;
        clumps and one endpoint's share of a wave take the rest.
    :param wait_share: part of the latency target that a call may wait on
        the average for prompts being read before its own, if each went
        where least is to be read; reports are up to 0.35 s old, so calls
        wait for several times as long, and a tenth of them three times more.
    :param most_reading: largest part of an endpoint's time that goes into
        reading prompts; tokens of running calls come in the rest.
    :param limit_units_each: units a second of customers' limits for which
        one endpoint is kept while no load has been seen yet.
    :param spare: reclaimable endpoints ordered beyond what is needed,
        in each zone: a boot takes seconds, a burst comes at once.
    :param hold_ms: how long the highest need of the past still counts
        for reclaimable endpoints, so that a wave's trough does not give
        those away that its next crest needs.
    :param lasting_hold_ms: the same for lasting ones, which cost five
        times as much and boot in a few seconds.
    :param release_ms: how long fewer lasting endpoints must suffice
        before any are given back.
    :param uneven: times the reclaimable endpoints that are needed where
        hosts hear of each other's calls late, so that endpoints are loaded
        less evenly; their calls find slots and short queues all the same.
    """

    fewest: int = 4
    slots_share: float = 0.5
    wait_share: float = 0.1
    most_reading: float = 0.6
    limit_units_each: float = 100_000.0
    spare: int = 1
    hold_ms: int = 30_000
    lasting_hold_ms: int = 10_000
    release_ms: int = 1_500
    uneven: float = 1.2


@dataclasses.dataclass(frozen=True)
class Order:
    """That a zone should have a number of endpoints of a service.

    :param reclaimable: counts the endpoints that may be reclaimed;
        those that may not are ordered apart.
    """

    service: str
    zone: str
    reclaimable: bool
    count: int


@dataclasses.dataclass(frozen=True)
class ZoneCount:
    """Endpoints of a service that serve in a zone now."""

    reclaimable: int = 0
    lasting: int = 0

    def of_kind(self, reclaimable):
        """Return the count of one kind."""
        return self.reclaimable if reclaimable else self.lasting


@dataclasses.dataclass(frozen=True)
class Need:
    """Endpoints that the load needs in all zones together.

    :param lasting: need by which lasting endpoints are ordered.
    :param reclaimable: need by which reclaimable ones are.
    """

    lasting: int
    reclaimable: int


def hold_need(past, now_ms, settings, through_hubs=False):
    """Return the :class:`Need` by what was needed lately.

    :param past: how many endpoints the demand needed, by time.
    :param through_hubs: whether hosts hear of each other through hubs.
    """
    lasting = max(
        needed
        for at_ms, needed in past.items()
        if now_ms - at_ms <= settings.lasting_hold_ms
    )
    reclaimable = max(past.values())
    if through_hubs:
        reclaimable = math.ceil(reclaimable * settings.uneven)
    return Need(lasting, reclaimable)


def plan_orders(service, limits, zones, need, settings):
    """Plan the orders of one service.

    :param service: its name.
    :param limits: its :class:`ScaleLimits`.
    :param zones: :class:`ZoneCount` by zone.
    :param need: the :class:`Need`.
    :returns: a list of :class:`Order`, two a zone; those that add
        lasting endpoints come first.
    """
    spare = max(0, count_serving(zones) - need.lasting)
    kept = keep_reclaimable(zones, spare)
    places = {
        zone: min(most_lasting(limits), limits.largest - count)
        for zone, count in kept.items()
    }
    total = count_lasting(zones, need.lasting)
    lasting = spread_lasting(limits, places, total)
    each = reclaimable_in_zone(limits, len(zones), need.reclaimable, settings)
    reclaimable = {}
    for zone, count in lasting.items():
        taken = max(count, zones[zone].lasting)
        room = max(0, limits.largest - taken)
        reclaimable[zone] = min(max(each, kept[zone]), room)
        spare -= max(0, zones[zone].reclaimable - reclaimable[zone])
    # What reclaimable ones leave of the spare, lasting ones may give back.
    lasting = keep_lasting(lasting, zones, max(0, spare))
    return [
        *(Order(service, zone, False, n) for zone, n in lasting.items()),
        *(Order(service, zone, True, n) for zone, n in reclaimable.items()),
    ]


def count_serving(zones):
    """Return how many endpoints of both kinds serve in all zones."""
    return sum(count.reclaimable + count.lasting for count in zones.values())


def count_lasting(zones, needed):
    """Return how many lasting endpoints are needed in all zones.

    They make up what the loss of the zone with most reclaimable
    endpoints would leave short.
    """
    counts = [count.reclaimable for count in zones.values()]
    safe = sum(counts) - max(counts, default=0)
    return max(0, needed - safe)


def keep_reclaimable(zones, spare):
    """Return how many reclaimable endpoints each zone keeps for now.

    Those that serve are given back only as far as the rest can do without:
    what takes their place, here or in another zone, serves nobody until it
    has booted.  Zones with most of them give back first, since the loss of
    one of these costs most.

    :param spare: endpoints that serve beyond the need.
    """
    kept = {}
    for zone in sorted(zones, key=lambda name: -zones[name].reclaimable):
        given_back = min(zones[zone].reclaimable, spare)
        spare -= given_back
        kept[zone] = zones[zone].reclaimable - given_back
    return kept


def keep_lasting(counts, zones, spare):
    """Return planned counts, raised where more than the spare would go.

    :param counts: lasting endpoints planned by zone.
    :param spare: endpoints that serve beyond the need.
    """
    kept = {}
    for zone, count in counts.items():
        given_back = min(max(0, zones[zone].lasting - count), spare)
        spare -= given_back
        kept[zone] = max(count, zones[zone].lasting - given_back)
    return kept


def spread_lasting(limits, places, total):
    """Spread lasting endpoints over the zones, cheapest zones first.

    Each zone gets its part, so that one cut off can serve its callers.

    :param places: the most that each zone may have.
    :returns: counts by zone.
    """
    by_price = sorted(places, key=lambda zone: price_of(limits, zone))
    counts = dict.fromkeys(by_price, 0)
    while total > 0:
        open_zones = [zone for zone in by_price if counts[zone] < places[zone]]
        if not open_zones:
            break
        zone = min(open_zones, key=lambda name: counts[name])
        counts[zone] += 1
        total -= 1
    return counts


def most_lasting(limits):
    """Return the most lasting endpoints of a zone.

    Room is left for a few reclaimable ones, which take their place one
    after the other once they can be had again.
    """
    if limits.reclaimable_price is None:
        return limits.largest
    return max(1, limits.largest - ROOM_TO_RETURN)


def reclaimable_in_zone(limits, zone_count, needed, settings):
    """Return how many reclaimable endpoints each zone should have."""
    if limits.reclaimable_price is None:
        return 0
    without_one = max(1, zone_count - 1)
    wanted = -(-needed // without_one) + settings.spare
    return max(limits.smallest, min(limits.largest, wanted))


def price_of(limits, zone):
    """Return what an endpoint's second costs in a zone."""
    return limits.zone_prices.get(zone, 1.0)


def expect_needed(limit_units, settings):
    """Return how many endpoints to have before any load was seen.

    A fleet that is taken over, or starts, before its load would else be
    cut down to the fewest, and boot again under the first wave.

    :param limit_units: units a second that all customers may use.
    """
    expected = math.ceil(limit_units / settings.limit_units_each)
    return max(settings.fewest, expected)


def count_needed(demand, tokens_per_ms, slots, settings):
    """Return how many endpoints a demand needs.

    It needs so many that calls find slots, and that prompts are read soon
    enough; the greater of the two.

    :param demand: the :class:`Demand` of all hosts.
    :param tokens_per_ms: prompt tokens an endpoint reads in a millisecond.
    :param slots: calls that an endpoint runs at once.
    """
    by_slots = math.ceil(demand.busy / (slots * settings.slots_share))
    by_reading = count_readers(demand, tokens_per_ms, settings)
    return max(settings.fewest, by_slots, by_reading)


def count_readers(demand, tokens_per_ms, settings):
    """Return how many endpoints read a demand's prompts soon enough.

    :param tokens_per_ms: prompt tokens an endpoint reads in a millisecond.
    """
    # Endpoints that read all the time would just do.
    load = demand.tokens_per_s / (tokens_per_ms * 1000.0)
    count = max(1, math.ceil(load / settings.most_reading))
    if not demand.target_ms or not demand.tokens_per_s:
        return count
    left_ms = demand.squares_per_s / (2 * demand.tokens_per_s) / tokens_per_ms
    most_ms = settings.wait_share * demand.target_ms
    while left_ms * estimate_waits(load, count) > most_ms:
        count += 1
    return count


def estimate_waits(load, count):
    """Estimate the mean wait of a call, where the least loaded is chosen.

    Sakasegawa's approximation of a queue with several servers.

    :param load: servers that would be busy all the time.
    :returns: in units of the mean time left of a call being served.
    """
    busy = load / count
    power = math.sqrt(2 * (count + 1)) - 1
    return busy**power / (count * (1 - busy))
