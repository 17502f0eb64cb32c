"""The retry budgets of this host, one per service."""

import collections

from pearrun.decisions.budget import HostCount
from pearrun.decisions.budget import RetryBudget


class RetryBudgets:
    """Grants retries within the budget that all hosts share.

    :param settings: the :class:`RetrySettings`.
    :param members: the :class:`Members`.

    ``refused`` counts the retries that were not granted, by service.
    """

    def __init__(self, clock, settings, members):
        self.clock = clock
        self.settings = settings
        self.members = members
        self.started_ms = clock.now()
        self.refused = collections.Counter()
        self._budgets = {}
        self._hosts = HostCount(settings.window_ms)

    def count_call(self, service_name):
        """Count a call received from a caller; retries are not counted."""
        now = self.clock.now()
        hosts = self._count_hosts(now)
        self._get(service_name).count_call(now, hosts)

    def take(self, service_name):
        """Request one retry.

        :returns: the :class:`RetryDecision`.
        """
        now = self.clock.now()
        hosts = self._count_hosts(now)
        decision = self._get(service_name).take(now, hosts)
        self.refused[service_name] += not decision.granted
        return decision

    def _get(self, service_name):
        if service_name not in self._budgets:
            self._budgets[service_name] = RetryBudget(
                self.settings, self.started_ms
            )
        return self._budgets[service_name]

    def _count_hosts(self, now_ms):
        """Return the number of hosts that share the slack.

        :returns: ``None`` until the list of hosts has been read.
        """
        if not self.members.listed:
            return None
        return self._hosts.update(self.members.count(), now_ms)
