"""Orders to engines: which model, adapter or version to load.

The team tree names each service's ``model``.  The daemons of an
endpoint's zone see to it that the endpoint has it: one of them, the
favourite of a rendezvous hash among the live ones, sends the order,
and looks every ``orders_ms`` whether it still stands.

An order's fencing number is the version of the tree it comes from, so
two daemons that both think it is their turn send the same order.  An
engine that checks the number refuses an older order.  For one that
does not, three things keep an older order from standing:

- a daemon reads the configuration stream to its head right before it
  sends, and sends nothing when it cannot;
- a daemon that was paused between that and sending notices by its
  clock and starts over;
- the orders an engine has taken are read back, and when the last one
  is not the wanted one it is given again.
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

    :param kind: what to do, such as ``load_model``.
    :param value: the model, adapter or version.
    :param fencing: the tree's version; newer orders have a larger one.
    """

    kind: str
    value: str
    fencing: int


class OrderReconciler:
    """Keeps the engines of this daemon's zone at the wanted models.

    :param session: an :class:`aiohttp.ClientSession`.
    :param settings: the daemon's whole :class:`Settings`.
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
        """Return the orders an endpoint should stand at.

        :returns: a list of :class:`Order`, one for each model of the
            services it serves, sorted by model.
        """
        tree = self.config.tree
        models = set()
        for name in endpoint.services:
            service = tree.find_service(name)
            if service is not None and service.model is not None:
                models.add(service.model)
        return [Order(LOAD_MODEL, m, tree.version) for m in sorted(models)]

    def is_responsible(self, endpoint):
        """Say whether this daemon is the one to give the orders."""
        own = self.membership.describe().stream
        names = [
            m.stream
            for m in self.membership.list_live()
            if m.zone == self.settings.host.zone
        ]
        best = max(
            [own, *names],
            key=lambda n: compute_rendezvous_score(n, endpoint.id),
        )
        return best == own

    async def read_orders(self, endpoint):
        """Return the orders an engine has taken, oldest first."""
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

        :raises StaleOrderError: the engine has seen a newer one.
        """
        async with self.session.post(
            f'{endpoint.url}/v1/orders',
            json=dataclasses.asdict(order),
            timeout=ORDER_TIMEOUT,
        ) as response:
            if response.status == 409:
                raise exceptions.StaleOrderError(
                    f'{endpoint.id} has a newer order than {order}'
                )
        self.sent += 1

    async def reconcile(self, endpoint):
        """Bring one engine to the wanted orders, if it is not there.

        :raises JournalUnavailableError: the configuration cannot be
            read to its head, so nothing may be ordered.
        """
        taken = await self.read_orders(endpoint)
        while True:
            started = self.clock.now()
            await self.config.poll_once()
            wanted = self.build_desired_orders(endpoint)
            newest = taken[-len(wanted) :] if wanted else []
            stands = [(o.kind, o.value) for o in newest]
            if stands == [(o.kind, o.value) for o in wanted]:
                return
            if self.clock.since(started) <= MAX_PAUSE_MS:
                break
        for order in wanted:
            await self.send(endpoint, order)
        logger.info('ordered', endpoint=endpoint.id, orders=len(wanted))

    async def watch(self):
        """Keep the zone's engines for the daemon's whole life."""
        while True:
            await asyncio.sleep(to_seconds(self.settings.host.orders_ms))
            for endpoint in list(self.router.endpoints.values()):
                if self.needs_check(endpoint):
                    await self.try_reconcile(endpoint)

    def needs_check(self, endpoint):
        """Say whether this daemon looks after an endpoint's orders."""
        return (
            endpoint.kind == BackendKind.ENGINE
            and endpoint.state == EndpointState.LIVE
            and endpoint.zone == self.settings.host.zone
            and bool(self.build_desired_orders(endpoint))
            and self.is_responsible(endpoint)
        )

    async def try_reconcile(self, endpoint):
        """Keep one engine; what fails is tried again later."""
        try:
            await self.reconcile(endpoint)
        except (
            exceptions.PearrunError,
            aiohttp.ClientError,
            OSError,
            ValueError,
            KeyError,
        ) as exc:
            logger.debug('order waits', endpoint=endpoint.id, error=repr(exc))
