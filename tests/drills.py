"""Builders of hosts that share a store which comes back from copies.

The hosts of a :class:`DrillSite` have no network: their calls reach the
store's stand-in directly, and their clock advances only when told to.
"""

import asyncio
import dataclasses

from pearrun import exceptions
from pearrun.decisions.lease import LeaseView
from pearrun.duties.conductor import Conductor
from pearrun.duties.duties import Duties
from pearrun.http1.messages import Request
from pearrun.http1.messages import Response
from pearrun.http1.messages import ResponseHead
from pearrun.platform.codec import EndpointCodec
from pearrun.platform.leaselog import LeaseLog
from pearrun.platform.rolloutlog import RolloutLog
from pearrun.platform.store import StoreClient
from pearrun.platform.usagelog import UsageLog
from pearrun.shared.host import HostContext
from pearrun.shared.reports import DutyNotice
from pearrun.standins.platformstore import PlatformStore
from tests.builders import ManualClock
from tests.platformsite import configure
from tests.platformsite import make_host_settings

# Unix time at which the clock of a site starts.
EPOCH_MS = 1_700_000_000_000


class SiteClock(ManualClock):
    """The clock of all hosts of a site."""

    def boot(self):
        """See :class:`Clock`."""
        return self.now()

    def wall(self):
        """See :class:`Clock`."""
        return EPOCH_MS + self.now()


class DirectCaller:
    """Receives one response of the stand-in."""

    def __init__(self):
        self.response = None
        self.transport = self

    def get_extra_info(self, name):
        """Return the source address of the call."""
        return ('127.0.0.1', 1)

    async def reply(self, status, headers, body=b''):
        """See :class:`ServerConnection`."""
        self.response = Response(ResponseHead(status, headers), body)

    def abort(self):
        """See :class:`ServerConnection`."""


class DirectPool:
    """Replaces the connections of a :class:`StoreClient`.

    :param store: the :class:`PlatformStore`.
    """

    def __init__(self, store):
        self.store = store
        self.in_flight = set()

    async def fetch(self, method, target, headers, body, limit):
        """See :class:`Pool`."""
        caller = DirectCaller()
        request = Request(method.encode(), target.encode(), [], body)
        await self.store.handle(request, caller)
        if caller.response is None:
            raise exceptions.ConnectionBrokenError('no response')
        return caller.response

    def close(self):
        """See :class:`Pool`."""


def make_store_client(store):
    """Return a :class:`StoreClient` that calls a stand-in directly."""
    client = StoreClient(make_host_settings().store)
    client.pool = DirectPool(store)
    return client


class NoticeBoard:
    """The part of a :class:`ReportReceiver` that a :class:`Duties` uses."""

    is_hub = False

    def __init__(self):
        self.notice = None
        self.notice_ms = None

    def get_last_notice(self):
        """See :class:`ReportReceiver`."""
        return self.notice

    def get_last_notice_ms(self):
        """See :class:`ReportReceiver`."""
        return self.notice_ms


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """A usage report that the platform has accepted."""

    at_ms: int
    holder: str
    fencing: int
    window: int
    counts: dict


class ReportingClient:
    """Replaces the :class:`DutyClient`.

    :param site: the :class:`DrillSite`, which keeps the reports.
    """

    def __init__(self, site, name):
        self.site = site
        self.name = name

    async def report_usage(self, term, window, counts):
        """See :class:`DutyClient`."""
        term.check()
        report = UsageReport(
            self.site.clock.now(),
            self.name,
            term.fencing,
            window,
            dict(counts),
        )
        self.site.reports.append(report)


class DrillHost:
    """One run of a host that competes for the lease and reports usage."""

    def __init__(self, site, name):
        clock = site.clock
        self.site = site
        self.name = name
        # Runs that start at the same moment differ in this time.
        self.started_ms = clock.wall() + site.count_start()
        settings = make_host_settings(name)
        self.host = HostContext(settings, EndpointCodec(), clock)
        configure(self.host)
        self.store = make_store_client(site.store)
        self.board = NoticeBoard()
        view = LeaseView(f'{name}/{self.started_ms}')
        self.duties = Duties(
            self.host,
            LeaseLog(self.store, view, clock),
            ReportingClient(site, name),
            self.board,
            None,
            UsageLog(self.store),
            Conductor(self.host, RolloutLog(self.store), lambda: None),
        )

    @property
    def run_key(self):
        """The key of this run in a :class:`UsageTable`."""
        return self.name, self.started_ms

    def count_calls(self, count):
        """Count calls that an endpoint has begun to run."""
        usage = self.host.usage
        window = usage.get_current_window()
        counts = usage.windows.setdefault(window, {'anna': 0})
        counts['anna'] += count

    def report_to(self, holder):
        """Report this run's counts to a host."""
        usage = self.host.usage
        counts = {
            window: dict(usage.windows[window]) for window in usage.windows
        }
        holder.host.usage_table.put(
            *self.run_key, counts, usage.get_current_window()
        )

    def announce_to(self, other):
        """Notify another host that this one holds the lease."""
        view = self.duties.view
        other.board.notice = DutyNotice(self.name, view.fencing, view.end)
        other.board.notice_ms = self.site.clock.now()

    def act(self):
        """Run each task of the duties once."""
        duties = self.duties
        for step in (
            duties.maintain_lease,
            duties.save_usage,
            duties.report_usage,
        ):
            asyncio.run(duties.try_step(step))


class DrillSite:
    """Hosts, their store and what the platform has accepted.

    :param names: names of the hosts.
    """

    def __init__(self, names):
        self.clock = SiteClock()
        self.store = PlatformStore()
        self.store.era = 1
        self.reports = []
        self.starts = 0
        self.copies = []
        self.hosts = {}
        for name in names:
            self.restart(name)

    def count_start(self):
        """Return how many processes have started, with this one."""
        self.starts += 1
        return self.starts

    def restart(self, name):
        """Replace a host's process; what it knew is lost."""
        self.hosts[name] = DrillHost(self, name)

    def list_holders(self):
        """Return the hosts that hold the lease now."""
        return [host for host in self.hosts.values() if host.duties.holds()]

    def find_reports(self, window):
        """Return the counts in the reports of a window."""
        return [item.counts for item in self.reports if item.window == window]

    def advance(self, ms, *names, step_ms=250):
        """Advance the time while hosts perform their duties.

        :param names: names of the hosts; the others are not running.
        """
        for _ in range(0, ms, step_ms):
            self.clock.advance(step_ms)
            for name in names:
                self.hosts[name].act()
