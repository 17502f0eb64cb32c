"""Orders to engines: which model, adapter or version to load.

The team tree names each service's ``model``.  The daemons of an
endpoint's zone ensure that the endpoint has it loaded: rendezvous
hashing selects one of the live daemons, which sends the order and
checks every ``orders_ms`` whether it is still in effect.

An order's fencing token is the version of the tree that it comes from,
so two daemons that both consider themselves responsible send the same
order.  An engine that checks the token refuses an older order.  With
an engine that does not, three measures keep an older order from
remaining in effect:

- a daemon reads the configuration stream to its head right before it
  sends an order, and sends nothing if it cannot;
- a daemon that was paused between reading and sending detects this by
  its clock and starts again;
- the orders that an engine has accepted are read back, and the desired
  one is sent again if the last one differs.
"""

import asyncio
import dataclasses

import aiohttp
from loguru import logger

from pearrun import exceptions
from pearrun.api.router import compute_rendezvous_score
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.states import BackendKind
from pearrun.states import EndpointState

LOAD_MODEL = 'load_model'
ORDER_TIMEOUT = aiohttp.ClientTimeout(total=2)
MAX_PAUSE_MS = 500


@dataclasses.dataclass(frozen=True)
class Order:
    """One order to an engine.

    :param kind: the action, such as ``load_model``.
    :param value: the model, adapter or version.
    :param fencing: the fencing token, which is the tree's version; newer
        orders have a larger one.
    """

    kind: str
    value: str
    fencing: int


class OrderReconciler:
    """Reconciles the engines of this daemon's zone with the team tree.

    :param session: an :class:`aiohttp.ClientSession`.
    :param settings: the daemon's complete :class:`Settings`.
    :param router: the daemon's :class:`Router`.
    :param config: the daemon's :class:`ConfigFollower`.
    :param membership: the daemon's :class:`Membership`.
    """

    def __init__(self, session, settings, router, config, membership):
        self.session = session
        self.settings = settings
        self.router = router
        self.config = config
        self.membership = membership
        self.clock = Clock()
        self.sent = 0

    def build_desired_orders(self, endpoint):
        """Return the orders that should be in effect at an endpoint.

        :returns: a list of :class:`Order`, one for each model of the
            endpoint's services, sorted by model.
        """
        tree = self.config.tree
        models = set()
        for name in endpoint.services:
            service = tree.find_service(name)
            if service is not None and service.model is not None:
                models.add(service.model)
        return [Order(LOAD_MODEL, m, tree.version) for m in sorted(models)]

    def is_responsible(self, endpoint):
        """Return whether this daemon sends the orders to an endpoint."""
        own_stream = self.membership.describe().stream
        zone_streams = [
            m.stream
            for m in self.membership.list_live()
            if m.zone == self.settings.host.zone
        ]
        highest_scoring = max(
            [own_stream, *zone_streams],
            key=lambda s: compute_rendezvous_score(s, endpoint.id),
        )
        return highest_scoring == own_stream

    async def read_orders(self, endpoint):
        """Return the orders that an engine has accepted, oldest first."""
        async with self.session.get(
            f'{endpoint.url}/v1/orders', timeout=ORDER_TIMEOUT
        ) as response:
            bodies = (await response.json(content_type=None))['orders']
        return [
            Order(str(b['kind']), str(b['value']), int(b['fencing']))
            for b in bodies
        ]

    async def send(self, endpoint, order):
        """Send one order.

        :raises StaleOrderError: the engine has accepted a newer one.
        """
        async with self.session.post(
            f'{endpoint.url}/v1/orders',
            json=dataclasses.asdict(order),
            timeout=ORDER_TIMEOUT,
        ) as response:
            if response.status == 409:
                raise exceptions.StaleOrderError(
                    f'{endpoint.id} has accepted a newer order than {order}'
                )
        self.sent += 1

    async def reconcile(self, endpoint):
        """Send an engine the desired orders unless they are in effect.

        :raises JournalUnavailableError: the configuration stream cannot
            be read to its head, so no order may be sent.
        """
        accepted_orders = await self.read_orders(endpoint)
        while True:
            started = self.clock.now()
            await self.config.poll_once()
            wanted = self.build_desired_orders(endpoint)
            newest_accepted = accepted_orders[-len(wanted) :] if wanted else []
            in_effect = [(o.kind, o.value) for o in newest_accepted]
            if in_effect == [(o.kind, o.value) for o in wanted]:
                return
            if self.clock.since(started) <= MAX_PAUSE_MS:
                break
        for order in wanted:
            await self.send(endpoint, order)
        logger.info('orders sent', endpoint=endpoint.id, orders=len(wanted))

    async def watch(self):
        """Reconcile the zone's engines until cancelled."""
        while True:
            await asyncio.sleep(to_seconds(self.settings.host.orders_ms))
            for endpoint in list(self.router.endpoints.values()):
                if self.needs_check(endpoint):
                    await self.try_reconcile(endpoint)

    def needs_check(self, endpoint):
        """Return whether this daemon has to reconcile an endpoint."""
        return (
            endpoint.kind == BackendKind.ENGINE
            and endpoint.state == EndpointState.LIVE
            and endpoint.zone == self.settings.host.zone
            and bool(self.build_desired_orders(endpoint))
            and self.is_responsible(endpoint)
        )

    async def try_reconcile(self, endpoint):
        """Reconcile one engine; a failure is retried in the next round."""
        try:
            await self.reconcile(endpoint)
        except (
            exceptions.PearrunError,
            aiohttp.ClientError,
            OSError,
            ValueError,
            KeyError,
        ) as exc:
            logger.debug(
                'orders not sent', endpoint=endpoint.id, error=repr(exc)
            )
