"""Processing of the messages that other hosts send to this one."""

import collections
import dataclasses

from loguru import logger

from pearrun import exceptions
from pearrun.rollouts.evidence import RolloutNote
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.ownreports import OwnReports
from pearrun.shared.prompts import PromptPart
from pearrun.shared.runreports import REPORT_VALID_MS

# Another hub of a zone is used after this long without sums from the previous
# one: four missed rounds.
HUB_TIMEOUT_MS = 1000
# A host acts as a hub for this long after another host has sent it a report,
# and its peers treat it as a hub for this long after it has last said so.  The
# time covers ten rounds, so that a few lost ones have no effect.
HUB_ROLE_MS = 2000
# Older notices of the lease are not forwarded.
NOTICE_VALID_MS = 600
# Encoded reports kept to recognize copies without decoding them: two rounds of
# a large zone's hosts, as its hubs exchange them.
MAX_SEEN_REPORTS = 256
# Usage is sent to the lease holder for this long after its latest notice.
HOLDER_VALID_MS = 3000


class ReportReceiver:
    """Applies other hosts' messages to this host's state.

    :param host: shared objects of this host.
    :param decode_configuration: decodes a copy of the configuration.

    ``is_hub`` says whether this host computes the sums of its zone.
    """

    def __init__(self, host, decode_configuration):
        self.host = host
        self.clock = host.clock
        self.decode_configuration = decode_configuration
        self.is_hub = False
        self.own_reports = OwnReports()
        self.config_versions = {}
        self.duty_notices = {}
        self._numbers = {}
        self._received_ms = {}
        self._zone_hubs = {}
        self._hub_senders_ms = {}
        self._coverage = {}
        self._client_report_ms = None
        self._delay_ms = 0
        self._unforwarded = {}
        self._unforwarded_sums = {}
        self._seen_reports = collections.OrderedDict()
        self._ended = []
        self._zone_placements = []

    # incoming messages

    def receive(self, data, delay_ms=0):
        """Decode and apply a :class:`Bundle`.

        Every hub of a zone forwards the same reports.  Copies of a report
        already received are not decoded, to save processor time.

        :param delay_ms: upper bound of the transmission time, which the ages
            in the messages do not include.
        :raises WireFormatError: the data is not a bundle.
        """
        bundle = reportcodec.decode_bundle(
            data, self._seen_reports.__contains__
        )
        self.apply(bundle, delay_ms)

    def apply(self, bundle, delay_ms=0):
        """Apply a decoded :class:`Bundle`; see :meth:`receive`."""
        self._delay_ms = delay_ms
        if bundle.from_hub:
            self._hub_senders_ms[bundle.sender] = self.clock.now()
        for message, encoded in bundle.messages:
            match message:
                case reports.HostReport():
                    self._record_seen(encoded)
                    self._apply_report(message, encoded, bundle)
                case reports.Coverage(hub, numbers):
                    self._apply_coverage(hub, numbers)
                case reports.UsageNote(run, counts, current_window):
                    self.host.members.note_report(run.host)
                    self.host.usage_table.put(
                        run.host, run.started_ms, counts, current_window
                    )
                case RolloutNote():
                    self.host.evidence.put(message)
                case reports.TopicFeed():
                    self._apply_feed(message)
                case reports.HostEnded(name):
                    self._remove_runs(name)
                case reports.SuspectNote(name, suspects):
                    self._apply_suspects(name, suspects)
                case reports.PathNote(_, failures):
                    self._apply_paths(failures)
                case reports.LimitNote(name, limits):
                    self._apply_limits(name, limits)
                case reports.DepartureNote(name, endpoint_ids):
                    self.host.departures.merge(
                        endpoint_ids,
                        name,
                        forward=self.host.feed.through_hubs,
                    )
                case reports.OriginNote(_, origins):
                    self._apply_origins(origins, bundle)
                case reports.VersionNote(_, since_ms, departed):
                    self._apply_versions(since_ms, departed)
                case reports.ConfigCopy(name, raw):
                    self._apply_config(name, raw)

    def _record_seen(self, encoded):
        """Keep a report's bytes, which its number makes unique."""
        self._seen_reports[encoded] = None
        while len(self._seen_reports) > MAX_SEEN_REPORTS:
            self._seen_reports.popitem(last=False)

    def _apply_report(self, report, encoded, bundle):
        run = report.run
        is_own = run.host == self.host.settings.name
        if is_own or report.number <= self._numbers.get(run, 0):
            return
        self._numbers[run] = report.number
        self.host.config.note_reported(report.config_version)
        self._record_sender(report, bundle)
        if run.whole_zone:
            self._apply_sums(report, encoded)
            return
        self._unforwarded[run] = encoded
        self._received_ms[run] = self.clock.now()
        self._record_host(report, bundle)
        if not self._is_summed(run.zone):
            self._apply_state(report)

    def _apply_sums(self, report, encoded):
        """Apply a hub's sums for its zone."""
        run = report.run
        if report.duty is not None:
            # The notice is recorded even if another hub's sums are used.
            # Otherwise the lease holder would be considered lost while the
            # zone changes its hub.
            self._record_duty(report.duty, self.clock.now())
        if not self._select_hub(run):
            return
        if run.zone != self.host.settings.zone:
            self._unforwarded_sums[run] = encoded
            self.host.members.remote_zone_counts[run.zone] = report.hosts
            self._apply_state(report)
            return
        others = self.own_reports.subtract_from(
            report, self._find_covered(run.host)
        )
        if others is not None:
            self._apply_state(others)

    def _apply_coverage(self, hub, numbers):
        """Store which reports the sums that follow include."""
        self._coverage = {hub: numbers}
        for name in numbers:
            if name != self.host.settings.name:
                self.host.members.note_report(name)

    def _find_covered(self, hub):
        """Return which report of this host a hub's sums include.

        :returns: its sequence number; ``None`` if the sums include no report
            of this host's current run.
        """
        numbers = self._coverage.get(hub, {})
        run = self.own_reports.run
        started_ms, number = numbers.get(self.host.settings.name, (None, 0))
        return number if run and started_ms == run.started_ms else None

    def _record_sender(self, report, bundle):
        """Record the wall-clock time of the host at the link's other end.

        Forwarded reports are left out: their time is several rounds old.
        """
        if report.run.host == bundle.sender:
            self.host.members.note_report(bundle.sender)
            self.host.corrected_clock.put_report(bundle.sender, report.wall_ms)

    def _record_host(self, report, bundle):
        """Record the parts of a host's own report that sums do not have."""
        name = report.run.host
        self.host.members.note_report(name)
        self.config_versions[name] = report.config_version
        is_client = name == bundle.sender and not bundle.from_hub
        if is_client and report.run.zone == self.host.settings.zone:
            self._client_report_ms = self.clock.now()

    def _apply_state(self, report):
        """Apply the state in a host's report or in a zone's sums."""
        host = self.host
        now = self.clock.now()
        host.loads.put(report.run, report.loads)
        host.demands.others.put(report.run, report.demands)
        host.engines.others.put(report.run, report.engines)
        host.quotas.put_report(report.run, report.admitted)
        if report.run.whole_zone:
            self.config_versions[report.run.host] = report.config_version
        if report.config_version == host.config.version:
            age_ms = report.config_age_ms + self._delay_ms
            host.config.confirm(now - age_ms)
        if report.duty is not None:
            self._record_duty(report.duty, now)
        if report.run.zone == host.settings.zone:
            self._zone_placements.extend(report.placed)
        for placed in report.placed:
            parts = [PromptPart(part_id, 0) for part_id in placed.part_ids]
            host.selection.prefixes.note_cached(placed.endpoint_id, parts, now)

    def _record_duty(self, notice, now):
        """Record a notice of the lease and when its holder created it.

        Hubs forward notices to each other, so an old one may return.  If it
        were counted as new, a lost holder's lease could never be taken over
        by another host.
        """
        created_ms = now - notice.age_ms
        latest_ms, _ = self.duty_notices.get(notice.holder, (created_ms, None))
        if created_ms >= latest_ms:
            self.duty_notices[notice.holder] = (created_ms, notice)
            for rollout in notice.rollouts:
                self.host.rollouts.put_notice(
                    rollout, notice.fencing, created_ms
                )

    def _select_hub(self, run):
        """Return whether to use a hub's sums, and record it as its zone's hub.

        Several hubs compute the sums of a zone, of which one is used at a
        time.  A hub computes the sums of its own zone itself.
        """
        if run.zone == self.host.settings.zone and self.is_hub:
            return False
        now = self.clock.now()
        current, latest_ms = self._zone_hubs.get(run.zone, (None, 0))
        if current is not None and current != run:
            if now - latest_ms < HUB_TIMEOUT_MS:
                return False
            self._drop_run(current)
        if current != run:
            self._drop_zone_runs(run.zone)
            logger.bind(zone=run.zone, hub=run.host).info('zone hub in use')
        self._zone_hubs[run.zone] = (run, now)
        return True

    def _is_summed(self, zone):
        """Return whether a hub's sums are used instead of a zone's reports.

        The sums of a hub that has timed out are dropped: in a fleet that has
        become small, the zone's hosts send their reports directly.
        """
        if zone not in self._zone_hubs:
            return False
        hub, latest_ms = self._zone_hubs[zone]
        sums_itself = self.is_hub and zone == self.host.settings.zone
        if not sums_itself and self.clock.since(latest_ms) < HUB_TIMEOUT_MS:
            return True
        del self._zone_hubs[zone]
        self.host.members.remote_zone_counts.pop(zone, None)
        self._drop_run(hub)
        return False

    def _apply_feed(self, batch):
        """Add a :class:`TopicFeed` to the feed of its topic."""
        feed = self.host.feeds.get(batch.topic)
        if feed is not None:
            age_ms = batch.age_ms + self._delay_ms
            feed.offer(dataclasses.replace(batch, age_ms=age_ms))

    def _apply_suspects(self, name, suspects):
        """Merge another host's suspects into this host's."""
        now = self.clock.now() - self._delay_ms
        self.host.quarantine.merge(
            [suspect.to_times(now) for suspect in suspects],
            name,
            forward=self.host.feed.through_hubs,
        )

    def _apply_paths(self, failures):
        """Apply another host's path failures."""
        now = self.clock.now() - self._delay_ms
        self.host.paths.merge(
            reports.convert_times(failures, now),
            forward=self.host.feed.through_hubs,
        )

    def _apply_limits(self, name, limits):
        """Apply another host's reports of endpoints' rate limits."""
        now = self.clock.now() - self._delay_ms
        self.host.limits.merge(
            reports.convert_times(limits, now),
            name,
            forward=self.host.feed.through_hubs,
        )

    def _apply_origins(self, origins, bundle):
        """Record where streams of other hosts began."""
        now = self.clock.now() - self._delay_ms
        self.host.origins.merge(
            [origin.to_time(now) for origin in origins],
            from_hub=bundle.from_hub,
        )

    def _apply_versions(self, since_ms, departed):
        """Apply what another host knows of versions before this one."""
        now = self.clock.now()
        self.host.version_history.merge(
            now - since_ms, reports.convert_times(departed, now)
        )

    def _apply_config(self, name, raw):
        """Offer another host's copy of the configuration."""
        try:
            config = self.decode_configuration(raw)
        except exceptions.WireFormatError as exc:
            logger.bind(code=exc.code, peer=name).error(exc.message)
            return
        self.host.config.offer(config, name)

    # queries

    def get_config_version(self, name):
        """Return the configuration version that a host last reported.

        :returns: the version, or ``None`` if it is unknown.
        """
        return self.config_versions.get(name)

    def get_last_notice_ms(self):
        """Return when the lease holder created its latest notice.

        :returns: milliseconds by this host's clock; ``None`` if no notice was
            received.
        """
        return max(
            (latest_ms for latest_ms, _ in self.duty_notices.values()),
            default=None,
        )

    def get_last_notice(self):
        """Return the latest :class:`DutyNotice` of any age, or ``None``."""
        notices = self.duty_notices.values()
        last = max(notices, key=lambda item: item[0], default=None)
        return last[1] if last else None

    def find_holder(self):
        """Return the name of the lease holder, or ``None`` if unknown."""
        now = self.clock.now()
        known = [
            (latest_ms, name)
            for name, (latest_ms, _) in self.duty_notices.items()
            if now - latest_ms < HOLDER_VALID_MS
        ]
        return max(known)[1] if known else None

    def find_notice(self):
        """Return the latest notice of the lease, unless it is too old.

        :returns: a :class:`DutyNotice` with its current age, or ``None``.
        """
        now = self.clock.now()
        fresh = [
            (latest_ms, notice.fencing, notice)
            for latest_ms, notice in self.duty_notices.values()
            if now - latest_ms < NOTICE_VALID_MS
        ]
        if not fresh:
            return None
        latest_ms, _, notice = max(fresh, key=lambda item: item[:2])
        return dataclasses.replace(notice, age_ms=now - latest_ms)

    def is_used_as_hub(self):
        """Return whether other hosts of the zone use this one as a hub."""
        if self._client_report_ms is None:
            return False
        return self.clock.since(self._client_report_ms) < HUB_ROLE_MS

    def acts_as_hub(self, name):
        """Return whether another host has recently declared itself a hub."""
        latest_ms = self._hub_senders_ms.get(name)
        return (
            latest_ms is not None and self.clock.since(latest_ms) < HUB_ROLE_MS
        )

    def take_unforwarded(self):
        """Return the messages to forward that arrived since the last call.

        :returns: a list of encoded reports of this zone's hosts, and a list
            of the encoded sums of other zones.
        """
        fresh, self._unforwarded = self._unforwarded, {}
        sums, self._unforwarded_sums = self._unforwarded_sums, {}
        zone = self.host.settings.zone
        own_zone = [data for run, data in fresh.items() if run.zone == zone]
        return own_zone, list(sums.values())

    def make_coverage(self):
        """Return the :class:`Coverage` of sums computed now."""
        now = self.clock.now()
        zone = self.host.settings.zone
        numbers = {}
        for run in sorted(self._received_ms, key=lambda run: run.started_ms):
            if now - self._received_ms[run] > REPORT_VALID_MS:
                del self._received_ms[run]
            elif run.zone == zone:
                numbers[run.host] = (run.started_ms, self._numbers[run])
        return reports.Coverage(self.host.settings.name, numbers)

    def take_zone_placements(self):
        """Return the zone's prompt placements since the last call."""
        placements, self._zone_placements = self._zone_placements, []
        return placements

    def take_ended(self):
        """Return the ended hosts that were detected since the last call.

        :returns: a list of :class:`HostEnded`.
        """
        ended, self._ended = self._ended, []
        return ended

    # removal

    def remove_host(self, name):
        """Remove the reports of a host that has left the list."""
        for run in self._list_runs(name):
            self.host.quotas.end_suspension(run)
        self._end_host(name)

    def note_refused(self, name):
        """Remove the reports of a host that refuses connections.

        Its process has ended, or the path to another failure domain is cut
        and connections are refused on the way.  It may still use quotas then.
        """
        for run in self._list_runs(name):
            if run.zone != self.host.settings.zone:
                self.host.quotas.suspend(run)
        self._end_host(name)

    def _end_host(self, name):
        """Remove the reports of a host, and let a hub forward that."""
        self._ended.append(reports.HostEnded(name))
        self._remove_runs(name)

    def _list_runs(self, name):
        """Return the runs of a host without those of the sums it sent."""
        return [
            run
            for run in self._numbers
            if run.host == name and not run.whole_zone
        ]

    def _remove_runs(self, name):
        """Remove a host's own reports; sums that it sent as a hub stay."""
        self.host.members.reporting.discard(name)
        self.host.corrected_clock.remove(name)
        self.config_versions.pop(name, None)
        self.duty_notices.pop(name, None)
        for run in self._list_runs(name):
            self._drop_run(run)

    def _drop_zone_runs(self, zone):
        """Remove the reports that a zone's hosts have sent directly."""
        for run in self._numbers:
            if run.zone == zone and not run.whole_zone:
                self._drop_run(run)

    def _drop_run(self, run):
        """Remove a run's report; older ones of it are still rejected."""
        self._received_ms.pop(run, None)
        self.host.loads.remove(run)
        self.host.demands.others.remove(run)
        self.host.engines.others.remove(run)
        self.host.quotas.remove(run)
