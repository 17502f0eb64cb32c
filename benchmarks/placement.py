"""Simulation of placement in fleets of several sizes.

Hosts choose endpoints with :mod:`pearrun.decisions.placement`.  They know
their own calls immediately, and those of other hosts from reports, which in
large fleets arrive through hubs with a delay of several rounds.  Engines use
continuous batching with chunked prefill.  Nothing else of the system is
simulated.  Prints for each number of hosts the fraction of calls whose first
token was late, the 95th percentile of the time to first token, and the
fraction of prompt tokens that were cached:

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
flags.DEFINE_list(
    'hosts', ['9', '83', '195', '320'], 'fleet sizes to simulate'
)
flags.DEFINE_list('load', ['reconcile', 'fault-desk'], 'workloads to simulate')
flags.DEFINE_integer('seconds', 20, 'simulated seconds')
flags.DEFINE_integer('seed', 1, 'seed of the simulated calls')
flags.DEFINE_bool('spread', True, 'account for unreported load')
flags.DEFINE_float('fill', 1.0, 'factor applied to call rates')

# Interval at which hosts report and hubs aggregate.
ROUND_MS = 200.0
# Calls before this time only fill the caches and are not counted.
WARMUP_MS = 4000.0
# The hosts' estimate of the duration of a call.
ANSWER_MS = 1000.0


@dataclasses.dataclass(frozen=True)
class CallKind:
    """One kind of call.

    :param calls_per_s: arrival rate.
    :param own_tokens: mean length of the part of a prompt that is not shared.
    :param sigma: sigma of the lognormal distribution of these lengths.
    :param max_own_tokens: upper bound of these lengths.
    :param shared_tokens: mean length of the prefix shared by all calls on one
        subject.
    :param subjects: number of subjects.
    :param output_tokens: mean length of an answer.
    :param target_ms: latency target of the first token.
    """

    name: str
    calls_per_s: float
    own_tokens: float
    sigma: float
    max_own_tokens: int
    shared_tokens: float
    subjects: int
    output_tokens: float
    target_ms: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """Capacity and speed of an engine.

    :param slots: maximum number of calls in a batch.
    :param step_ms: duration of a step with an empty batch.
    :param per_call_ms: additional duration for each decoding call.
    :param tokens_per_ms: prefill rate.
    :param chunk_tokens: maximum number of prompt tokens prefilled per step.
    :param prefill_overhead_ms: additional prefill time of each prompt.
    :param cache_tokens: capacity of the prefix cache, in which a prefix takes
        twice its tokens.
    """

    slots: int
    step_ms: float
    per_call_ms: float
    tokens_per_ms: float
    chunk_tokens: int
    prefill_overhead_ms: float
    cache_tokens: int


@dataclasses.dataclass(frozen=True)
class Workload:
    """Kinds of calls, and the engines and zones that serve them."""

    kinds: tuple[CallKind, ...]
    engine: Engine
    endpoints: int
    zones: int


WORKLOADS = {
    'reconcile': Workload(
        (
            CallKind('long', 105, 6610, 1.4, 54600, 4870, 723, 380, 645),
            CallKind('draft', 91, 628, 1.0, 3310, 120, 1406, 290, 819),
            CallKind('tag', 224, 1800, 1.3, 6870, 341, 3447, 22, 1222),
        ),
        Engine(12, 3.23, 0.0483, 112.0, 2048, 47.0, 486_733),
        endpoints=60,
        zones=4,
    ),
    'fault-desk': Workload(
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
    """A simulated call.

    :param host: number of the host that received it.
    :param part: the shared prefix of its prompt.
    :param arrived_ms: time of its arrival.
    :param tokens: prompt tokens, including the shared prefix.
    :param output_left: tokens still to be generated.
    :param uncached_tokens: prompt tokens that the host expects to be
        prefilled.
    :param prefill_left: prompt tokens that the engine still has to prefill.
    :param first_token_ms: time to first token; ``None`` before it.
    """

    kind: CallKind
    host: int
    part: PromptPart
    arrived_ms: float
    tokens: int
    output_left: int
    uncached_tokens: int = 0
    prefill_left: float = 0.0
    first_token_ms: float | None = None


class EngineState:
    """One engine: its queue, its batch and its prefix cache.

    Calls in ``prefilling`` and ``decoding`` occupy slots.
    """

    def __init__(self, settings):
        self.settings = settings
        self.decoding = []
        self.prefilling = collections.deque()
        self.queue = collections.deque()
        self.cache = collections.OrderedDict()
        self.used_tokens = 0
        self.busy = False

    def accept(self, call):
        """Accept a call; it is queued while all slots are occupied."""
        self.queue.append(call)
        self._admit()

    def _admit(self):
        while (
            self.queue
            and len(self.decoding) + len(self.prefilling) < self.settings.slots
        ):
            call = self.queue.popleft()
            cached = call.part.tokens if self._touch(call.part) else 0
            call.prefill_left = call.tokens - cached
            call.prefill_left += (
                self.settings.prefill_overhead_ms * self.settings.tokens_per_ms
            )
            self.prefilling.append(call)

    def _touch(self, part):
        """Record the use of a prefix; return whether it was cached."""
        is_cached = part.id in self.cache
        if is_cached:
            self.cache.move_to_end(part.id)
            return True
        self.cache[part.id] = part.tokens
        self.used_tokens += part.tokens * 2
        while self.used_tokens > self.settings.cache_tokens:
            _, tokens = self.cache.popitem(last=False)
            self.used_tokens -= tokens * 2
        return False

    def step(self):
        """Execute one step.

        :returns: ``(duration in ms, calls with their first token, completed
            calls)``.
        """
        settings = self.settings
        step_ms = settings.step_ms + settings.per_call_ms * len(self.decoding)
        left = settings.chunk_tokens
        prefilled = []
        while self.prefilling and left > 0:
            call = self.prefilling[0]
            tokens = min(left, call.prefill_left)
            call.prefill_left -= tokens
            left -= tokens
            if call.prefill_left <= 0:
                prefilled.append(self.prefilling.popleft())
        step_ms += (settings.chunk_tokens - left) / settings.tokens_per_ms
        completed = []
        for call in self.decoding:
            call.output_left -= 1
            if call.output_left <= 0:
                completed.append(call)
        if completed:
            self.decoding = [
                call for call in self.decoding if call.output_left > 0
            ]
        self.decoding.extend(prefilled)
        self._admit()
        return step_ms, prefilled, completed


class Reports:
    """What hosts know of each other's calls from their latest reports.

    A report is a list with the number of calls for each endpoint, followed by
    the queued prompt tokens for each endpoint.

    :param hosts: number of hosts; host ``h`` is in zone ``h % zones``.
    :param zones: number of zones.
    :param endpoints: number of endpoints.
    """

    def __init__(self, hosts, zones, endpoints):
        self.hosts = hosts
        self.zones = zones
        self.endpoints = endpoints
        self.mesh = hosts <= MAX_MESH_HOSTS
        self.own = [self._empty() for _ in range(hosts)]
        self.sent = [self._empty() for _ in range(hosts)]
        self.sums = [self._empty() for _ in range(zones)]
        self.covered = [self._empty() for _ in range(hosts)]
        self.forwarded = [
            [self._empty() for _ in range(zones)] for _ in range(zones)
        ]

    def _empty(self):
        return [0] * (2 * self.endpoints)

    def send(self, host):
        """Send the report of a host."""
        self.sent[host] = list(self.own[host])

    def aggregate(self, zone):
        """Have a zone's hub sum up its zone and forward all zones' sums."""
        members = range(zone, self.hosts, self.zones)
        self.sums[zone] = [
            sum(column)
            for column in zip(*(self.sent[h] for h in members), strict=True)
        ]
        for host in members:
            self.covered[host] = self.sent[host]
        self.forwarded[zone] = list(self.sums)

    def view(self, host):
        """Return the load of all endpoints as known to a host."""
        if self.mesh:
            others = [r for h, r in enumerate(self.sent) if h != host]
            sums = [sum(column) for column in zip(*others, strict=True)]
            own = self.own[host]
            return [a + b for a, b in zip(sums, own, strict=True)]
        columns = zip(*self.forwarded[host % self.zones], strict=True)
        return [
            max(0, sum(column) - covered) + own
            for column, covered, own in zip(
                columns, self.covered[host], self.own[host], strict=True
            )
        ]


class Simulation:
    """Discrete-event simulation of a workload in a fleet.

    :param workload: the :class:`Workload`.
    :param hosts: number of hosts.
    :param rate_factor: factor applied to call rates.
    :param use_unreported: whether placement accounts for unreported load.
    """

    def __init__(
        self, workload, hosts, seed=1, rate_factor=1.0, use_unreported=True
    ):
        self.workload = workload
        self.use_unreported = use_unreported
        self.rate_factor = rate_factor
        self.random = random.Random(seed)
        self.reports = Reports(hosts, workload.zones, workload.endpoints)
        self.hosts = hosts
        self.engines = [
            EngineState(workload.engine) for _ in range(workload.endpoints)
        ]
        self.endpoint_ids = [f'i-{n:04d}' for n in range(workload.endpoints)]
        self.prefixes = PrefixIndex()
        self.model = EngineModel(
            workload.engine.tokens_per_ms * 0.85,
            workload.engine.prefill_overhead_ms,
            100.0,
        )
        self.settings = placement.PlacementSettings()
        self.parts = {}
        self.events = []
        self.event_ids = itertools.count()
        self.calls = []
        self.now_ms = 0.0

    def schedule(self, due_ms, action, *args):
        """Schedule an action."""
        heapq.heappush(
            self.events, (due_ms, next(self.event_ids), action, args)
        )

    def run(self, seconds):
        """Run the simulation.

        :param seconds: its duration in simulated time.
        :returns: the calls that arrived after the warm-up and long enough
            before the end to receive their first token.
        """
        for kind in self.workload.kinds:
            self.schedule(0.0, self._create_call, kind)
        for host in range(self.hosts):
            self.schedule(
                self.random.uniform(0, ROUND_MS), self._send_report, host
            )
        for zone in range(self.workload.zones):
            self.schedule(
                self.random.uniform(0, ROUND_MS), self._aggregate_zone, zone
            )
        while self.events and self.now_ms < seconds * 1000.0:
            self.now_ms, _, action, args = heapq.heappop(self.events)
            action(*args)
        last_arrival_ms = seconds * 1000.0 - 2500.0
        return [
            c for c in self.calls if WARMUP_MS < c.arrived_ms < last_arrival_ms
        ]

    def _send_report(self, host):
        self.reports.send(host)
        self.schedule(self.now_ms + ROUND_MS, self._send_report, host)

    def _aggregate_zone(self, zone):
        self.reports.aggregate(zone)
        self.schedule(self.now_ms + ROUND_MS, self._aggregate_zone, zone)

    def _create_call(self, kind):
        rate = kind.calls_per_s * self.rate_factor
        gap_ms = self.random.expovariate(rate) * 1000.0
        self.schedule(self.now_ms + gap_ms, self._create_call, kind)
        own_tokens = draw_tokens(
            self.random, kind.own_tokens, kind.sigma, kind.max_own_tokens
        )
        part = self._draw_part(kind)
        output_tokens = draw_tokens(
            self.random, kind.output_tokens, 0.5, kind.output_tokens * 4
        )
        host = self.random.randrange(self.hosts)
        call = Call(
            kind,
            host,
            part,
            self.now_ms,
            own_tokens + part.tokens,
            output_tokens,
        )
        self.calls.append(call)
        self._place_call(call)

    def _draw_part(self, kind):
        key = f'{kind.name}-{self.random.randrange(kind.subjects)}'
        if key not in self.parts:
            tokens = draw_tokens(
                self.random, kind.shared_tokens, 0.7, kind.shared_tokens * 3
            )
            self.parts[key] = PromptPart(key, tokens)
        return self.parts[key]

    def _place_call(self, call):
        loads = self.reports.view(call.host)
        cached = self.prefixes.find_cached([call.part], self.now_ms)
        count = self.workload.endpoints
        zone = call.host % self.workload.zones
        candidates = [
            placement.Candidate(
                self.endpoint_ids[n],
                n % self.workload.zones == zone,
                self.workload.engine.slots,
                loads[n],
                loads[count + n],
                cached.get(self.endpoint_ids[n], 0),
            )
            for n in range(count)
        ]
        demand = self._make_demand(call)
        best, _ = placement.choose(
            candidates,
            demand,
            self.model,
            self.settings,
            self._estimate_unreported(),
            self.random,
        )
        number = self.endpoint_ids.index(best.id)
        call.uncached_tokens = max(0, call.tokens - best.cached_tokens)
        own = self.reports.own[call.host]
        own[number] += 1
        own[count + number] += call.uncached_tokens
        if call.uncached_tokens >= LARGE_PROMPT_TOKENS:
            self.reports.send(call.host)
        self.schedule(
            self.now_ms + 300.0, self._note_placed, best.id, call.part
        )
        self.schedule(self.now_ms + 2.0, self._deliver, call, number)

    def _estimate_unreported(self):
        """Return the :class:`UnreportedLoad` of the other hosts."""
        if not self.use_unreported or self.reports.mesh:
            return placement.NO_UNREPORTED_LOAD
        kinds = self.workload.kinds
        share = self.rate_factor * (1 - 1 / self.hosts)
        tokens = sum(
            kind.calls_per_s * (kind.own_tokens + kind.shared_tokens)
            for kind in kinds
        )
        others = Demand(
            busy=share
            * sum(kind.calls_per_s for kind in kinds)
            * ANSWER_MS
            / 1000,
            tokens_per_s=share * tokens,
        )
        return placement.estimate_unreported_load(
            others, HUB_REPORT_AGE_MS, ANSWER_MS, self.model, self.settings
        )

    def _make_demand(self, call):
        return placement.CallDemand(
            call.tokens, call.part.id, call.part.tokens, ANSWER_MS
        )

    def _note_placed(self, endpoint_id, part):
        self.prefixes.note_cached(endpoint_id, [part], self.now_ms)

    def _deliver(self, call, number):
        self.engines[number].accept(call)
        self._start_step(number)

    def _start_step(self, number):
        engine = self.engines[number]
        if engine.busy or not (engine.decoding or engine.prefilling):
            return
        engine.busy = True
        step_ms, prefilled, completed = engine.step()
        self.schedule(
            self.now_ms + step_ms,
            self._complete_step,
            number,
            prefilled,
            completed,
        )

    def _complete_step(self, number, prefilled, completed):
        count = self.workload.endpoints
        for call in prefilled:
            call.first_token_ms = self.now_ms - call.arrived_ms
            self.reports.own[call.host][count + number] -= call.uncached_tokens
        for call in completed:
            self.reports.own[call.host][number] -= 1
        self.engines[number].busy = False
        self._start_step(number)


def draw_tokens(rng, mean, sigma, max_tokens):
    """Draw a number of tokens from a lognormal distribution.

    :param mean: mean of the distribution without the upper bound.
    :param sigma: standard deviation of its logarithm.
    :param max_tokens: upper bound of the result.
    """
    factor = rng.lognormvariate(-sigma * sigma / 2, sigma)
    return int(max(1, min(max_tokens, mean * factor)))


def summarize(calls):
    """Summarize calls by kind.

    :returns: a map from the name of a kind to the fraction of its calls that
        were late, the 95th percentile of their times to first token, and the
        fraction of their prompt tokens that were cached.
    """
    rows = {}
    for name in sorted({call.kind.name for call in calls}):
        of_kind = [call for call in calls if call.kind.name == name]
        times_ms = sorted(
            call.first_token_ms if call.first_token_ms is not None else 1e6
            for call in of_kind
        )
        late = sum(ms > of_kind[0].kind.target_ms for ms in times_ms) / len(
            times_ms
        )
        tokens = sum(call.tokens for call in of_kind)
        uncached = sum(call.uncached_tokens for call in of_kind)
        p95 = times_ms[int(len(times_ms) * 0.95)]
        rows[name] = (late, p95, 1 - uncached / tokens)
    return rows


def main(argv):
    """Simulate each workload with each number of hosts."""
    del argv
    for name in FLAGS.load:
        for hosts in map(int, FLAGS.hosts):
            simulation = Simulation(
                WORKLOADS[name], hosts, FLAGS.seed, FLAGS.fill, FLAGS.spread
            )
            rows = summarize(simulation.run(FLAGS.seconds))
            cells = [
                f'{kind}: late {late:.3f}, p95 {p95:.0f} ms, '
                f'cached {cached:.2f}'
                for kind, (late, p95, cached) in rows.items()
            ]
            print(f'{name}, {hosts} hosts: {"; ".join(cells)}', flush=True)


if __name__ == '__main__':
    absl_app.run(main)
