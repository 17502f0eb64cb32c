"""Rate limits that endpoints advertise, as known to this host.

An endpoint advertises its limit in its answers, to the hosts that call it, but
for all hosts together.  Hosts therefore report every limit to each other, and
divide it as :mod:`pearrun.decisions.ratelimit` describes.
"""

import collections
import dataclasses

from loguru import logger

from pearrun.decisions import ratelimit
from pearrun.ids import EndpointId
from pearrun.shared.members import Member
from pearrun.shared.runreports import REPORT_VALID_MS

# A limit that stays the same is reported again after this time, in case the
# last report was lost, and to keep it valid.
REPEAT_INTERVAL_MS = 5000
# Limits sent in one message, and kept: more than endpoints are overloaded at
# a time.
MAX_SENT = 64
MAX_KNOWN = 1024
# How often to check which hosts have not reported: about once in a round.
SILENT_CHECK_INTERVAL_MS = 200


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """What an answer said about an endpoint's rate limit.

    :param rate_per_s: the limit; if it is lifted, the last one.
    :param is_lifted: whether the answer advertised no limit any more.
    :param at_ms: when the answer came, or, if it lifted the limit, when its
        call was sent; in messages, the time since then.
    """

    endpoint_id: EndpointId
    rate_per_s: float
    is_lifted: bool
    at_ms: int


class KnownLimit:
    """A limit, and this host's allowance under it.

    :param limit: the :class:`RateLimit`.
    """

    def __init__(self, limit, now_ms):
        self.limit = limit
        self.allowance = ratelimit.CallAllowance(now_ms)
        self.reported_ms = None
        self.ranked = ()
        self.ranked_at_change = None

    def is_report_due(self, now_ms):
        """Return whether to report an unchanged limit to other hosts."""
        reported_ms = self.reported_ms
        return (
            reported_ms is None or now_ms - reported_ms >= REPEAT_INTERVAL_MS
        )


class EndpointLimits:
    """The limits of all endpoints.

    :param name: this host's name.
    :param zone: its zone.
    :param fleet: the :class:`Fleet`.
    :param members: the :class:`Members`, among which limits are divided.
    :param feed: the :class:`Feed`; says whether the hosts use hubs.

    ``notify_peers`` is called to report a new or lifted limit to the other
    hosts immediately.
    """

    def __init__(self, clock, name, zone, fleet, members, feed):
        self.clock = clock
        self.name = name
        self.zone = zone
        self.fleet = fleet
        self.members = members
        self.feed = feed
        self.notify_peers = lambda: None
        self._silent = []
        self._silent_checked_ms = clock.now() - SILENT_CHECK_INTERVAL_MS
        self._known = collections.OrderedDict()
        self._pending = {}

    # use of the limits

    def filter_allowed(self, endpoints):
        """Return the endpoints to which this host may send a call now.

        :param endpoints: a list of :class:`Endpoint`.
        """
        if not self._known:
            return endpoints
        return [item for item in endpoints if self._is_allowed(item)]

    def take(self, endpoint):
        """Count a call that is about to be sent to an endpoint."""
        known = self._known.get(endpoint.id)
        if known is not None:
            known.allowance.take()

    def get_rates(self, service_name):
        """Return the limits of a service's endpoints in calls per second."""
        rates = map(self.get_rate, self.fleet.find_by_service(service_name))
        return [rate for rate in rates if rate is not None]

    def get_rate(self, endpoint):
        """Return an endpoint's limit in calls per second, or ``None``."""
        known = self._known.get(endpoint.id)
        if known is None:
            return None
        rate = known.limit.compute_rate(self.clock.now())
        if rate is None:
            self.forget(endpoint.id)
        return rate

    def get_wait_ms(self, service_name):
        """Return the mean time between calls that the limits allow.

        :returns: milliseconds; 0 if no endpoint of the service is limited.
        """
        total = sum(self.get_rates(service_name))
        return 1000.0 / total if total else 0.0

    def _is_allowed(self, endpoint):
        rate = self.get_rate(endpoint)
        if rate is None:
            return True
        known = self._known[endpoint.id]
        share = self._compute_share(endpoint.record, known, rate)
        known.allowance.refill(share, self.clock.now())
        return known.allowance.has_call()

    def _compute_share(self, record, known, rate):
        """Return this host's :class:`Share` of a limit.

        A host that has not read the list of hosts sends nothing: it cannot
        know how many others send too.
        """
        members = self.members
        if not members.listed:
            return ratelimit.NO_SHARE
        if known.ranked_at_change != members.changes:
            known.ranked_at_change = members.changes
            known.ranked = ratelimit.rank_senders(
                record.id, record.zone, self._list_members()
            )
        return ratelimit.compute_share(
            rate, self.name, self._drop_silent(known.ranked)
        )

    def _drop_silent(self, names):
        """Return hosts without those that have ended or are cut off.

        With hubs, only the hosts of this host's zone are heard one by one.
        """
        now = self.clock.now()
        if now - self._silent_checked_ms >= SILENT_CHECK_INTERVAL_MS:
            self._silent_checked_ms = now
            zone = self.zone if self.feed.through_hubs else None
            self._silent = self.members.list_silent(REPORT_VALID_MS, zone)
        if not self._silent:
            return names
        return [name for name in names if name not in self._silent]

    def _list_members(self):
        """Return all hosts; the list on the store may lack this one."""
        listed = self.members.members
        if self.name in listed:
            return list(listed.values())
        return [*listed.values(), Member(self.name, '', self.zone, 0)]

    # what answers say

    def note_advertised(self, endpoint_id, rate_per_s):
        """Record that an answer advertised a limit."""
        now = self.clock.now()
        self._apply(LimitReport(endpoint_id, rate_per_s, False, now), 'answer')

    def note_unlimited(self, endpoint_id, sent_ms):
        """Record that an answer advertised no limit.

        :param sent_ms: when its call was sent.  The endpoint may have begun
            that answer before it was overloaded, so that only a call sent
            after the limit was last advertised can lift it.
        """
        known = self._known.get(endpoint_id)
        if known is None:
            return
        rate_per_s = known.limit.rate_per_s
        self._apply(
            LimitReport(endpoint_id, rate_per_s, True, sent_ms), 'answer'
        )

    def forget(self, endpoint_id):
        """Remove the limit of an endpoint that has left."""
        self._known.pop(endpoint_id, None)
        self._pending.pop(endpoint_id, None)

    # exchange with other hosts

    def merge(self, reports, peer, forward):
        """Apply what other hosts have reported.

        :param reports: :class:`LimitReport` objects with times by this
            host's clock.
        :param peer: name of the host that sent them.
        :param forward: whether to send what is new to other hosts.
        """
        for report in reports:
            self._apply(report, peer, forward)

    def collect_updates(self):
        """Return the :class:`LimitReport` objects to send now."""
        due = list(self._pending)[:MAX_SENT]
        return [self._pending.pop(endpoint_id) for endpoint_id in due]

    def make_snapshot(self):
        """Return a :class:`LimitReport` of each limit that is in force."""
        now = self.clock.now()
        return [
            make_report(endpoint_id, known.limit)
            for endpoint_id, known in self._known.items()
            if known.limit.compute_rate(now) is not None
        ][:MAX_SENT]

    def count(self):
        """Return the number of endpoints that are limited now."""
        now = self.clock.now()
        return sum(
            known.limit.compute_rate(now) is not None
            for known in self._known.values()
        )

    def _apply(self, report, source, report_on=True):
        """Apply a report if it is newer than what is known.

        :param source: the host that sent it, or ``answer``.
        :param report_on: whether to report it to other hosts.
        """
        now = self.clock.now()
        known = self._known.get(report.endpoint_id)
        before = known.limit if known else None
        limit = update_limit(before, report, now)
        if limit is None:
            self._note_outdated(known, report)
            return
        if known is None:
            known = self._add(report.endpoint_id, limit)
        known.limit = limit
        was_in_force = before is not None and before.is_in_force(now)
        has_begun_or_ended = was_in_force is report.is_lifted
        if has_begun_or_ended:
            known.allowance = ratelimit.CallAllowance(now)
        is_changed = (
            has_begun_or_ended or before.rate_per_s != limit.rate_per_s
        )
        if is_changed:
            self._log(report, before, source)
        if report_on and (is_changed or known.is_report_due(now)):
            known.reported_ms = now
            self._pending[report.endpoint_id] = report
        if report_on and has_begun_or_ended:
            self.notify_peers()

    def _note_outdated(self, known, report):
        """Report a limit again that another host believes to be lifted."""
        if known is not None and report.is_lifted:
            known.reported_ms = None

    def _add(self, endpoint_id, limit):
        known = KnownLimit(limit, self.clock.now())
        self._known[endpoint_id] = known
        while len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        return known

    def _log(self, report, before, source):
        logger.bind(
            endpoint=report.endpoint_id,
            rate_per_s=report.rate_per_s,
            lifted=report.is_lifted,
            previous=before.rate_per_s if before else None,
            source=source,
            age_ms=self.clock.since(report.at_ms),
            hosts=self.members.count(),
        ).info('endpoint limit')


def make_report(endpoint_id, limit):
    """Return the :class:`LimitReport` of a :class:`RateLimit`."""
    is_lifted = limit.lifted_ms is not None
    return LimitReport(endpoint_id, limit.rate_per_s, is_lifted, limit.at_ms)


def update_limit(limit, report, now_ms):
    """Return the limit after a report.

    :param limit: the :class:`RateLimit` known before, or ``None``.
    :returns: a :class:`RateLimit`; ``None`` if the report has no news.
    """
    if limit is not None and report.at_ms <= limit.at_ms:
        return None
    if not report.is_lifted:
        limit = ratelimit.RateLimit(report.rate_per_s, report.at_ms)
        return limit if limit.is_in_force(now_ms) else None
    if limit is None or limit.lifted_ms is not None:
        return None
    return ratelimit.RateLimit(
        limit.rate_per_s, report.at_ms, min(now_ms, limit.ended_ms)
    )
