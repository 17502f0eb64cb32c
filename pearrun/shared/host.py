"""Objects shared by the components of an entry host."""

from loguru import logger

from pearrun.decisions.streamversion import CallerWaits
from pearrun.rollouts.evidence import EvidenceBoard
from pearrun.rollouts.versions import Rollouts
from pearrun.shared.activeconfig import ActiveConfig
from pearrun.shared.brittleendpoints import BrittleEndpoints
from pearrun.shared.clocksync import CorrectedClock
from pearrun.shared.connector import EndpointConnector
from pearrun.shared.counters import Counters
from pearrun.shared.crashdetector import CrashDetector
from pearrun.shared.crashprobe import CrashProbe
from pearrun.shared.demands import Demands
from pearrun.shared.departures import Departures
from pearrun.shared.endpointgate import EndpointGate
from pearrun.shared.endpointlimits import EndpointLimits
from pearrun.shared.engines import Engines
from pearrun.shared.feed import Feed
from pearrun.shared.fleet import Fleet
from pearrun.shared.loads import Loads
from pearrun.shared.members import MEMBER_TOPIC
from pearrun.shared.members import Members
from pearrun.shared.overload import OverloadGuard
from pearrun.shared.paths import Paths
from pearrun.shared.pools import EndpointPools
from pearrun.shared.pools import PROBE_SETTINGS
from pearrun.shared.quarantine import Quarantine
from pearrun.shared.quotas import Quotas
from pearrun.shared.reachability import Reachability
from pearrun.shared.rests import Rests
from pearrun.shared.retrybudgets import RetryBudgets
from pearrun.shared.selection import Selection
from pearrun.shared.streamorigins import StreamOrigins
from pearrun.shared.tunnels import Tunnels
from pearrun.shared.versionhistory import VersionHistory
from pearrun.usage.counts import UsageCounts
from pearrun.usage.table import UsageTable


class HostContext:
    """State of one entry host.

    :param settings: all settings of the host.
    :param codec: encodes and interprets headers; see
        :class:`EndpointCodec`.
    """

    def __init__(self, settings, codec, clock):
        self.settings = settings
        self.codec = codec
        self.clock = clock
        self.stopping = False
        self.counters = Counters()
        self.overload = OverloadGuard(clock)
        self.config = ActiveConfig(clock)
        self.fleet = Fleet()
        self.version_history = VersionHistory(clock, self.fleet)
        self.origins = StreamOrigins(clock)
        self.caller_waits = CallerWaits()
        self.origins.note_wait = self.caller_waits.note
        self.rollouts = Rollouts(clock, self.fleet, settings.rollout)
        self.evidence = EvidenceBoard()
        self.crashes = CrashDetector(
            clock, self.fleet, settings.zone, settings.heartbeat_ms
        )
        self.crash_probe = CrashProbe(self.crashes)
        self.feed = Feed(clock)
        self.member_feed = Feed(clock, MEMBER_TOPIC)
        self.feeds = {
            feed.topic: feed for feed in (self.feed, self.member_feed)
        }
        self.loads = Loads(clock)
        self.demands = Demands(clock)
        self.engines = Engines(clock)
        self.members = Members(clock, settings.name)
        self.retry_budgets = RetryBudgets(clock, settings.retry, self.members)
        self.reachability = Reachability(self.fleet, PROBE_SETTINGS)
        self.tunnels = Tunnels(clock, settings, self.members, PROBE_SETTINGS)
        connector = EndpointConnector(self.reachability, self.tunnels)
        self.pools = EndpointPools(
            self.members.count_sharing,
            connector.connect,
            self.count_others_calls,
        )
        self.reachability.close_idle = self.pools.close_idle
        self.departures = Departures(self.fleet)
        self.departures.handle_leaving = self._handle_leaving
        self.limits = EndpointLimits(
            clock,
            settings.name,
            settings.zone,
            self.fleet,
            self.members,
            self.feed,
        )
        self.brittle = BrittleEndpoints(
            clock,
            self.loads,
            self.demands,
            self.feed,
            self.limits,
            self.members.count_sharing,
        )
        self.rests = Rests(clock)
        self.gate = EndpointGate(
            self.fleet,
            self.rests,
            self.limits,
            self.brittle,
            self.members.count_sharing,
        )
        self.selection = Selection(
            clock,
            settings.zone,
            self.fleet,
            self.loads,
            self.engines,
            self.demands,
            self.feed,
            self.rollouts,
            self.gate,
            self.reachability,
        )
        self.paths = Paths(
            clock,
            settings.name,
            settings.zone,
            self.fleet,
            self.selection,
            self.pools,
        )
        self.quarantine = Quarantine(clock, self.members)
        self.crashes.handle_crashes = self.quarantine.handle_crashes
        self.crashes.retract_crash = self.quarantine.retract_crash
        self.quotas = Quotas(
            clock, self.config, settings.quota, self.members, self.feed
        )
        self.corrected_clock = CorrectedClock(clock)
        self.usage = UsageCounts(
            self.corrected_clock.wall, settings.usage.window_ms
        )
        self.usage_table = UsageTable()
        self.remove_host_reports = lambda name: None
        self.close_stalled = lambda: None

    def count_hosts(self):
        """Return the number of entry hosts, including this one."""
        return self.members.count()

    def count_others_calls(self, endpoint_id):
        """Return how many calls the other hosts have at an endpoint.

        :returns: ``None`` if less than half of the other hosts are heard, or
            if it is unknown how many there are.
        """
        if not self.members.listed:
            return None
        others = self.members.count() - 1
        if 2 * self.members.count_reporting() < others:
            return None
        return self.loads.get(endpoint_id).calls

    def is_ready(self):
        """Return whether this host accepts callers."""
        return (
            not self.stopping
            and self.config.current is not None
            and self.fleet.listed_ms is not None
        )

    def list_age_ms(self, now_ms):
        """Return the age of this host's copy of the endpoint list.

        Changes made during that time may be missing from the copy.

        :returns: milliseconds since the copy was last known to be complete;
            ``None`` before the first list was read.
        """
        listed_ms = self.fleet.listed_ms
        return None if listed_ms is None else now_ms - listed_ms

    def awaits_heartbeats(self):
        """Return whether a heartbeat may refute a suspected endpoint crash."""
        return self.crashes.has_outages() or bool(
            self.quarantine.known.suspects
        )

    def note_heartbeat(self, endpoint_id, asked_ms):
        """Record that an endpoint is still running.

        :param asked_ms: when the store read that returned the heartbeat was
            sent.
        """
        self.crashes.note_heartbeat(endpoint_id, asked_ms)
        self.quarantine.note_heartbeat(endpoint_id, asked_ms)

    def apply_notice(self, endpoint_id, notice):
        """Apply the notices in an answer that concern the host it was sent to.

        :param notice: the :class:`EndpointNotice`.
        """
        if notice.is_leaving:
            self.departures.note_leaving(endpoint_id)
        if notice.rest_ms is not None:
            self.rests.note_rest(endpoint_id, notice.rest_ms)

    def _handle_leaving(self, endpoint_id):
        self.crashes.note_leaving(endpoint_id)
        self.pools.close_idle(endpoint_id)

    def drop_endpoint(self, endpoint, reason):
        """Remove an endpoint that has left, and its connections."""
        removed = self.fleet.remove(endpoint.id)
        self.crashes.note_removed(endpoint.id)
        self.pools.remove(endpoint.id)
        self.limits.forget(endpoint.id)
        if removed is not None:
            self.version_history.note_departed(removed.record)
            logger.bind(
                endpoint=endpoint.id,
                service=endpoint.record.service,
                reason=reason,
                list_age_ms=self.list_age_ms(self.clock.now()),
            ).info('endpoint removed')

    def log_avoided(self, endpoint, pause_ms):
        """Log that no calls are sent to an endpoint for some time."""
        logger.bind(
            endpoint=endpoint.id,
            failures=endpoint.failures,
            pause_ms=pause_ms,
        ).info('endpoint avoided')
