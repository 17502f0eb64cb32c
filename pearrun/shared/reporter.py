"""Creates the reports that this host sends to its peers, in rounds."""

import asyncio
import dataclasses

from pearrun.clock import to_seconds
from pearrun.rollouts.evidence import make_note
from pearrun.run import Run
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.loads import Load

# Number of latest usage windows in each :class:`UsageNote`; their counts may
# still change.
REPORTED_USAGE_WINDOWS = 3
# Interval of the rounds, unless one is triggered earlier.  With older loads,
# hosts place several calls on one endpoint; shorter intervals take more
# processor time on all receiving hosts.
ROUND_MS = 200
# Interval during the first ``STARTUP_MS`` after a host starts: until it has
# received the reports of the others, which takes three rounds through hubs,
# it may use only a small part of each customer's limit.
STARTUP_ROUND_MS = 50
STARTUP_MS = 2000
# Maximum fraction of a host's link speed that its rounds may use.  Otherwise a
# host with a slow link that becomes the hub of its zone would saturate the
# link, and lose the store, the other hosts and its callers.
LINK_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Round:
    """Encoded messages of one round.

    :param own: this host's report.
    :param usage: its counts of calls.
    :param evidence: its counts of answers for open roll-outs.
    :param feeds: topic changes that this host has read from the store.
    :param alerts: requests that were running when endpoints crashed, paths
        that failed, rate limits of endpoints and endpoints that leave, if any
        have to be sent.
    :param departures: those of the alerts that name endpoints that leave.
    :param zone: sums for its zone; ``None`` if it is not a hub.
    :param coverage: which reports the sums include; ``None`` if it is not a
        hub.
    :param zone_reports: reports of its zone's hosts, for its other hubs.
    :param forwarded: messages of others that a hub forwards to its zone.
    :param origins: origins of streams that a hub forwards to its zone.
    """

    own: bytes
    usage: bytes
    evidence: tuple[bytes, ...] = ()
    feeds: tuple[bytes, ...] = ()
    alerts: tuple[bytes, ...] = ()
    departures: tuple[bytes, ...] = ()
    zone: bytes | None = None
    coverage: bytes | None = None
    zone_reports: tuple[bytes, ...] = ()
    forwarded: tuple[bytes, ...] = ()
    origins: tuple[bytes, ...] = ()


class Reporter:
    """Encodes this host's reports and selects the messages for each link.

    The messages that are due at one time form a :class:`Round`.

    :param host: shared objects of this host.
    :param started_ms: when this host started, in Unix milliseconds.
    :param receiver: the :class:`ReportReceiver`.

    ``plan`` is the current :class:`LinkPlan`; ``make_notice`` returns a
    :class:`DutyNotice` while this host holds the lease, otherwise ``None``.
    """

    def __init__(self, host, started_ms, receiver):
        settings = host.settings
        self.host = host
        self.receiver = receiver
        self.own_run = Run(settings.name, started_ms, settings.zone)
        self.zone_run = Run(settings.name, started_ms, settings.zone, True)
        self.make_notice = lambda: None
        self.plan = None
        self.number = 0
        self.created_ms = host.clock.now()
        self._usage = (None, b'')
        self._bundles = {}
        self._sent_bytes = 0
        self._round_started_ms = 0
        self._round = None
        self._round_ready = asyncio.Event()
        self._triggered = asyncio.Event()

    async def run(self):
        """Create rounds until the process ends.

        Each round goes to all links, so that information that is sent only
        once, such as new prompt placements, reaches every host.
        """
        while True:
            await self._wait_until_due()
            # The check may trigger another round, but its results are sent in
            # this one.  A round created right afterwards would replace this
            # one before the links have sent it.
            self.host.crashes.check()
            self._triggered.clear()
            self._bundles = {}
            self._sent_bytes = 0
            self._round_started_ms = self.host.clock.now()
            self._round = self._make_round()
            self._round_ready.set()
            self._round_ready = asyncio.Event()

    def trigger_round(self):
        """Start the next round without waiting for its due time."""
        self._triggered.set()

    async def wait_for_round(self):
        """Wait for the next :class:`Round` and return it."""
        await self._round_ready.wait()
        return self._round

    def select_messages(self, current, member, sent_usage):
        """Return the encoded messages of a round that a link carries.

        :param current: the :class:`Round`.
        :param member: the :class:`Member` at the link's other end.
        :param sent_usage: the usage that this link carried last.
        """
        plan = self.plan
        usage = [] if current.usage is sent_usage else [current.usage]
        usage.extend(current.evidence)
        if plan.mesh:
            return [current.own, *usage, *current.feeds, *current.alerts]
        messages = []
        if member.name in plan.targets:
            messages.extend(self._select_hub_messages(current, member))
            messages.extend(current.alerts)
        if member.name == self.receiver.find_holder():
            # No reports: a host that receives them acts as a hub, and the
            # link of the lease holder may be too slow for that.
            messages.extend(usage)
        return messages

    def takes_origins(self, member):
        """Return whether a host gets the origins of streams at once.

        In a fleet with hubs the other hosts get them from a hub of their
        zone, with its rounds.
        """
        plan = self.plan
        if plan.mesh:
            return True
        if member.name not in plan.targets:
            return False
        is_own_zone = member.zone == self.host.settings.zone
        return (
            not plan.is_hub
            or not is_own_zone
            or self.receiver.acts_as_hub(member.name)
        )

    def _select_hub_messages(self, current, member):
        """Return a round's messages for a link in a fleet with hubs."""
        sums = [] if current.zone is None else [current.zone]
        if member.zone != self.host.settings.zone:
            return sums
        shared = [*current.feeds, *current.forwarded]
        if not sums:
            return [current.own, *shared]
        if self.receiver.acts_as_hub(member.name):
            # A peer that is a hub computes the zone's sums itself.
            return [current.own, *current.zone_reports, *shared]
        return [current.coverage, *sums, *shared, *current.origins]

    def bundle(self, messages):
        """Return an encoded bundle of encoded messages from this host.

        Links that carry the same messages of a round share one.  Each call
        counts the bundle as sent once more.
        """
        key = tuple(messages)
        bundle = self._bundles.get(key)
        if bundle is None:
            bundle = self._bundles[key] = reportcodec.encode_bundle(
                self.host.settings.name, self.plan.is_hub, messages
            )
        self._sent_bytes += len(bundle)
        return bundle

    async def _wait_until_due(self):
        """Wait until a round is due or triggered.

        A triggered round, too, waits until the link has had time to transmit
        the previous one.
        """
        try:
            async with asyncio.timeout(to_seconds(self._round_interval_ms())):
                await self._triggered.wait()
        except TimeoutError:
            pass
        sent_ms = self._round_started_ms + self._transmit_ms()
        left_ms = sent_ms - self.host.clock.now()
        if left_ms > 0:
            await asyncio.sleep(to_seconds(left_ms))

    def _transmit_ms(self):
        """Return how long this host's link takes to send the last round."""
        link_mbps = self.host.settings.link_mbps * LINK_SHARE
        if not link_mbps:
            return 0
        return self._sent_bytes * 8 / (link_mbps * 1000.0)

    def _round_interval_ms(self):
        """Return the interval between rounds that are not triggered."""
        age_ms = self.host.clock.since(self.created_ms)
        return STARTUP_ROUND_MS if age_ms < STARTUP_MS else ROUND_MS

    def _make_round(self):
        """Return the :class:`Round` with this host's current state."""
        host = self.host
        self.number += 1
        admitted = host.quotas.collect_totals()
        placed = host.selection.take_placements()
        own = self._make_report(
            self.own_run,
            1,
            self._collect_own_loads(),
            admitted,
            placed,
            host.demands.measure_own(),
            dict(host.engines.own),
        )
        self.receiver.own_reports.add(own)
        usage = self._encode_usage()
        evidence = self._encode_evidence()
        feeds = tuple(
            reportcodec.encode(batch)
            for feed in host.feeds.values()
            for batch in feed.take_pending()
        )
        zone_reports, sums = self.receiver.take_unforwarded()
        ended = self.receiver.take_ended()
        zone_placed = self.receiver.take_zone_placements()
        suspects_due = host.quarantine.collect_updates()
        departures = self._encode_departures(host.departures.collect_updates())
        alerts = (
            *self._encode_suspects(suspects_due),
            *self._encode_paths(),
            *self._encode_limits(host.limits.collect_updates()),
            *departures,
        )
        if self.plan is None or not self.plan.is_hub:
            return Round(
                reportcodec.encode(own),
                usage,
                evidence,
                feeds,
                alerts,
                departures,
            )
        forwarded = [*sums, *(reportcodec.encode(item) for item in ended)]
        return Round(
            reportcodec.encode(own),
            usage,
            evidence,
            feeds,
            alerts,
            departures,
            reportcodec.encode(self._sum_zone(own, zone_placed)),
            reportcodec.encode(self.receiver.make_coverage()),
            tuple(zone_reports),
            tuple(forwarded),
            self.encode_origins(host.origins.take_unforwarded()),
        )

    def _encode_usage(self):
        """Return the encoded counts of the latest usage windows.

        Returns the same object until another call is counted or the next
        window begins.
        """
        usage = self.host.usage
        state, encoded = self._usage
        current_window = usage.get_current_window()
        if state != (usage.changes, current_window):
            windows = sorted(usage.windows)[-REPORTED_USAGE_WINDOWS:]
            counts = {window: usage.windows[window] for window in windows}
            run = self.own_run
            self.host.usage_table.put(
                run.host, run.started_ms, counts, current_window
            )
            note = reports.UsageNote(run, counts, current_window)
            encoded = reportcodec.encode(note)
            self._usage = ((usage.changes, current_window), encoded)
        return encoded

    def _encode_evidence(self):
        """Return the encoded :class:`RolloutNote` of each open roll-out."""
        notes = [
            make_note(self.own_run, known, self.host.clock.now())
            for known in self.host.rollouts.list_open()
        ]
        for note in notes:
            self.host.evidence.put(note)
        return tuple(reportcodec.encode(note) for note in notes)

    def encode_initial(self, with_streams, with_departures):
        """Return the encoded messages that a new link carries first.

        :param with_streams: whether the peer knows messages about streams.
        :param with_departures: whether it knows those about endpoints that
            leave.
        """
        host = self.host
        initial = (
            *self._encode_suspects(host.quarantine.take_snapshot()),
            *self._encode_limits(host.limits.make_snapshot()),
        )
        if with_departures:
            leaving = host.departures.make_snapshot()
            initial += self._encode_departures(leaving)
        if not with_streams:
            return initial
        # The hubs have the origins of the streams of all hosts.
        own_only = not (self.plan.mesh or self.plan.is_hub)
        origins = host.origins.make_snapshot(own_only)
        return (
            *initial,
            *self.encode_origins(origins),
            *self._encode_versions(),
        )

    def _encode_suspects(self, suspects):
        """Return the encoded :class:`SuspectNote` in a tuple, if any."""
        if not suspects:
            return ()
        now = self.host.clock.now()
        aged = tuple(suspect.to_ages(now) for suspect in suspects)
        note = reports.SuspectNote(self.host.settings.name, aged)
        return (reportcodec.encode(note),)

    def _encode_paths(self):
        """Return the encoded :class:`PathNote` in a tuple, if any."""
        failures = self.host.paths.collect_updates()
        if not failures:
            return ()
        aged = reports.convert_times(failures, self.host.clock.now())
        note = reports.PathNote(self.host.settings.name, aged)
        return (reportcodec.encode(note),)

    def _encode_limits(self, limits):
        """Return the encoded :class:`LimitNote` in a tuple, if any.

        :param limits: :class:`LimitReport` objects.
        """
        if not limits:
            return ()
        aged = reports.convert_times(limits, self.host.clock.now())
        note = reports.LimitNote(self.host.settings.name, aged)
        return (reportcodec.encode(note),)

    def _encode_departures(self, endpoint_ids):
        """Return the encoded :class:`DepartureNote` in a tuple, if any."""
        if not endpoint_ids:
            return ()
        note = reports.DepartureNote(
            self.host.settings.name, tuple(endpoint_ids)
        )
        return (reportcodec.encode(note),)

    def encode_origins(self, origins):
        """Return the encoded :class:`OriginNote` in a tuple, if any.

        :param origins: :class:`StreamOrigin` objects.
        """
        if not origins:
            return ()
        now = self.host.clock.now()
        left = tuple(origin.to_left(now) for origin in origins)
        note = reports.OriginNote(self.host.settings.name, left)
        return (reportcodec.encode(note),)

    def _encode_versions(self):
        """Return the encoded :class:`VersionNote` in a tuple, if any.

        A host whose list of endpoints is old sends none.
        """
        history = self.host.version_history
        if not history.is_complete():
            return ()
        now = self.host.clock.now()
        departed = reports.convert_times(history.list_departed(), now)
        note = reports.VersionNote(
            self.host.settings.name, now - history.since_ms, departed
        )
        return (reportcodec.encode(note),)

    def _make_report(
        self, run, hosts, loads, admitted, placed, demands, engines
    ):
        """Return a report of this host, or of its zone's hosts together."""
        host = self.host
        return reports.HostReport(
            run=run,
            number=self.number,
            hosts=hosts,
            wall_ms=host.clock.wall(),
            config_version=host.config.version,
            config_age_ms=host.config.age_ms(),
            loads=loads,
            admitted=admitted,
            placed=placed,
            duty=self.make_notice(),
            demands=demands,
            engines=engines,
        )

    def _collect_own_loads(self):
        """Return this host's :class:`Load` by endpoint id."""
        return {
            endpoint.id: Load(endpoint.calls, endpoint.queued_tokens)
            for endpoint in self.host.fleet.endpoints.values()
            if endpoint.calls
        }

    def _sum_zone(self, own, zone_placed):
        """Return the sums of this host's zone, including its own report."""
        host = self.host
        zone = host.settings.zone
        placed = (*own.placed, *zone_placed)
        report = self._make_report(
            self.zone_run,
            1 + host.members.count_reporting_in(zone),
            host.loads.sum_zone(zone, own.loads),
            host.quotas.sum_zone(zone, own.admitted),
            placed,
            host.demands.others.sum_zone(zone, own.demands),
            host.engines.others.sum_zone(zone, own.engines),
        )
        notice = report.duty or self.receiver.find_notice()
        return dataclasses.replace(report, duty=notice)
