"""What other hosts told this one."""

import collections
import dataclasses

from loguru import logger

from pearrun import exceptions
from pearrun.shared import reports
from pearrun.shared.ownshare import OwnShare
from pearrun.shared.prompts import PromptPart
from pearrun.shared.runreports import REPORT_VALID_MS

# A zone's sums are taken from another of its hubs after this long
# without a report of the one before: four rounds.
HUB_SILENT_MS = 1000
# A host is asked to pass on reports while others send theirs to it, and is
# known as a hub while it says so; ten rounds, so that a few lost ones do not
# matter.
ASKED_MS = 2000
# A notice of the lease that is older than this is not passed on.
NOTICE_FRESH_MS = 600
# Reports remembered as they came, so that copies are not decoded: two rounds
# of a large zone's hosts, as its hubs tell each other.
REMEMBERED_REPORTS = 256
# A holder that was heard this lately is told the usage.
HOLDER_KNOWN_MS = 3000


class ReportBoard:
    """Takes other hosts' messages into this host's state.

    :param host: shared objects of this host.
    :param decode_configuration: decodes a copy of the configuration.

    ``is_hub`` says whether this host sums up what its zone's hosts tell it.
    """

    def __init__(self, host, decode_configuration):
        self.host = host
        self.clock = host.clock
        self.decode_configuration = decode_configuration
        self.is_hub = False
        self.own = OwnShare()
        self.versions = {}
        self.duty_heard = {}
        self._numbers = {}
        self._received_ms = {}
        self._hubs = {}
        self._hubs_heard = {}
        self._coverage = {}
        self._asked_ms = None
        self._delay_ms = 0
        self._fresh = {}
        self._fresh_sums = {}
        self._remembered = collections.OrderedDict()
        self._ended = []
        self._zone_placed = []

    # taking messages

    def take_encoded(self, data, delay_ms=0):
        """Take an encoded :class:`Bundle`.

        Every hub of a zone passes on the same reports; those that another
        one has told already are not decoded again, to spare processor time.

        :param delay_ms: how long what comes on its link may have been on its
            way; what it says of its own age leaves that out.
        :raises WireFormatError: it is none.
        """
        bundle = reports.decode_bundle(data, self._remembered.__contains__)
        self.take(bundle, delay_ms)

    def take(self, bundle, delay_ms=0):
        """Take a :class:`Bundle`; see :meth:`take_encoded`."""
        self._delay_ms = delay_ms
        if bundle.from_hub:
            self._hubs_heard[bundle.sender] = self.clock.now()
        for message, encoded in bundle.messages:
            match message:
                case reports.HostReport():
                    self._remember(encoded)
                    self._take_report(message, encoded, bundle)
                case reports.Coverage(hub, numbers):
                    self._take_coverage(hub, numbers)
                case reports.UsageNote(run, counts):
                    self.host.members.note_heard(run.host)
                    self.host.board.put(run.host, run.started_ms, counts)
                case reports.TopicFeed():
                    self._take_feed(message)
                case reports.HostEnded(name):
                    self._forget_runs(name)
                case reports.SuspectNote(name, suspects):
                    self._take_suspects(name, suspects)
                case reports.ConfigCopy(name, raw):
                    self._take_config(name, raw)

    def _remember(self, encoded):
        """Remember a report's bytes; its number makes them its own."""
        self._remembered[encoded] = None
        while len(self._remembered) > REMEMBERED_REPORTS:
            self._remembered.popitem(last=False)

    def _take_report(self, report, encoded, bundle):
        run = report.run
        own = run.host == self.host.settings.name
        if own or report.number <= self._numbers.get(run, 0):
            return
        self._numbers[run] = report.number
        self._note_sender(report, bundle)
        if run.whole_zone:
            self._take_sums(report, encoded)
            return
        self._fresh[run] = encoded
        self._received_ms[run] = self.clock.now()
        self._note_host(report, bundle)
        if not self._is_summed(run.zone):
            self._take_state(report)

    def _take_sums(self, report, encoded):
        """Take what a hub tells of its whole zone."""
        run = report.run
        if report.duty is not None:
            # Also where another hub's sums are used: who holds the lease
            # must not seem lost while one hub takes over from another.
            self._note_duty(report.duty, self.clock.now())
        if not self._prefers(run):
            return
        if run.zone != self.host.settings.zone:
            self._fresh_sums[run] = encoded
            self.host.members.heard_elsewhere[run.zone] = report.hosts
            self._take_state(report)
            return
        others = self.own.leave_out(report, self._find_covered(run.host))
        if others is not None:
            self._take_state(others)

    def _take_coverage(self, hub, numbers):
        """Take which reports the sums that follow hold."""
        self._coverage = {hub: numbers}
        for name in numbers:
            if name != self.host.settings.name:
                self.host.members.note_heard(name)

    def _find_covered(self, hub):
        """Return which own report a hub's sums hold; ``None`` for none."""
        numbers = self._coverage.get(hub, {})
        run = self.own.run
        started_ms, number = numbers.get(self.host.settings.name, (None, 0))
        return number if run and started_ms == run.started_ms else None

    def _note_sender(self, report, bundle):
        """Note the time of day of the host at the link's other end.

        Passed on by others, it would be some rounds old.
        """
        if report.run.host == bundle.sender:
            self.host.members.note_heard(bundle.sender)
            self.host.time.put_report(bundle.sender, report.wall_ms)

    def _note_host(self, report, bundle):
        """Note what a host says of itself alone."""
        name = report.run.host
        self.host.members.note_heard(name)
        self.versions[name] = report.config_version
        asks = name == bundle.sender and not bundle.from_hub
        if asks and report.run.zone == self.host.settings.zone:
            self._asked_ms = self.clock.now()

    def _take_state(self, report):
        host = self.host
        now = self.clock.now()
        host.loads.put(report.run, report.loads)
        host.demands.others.put(report.run, report.demands)
        host.engines.others.put(report.run, report.engines)
        host.quotas.put_report(report.run, report.admitted)
        if report.run.whole_zone:
            self.versions[report.run.host] = report.config_version
        if report.config_version == host.config.version:
            age_ms = report.config_age_ms + self._delay_ms
            host.config.confirm(now - age_ms)
        if report.duty is not None:
            self._note_duty(report.duty, now)
        if report.run.zone == host.settings.zone:
            self._zone_placed.extend(report.placed)
        for placed in report.placed:
            parts = [PromptPart(part_id, 0) for part_id in placed.part_ids]
            host.selection.prefixes.note(placed.endpoint_id, parts, now)

    def _note_duty(self, notice, now):
        """Note when a holder of the lease last said that it is one.

        Hubs tell each other what others told them, so a notice comes back.
        Taken for a new one it would keep a lost holder's lease from being
        taken by another host for good.
        """
        said_ms = now - notice.age_ms
        heard_ms, _ = self.duty_heard.get(notice.holder, (said_ms, None))
        if said_ms >= heard_ms:
            self.duty_heard[notice.holder] = (said_ms, notice)

    def _prefers(self, run):
        """Say whether a hub's sums count for its zone.

        Several hubs sum up a zone; only one of them is used at a time.  A
        hub sums up its own zone itself.
        """
        if run.zone == self.host.settings.zone and self.is_hub:
            return False
        now = self.clock.now()
        known, heard_ms = self._hubs.get(run.zone, (None, 0))
        if known is not None and known != run:
            if now - heard_ms < HUB_SILENT_MS:
                return False
            self._drop(known)
        if known != run:
            self._drop_direct(run.zone)
            logger.bind(zone=run.zone, hub=run.host).info('zone hub in use')
        self._hubs[run.zone] = (run, now)
        return True

    def _is_summed(self, zone):
        """Say whether a hub's sums hold what a zone's hosts report.

        Sums of a hub that fell silent are dropped: its zone's hosts are
        heard themselves once a fleet has become small.
        """
        if zone not in self._hubs:
            return False
        hub, heard_ms = self._hubs[zone]
        sums_itself = self.is_hub and zone == self.host.settings.zone
        if not sums_itself and self.clock.since(heard_ms) < HUB_SILENT_MS:
            return True
        del self._hubs[zone]
        self.host.members.heard_elsewhere.pop(zone, None)
        self._drop(hub)
        return False

    def _take_feed(self, batch):
        feed = self.host.feeds.get(batch.topic)
        if feed is not None:
            age_ms = batch.age_ms + self._delay_ms
            feed.offer(dataclasses.replace(batch, age_ms=age_ms))

    def _take_suspects(self, name, suspects):
        now = self.clock.now() - self._delay_ms
        self.host.quarantine.merge(
            [suspect.to_times(now) for suspect in suspects],
            name,
            forward=self.host.feed.through_hubs,
        )

    def _take_config(self, name, raw):
        try:
            config = self.decode_configuration(raw)
        except exceptions.WireFormatError as exc:
            logger.bind(code=exc.code, peer=name).error(exc.message)
            return
        self.host.config.offer(config, name)

    # what is known

    def config_version(self, name):
        """Return the configuration a host last reported, or ``None``."""
        return self.versions.get(name)

    def heard_duty_ms(self):
        """Return when a holder of the lease last said that it is one."""
        return max(
            (heard_ms for heard_ms, _ in self.duty_heard.values()),
            default=None,
        )

    def last_notice(self):
        """Return the last :class:`DutyNotice`, however old, or ``None``."""
        heard = self.duty_heard.values()
        last = max(heard, key=lambda item: item[0], default=None)
        return last[1] if last else None

    def find_holder(self):
        """Return the name of the lease's holder, if one is known."""
        now = self.clock.now()
        known = [
            (heard_ms, name)
            for name, (heard_ms, _) in self.duty_heard.items()
            if now - heard_ms < HOLDER_KNOWN_MS
        ]
        return max(known)[1] if known else None

    def find_notice(self):
        """Return the newest notice of the lease, if it is fresh.

        :returns: a :class:`DutyNotice` with its present age, or ``None``.
        """
        now = self.clock.now()
        fresh = [
            (heard_ms, notice.fencing, notice)
            for heard_ms, notice in self.duty_heard.values()
            if now - heard_ms < NOTICE_FRESH_MS
        ]
        if not fresh:
            return None
        heard_ms, _, notice = max(fresh, key=lambda item: item[:2])
        return dataclasses.replace(notice, age_ms=now - heard_ms)

    def is_asked(self):
        """Say whether other hosts of the zone tell this one as a hub."""
        if self._asked_ms is None:
            return False
        return self.clock.since(self._asked_ms) < ASKED_MS

    def acts_as_hub(self, name):
        """Say whether another host said lately that it is a hub."""
        heard_ms = self._hubs_heard.get(name)
        return heard_ms is not None and self.clock.since(heard_ms) < ASKED_MS

    def take_fresh(self):
        """Return what came since the last call, to be passed on.

        :returns: encoded reports of this zone's hosts, and the encoded sums
            that are used of other zones.
        """
        fresh, self._fresh = self._fresh, {}
        sums, self._fresh_sums = self._fresh_sums, {}
        zone = self.host.settings.zone
        own_zone = [data for run, data in fresh.items() if run.zone == zone]
        return own_zone, list(sums.values())

    def cover(self):
        """Return the :class:`Coverage` of the sums made now."""
        now = self.clock.now()
        zone = self.host.settings.zone
        numbers = {}
        for run in sorted(self._received_ms, key=lambda run: run.started_ms):
            if now - self._received_ms[run] > REPORT_VALID_MS:
                del self._received_ms[run]
            elif run.zone == zone:
                numbers[run.host] = (run.started_ms, self._numbers[run])
        return reports.Coverage(self.host.settings.name, numbers)

    def take_zone_placed(self):
        """Return the prompts that this zone's hosts placed lately."""
        placed, self._zone_placed = self._zone_placed, []
        return placed

    def take_ended(self):
        """Return the hosts whose end was noticed since the last call."""
        ended, self._ended = self._ended, []
        return ended

    # forgetting

    def forget(self, name):
        """Drop what a host reported: its process has ended."""
        self._ended.append(reports.HostEnded(name))
        self._forget_runs(name)

    def _forget_runs(self, name):
        self.host.members.heard.discard(name)
        self.host.time.remove(name)
        self.versions.pop(name, None)
        self.duty_heard.pop(name, None)
        for run in [run for run in self._numbers if run.host == name]:
            if not run.whole_zone:
                self._drop(run)

    def _drop_direct(self, zone):
        """Drop what a zone's hosts reported themselves."""
        for run in self._numbers:
            if run.zone == zone and not run.whole_zone:
                self._drop(run)

    def _drop(self, run):
        """Drop a run's part; an older report of it is still refused."""
        self._received_ms.pop(run, None)
        self.host.loads.remove(run)
        self.host.demands.others.remove(run)
        self.host.engines.others.remove(run)
        self.host.quotas.remove(run)
