"""The operator's configuration and orders, read from the store."""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun import positions
from pearrun.backoff import Backoff
from pearrun.platform import decoding
from pearrun.platform import rolloutlog
from pearrun.platform.followers import Follower
from pearrun.platform.followers import RETRY_BASE_MS
from pearrun.platform.followers import RETRY_CAP_MS

TOPIC = 'op'
CONFIG_KEY = 'config'
# How long after a restore an order that is written again is not a new one.
REPEATED_ORDER_MS = 5000


class ConfigFollower(Follower):
    """Follows the operator's configuration and orders, and applies them.

    :param rollout_log: the :class:`RolloutLog`; read if an order may have
        been carried out before this host started.
    """

    def __init__(self, host, store, rollout_log):
        super().__init__(host, store, TOPIC, bound_ms=host.settings.config_ms)
        self.rollout_log = rollout_log
        self.statuses_due = asyncio.Event()
        self.stored_version = 0
        host.config.handle_newer_version = self.request_check

    async def run(self):
        """See :class:`Follower`."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super().run())
            tasks.create_task(self._apply_statuses())

    async def _apply_statuses(self):
        """Apply the states of roll-outs that may have ended already.

        They are another topic, which may be silent while the orders and the
        configuration are read.
        """
        backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)
        while True:
            await self.statuses_due.wait()
            self.statuses_due.clear()
            try:
                statuses = await self.rollout_log.read()
            except exceptions.PearrunError as exc:
                self.statuses_due.set()
                logger.bind(topic=rolloutlog.TOPIC, code=exc.code).info(
                    f'states of roll-outs not read: {exc.message}'
                )
                await backoff.pause()
                continue
            backoff.attempts = 0
            for status in statuses.values():
                self.host.rollouts.put_status(status)

    def _get_known_ms(self):
        """Return when the last read was sent, by this host or another one."""
        return max(self.read_ms, self.host.config.confirmed_ms or 0)

    def _is_reader(self):
        return not self.host.feed.has_reader

    def apply_snapshot(self, records, read_start_ms):
        """See :class:`Follower`."""
        self.stored_version = 0
        orders = []
        for record in records:
            if record.key.startswith(rolloutlog.KEY_PREFIX):
                orders.append(record)
            else:
                self._handle_put(record)
        self._confirm(read_start_ms)
        for record in orders:
            self._apply_order(record, self._is_outdated)
        if self.host.rollouts.list_open():
            self.statuses_due.set()

    def apply_changes(self, records, read_start_ms):
        """See :class:`Follower`."""
        super().apply_changes(records, read_start_ms)
        self._confirm(read_start_ms)

    def _handle_put(self, record):
        if record.key == CONFIG_KEY:
            config = self.decode_or_skip(
                decoding.decode_configuration, record.value
            )
            if config is not None:
                self.stored_version = max(self.stored_version, config.version)
                self.host.config.offer(config, 'store')
        elif record.key.startswith(rolloutlog.KEY_PREFIX):
            self._apply_order(record, self._is_repeated)

    def _handle_removal(self, key):
        """The operator's records are only replaced."""

    def _confirm(self, read_start_ms):
        """Record when the version in force was known to be the newest.

        After a restore, a store that lacks this version may lack a newer one.
        """
        if self._has_newest_version():
            self.host.config.confirm(read_start_ms)

    def _has_newest_version(self):
        """Return whether the store has the version in force or a later one."""
        return self.stored_version >= self.host.config.version

    def _is_outdated(self, order):
        """Return whether a restored store lacks an order after this one.

        The operator writes the latest order again.
        """
        known = self.host.rollouts.get(order.service).order
        return (
            known is not None
            and positions.get_era(order.number)
            > positions.get_era(known.number)
            and order.to != known.to
            and positions.get_offset(order.number)
            <= positions.get_offset(known.number)
        )

    def _is_repeated(self, order):
        """Return whether the operator writes an order again after a restore.

        The copy had it, too.
        """
        known = self.host.rollouts.get(order.service).order
        return (
            known is not None
            and known.to == order.to
            and self.get_rewrite_left_ms(REPEATED_ORDER_MS) > 0
            and positions.get_era(order.number)
            == positions.get_era(known.number)
        )

    def _apply_order(self, record, is_known):
        """Apply an order to roll out a version.

        :param is_known: returns whether a restore makes a
            :class:`RolloutOrder` appear again.
        """
        order = self.decode_or_skip(
            rolloutlog.decode_order, record.key, record.offset, record.value
        )
        if order is None:
            return
        if is_known(order):
            logger.bind(
                service=order.service, to=order.to, number=order.number
            ).info('order of a restored store ignored')
            return
        config = self.host.config.current
        if config is not None and order.service not in config.services:
            exc = exceptions.UnknownServiceError(
                f'{record.key}: unknown service {order.service}'
            )
            logger.bind(topic=self.topic, code=exc.code).error(
                f'order not carried out: {exc.message}'
            )
        self.host.rollouts.put_order(order)
