"""The objects that one entry host's parts share."""

from loguru import logger

from pearrun.shared.activeconfig import ActiveConfig
from pearrun.shared.clocksync import CorrectedClock
from pearrun.shared.counters import Counters
from pearrun.shared.crashdetector import CrashDetector
from pearrun.shared.crashprobe import CrashProbe
from pearrun.shared.demands import Demands
from pearrun.shared.engines import Engines
from pearrun.shared.feed import Feed
from pearrun.shared.fleet import Fleet
from pearrun.shared.loads import Loads
from pearrun.shared.members import MEMBER_TOPIC
from pearrun.shared.members import Members
from pearrun.shared.pools import EndpointPools
from pearrun.shared.quarantine import Quarantine
from pearrun.shared.quotas import Quotas
from pearrun.shared.selection import Selection
from pearrun.shared.usage import UsageCounts
from pearrun.shared.usagetable import UsageTable


class HostContext:
    """State of one entry host.

    :param settings: the host's whole settings.
    :param codec: encodes and judges headers; see :class:`EndpointCodec`.
    """

    def __init__(self, settings, codec, clock):
        self.settings = settings
        self.codec = codec
        self.clock = clock
        self.stopping = False
        self.counters = Counters()
        self.config = ActiveConfig(clock)
        self.fleet = Fleet()
        self.crashes = CrashDetector(
            clock, self.fleet, settings.zone, settings.beat_ms
        )
        self.crash_check = CrashProbe(self.crashes)
        self.feed = Feed(clock)
        self.member_feed = Feed(clock, MEMBER_TOPIC)
        self.feeds = {
            feed.topic: feed for feed in (self.feed, self.member_feed)
        }
        self.loads = Loads(clock)
        self.demands = Demands(clock)
        self.engines = Engines(clock)
        self.members = Members(clock, settings.name)
        self.pools = EndpointPools(self.count_hosts)
        self.selection = Selection(
            clock,
            settings.zone,
            self.fleet,
            self.loads,
            self.engines,
            self.demands,
            self.feed,
        )
        self.quarantine = Quarantine(clock)
        self.crashes.handle_crashes = self.quarantine.handle_crashes
        self.crashes.retract_crash = self.quarantine.retract_crash
        self.quotas = Quotas(
            clock, self.config, settings.quota, self.members, self.feed
        )
        self.time = CorrectedClock(clock)
        self.usage = UsageCounts(self.time.wall, settings.usage.window_ms)
        self.board = UsageTable()
        self.forget_host = lambda name: None

    def count_hosts(self):
        """Return how many entry hosts there are, this one included."""
        return self.members.count()

    def is_ready(self):
        """Say whether this host takes callers."""
        return (
            not self.stopping
            and self.config.current is not None
            and self.fleet.listed_ms is not None
        )

    def list_age_ms(self, now_ms):
        """Return how long ago the list of endpoints was complete.

        Changes since then may be unknown here.

        :returns: milliseconds; ``None`` before the first list.
        """
        listed_ms = self.fleet.listed_ms
        return None if listed_ms is None else now_ms - listed_ms

    def awaits_heartbeats(self):
        """Say whether heartbeats may show that an endpoint goes on."""
        return self.crashes.has_outages() or bool(
            self.quarantine.known.suspects
        )

    def note_heartbeat(self, endpoint_id, asked_ms):
        """Note that an endpoint goes on.

        :param asked_ms: when the read that told it was begun.
        """
        self.crashes.note_heard(endpoint_id, asked_ms)
        self.quarantine.note_heard(endpoint_id, asked_ms)

    def drop_endpoint(self, endpoint, reason):
        """Stop using an endpoint that has left."""
        removed = self.fleet.remove(endpoint.id)
        self.crashes.note_removed(endpoint.id)
        self.pools.remove(endpoint.id)
        if removed is not None:
            logger.bind(
                endpoint=endpoint.id,
                service=endpoint.record.service,
                reason=reason,
                list_age_ms=self.list_age_ms(self.clock.now()),
            ).info('endpoint removed')

    def log_avoided(self, endpoint, pause_ms):
        """Log that an endpoint is left alone for a while."""
        logger.bind(
            endpoint=endpoint.id,
            failures=endpoint.failures,
            pause_ms=pause_ms,
        ).info('endpoint avoided')
