"""Conducts roll-outs while this host holds the lease on the duties."""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions import rollout
from pearrun.decisions import versiontest
from pearrun.decisions.rollout import Stage
from pearrun.rollouts.orders import RolloutNotice
from pearrun.rollouts.orders import RolloutOrder
from pearrun.rollouts.orders import RolloutState
from pearrun.rollouts.orders import RolloutStatus

# Interval of decisions while a roll-out is open.
DECISION_INTERVAL_MS = 100
# How long one selection of endpoints gets the small share, so that several
# endpoints of the new version are tried.
TURN_MS = 3000
# Fraction of the hosts from which notes are needed to call a service idle; a
# partitioned holder hears only a part of them.
INFORMED_FRACTION = 0.9
# Expected concurrent calls below which a service is idle.
MAX_IDLE_BUSY = 0.01


class Conduct:
    """What the lease holder knows of one roll-out.

    :param order: the :class:`RolloutOrder`.
    :param settings: :class:`RolloutSettings`.

    ``is_final`` says that the final state is being written: the store may
    have executed a write without an answer, so the decision stands.
    """

    def __init__(self, order, settings):
        self.order = order
        self.test = versiontest.BadVersionTest(settings)
        self.plan = rollout.Plan(Stage.CANARY)
        self.moved_since_ms = None
        self.turn = 0
        self.turn_since_ms = None
        self.suspects = set()
        self.is_final = False

    def update_turn(self, now_ms):
        """Select other endpoints after some time, or if these look bad."""
        suspects = self.test.list_suspects()
        due = (
            self.turn_since_ms is None
            or now_ms - self.turn_since_ms >= TURN_MS
        )
        if due or suspects - self.suspects:
            self.turn += self.turn_since_ms is not None
            self.turn_since_ms = now_ms
        self.suspects = suspects

    def make_notice(self, state):
        """Return the :class:`RolloutNotice` for the other hosts."""
        stage = self.plan.stage
        return RolloutNotice(
            self.order.service,
            self.order.number,
            self.order.to,
            state,
            self.plan.routes,
            stage in (Stage.MOVE, Stage.COMPLETE),
            self.turn,
            self.plan.share,
            self.plan.route_shares,
        )


class Conductor:
    """Decides on open roll-outs and writes their states to the store.

    :param host: shared objects of this host.
    :param log: the :class:`RolloutLog`.
    :param notify_peers: called when the other hosts must hear of a decision
        at once.
    """

    def __init__(self, host, log, notify_peers):
        self.host = host
        self.rollouts = host.rollouts
        self.log = log
        self.notify_peers = notify_peers
        self.settings = host.settings.rollout
        self.term = None
        self._conducts = {}

    async def act(self, term):
        """Conduct the open roll-outs until there are none, or the term ends.

        :param term: the :class:`Term` under which this host acts.
        :raises StoreError: the store did not answer.
        """
        while term.holds() and not self.host.stopping:
            if self.rollouts.has_orders():
                await self._adopt(term)
            if not self.rollouts.list_open():
                return
            for known in self.rollouts.list_open():
                await self._conduct(known, term)
            await asyncio.sleep(to_seconds(DECISION_INTERVAL_MS))

    async def _adopt(self, term):
        """Read the states that were written before, once per term.

        Final states that a restored store lacks are written again.
        """
        if self.term is term:
            return
        self._conducts.clear()
        statuses = await self.log.read()
        for status in statuses.values():
            self.rollouts.put_status(status)
        for known in self.rollouts.list_closed():
            status = statuses.get(known.order.service)
            if status is None or not status.is_final_of(known.order):
                await self.log.write(
                    RolloutStatus(
                        known.order.service, known.order.to, known.state
                    )
                )
        self.term = term

    async def _conduct(self, known, term):
        """Make and carry out the decision on one roll-out."""
        order = known.order
        config = self.host.config.current
        if not isinstance(order, RolloutOrder) or config is None:
            return
        if order.service not in config.services:
            return
        conduct = self._conducts.get(order.service)
        if conduct is None or conduct.order != order:
            conduct = Conduct(order, self.settings)
            self._conducts[order.service] = conduct
            self.host.evidence.remove_before(order.service, order.number)
            await self._write(order, RolloutState.RUNNING)
        if known.current == order.to:
            await self._finish(conduct, RolloutState.DONE)
            return
        self._decide(conduct, known)
        if not term.holds():
            return
        match conduct.plan.stage:
            case Stage.REVERT:
                await self._finish(conduct, RolloutState.REVERTED)
            case Stage.COMPLETE:
                await self._finish(conduct, RolloutState.DONE)

    def _decide(self, conduct, known):
        """Update the plan from the evidence of all hosts."""
        if conduct.is_final:
            return
        order = conduct.order
        now = self.host.clock.now()
        board = self.host.evidence
        evidence = board.sum(order.service, order.number)
        moved_since_ms = conduct.moved_since_ms
        conduct.test.update(
            evidence,
            now,
            self.settings.judge_delay_ms if moved_since_ms is None else 0,
        )
        conduct.update_turn(now)
        progress = rollout.Progress(
            elapsed_ms=now - known.ordered_ms,
            duration_ms=order.duration_ms,
            score=conduct.test.score,
            suspicion=conduct.test.suspicion,
            balance=conduct.test.balance,
            route_balances=dict(conduct.test.provisional.route_balances),
            moved_ms=None if moved_since_ms is None else now - moved_since_ms,
            answer_ms=board.get_answer_ms(order.service, order.number),
            endpoints=self.rollouts.count_endpoints(order.service, order.to),
            is_idle=self._is_idle(order),
        )
        plan = rollout.decide(progress, evidence, self.settings)
        if plan == conduct.plan:
            return
        previous = conduct.plan
        conduct.plan = plan
        is_same_stage = (plan.stage, plan.routes) == (
            previous.stage,
            previous.routes,
        )
        if is_same_stage and plan.share < 2 * previous.share:
            # A slightly different share goes out with the next round.
            return
        if plan.stage is Stage.MOVE and moved_since_ms is None:
            conduct.moved_since_ms = now
        logger.bind(
            service=order.service,
            to=order.to,
            stage=plan.stage.value,
            routes=sorted(plan.routes),
            share=plan.share,
            elapsed_ms=progress.elapsed_ms,
            duration_ms=order.duration_ms,
            score=round(conduct.test.score, 2),
            suspicion=round(conduct.test.suspicion, 2),
            balance=round(conduct.test.balance, 1),
            scores={
                route: round(score, 1)
                for route, score in conduct.test.provisional.by_route.items()
            },
            old=describe(evidence.old.values()),
            new=describe(evidence.new.values()),
        ).info('roll-out decision')
        self._apply_own_notice(conduct)
        self.notify_peers()

    def _is_idle(self, order):
        """Return whether nearly all hosts say that a service gets no calls."""
        if not self.host.members.listed:
            return False
        heard = self.host.evidence.count_runs(order.service, order.number)
        if heard < INFORMED_FRACTION * self.host.count_hosts():
            return False
        return self.host.demands.sum_all(order.service).busy < MAX_IDLE_BUSY

    def _apply_own_notice(self, conduct):
        """Let this host's own calls follow the decision."""
        notice = conduct.make_notice(RolloutState.RUNNING)
        self.rollouts.put_notice(
            notice, self.term.fencing, self.host.clock.now()
        )

    async def _finish(self, conduct, state):
        """Write a final state, then act on it."""
        conduct.is_final = True
        await self._write(conduct.order, state)
        self.rollouts.close(conduct.order.service, state)
        self.notify_peers()

    async def _write(self, order, state):
        """Write a state, unless a final one was written by another holder.

        :raises StoreConflictError: something was written since the states were
            read; they are read again before the next decision.
        :raises StoreError: no answer; the state may have been written.
        """
        status = RolloutStatus(order.service, order.to, state)
        try:
            await self.log.write(status)
        except exceptions.StoreConflictError:
            self.term = None
            self._conducts.clear()
            raise

    def make_notices(self):
        """Return the notices for the other hosts.

        Final states are repeated, for hosts that restart or were cut off.

        :returns: a tuple of :class:`RolloutNotice`.
        """
        notices = []
        for service, known in self.rollouts.services.items():
            conduct = self._conducts.get(service)
            if known.is_open and conduct is not None:
                notice = conduct.make_notice(RolloutState.RUNNING)
                self._apply_own_notice(conduct)
                notices.append(notice)
            elif known.order is not None and not known.is_open:
                order = known.order
                notices.append(
                    RolloutNotice(service, order.number, order.to, known.state)
                )
        return tuple(notices)


def describe(tallies):
    """Return the sum of tallies for the log: answers and bad ones."""
    total = sum(tallies, start=versiontest.Tally())
    return total.answers, total.bad
