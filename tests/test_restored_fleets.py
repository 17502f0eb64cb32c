"""Fleets of several sizes whose store comes back from copies."""

import dataclasses
import enum
import random

import pytest

from pearrun.duties import duties as duties_module
from tests.drills import DrillSite
from tests.test_restored_lease import check_reports
from tests.test_restored_lease import WINDOW_MS

STEP_MS = 250
DAY_MS = 90_000
DRILL_INTERVAL_MS = 11_000
MAX_AGE_MS = 6000
MAX_AWAY_MS = 2500
# Hosts that serve calls, and that notice a silent holder, in each step.
SERVING = 8
MONITORING = 3
# Windows that a drill may cost: the one that had just ended when the store
# went away, and those that end until a new holder has read the log.
MAX_LOST_WINDOWS = 6


class Loss(enum.Enum):
    """Which hosts are lost in a drill."""

    NONE = 'none'
    HOLDER = 'holder'
    ALL = 'all'


@dataclasses.dataclass(frozen=True)
class Drill:
    """A restore of the store.

    :param at_ms: when the store goes away.
    :param age_ms: age of the copy then.
    """

    at_ms: int
    away_ms: int
    age_ms: int
    loss: Loss


class Fleet:
    """Plays a day of a fleet with drills.

    :param count: number of hosts.
    :param loss: which hosts are lost in each drill; ``None`` for a random
        choice.
    """

    def __init__(self, count, seed, loss=None):
        self.rng = random.Random(seed)
        self.site = DrillSite([f'h{number}' for number in range(count)])
        self.copies = []
        self.served = set()
        self.away_until_ms = None
        self.drills = [
            Drill(
                at_ms,
                self.rng.randint(0, MAX_AWAY_MS),
                self.rng.randint(0, MAX_AGE_MS),
                loss or self.rng.choice(list(Loss)),
            )
            for at_ms in range(
                DRILL_INTERVAL_MS,
                DAY_MS - DRILL_INTERVAL_MS,
                DRILL_INTERVAL_MS,
            )
        ]

    def play(self):
        """Play the day; return the numbers of the windows without a report."""
        site = self.site
        pending = list(self.drills)
        began_ms = site.clock.now()
        while site.clock.now() - began_ms < DAY_MS:
            site.clock.advance(STEP_MS)
            now = site.clock.now() - began_ms
            self.copies.append((now, site.store.take_copy()))
            if pending and now >= pending[0].at_ms:
                self.play_drill(pending.pop(0))
            self.step(serve=now < DAY_MS - DRILL_INTERVAL_MS)
        return self.served - {report.window for report in site.reports}

    def play_drill(self, drill):
        """Let the store go away, hosts be lost, and the store come back."""
        site = self.site
        copy = next(
            topics
            for at_ms, topics in reversed(self.copies)
            if at_ms <= drill.at_ms - drill.age_ms
        )
        site.store.faults.status = 503
        holders = [host.name for host in site.list_holders()]
        for _ in range(0, drill.away_ms, STEP_MS):
            site.clock.advance(STEP_MS)
            self.step(serve=True)
        match drill.loss:
            case Loss.HOLDER:
                for name in holders:
                    site.restart(name)
            case Loss.ALL:
                for name in site.hosts:
                    site.restart(name)
        site.store.restore(copy)
        site.store.faults.status = 0

    def step(self, serve):
        """Let hosts serve calls, report them and perform the duties."""
        site = self.site
        hosts = list(site.hosts.values())
        holders = site.list_holders()
        if serve:
            for host in self.rng.sample(hosts, SERVING):
                host.count_calls(self.rng.randint(1, 5))
                self.served.add(site.clock.wall() // WINDOW_MS)
                for holder in holders:
                    host.report_to(holder)
        monitoring = [] if holders else self.rng.sample(hosts, MONITORING)
        for host in {*holders, *hosts[:MONITORING], *monitoring}:
            for holder in holders:
                if holder is not host:
                    holder.announce_to(host)
            host.act()


@pytest.mark.parametrize('loss', [Loss.HOLDER, Loss.ALL, None])
@pytest.mark.parametrize('count', [9, 84, 300])
def test_fleets_report_each_window_once_over_restores(
    count, loss, monkeypatch
):
    monkeypatch.setattr(duties_module, 'SAVE_RETRY_MS', 0)
    fleet = Fleet(count, 1, loss)
    lost = fleet.play()
    check_reports(fleet.site)
    assert len(lost) <= MAX_LOST_WINDOWS * len(fleet.drills)


@pytest.mark.parametrize('count', [9, 84])
def test_drills_that_the_holder_survives_cost_no_window(count, monkeypatch):
    monkeypatch.setattr(duties_module, 'SAVE_RETRY_MS', 0)
    fleet = Fleet(count, seed=count, loss=Loss.NONE)
    assert not fleet.play()
    check_reports(fleet.site)
