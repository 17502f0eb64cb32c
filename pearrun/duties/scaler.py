"""Autoscaling: orders endpoints for the load while holding the lease."""

import asyncio
import math

from loguru import logger

from pearrun import exceptions
from pearrun.decisions import ratelimit
from pearrun.decisions import scaling
from pearrun.states import EndpointState

# Interval between plans.
PLAN_INTERVAL_MS = 1000
# An unchanged order is sent again after this time, in case it has not taken
# effect; endpoints take several seconds to boot.
ORDER_REPEAT_MS = 8000
# An order that the platform refused is repeated after this time.
REFUSED_RETRY_MS = 3000


class Scaler:
    """Plans the number of endpoints per zone and sends orders for them.

    :param host: shared objects of this host.
    :param duty_client: the :class:`DutyClient`.
    """

    def __init__(self, host, duty_client):
        self.host = host
        self.clock = host.clock
        self.duty_client = duty_client
        self.settings = scaling.ScalingSettings()
        self.ordered = {}
        self.need_history = {}
        self.last_need = {}
        self.release_since_ms = {}
        self.planned_ms = None
        self.updated_ms = None
        self.known_slots = {}
        self.versions = {}

    def update_needs(self):
        """Record how many endpoints the demand needs now.

        Hosts that do not hold the lease do this too, so that a host that
        takes over continues from the recent needs.  A host without any
        recorded needs plans for what the customers' limits allow.
        """
        now = self.clock.now()
        if (
            self.updated_ms is not None
            and now - self.updated_ms < PLAN_INTERVAL_MS
        ):
            return
        self.updated_ms = now
        services = self._list_scaled_services()
        self._forget_needs({service.name for service in services})
        for service in services:
            self._record_need(service, now)

    def _forget_needs(self, scaled):
        """Forget the needs of services that are not scaled any more.

        One that comes back begins like a new one.

        :param scaled: names of the services that are.
        """
        for name in set(self.need_history) - scaled:
            del self.need_history[name]
            self.last_need.pop(name, None)

    async def act(self, term):
        """Plan and send the orders that are due.

        :param term: the :class:`Term` under which they are sent.
        """
        self.update_needs()
        now = self.clock.now()
        if (
            self.planned_ms is not None
            and now - self.planned_ms < PLAN_INTERVAL_MS
        ):
            return
        self.planned_ms = now
        for service in self._list_scaled_services():
            if service.name not in self.need_history:
                # The service was added to the configuration after the needs
                # were last recorded.
                continue
            orders = self._plan(service, now)
            # Sent concurrently: the platform may take a second for each.
            await asyncio.gather(
                *(self._send(order, term, now) for order in orders)
            )

    def _list_scaled_services(self):
        """Return the services with automatic scaling."""
        services = self.host.config.current.services.values()
        return [service for service in services if service.scale is not None]

    def _plan(self, service, now):
        """Return the orders that should be in effect now."""
        self._note_version(service.name)
        zones, others = self._count_endpoints(service.name)
        need = self._compute_need(service.name, now)
        orders = scaling.plan_orders(
            service.name, service.scale, zones, need, self.settings
        )
        if self._is_rolling_out(service.name, others):
            return scaling.limit_to_raises(orders, zones, others)
        return [
            order
            for order in orders
            if not self._is_release_delayed(order, zones, now)
        ]

    def _note_version(self, service_name):
        """Forget the orders for endpoints that a roll-out has replaced."""
        version = self.host.rollouts.get(service_name).current
        if self.versions.get(service_name) in (None, version):
            self.versions[service_name] = version
            return
        self.versions[service_name] = version
        for key in [key for key in self.ordered if key[0] == service_name]:
            del self.ordered[key]

    def _is_rolling_out(self, service_name, others):
        """Return whether endpoints of two versions serve side by side."""
        if self.host.rollouts.get(service_name).is_open:
            return True
        return scaling.count_serving(others) > 0

    def _is_release_delayed(self, order, zones, now):
        """Return whether an order would release endpoints too early."""
        key = (order.service, order.zone, order.reclaimable)
        serving = zones[order.zone].of_kind(order.reclaimable)
        count, _ = self.ordered.get(key, (serving, 0))
        if order.count >= count:
            self.release_since_ms.pop(key, None)
            return False
        since_ms = self.release_since_ms.setdefault(key, now)
        return now - since_ms < self.settings.release_ms

    def _count_endpoints(self, service_name):
        """Return the endpoints of the version in force, and of others.

        :returns: two dictionaries with :class:`ZoneCount` by zone.
        """
        zones = dict.fromkeys(self.host.settings.zones, scaling.ZoneCount())
        others = dict(zones)
        for endpoint in self.host.fleet.endpoints.values():
            record = endpoint.record
            if record.service != service_name:
                continue
            if record.state is not EndpointState.LIVE:
                continue
            in_force = self.host.rollouts.is_in_force(record)
            counts = zones if in_force else others
            known = counts.get(record.zone, scaling.ZoneCount())
            counts[record.zone] = scaling.ZoneCount(
                known.reclaimable + record.reclaimable,
                known.on_demand + (not record.reclaimable),
            )
        return zones, others

    def _record_need(self, service, now):
        """Record how many endpoints the current demand needs."""
        service_name = service.name
        demand = self.host.demands.sum_all(service_name)
        model = self.host.engines.find_by_service(service_name)
        past = self.need_history.get(service_name)
        if past is None:
            # No demand for this service has been recorded yet.
            past = self.need_history[service_name] = {
                now: self._estimate_need()
            }
        needed = scaling.count_needed(
            demand,
            model.tokens_per_ms,
            self._find_slots(service),
            self.settings,
        ) + self._count_displaced(service_name, demand)
        past[now] = max(past.get(now, 0), needed)
        for old in [
            at for at in past if now - at > self.settings.reclaimable_hold_ms
        ]:
            del past[old]
        need = self._compute_need(service_name, now)
        if self.last_need.get(service_name) != need:
            self.last_need[service_name] = need
            logger.bind(
                service=service_name,
                need=need,
                now=needed,
                busy=round(demand.busy, 1),
                tokens_per_s=round(demand.tokens_per_s),
                target_ms=demand.target_ms,
                tokens_per_ms=round(model.tokens_per_ms, 1),
                answers=round(model.answers),
            ).info('endpoints needed')

    def _count_displaced(self, service_name, demand):
        """Return how many endpoints replace what rate limits turn away.

        :param demand: the :class:`Demand` of all hosts.
        """
        endpoints = len(self.host.fleet.find_by_service(service_name))
        rates = self.host.limits.get_rates(service_name)
        if not rates:
            return 0
        answer_ms = self.host.demands.get_answer_ms(service_name)
        usual_per_s = demand.busy * 1000.0 / answer_ms / endpoints
        return math.ceil(ratelimit.count_displaced(rates, usual_per_s))

    def _compute_need(self, service_name, now):
        """Return the :class:`Need` derived from the recorded needs."""
        return scaling.compute_need(
            self.need_history[service_name],
            now,
            self.settings,
            self.host.feed.through_hubs,
        )

    def _find_slots(self, service):
        """Return the number of slots per endpoint; the minimum if they differ.

        If no endpoint is listed, for example because all entries expired
        during a store outage, this is the last known number, or else the
        one from the configuration.
        """
        slots = [
            endpoint.record.slots
            for endpoint in self.host.fleet.find_by_service(service.name)
        ]
        if slots:
            self.known_slots[service.name] = min(slots)
        configured = service.engine.slots if service.engine else 1
        return self.known_slots.get(service.name, configured)

    def _estimate_need(self):
        """Estimate a service's need from the customers' rate limits.

        A rate limit covers all scaled services together, so the total is
        divided evenly between them.
        """
        config = self.host.config.current
        units = sum(
            customer.rate_per_s
            for customer in config.customers.values()
            if customer.counts_tokens
        )
        scaled = sum(
            service.scale is not None for service in config.services.values()
        )
        return scaling.estimate_initial_count(units / scaled, self.settings)

    async def _send(self, order, term, now):
        key = (order.service, order.zone, order.reclaimable)
        count, sent_ms = self.ordered.get(key, (None, 0))
        if count == order.count and now - sent_ms < ORDER_REPEAT_MS:
            return
        try:
            await self.duty_client.order(term, order)
        except exceptions.DutyCallError as exc:
            if exc.status == 409:
                # No capacity available: retry, but not with every plan.
                repeat_ms = now - ORDER_REPEAT_MS + REFUSED_RETRY_MS
                self.ordered[key] = (order.count, repeat_ms)
            logger.bind(
                order=order, fencing=term.fencing, code=exc.code
            ).warning(f'order failed: {exc.message}')
            return
        self.ordered[key] = (order.count, now)
        if count != order.count:
            logger.bind(
                service=order.service,
                zone=order.zone,
                reclaimable=order.reclaimable,
                count=order.count,
                before=count,
                fencing=term.fencing,
            ).info('endpoints ordered')
