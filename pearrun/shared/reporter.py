"""Makes what this host tells the others, in rounds."""

import asyncio
import dataclasses

from pearrun.clock import to_seconds
from pearrun.shared import reports
from pearrun.shared.loads import Load
from pearrun.shared.run import Run

# Windows of usage in each note; the last ones may still change.
REPORTED_WINDOWS = 3
# Time between rounds without news: placement by a load that is older
# than this sends several calls to one endpoint; each round takes processor
# time on all hosts that are told.
ROUND_MS = 200
# The same after a start: until a host has heard the others, which takes three
# rounds through hubs, it may use a small part of each customer's limit.
FIRST_ROUND_MS = 50
STARTING_MS = 2000
# Largest part of a host's link that its rounds may take.  A host with a slow
# link that becomes the hub of its zone would else fill it, and lose the store,
# the other hosts and its callers.
LINK_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Round:
    """Encoded messages of one round.

    :param own: this host's report.
    :param usage: its counts of calls.
    :param feeds: changes of the list of endpoints that this host read.
    :param suspects: requests under which endpoints crashed, if there is
        news of them.
    :param zone: sums for its zone; ``None`` if it is no hub.
    :param coverage: which reports they hold; ``None`` if it is no hub.
    :param zone_reports: reports of its zone's hosts, for its other hubs.
    :param passed_on: what a hub tells its whole zone of others.
    """

    own: bytes
    usage: bytes
    feeds: tuple[bytes, ...] = ()
    suspects: tuple[bytes, ...] = ()
    zone: bytes | None = None
    coverage: bytes | None = None
    zone_reports: tuple[bytes, ...] = ()
    passed_on: tuple[bytes, ...] = ()


class Reporter:
    """Makes the rounds and says what of them a link carries.

    :param host: shared objects of this host.
    :param started_ms: when this host started.
    :param board: the :class:`ReportBoard`.
    """

    def __init__(self, host, started_ms, board):
        settings = host.settings
        self.host = host
        self.board = board
        self.run_id = Run(settings.name, started_ms, settings.zone)
        self.zone_run = Run(settings.name, started_ms, settings.zone, True)
        self.make_notice = lambda: None
        self.plan = None
        self.number = 0
        self.begun_ms = host.clock.now()
        self._usage = (None, b'')
        self._bundles = {}
        self._sent_bytes = 0
        self._made_ms = 0
        self._round = None
        self._made = asyncio.Event()
        self._news = asyncio.Event()

    async def run(self):
        """Make rounds for the process's whole life.

        Each round goes to all links, so that what is said only once,
        such as prompts just placed, reaches every host.
        """
        while True:
            await self._wait_for_news()
            # News of its own belongs to this round: one made right after it
            # would take its place before the links have sent it.
            self.host.crashes.check()
            self._news.clear()
            self._bundles = {}
            self._sent_bytes = 0
            self._made_ms = self.host.clock.now()
            self._round = self._make()
            self._made.set()
            self._made = asyncio.Event()

    def tell_at_once(self):
        """Have the next round made now."""
        self._news.set()

    async def next_round(self):
        """Return the next :class:`Round` once it is made."""
        await self._made.wait()
        return self._round

    def select(self, made, member, told_usage):
        """Return what a link carries of a round: encoded messages.

        :param member: the :class:`Member` at its other end.
        :param told_usage: the usage that this link carried last.
        """
        plan = self.plan
        usage = [] if made.usage is told_usage else [made.usage]
        if plan.mesh:
            return [made.own, *usage, *made.feeds, *made.suspects]
        messages = []
        if member.name in plan.targets:
            messages.extend(self._select(made, member))
            messages.extend(made.suspects)
        if member.name == self.board.find_holder():
            # No more than that: a host that is told as a hub acts as one,
            # and the holder's link may be too slow for it.
            messages.extend(usage)
        return messages

    def _select(self, made, member):
        """Return what a link of a fleet with hubs carries of a round."""
        sums = [] if made.zone is None else [made.zone]
        if member.zone != self.host.settings.zone:
            return sums
        shared = [*made.feeds, *made.passed_on]
        if not sums:
            return [made.own, *shared]
        if self.board.acts_as_hub(member.name):
            # It sums up the zone too.
            return [made.own, *made.zone_reports, *shared]
        return [made.coverage, *sums, *shared]

    def bundle(self, messages):
        """Return a bundle of encoded messages from this host.

        Links that carry the same of a round share one.  Each call counts as
        one sending of it.
        """
        key = tuple(messages)
        bundle = self._bundles.get(key)
        if bundle is None:
            bundle = self._bundles[key] = reports.encode_bundle(
                self.host.settings.name, self.plan.is_hub, messages
            )
        self._sent_bytes += len(bundle)
        return bundle

    async def _wait_for_news(self):
        """Wait until a round is due, or until there is news.

        Also with news, the link gets time to carry the round before.
        """
        try:
            async with asyncio.timeout(to_seconds(self._round_ms())):
                await self._news.wait()
        except TimeoutError:
            pass
        carried_ms = self._made_ms + self._sending_ms()
        left_ms = carried_ms - self.host.clock.now()
        if left_ms > 0:
            await asyncio.sleep(to_seconds(left_ms))

    def _sending_ms(self):
        """Return how long the last round takes this host's link."""
        link_mbps = self.host.settings.link_mbps * LINK_SHARE
        if not link_mbps:
            return 0
        return self._sent_bytes * 8 / (link_mbps * 1000.0)

    def _round_ms(self):
        """Return the time until the next round is made without news."""
        age_ms = self.host.clock.since(self.begun_ms)
        return FIRST_ROUND_MS if age_ms < STARTING_MS else ROUND_MS

    def _make(self):
        host = self.host
        self.number += 1
        admitted = host.quotas.collect_totals()
        placed = host.selection.take_placed()
        own = self._report(
            self.run_id,
            1,
            self._own_loads(),
            admitted,
            placed,
            host.demands.own(),
            dict(host.engines.own),
        )
        self.board.own.keep(own)
        usage = self._encode_usage()
        feeds = tuple(
            reports.encode(batch)
            for feed in host.feeds.values()
            for batch in feed.take_unsent()
        )
        zone_reports, sums = self.board.take_fresh()
        ended = self.board.take_ended()
        zone_placed = self.board.take_zone_placed()
        told = host.quarantine.collect_updates()
        suspects = self._encode_suspects(told)
        if self.plan is None or not self.plan.is_hub:
            return Round(reports.encode(own), usage, feeds, suspects)
        passed_on = [*sums, *(reports.encode(item) for item in ended)]
        return Round(
            reports.encode(own),
            usage,
            feeds,
            suspects,
            reports.encode(self._sum_zone(own, zone_placed)),
            reports.encode(self.board.cover()),
            tuple(zone_reports),
            tuple(passed_on),
        )

    def _encode_usage(self):
        """Return the counts of the last windows, encoded.

        It is the same object until a call was counted.
        """
        usage = self.host.usage
        changes, encoded = self._usage
        if changes != usage.changes:
            windows = sorted(usage.windows)[-REPORTED_WINDOWS:]
            counts = {window: usage.windows[window] for window in windows}
            run = self.run_id
            self.host.board.put(run.host, run.started_ms, counts)
            encoded = reports.encode(reports.UsageNote(run, counts))
            self._usage = (usage.changes, encoded)
        return encoded

    def encode_known(self):
        """Return what a host is told first: encoded messages."""
        return self._encode_suspects(self.host.quarantine.take_snapshot())

    def _encode_suspects(self, suspects):
        """Return a note of requests under which endpoints crashed, if any."""
        if not suspects:
            return ()
        now = self.host.clock.now()
        aged = tuple(suspect.to_ages(now) for suspect in suspects)
        note = reports.SuspectNote(self.host.settings.name, aged)
        return (reports.encode(note),)

    def _report(self, run, hosts, loads, admitted, placed, demands, engines):
        """Return a report: of this host, or of its zone's hosts together."""
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

    def _own_loads(self):
        return {
            endpoint.id: Load(endpoint.calls, endpoint.reading_tokens)
            for endpoint in self.host.fleet.endpoints.values()
            if endpoint.calls
        }

    def _sum_zone(self, own, zone_placed):
        """Return the sums of this host's zone, its own report included."""
        host = self.host
        zone = host.settings.zone
        placed = (*own.placed, *zone_placed)
        report = self._report(
            self.zone_run,
            1 + host.members.count_heard_in(zone),
            host.loads.sum_zone(zone, own.loads),
            host.quotas.sum_zone(zone, own.admitted),
            placed,
            host.demands.others.sum_zone(zone, own.demands),
            host.engines.others.sum_zone(zone, own.engines),
        )
        notice = report.duty or self.board.find_notice()
        return dataclasses.replace(report, duty=notice)
