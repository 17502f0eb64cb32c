"""Orders endpoints as the load needs them; acts for the lease's holder."""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.decisions import scaling
from pearrun.states import EndpointState

# How often the plan is made anew.
PLAN_MS = 1000
# An order that is not in force is repeated after this long: endpoints
# boot in some seconds.
REPEAT_MS = 8000
# An order that the platform refused is repeated after this long.
REFUSED_MS = 3000


class Scaler:
    """Plans and sends orders.

    :param host: shared objects of this host.
    :param calls: the :class:`DutyClient`.
    """

    def __init__(self, host, calls):
        self.host = host
        self.clock = host.clock
        self.calls = calls
        self.settings = scaling.ScalingSettings()
        self.ordered = {}
        self.needs = {}
        self.last_need = {}
        self.lower_since_ms = {}
        self.planned_ms = None
        self.watched_ms = None
        self.slots = {}

    def watch(self):
        """Note what the demand needs now, also where another host orders.

        A host that takes the duties over goes on from the needs of the last
        time; one that knows none keeps as many as the customers' limits allow
        for.
        """
        now = self.clock.now()
        if self.watched_ms is not None and now - self.watched_ms < PLAN_MS:
            return
        self.watched_ms = now
        for service in self._scaled():
            self._note_need(service, now)

    async def act(self, term):
        """Send the orders that are due.

        :param term: the :class:`Term` under which they are sent.
        """
        self.watch()
        now = self.clock.now()
        if self.planned_ms is not None and now - self.planned_ms < PLAN_MS:
            return
        self.planned_ms = now
        for service in self._scaled():
            if service.name not in self.needs:
                # Configured since the needs were noted.
                continue
            orders = self._plan(service, now)
            # Together: the platform may take a second for each.
            await asyncio.gather(
                *(self._send(order, term, now) for order in orders)
            )

    def _scaled(self):
        """Return the services whose endpoints are ordered."""
        services = self.host.config.current.services.values()
        return [service for service in services if service.scale is not None]

    def _plan(self, service, now):
        """Return the orders that are to be in force now."""
        zones = self._count(service.name)
        need = self._need(service.name, now)
        orders = scaling.plan_orders(
            service.name, service.scale, zones, need, self.settings
        )
        return [
            order for order in orders if not self._waits(order, zones, now)
        ]

    def _waits(self, order, zones, now):
        """Say whether an order gives endpoints back too soon."""
        key = (order.service, order.zone, order.reclaimable)
        serving = zones[order.zone].of_kind(order.reclaimable)
        count, _ = self.ordered.get(key, (serving, 0))
        if order.count >= count:
            self.lower_since_ms.pop(key, None)
            return False
        since_ms = self.lower_since_ms.setdefault(key, now)
        return now - since_ms < self.settings.release_ms

    def _count(self, service_name):
        zones = dict.fromkeys(self.host.settings.zones, scaling.ZoneCount())
        for endpoint in self.host.fleet.endpoints.values():
            record = endpoint.record
            if record.service != service_name:
                continue
            if record.state is not EndpointState.LIVE:
                continue
            known = zones.get(record.zone, scaling.ZoneCount())
            zones[record.zone] = scaling.ZoneCount(
                known.reclaimable + record.reclaimable,
                known.on_demand + (not record.reclaimable),
            )
        return zones

    def _note_need(self, service, now):
        """Note how many endpoints the demand of now needs."""
        service_name = service.name
        demand = self.host.demands.total(service_name)
        model = self.host.engines.of_service(service_name)
        past = self.needs.get(service_name)
        if past is None:
            # Nobody has seen this service's demand yet.
            past = self.needs[service_name] = {now: self._expect()}
        needed = scaling.count_needed(
            demand,
            model.tokens_per_ms,
            self._find_slots(service),
            self.settings,
        )
        past[now] = max(past.get(now, 0), needed)
        for old in [
            at for at in past if now - at > self.settings.reclaimable_hold_ms
        ]:
            del past[old]
        need = self._need(service_name, now)
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

    def _need(self, service_name, now):
        """Return the :class:`Need` by the demand of the last time."""
        return scaling.compute_need(
            self.needs[service_name],
            now,
            self.settings,
            self.host.feed.through_hubs,
        )

    def _find_slots(self, service):
        """Return the slots of an endpoint; the fewest that any has.

        While none is known, as when entries lapsed with the store, they are
        those last known, or those that the configuration names.
        """
        slots = [
            endpoint.record.slots
            for endpoint in self.host.fleet.of_service(service.name)
        ]
        if slots:
            self.slots[service.name] = min(slots)
        named = service.engine.slots if service.engine else 1
        return self.slots.get(service.name, named)

    def _expect(self):
        """Return how many endpoints a service should need, by its limits.

        Customers' limits hold for all scaled services together.
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
        if count == order.count and now - sent_ms < REPEAT_MS:
            return
        try:
            await self.calls.order(term, order)
        except exceptions.DutyCallError as exc:
            if exc.status == 409:
                # None to be had: ask again, but not at every plan.
                repeat_ms = now - REPEAT_MS + REFUSED_MS
                self.ordered[key] = (order.count, repeat_ms)
            logger.bind(
                order=order, fencing=term.fencing, code=exc.code
            ).warning(f'order not taken: {exc.message}')
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
