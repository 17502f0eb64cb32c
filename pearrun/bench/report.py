"""Reports of rounds: latency percentiles and targets, cost, tokens."""

import dataclasses

from hdrh.histogram import HdrHistogram

from pearrun import metrics
from pearrun.bench.caller import OutcomeKind

MEASURES = ('ttft', 'itl', 'total')


@dataclasses.dataclass
class ReportLine:
    """Figures of one customer's requests to one service.

    :param counts: number of requests of each outcome, and numbers of
        refusals and resumes.
    :param within_target: number of requests that met all targets.
    """

    service: str
    customer: str
    counts: dict
    within_target: int
    ttft: HdrHistogram
    itl: HdrHistogram
    total: HdrHistogram

    def to_body(self, targets):
        """Return the line as a JSON body, with percentiles and targets."""
        body = {
            'service': self.service,
            'customer': self.customer,
            'within_target': self.within_target,
            **self.counts,
        }
        for measure in MEASURES:
            summary = metrics.summarize(getattr(self, measure))
            summary['target'] = getattr(targets, f'{measure}_ms')
            body[f'{measure}_ms'] = summary
        return body


@dataclasses.dataclass
class Round:
    """The results of one round under one routing policy."""

    policy: str
    number: int
    outcomes: list
    meter: object
    wall_s: float


def meets_targets(outcome, targets):
    """Return whether an answer met all targets of its service.

    The target for the time between tokens applies to its mean.
    """
    if outcome.kind != OutcomeKind.WHOLE:
        return False
    gaps = outcome.gaps_ms
    mean_gap = sum(gaps) / len(gaps) if gaps else 0
    return (
        outcome.ttft_ms <= targets.ttft_ms
        and mean_gap <= targets.itl_ms
        and outcome.total_ms <= targets.total_ms
    )


def add_outcome(line, outcome, targets):
    """Add an outcome to the line of its service and customer."""
    line.counts[outcome.kind.value] += 1
    line.counts['refusals'] += outcome.refusals
    line.counts['resumes'] += outcome.resumes
    line.within_target += meets_targets(outcome, targets)
    if outcome.ttft_ms is not None:
        metrics.record(line.ttft, outcome.ttft_ms)
    for gap in outcome.gaps_ms:
        metrics.record(line.itl, gap)
    if outcome.total_ms is not None:
        metrics.record(line.total, outcome.total_ms)


def build_lines(outcomes, tree):
    """Group outcomes by service and customer.

    :param outcomes: a list of :class:`Outcome`.
    :param tree: the :class:`TeamTree` with the services' targets.
    :returns: a list of :class:`ReportLine`, sorted by both names.
    """
    lines = {}
    for outcome in outcomes:
        request_kind = outcome.arrival.request_kind
        name = (request_kind.service, request_kind.customer)
        if name not in lines:
            counts = dict.fromkeys((k.value for k in OutcomeKind), 0)
            counts.update(refusals=0, resumes=0)
            lines[name] = ReportLine(
                *name, counts, 0, *(metrics.new_histogram() for _ in MEASURES)
            )
        targets = tree.find_service(request_kind.service).targets
        add_outcome(lines[name], outcome, targets)
    return [lines[name] for name in sorted(lines)]


def summarize_policy(rounds, tree):
    """Return the figures of one policy's rounds as a JSON body."""
    outcomes = [o for r in rounds for o in r.outcomes]
    lines = build_lines(outcomes, tree)
    within_target = sum(line.within_target for line in lines)
    cost = sum(r.meter.cost for r in rounds)
    uncached = sum(r.meter.sum_increases('prefill_tokens') for r in rounds)
    cached = sum(r.meter.sum_increases('cached_tokens') for r in rounds)
    recomputed = sum(
        r.meter.sum_increases('recomputed_tokens') for r in rounds
    )
    keys = [o.arrival.key for o in outcomes if o.arrival.request_kind.once]
    ttft = metrics.new_histogram()
    for line in lines:
        ttft.add(line.ttft)
    return {
        'requests': len(outcomes),
        'whole': sum(line.counts['whole'] for line in lines),
        'lost': sum(line.counts['lost'] for line in lines),
        'wrong': sum(line.counts['wrong'] for line in lines),
        'doubled': sum(r.meter.count_duplicates(keys) for r in rounds),
        'within_target': within_target,
        'cost': round(cost, 6),
        'cost_per_1000_within_target': round(
            1000 * cost / max(1, within_target), 4
        ),
        'host_seconds': {
            kind: round(sum(r.meter.host_s[kind] for r in rounds), 1)
            for kind in ('reclaimable', 'on-demand')
        },
        'prompt_tokens_read': uncached,
        'prompt_tokens_cached': cached,
        'prompt_read_share': round(uncached / max(1, uncached + cached), 4),
        'tokens_recomputed': recomputed,
        'ttft_p95_ms': ttft.get_value_at_percentile(95),
        'lines': [
            line.to_body(tree.find_service(line.service).targets)
            for line in lines
        ],
    }


RATIOS = (
    'cost_per_1000_within_target',
    'prompt_tokens_read',
    'tokens_recomputed',
    'ttft_p95_ms',
    'within_target',
)


def build_report(rounds, tree):
    """Return the report as a JSON body.

    :param rounds: a list of :class:`Round`.
    :param tree: the :class:`TeamTree` with the services' targets.
    :returns: figures of each policy, and their ratios to those of the
        first policy.
    """
    policies = {}
    for one_round in rounds:
        policies.setdefault(one_round.policy, []).append(one_round)
    figures = {
        name: summarize_policy(group, tree) for name, group in policies.items()
    }
    first = next(iter(figures))
    ratios = {
        name: {
            measure: round(f[measure] / figures[first][measure], 3)
            for measure in RATIOS
            if figures[first][measure]
        }
        for name, f in figures.items()
    }
    return {'policies': figures, f'ratios_to_{first}': ratios}


def format_report(report):
    """Return the report as a table in plain text."""
    rows = []
    for policy, figures in report['policies'].items():
        rows.append(
            f'{policy}: {figures["whole"]}/{figures["requests"]} whole, '
            f'{figures["lost"]} lost, {figures["doubled"]} doubled, '
            f'{figures["within_target"]} within target; '
            f'{figures["cost_per_1000_within_target"]} per 1000 of them; '
            f'{figures["prompt_read_share"]:.1%} of prompt tokens read, '
            f'{figures["tokens_recomputed"]} tokens recomputed'
        )
        rows.append(
            f'  {"service":<18} {"customer":<18} {"whole":>6} {"in time":>7} '
            f'{"ttft95":>7} {"itl95":>6} {"total95":>8}'
        )
        for line in figures['lines']:
            rows.append(
                f'  {line["service"]:<18} {line["customer"]:<18} '
                f'{line["whole"]:>6} {line["within_target"]:>7} '
                f'{line["ttft_ms"]["p95"]:>7} {line["itl_ms"]["p95"]:>6} '
                f'{line["total_ms"]["p95"]:>8}'
            )
    for title, ratios in report.items():
        if title.startswith('ratios_to'):
            for policy, values in ratios.items():
                pairs = ', '.join(f'{k} {v}' for k, v in values.items())
                rows.append(f'{title} {policy}: {pairs}')
    return '\n'.join(rows)
