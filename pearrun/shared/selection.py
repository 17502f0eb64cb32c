"""Selection of endpoints for calls, from this host's current state."""

import dataclasses

from pearrun.decisions import avoidance
from pearrun.decisions import placement
from pearrun.decisions.prefixes import PrefixIndex
from pearrun.shared.fleet import Endpoint
from pearrun.shared.loads import NO_LOAD
from pearrun.shared.prompts import PromptPlacement

# Prompts with at least this many uncached tokens trigger a report to the other
# hosts: the prefill takes a large part of a report interval, in which the
# others would queue short calls behind it.
LARGE_PROMPT_TOKENS = 4000
# Mean age of other hosts' reports when they are used in a fleet with hubs: the
# rounds of the reporting host and of two hubs.
HUB_REPORT_AGE_MS = 400


@dataclasses.dataclass(frozen=True)
class Selected:
    """An endpoint chosen for a call.

    :param expected_ms: expected time to first token.
    :param uncached_tokens: prompt tokens that the endpoint has to prefill.
    :param queued_tokens: prompt tokens of other calls that it has to prefill
        first.
    :param queued_ms: ``expected_ms`` without the prefill of the call's own
        prompt.
    :param is_idle: whether no host has reported a call there.
    """

    endpoint: Endpoint
    expected_ms: float
    uncached_tokens: int
    queued_tokens: int
    queued_ms: float
    is_idle: bool


class Selection:
    """Chooses endpoints and tracks this host's load on them.

    :param zone: this host's zone.
    :param fleet: the :class:`Fleet`.
    :param loads: the :class:`Loads` of the other hosts.
    :param engines: the :class:`Engines` with the fitted models.
    :param demands: the :class:`Demands`, for the duration of answers and
        the calls of other hosts.
    :param feed: the :class:`Feed`; says whether the hosts use hubs.
    :param rollouts: the :class:`Rollouts`, which select the version.
    :param gate: the :class:`EndpointGate`.
    :param reachability: the :class:`Reachability`.

    ``notify_peers`` is called to report a large prompt to the other hosts
    immediately.
    """

    def __init__(
        self,
        clock,
        zone,
        fleet,
        loads,
        engines,
        demands,
        feed,
        rollouts,
        gate,
        reachability,
    ):
        self.clock = clock
        self.zone = zone
        self.fleet = fleet
        self.loads = loads
        self.engines = engines
        self.demands = demands
        self.feed = feed
        self.rollouts = rollouts
        self.gate = gate
        self.reachability = reachability
        self.prefixes = PrefixIndex()
        self._placements = []
        self.zones = {}
        self.answered_ms = None
        self.notify_peers = lambda: None
        self.settings = placement.PlacementSettings()

    def choose(self, call, service, tried, version=None):
        """Choose an endpoint of a service.

        :param tried: ids of endpoints to exclude.
        :param version: the version that began the call's stream; ``None``
            for a new one.
        :returns: :class:`Selected`, or ``None`` if no endpoint is left.
        """
        now = self.clock.now()
        endpoints = [
            endpoint
            for endpoint in self.fleet.find_by_service(service.name)
            if endpoint.id not in tried
        ]
        endpoints = self.gate.filter_allowed(service.name, endpoints)
        if version is None:
            endpoints = self.rollouts.select(
                service.name, endpoints, call.id, call.route.name, bool(tried)
            )
        else:
            endpoints = self.rollouts.select_version(
                service.name, endpoints, version
            )
        endpoints = self._filter_usable(service.name, endpoints, now)
        shared = call.prompt.shared_parts
        candidates = self._make_candidates(endpoints, shared, now)
        affinity = shared[-1].id if shared else None
        answer_ms = self.demands.get_answer_ms(service.name)
        shared_tokens = sum(part.tokens for part in shared)
        demand = placement.CallDemand(
            call.prompt.tokens, affinity, shared_tokens, answer_ms
        )
        model = self.engines.find_by_service(service.name)
        unreported = self._estimate_unreported_load(
            service.name, answer_ms, model
        )
        best, expected_ms = placement.choose(
            candidates, demand, model, self.settings, unreported
        )
        if best is None:
            return None
        endpoint = self.fleet.endpoints[best.id]
        endpoint.pause.start_probe(now)
        self._get_zone_health(endpoint).pause.start_probe(now)
        uncached = max(0, call.prompt.tokens - best.cached_tokens)
        queued_ms = expected_ms - uncached / model.tokens_per_ms
        return Selected(
            endpoint,
            expected_ms,
            uncached,
            best.queued_tokens,
            queued_ms,
            is_idle=not best.calls,
        )

    def begin(self, selected, call):
        """Record that a call is being sent to the selected endpoint."""
        now = self.clock.now()
        selected.endpoint.calls += 1
        selected.endpoint.queued_tokens += selected.uncached_tokens
        shared = call.prompt.shared_parts
        if shared:
            self.prefixes.note_cached(selected.endpoint.id, shared, now)
            self._record_placement(selected.endpoint.id, shared)
        if selected.uncached_tokens >= LARGE_PROMPT_TOKENS:
            self.notify_peers()

    def _record_placement(self, endpoint_id, shared):
        """Queue a prompt placement for the next report.

        In a fleet with hubs, only shared prefixes that are long enough to
        determine the choice of an endpoint are reported: shorter ones belong
        to most calls and would fill the reports.
        """
        tokens = sum(part.tokens for part in shared)
        if self.feed.through_hubs and tokens < self.settings.affinity_tokens:
            return
        part_ids = tuple(part.id for part in shared)
        self._placements.append(PromptPlacement(endpoint_id, part_ids))

    def _estimate_unreported_load(self, service_name, answer_ms, model):
        """Estimate the calls that other hosts sent since their reports."""
        others = self.demands.others.sum().get(service_name)
        if others is None or not self.feed.through_hubs:
            return placement.NO_UNREPORTED_LOAD
        return placement.estimate_unreported_load(
            others, HUB_REPORT_AGE_MS, answer_ms, model, self.settings
        )

    def take_placements(self):
        """Return and clear the prompt placements that are not reported yet.

        :returns: a tuple of :class:`PromptPlacement`, with the ids of the
            prompt parts that several calls share.
        """
        placements, self._placements = self._placements, []
        return tuple(placements)

    def end_prefill(self, selected):
        """Record the first token of a call, which ends its prefill."""
        selected.endpoint.queued_tokens -= selected.uncached_tokens

    def end(self, selected):
        """Record that a call has ended."""
        selected.endpoint.calls -= 1

    def note_first_token(self, selected, waited_ms):
        """Update the engine model with a call's time to first token."""
        service_name = selected.endpoint.record.service
        tokens = selected.uncached_tokens + selected.queued_tokens
        self.engines.note_first_token(service_name, tokens, waited_ms)

    def note_answer(self, endpoint):
        """Record any answer from an endpoint, including an error."""
        self.answered_ms = self.clock.now()
        endpoint.answered_ms = self.answered_ms
        if not self.reachability.is_lost(endpoint.record.service):
            self._get_zone_health(endpoint).note_answer()

    def answer_age_ms(self):
        """Return the time since the last answer of any endpoint.

        :returns: milliseconds; ``None`` if none has answered this host.
        """
        if self.answered_ms is None:
            return None
        return self.clock.since(self.answered_ms)

    def note_success(self, endpoint):
        """Record a successful answer from an endpoint."""
        endpoint.failures = 0
        endpoint.pause.clear()

    def note_failure(self, endpoint, refused=False, silent=False):
        """Record a failed call to an endpoint.

        :param refused: whether no connection was established.
        :param silent: whether the endpoint did not respond at all.
        :returns: milliseconds for which no calls are sent to the endpoint;
            0 if it is not avoided.
        """
        now = self.clock.now()
        endpoint.failures += 1
        if silent:
            self._get_zone_health(endpoint).note_silence(endpoint.id, now)
        if not avoidance.should_pause(endpoint.failures, refused or silent):
            return 0
        endpoint.pause.begin(now)
        return endpoint.pause.length_ms

    def pause_zone(self, zone):
        """Avoid the endpoints of a zone that this host's zone cannot reach."""
        health = self.zones.setdefault(zone, avoidance.ZoneHealth())
        now = self.clock.now()
        if not health.pause.holds(now):
            health.pause.begin(now)

    def is_zone_paused(self, zone):
        """Return whether the endpoints of a zone are being avoided."""
        health = self.zones.get(zone)
        return health is not None and health.pause.holds(self.clock.now())

    def _get_zone_health(self, endpoint):
        zone = endpoint.record.zone
        return self.zones.setdefault(zone, avoidance.ZoneHealth())

    def _filter_usable(self, service_name, endpoints, now):
        """Exclude endpoints that are paused or in a paused zone.

        Zones are paused because of direct paths, which do not matter while
        connections go through other hosts.
        """
        paused = {
            name for name, zone in self.zones.items() if zone.pause.holds(now)
        }
        if paused and not self.reachability.is_lost(service_name):
            endpoints = avoidance.filter_usable(
                endpoints, lambda item: item.record.zone in paused
            )
        return avoidance.filter_usable(
            endpoints, lambda item: item.pause.until_ms > now
        )

    def _make_candidates(self, endpoints, shared, now):
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
                    endpoint.queued_tokens + others.queued_tokens,
                    cached.get(record.id, 0),
                )
            )
        return candidates
