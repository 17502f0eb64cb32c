"""What other hosts told this one."""

import collections
import dataclasses

from loguru import logger

from pearrun import exceptions
from pearrun.shared import reports
from pearrun.shared.prompts import PromptPart

# A zone's sums are taken from another of its hubs after this long
# without a report of the one before: four rounds.
HUB_SILENT_MS = 1000
# A host is asked to pass on reports while others send theirs to it; ten
# rounds, so that a few lost ones do not matter.
ASKED_MS = 2000
# A notice of the lease that is older than this is not passed on.
NOTICE_FRESH_MS = 600
# Reports remembered as they came, so that copies are not decoded: two rounds
# of a large zone's hosts, some 400 bytes each.
REMEMBERED_REPORTS = 256
# A holder that was heard this lately is told the usage.
HOLDER_KNOWN_MS = 3000


class ReportBoard:
    """Takes other hosts' messages into this host's state.

    :param host: shared objects of this host.
    :param decode_configuration: decodes a copy of the configuration.
    """

    def __init__(self, host, decode_configuration):
        self.host = host
        self.clock = host.clock
        self.decode_configuration = decode_configuration
        self.versions = {}
        self.duty_heard = {}
        self._numbers = {}
        self._hubs = {}
        self._asked_ms = None
        self._fresh = {}
        self._remembered = collections.OrderedDict()
        self._ended = []
        self._zone_placed = []

    # taking messages

    def take_encoded(self, data):
        """Take an encoded :class:`Bundle`.

        Every hub of a zone passes on the same reports; those that another
        one has told already are not decoded again, to spare processor time.

        :raises WireFormatError: it is none.
        """
        bundle = reports.decode_bundle(data, self._remembered.__contains__)
        self.take(bundle)

    def take(self, bundle):
        """Take a :class:`Bundle`."""
        for message, encoded in bundle.messages:
            match message:
                case reports.HostReport():
                    self._remember(encoded)
                    self._take_report(message, encoded, bundle)
                case reports.UsageNote(run, counts):
                    self.host.members.note_heard(run.host)
                    self.host.board.put(run.host, run.started_ms, counts)
                case reports.EndpointFeed():
                    self.host.feed.offer(message)
                case reports.HostEnded(name):
                    self._forget_runs(name)
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
        self._fresh[run] = encoded
        if run.whole_zone:
            if not self._prefers(run):
                return
            self.host.members.heard_elsewhere[run.zone] = report.hosts
        else:
            self._note_host(report, bundle)
            if self._is_summed(run.zone):
                return
        self._take_state(report)

    def _note_host(self, report, bundle):
        """Note what a host says of itself alone."""
        name = report.run.host
        self.host.members.note_heard(name)
        self.versions[name] = report.config_version
        if name != bundle.sender:
            return
        # Passed on, its time of day would be some rounds old.
        self.host.time.put_report(name, report.wall_ms)
        if not bundle.from_hub and report.run.zone == self.host.settings.zone:
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
            host.config.confirm(now - report.config_age_ms)
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

        Several hubs sum up a zone; only one of them is used at a time.
        """
        if run.zone == self.host.settings.zone:
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
        if self.clock.since(heard_ms) < HUB_SILENT_MS:
            return True
        del self._hubs[zone]
        self.host.members.heard_elsewhere.pop(zone, None)
        self._drop(hub)
        return False

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

    def take_fresh(self):
        """Return encoded reports that came since the last call.

        Those of this host's zone, and those of other zones' hubs.
        """
        fresh, self._fresh = self._fresh, {}
        zone = self.host.settings.zone
        return [
            encoded
            for run, encoded in fresh.items()
            if run.whole_zone != (run.zone == zone)
        ]

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
        self.host.loads.remove(run)
        self.host.demands.others.remove(run)
        self.host.engines.others.remove(run)
        self.host.quotas.remove(run)
