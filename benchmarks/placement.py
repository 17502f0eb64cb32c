"""Play the choice of endpoints in fleets of several sizes.

Hosts choose endpoints by :mod:`pearrun.decisions.placement` from what they
know of each other's calls: their own at once, those of their zone and of the
other zones by way of hubs, some rounds late.  Engines read prompts in chunks
between the steps of the calls that they run.  Nothing else of the system is
played; time is simulated.  Prints, by the number of hosts, the share of
calls whose first token came late, the 95th percentile of the time to it, and
the share of prompt tokens found cached:

    python -m benchmarks.placement --hosts=9,83,195,320 --load=reconcile
"""

import collections
import dataclasses
import heapq
import itertools
import random

from absl import app as absl_app
from absl import flags

from pearrun.decisions import placement
from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import EngineModel
from pearrun.decisions.prefixes import PrefixIndex
from pearrun.decisions.topology import MAX_MESH_HOSTS
from pearrun.shared.prompts import PromptPart
from pearrun.shared.selection import HUB_REPORT_AGE_MS
from pearrun.shared.selection import LARGE_PROMPT_TOKENS

FLAGS = flags.FLAGS
flags.DEFINE_list('hosts', ['9', '83', '195', '320'], 'numbers of hosts')
flags.DEFINE_list('load', ['reconcile', 'fault-desk'], 'loads to play')
flags.DEFINE_integer('seconds', 20, 'simulated seconds')
flags.DEFINE_integer('seed', 1, 'seed of all draws')
flags.DEFINE_bool('spread', True, 'whether unseen work is reckoned with')
flags.DEFINE_float('fill', 1.0, 'factor on the rate of calls')

ROUND_MS = 200.0
# Calls before this time only warm up the caches.
WARM_MS = 4000.0
# Time that a call takes, as hosts reckon.
ANSWER_MS = 1000.0


@dataclasses.dataclass(frozen=True)
class CallKind:
    """One kind of call.

    :param per_s: calls a second.
    :param tokens: mean of a prompt's own tokens, spread like ``spread``.
    :param shared: mean tokens of the part that a subject's calls share.
    :param subjects: how many subjects there are.
    :param output: mean tokens of an answer.
    :param target_ms: time in which the first token is due.
    """

    name: str
    per_s: float
    tokens: float
    spread: float
    most_tokens: int
    shared: float
    subjects: int
    output: float
    target_ms: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """What an engine does in a step.

    :param step_ms: milliseconds of a step, and those for each call in it.
    :param tokens_per_ms: prompt tokens read in a millisecond.
    """

    slots: int
    step_ms: float
    call_ms: float
    tokens_per_ms: float
    chunk: int
    first_ms: float
    memory: int


@dataclasses.dataclass(frozen=True)
class Load:
    """Calls, the endpoints that serve them, and zones."""

    kinds: tuple[CallKind, ...]
    engine: Engine
    endpoints: int
    zones: int


LOADS = {
    'reconcile': Load(
        (
            CallKind('long', 105, 6610, 1.4, 54600, 4870, 723, 380, 645),
            CallKind('draft', 91, 628, 1.0, 3310, 120, 1406, 290, 819),
            CallKind('tag', 224, 1800, 1.3, 6870, 341, 3447, 22, 1222),
        ),
        Engine(12, 3.23, 0.0483, 112.0, 2048, 47.0, 486_733),
        endpoints=60,
        zones=4,
    ),
    'fault-desk': Load(
        (
            CallKind('long', 70.9, 6610, 1.4, 54600, 4870, 546, 380, 1023),
            CallKind('query', 264, 1800, 1.3, 6870, 341, 2038, 22, 511),
        ),
        Engine(48, 2.89, 0.101, 55.0, 1024, 15.0, 605_297),
        endpoints=50,
        zones=5,
    ),
}


@dataclasses.dataclass
class Call:
    """A call on its way."""

    kind: CallKind
    host: int
    part: PromptPart
    came_ms: float
    tokens: int
    output: int
    fresh: int = 0
    unread: float = 0.0
    first_ms: float | None = None


class EngineState:
    """One engine: what it runs, reads, keeps waiting and has cached."""

    def __init__(self, settings):
        self.settings = settings
        self.running = []
        self.reading = collections.deque()
        self.waiting = collections.deque()
        self.cache = collections.OrderedDict()
        self.cached_tokens = 0
        self.busy = False

    def accept(self, call):
        """Take a call; it waits while all slots are taken."""
        self.waiting.append(call)
        self._admit()

    def _admit(self):
        while (
            self.waiting
            and len(self.running) + len(self.reading) < self.settings.slots
        ):
            call = self.waiting.popleft()
            cached = call.part.tokens if self._use(call.part) else 0
            call.unread = call.tokens - cached
            call.unread += self.settings.first_ms * self.settings.tokens_per_ms
            self.reading.append(call)

    def _use(self, part):
        """Note a part's use; say whether it was cached."""
        known = part.id in self.cache
        if known:
            self.cache.move_to_end(part.id)
            return True
        self.cache[part.id] = part.tokens
        self.cached_tokens += part.tokens * 2
        while self.cached_tokens > self.settings.memory:
            _, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens * 2
        return False

    def step(self):
        """Do one step.

        :returns: ``(milliseconds, calls whose first token came, ended)``.
        """
        settings = self.settings
        step_ms = settings.step_ms + settings.call_ms * len(self.running)
        left = settings.chunk
        first = []
        while self.reading and left > 0:
            call = self.reading[0]
            read = min(left, call.unread)
            call.unread -= read
            left -= read
            if call.unread <= 0:
                first.append(self.reading.popleft())
        step_ms += (settings.chunk - left) / settings.tokens_per_ms
        ended = []
        for call in self.running:
            call.output -= 1
            if call.output <= 0:
                ended.append(call)
        if ended:
            self.running = [call for call in self.running if call.output > 0]
        self.running.extend(first)
        self._admit()
        return step_ms, first, ended


class Reports:
    """What hosts know of each other's calls: sums by zone, rounds old.

    :param zones: number of zones; host ``h`` is in zone ``h % zones``.
    """

    def __init__(self, hosts, zones, endpoints):
        self.hosts = hosts
        self.zones = zones
        self.endpoints = endpoints
        self.mesh = hosts <= MAX_MESH_HOSTS
        self.own = [self._empty() for _ in range(hosts)]
        self.told = [self._empty() for _ in range(hosts)]
        self.sums = [self._empty() for _ in range(zones)]
        self.covered = [self._empty() for _ in range(hosts)]
        self.passed = [
            [self._empty() for _ in range(zones)] for _ in range(zones)
        ]

    def _empty(self):
        return [0] * (2 * self.endpoints)

    def tell(self, host):
        """Have a host report what it has under way."""
        self.told[host] = list(self.own[host])

    def sum_up(self, zone):
        """Have a zone's hub sum up its zone and pass on the others' sums."""
        members = range(zone, self.hosts, self.zones)
        self.sums[zone] = [
            sum(column)
            for column in zip(*(self.told[h] for h in members), strict=True)
        ]
        for host in members:
            self.covered[host] = self.told[host]
        self.passed[zone] = list(self.sums)

    def look(self, host):
        """Return calls and reading tokens by endpoint, as a host sees them."""
        if self.mesh:
            others = [t for h, t in enumerate(self.told) if h != host]
            view = [sum(column) for column in zip(*others, strict=True)]
            own = self.own[host]
            return [a + b for a, b in zip(view, own, strict=True)]
        columns = zip(*self.passed[host % self.zones], strict=True)
        return [
            max(0, sum(column) - covered) + own
            for column, covered, own in zip(
                columns, self.covered[host], self.own[host], strict=True
            )
        ]


class Play:
    """One play of a load on a number of hosts.

    :param fill: factor on the rate of calls.
    :param spread: whether hosts reckon with what they have not heard of.
    """

    def __init__(self, load, hosts, seed=1, fill=1.0, spread=True):
        self.load = load
        self.spread = spread
        self.fill = fill
        self.random = random.Random(seed)
        self.reports = Reports(hosts, load.zones, load.endpoints)
        self.hosts = hosts
        self.engines = [
            EngineState(load.engine) for _ in range(load.endpoints)
        ]
        self.names = [f'i-{n:04d}' for n in range(load.endpoints)]
        self.prefixes = PrefixIndex()
        self.model = EngineModel(
            load.engine.tokens_per_ms * 0.85, load.engine.first_ms, 100.0
        )
        self.settings = placement.PlacementSettings()
        self.parts = {}
        self.events = []
        self.order = itertools.count()
        self.calls = []
        self.now = 0.0

    def at(self, when_ms, action, *args):
        """Have something happen at a time."""
        heapq.heappush(self.events, (when_ms, next(self.order), action, args))

    def run(self, seconds):
        """Play; return the calls that came after the warm-up."""
        for kind in self.load.kinds:
            self.at(0.0, self._come, kind)
        for host in range(self.hosts):
            self.at(self.random.uniform(0, ROUND_MS), self._round, host)
        for zone in range(self.load.zones):
            self.at(self.random.uniform(0, ROUND_MS), self._hub_round, zone)
        while self.events and self.now < seconds * 1000.0:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        latest = seconds * 1000.0 - 2500.0
        return [c for c in self.calls if WARM_MS < c.came_ms < latest]

    def _round(self, host):
        self.reports.tell(host)
        self.at(self.now + ROUND_MS, self._round, host)

    def _hub_round(self, zone):
        self.reports.sum_up(zone)
        self.at(self.now + ROUND_MS, self._hub_round, zone)

    def _come(self, kind):
        rate = kind.per_s * self.fill
        gap_ms = self.random.expovariate(rate) * 1000.0
        self.at(self.now + gap_ms, self._come, kind)
        own = draw(self.random, kind.tokens, kind.spread, kind.most_tokens)
        part = self._draw_part(kind)
        output = draw(self.random, kind.output, 0.5, kind.output * 4)
        host = self.random.randrange(self.hosts)
        call = Call(kind, host, part, self.now, own + part.tokens, output)
        self.calls.append(call)
        self._place(call)

    def _draw_part(self, kind):
        key = f'{kind.name}-{self.random.randrange(kind.subjects)}'
        if key not in self.parts:
            tokens = draw(self.random, kind.shared, 0.7, kind.shared * 3)
            self.parts[key] = PromptPart(key, tokens)
        return self.parts[key]

    def _place(self, call):
        view = self.reports.look(call.host)
        cached = self.prefixes.find_cached([call.part], self.now)
        count = self.load.endpoints
        zone = call.host % self.load.zones
        candidates = [
            placement.Candidate(
                self.names[n],
                n % self.load.zones == zone,
                self.load.engine.slots,
                view[n],
                view[count + n],
                cached.get(self.names[n], 0),
            )
            for n in range(count)
        ]
        demand = self._describe(call)
        best, _ = placement.choose(
            candidates, demand, self.model, self.settings, self._unseen()
        )
        number = self.names.index(best.id)
        call.fresh = max(0, call.tokens - best.cached_tokens)
        own = self.reports.own[call.host]
        own[number] += 1
        own[count + number] += call.fresh
        if call.fresh >= LARGE_PROMPT_TOKENS:
            self.reports.tell(call.host)
        self.at(self.now + 300.0, self._note_placed, best.id, call.part)
        self.at(self.now + 2.0, self._arrive, call, number)

    def _unseen(self):
        """Return the :class:`UnreportedLoad` work of the other hosts."""
        if not self.spread or self.reports.mesh:
            return placement.NO_UNREPORTED_LOAD
        kinds = self.load.kinds
        share = self.fill * (1 - 1 / self.hosts)
        tokens = sum(
            kind.per_s * (kind.tokens + kind.shared) for kind in kinds
        )
        others = Demand(
            busy=share * sum(kind.per_s for kind in kinds) * ANSWER_MS / 1000,
            tokens_per_s=share * tokens,
        )
        return placement.estimate_unreported_load(
            others, HUB_REPORT_AGE_MS, ANSWER_MS, self.model, self.settings
        )

    def _describe(self, call):
        return placement.CallDemand(
            call.tokens, call.part.id, call.part.tokens, ANSWER_MS
        )

    def _note_placed(self, endpoint_id, part):
        self.prefixes.note_cached(endpoint_id, [part], self.now)

    def _arrive(self, call, number):
        self.engines[number].accept(call)
        self._wake(number)

    def _wake(self, number):
        engine = self.engines[number]
        if engine.busy or not (engine.running or engine.reading):
            return
        engine.busy = True
        step_ms, first, ended = engine.step()
        self.at(self.now + step_ms, self._stepped, number, first, ended)

    def _stepped(self, number, first, ended):
        count = self.load.endpoints
        for call in first:
            call.first_ms = self.now - call.came_ms
            self.reports.own[call.host][count + number] -= call.fresh
        for call in ended:
            self.reports.own[call.host][number] -= 1
        self.engines[number].busy = False
        self._wake(number)


def draw(source, mean, spread, most):
    """Draw a whole number from a lognormal distribution of a mean."""
    factor = source.lognormvariate(-spread * spread / 2, spread)
    return int(max(1, min(most, mean * factor)))


def summarize(calls):
    """Return late share, 95th percentile and share found cached, by kind."""
    rows = {}
    for name in sorted({call.kind.name for call in calls}):
        of_kind = [call for call in calls if call.kind.name == name]
        first = sorted(
            call.first_ms if call.first_ms is not None else 1e6
            for call in of_kind
        )
        late = sum(ms > of_kind[0].kind.target_ms for ms in first) / len(first)
        tokens = sum(call.tokens for call in of_kind)
        fresh = sum(call.fresh for call in of_kind)
        p95 = first[int(len(first) * 0.95)]
        rows[name] = (late, p95, 1 - fresh / tokens)
    return rows


def main(argv):
    """Play each load at each number of hosts."""
    del argv
    for name in FLAGS.load:
        for hosts in map(int, FLAGS.hosts):
            play = Play(
                LOADS[name], hosts, FLAGS.seed, FLAGS.fill, FLAGS.spread
            )
            rows = summarize(play.run(FLAGS.seconds))
            cells = [
                f'{kind}: late {late:.3f}, p95 {p95:.0f} ms, '
                f'cached {cached:.2f}'
                for kind, (late, p95, cached) in rows.items()
            ]
            print(f'{name}, {hosts} hosts: {"; ".join(cells)}', flush=True)


if __name__ == '__main__':
    absl_app.run(main)
