"""The retry budgets of this host, one per service."""

import collections

from pearrun.decisions.budget import RetryBudget


class RetryBudgets:
    """Grants retries within the budget that all hosts share.

    :param settings: the :class:`RetrySettings`.
    :param members: the :class:`Members`.

    ``granted`` and ``refused`` count the retries by service.
    """

    def __init__(self, clock, settings, members):
        self.clock = clock
        self.settings = settings
        self.members = members
        self.granted = collections.Counter()
        self.refused = collections.Counter()
        self._budgets = {}

    def count_call(self, service_name):
        """Count a call received from a caller; retries are not counted."""
        self._get(service_name).count_call(self.clock.now())

    def take(self, service_name):
        """Request one retry.

        :returns: the :class:`RetryDecision`.
        """
        hosts = self.members.count()
        decision = self._get(service_name).take(self.clock.now(), hosts)
        counter = self.granted if decision.granted else self.refused
        counter[service_name] += 1
        return decision

    def _get(self, service_name):
        if service_name not in self._budgets:
            self._budgets[service_name] = RetryBudget(self.settings)
        return self._budgets[service_name]
