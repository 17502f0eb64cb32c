"""Choosing endpoints from what this host knows of them now."""

import dataclasses

from pearrun.decisions import avoidance
from pearrun.decisions import placement
from pearrun.decisions.prefixes import PrefixIndex
from pearrun.shared.fleet import Endpoint
from pearrun.shared.loads import NO_LOAD
from pearrun.shared.prompts import Placed

# Prompts from this size on are told to the other hosts at once: reading one
# takes a good part of a report period, in which the others would send short
# calls behind it.
LARGE_TOKENS = 4000
# Mean age of other hosts' reports as they are used where these come through
# hubs: the rounds of the host and of two hubs.
HUB_REPORT_AGE_MS = 400


@dataclasses.dataclass(frozen=True)
class Selected:
    """An endpoint chosen for a call.

    :param expected_ms: expected time to the call's first token.
    :param fresh_tokens: prompt tokens the endpoint has to read.
    :param reading_tokens: those of other calls that it reads before.
    :param queued_ms: the expected time without that in which the call's
        own prompt is read.
    """

    endpoint: Endpoint
    expected_ms: float
    fresh_tokens: int
    reading_tokens: int
    queued_ms: float


class Selection:
    """Chooses endpoints and counts this host's work on them.

    :param fleet: the :class:`Fleet`.
    :param loads: other hosts' work, by endpoint; see :meth:`Loads.get`.
    :param engines: the learnt :class:`Engines`.
    :param demands: the :class:`Demands`, for the time that answers take and
        what others place.
    :param feed: the :class:`Feed`; says whether the hosts use hubs.
    """

    def __init__(self, clock, zone, fleet, loads, engines, demands, feed):
        self.clock = clock
        self.zone = zone
        self.fleet = fleet
        self.loads = loads
        self.engines = engines
        self.demands = demands
        self.feed = feed
        self.prefixes = PrefixIndex()
        self._placed = []
        self.zones = {}
        self.tell_others = lambda: None
        self.settings = placement.PlacementSettings()

    def choose(self, call, service, tried):
        """Choose an endpoint of a service.

        :param tried: ids of endpoints to leave out.
        :returns: :class:`Selected`, or ``None`` if there is none.
        """
        now = self.clock.now()
        endpoints = [
            endpoint
            for endpoint in self.fleet.of_service(service.name)
            if endpoint.id not in tried
        ]
        endpoints = self._filter_usable(endpoints, now)
        shared = call.prompt.parts[:-1]
        candidates = self._describe(endpoints, shared, now)
        affinity = shared[-1].id if shared else None
        answer_ms = self.demands.answer_ms(service.name)
        shared_tokens = sum(part.tokens for part in shared)
        demand = placement.CallDemand(
            call.prompt.tokens, affinity, shared_tokens, answer_ms
        )
        model = self.engines.of_service(service.name)
        unreported = self._expect_unseen(service.name, answer_ms, model)
        best, expected_ms = placement.choose(
            candidates, demand, model, self.settings, unreported
        )
        if best is None:
            return None
        endpoint = self.fleet.endpoints[best.id]
        endpoint.pause.start_probe(now)
        self._zone(endpoint).pause.start_probe(now)
        fresh = max(0, call.prompt.tokens - best.cached_tokens)
        queued_ms = expected_ms - fresh / model.tokens_per_ms
        return Selected(
            endpoint, expected_ms, fresh, best.reading_tokens, queued_ms
        )

    def begin(self, selected, call):
        """Count a call that is being sent to an endpoint."""
        now = self.clock.now()
        selected.endpoint.calls += 1
        selected.endpoint.reading_tokens += selected.fresh_tokens
        shared = call.prompt.parts[:-1]
        if shared:
            self.prefixes.note(selected.endpoint.id, shared, now)
            self._note_placed(selected.endpoint.id, shared)
        if selected.fresh_tokens >= LARGE_TOKENS:
            self.tell_others()

    def _note_placed(self, endpoint_id, shared):
        """Note a prompt for the other hosts.

        In a large fleet only beginnings that are worth an endpoint's choice:
        the others are most of the calls, and would fill the reports.
        """
        tokens = sum(part.tokens for part in shared)
        if self.feed.through_hubs and tokens < self.settings.affinity_tokens:
            return
        part_ids = tuple(part.id for part in shared)
        self._placed.append(Placed(endpoint_id, part_ids))

    def _expect_unseen(self, service_name, answer_ms, model):
        """Return what other hosts have placed since they reported."""
        others = self.demands.others.sum().get(service_name)
        if others is None or not self.feed.through_hubs:
            return placement.NO_UNREPORTED_LOAD
        return placement.estimate_unreported_load(
            others, HUB_REPORT_AGE_MS, answer_ms, model, self.settings
        )

    def take_placed(self):
        """Return the prompts sent since the last call, for other hosts.

        :returns: :class:`Placed` with the shared parts' ids.
        """
        placed, self._placed = self._placed, []
        return tuple(placed)

    def mark_read(self, selected):
        """Count a call's prompt as read: its first token has come."""
        selected.endpoint.reading_tokens -= selected.fresh_tokens

    def end(self, selected):
        """Count a call as ended."""
        selected.endpoint.calls -= 1

    def note_first(self, selected, waited_ms):
        """Learn from the time to the first token of a whole prompt."""
        service_name = selected.endpoint.record.service
        tokens = selected.fresh_tokens + selected.reading_tokens
        self.engines.note_first(service_name, tokens, waited_ms)

    def note_answer(self, endpoint):
        """Note that an endpoint answered, whatever it answered."""
        self._zone(endpoint).note_answer()

    def note_success(self, endpoint):
        """Note that an endpoint answered as it should."""
        endpoint.failures = 0
        endpoint.pause.clear()

    def note_failure(self, endpoint, refused=False, silent=False):
        """Note a failed send.

        :param refused: whether no connection stood.
        :param silent: whether nothing answered at all.
        :returns: milliseconds for which the endpoint is left alone; 0.
        """
        now = self.clock.now()
        endpoint.failures += 1
        if silent:
            self._zone(endpoint).note_silence(endpoint.id, now)
        if not avoidance.should_pause(endpoint.failures, refused or silent):
            return 0
        endpoint.pause.begin(now)
        return endpoint.pause.length_ms

    def _zone(self, endpoint):
        zone = endpoint.record.zone
        return self.zones.setdefault(zone, avoidance.ZoneHealth())

    def _filter_usable(self, endpoints, now):
        """Leave out endpoints and zones that are left alone now."""
        paused = {
            name for name, zone in self.zones.items() if zone.pause.holds(now)
        }
        if paused:
            endpoints = avoidance.filter_usable(
                endpoints, lambda item: item.record.zone in paused
            )
        return avoidance.filter_usable(
            endpoints, lambda item: item.pause.until_ms > now
        )

    def _describe(self, endpoints, shared, now):
        """Return a :class:`Candidate` for each endpoint."""
        cached = self.prefixes.find_cached(shared, now)
        loads = self.loads.sum()
        candidates = []
        for endpoint in endpoints:
            record = endpoint.record
            others = loads.get(record.id, NO_LOAD)
            candidates.append(
                placement.Candidate(
                    record.id,
                    record.zone == self.zone,
                    record.slots,
                    endpoint.calls + others.calls,
                    endpoint.reading_tokens + others.reading_tokens,
                    cached.get(record.id, 0),
                )
            )
        return candidates
