"""Burn rate: how fast each service consumes its error budget.

For each service and each latency target (time to first token, time
between tokens, time to the complete response) the report gives the share of
requests over the target and the burn rate: that share divided by the error
budget ``1 - objective``.  A burn rate above 1 consumes the budget faster
than the objective allows.
"""

import dataclasses

from pearrun import metrics

TARGETS = (('ttft', 'ttft_ms'), ('itl', 'itl_ms'), ('total', 'total_ms'))


@dataclasses.dataclass(frozen=True)
class BurnLine:
    """One line of the report: a service and one of its targets.

    :param measure: the latency that the target is set for: ``ttft``,
        ``itl`` or ``total``.
    :param count: number of recorded latencies.
    :param over: how many of them are above the target.
    :param p95_ms: 95th percentile of the latency.
    """

    service: str
    measure: str
    target_ms: int
    count: int
    over: int
    p95_ms: int
    burn_rate: float


def count_above(histogram, limit_ms):
    """Return how many recorded values are above ``limit_ms``."""
    over = 0
    for item in histogram.get_recorded_iterator():
        if item.value_iterated_to > limit_ms:
            over += item.count_at_value_iterated_to
    return over


def build_report(bodies, tree):
    """Build the burn report from daemons' ``/v1/metrics`` bodies.

    Services that are not in the team tree are omitted.

    :param bodies: a list of metrics bodies, one per daemon.
    :param tree: the :class:`TeamTree` with each service's targets.
    :returns: a list of :class:`BurnLine`.
    """
    by_service = {}
    for body in bodies:
        for service, data in body['services'].items():
            by_service.setdefault(service, []).append(data)
    lines = []
    for service in sorted(by_service):
        settings = tree.find_service(service)
        if settings is None:
            continue
        targets = settings.targets
        budget = 1.0 - targets.objective
        for measure, field in TARGETS:
            histogram = metrics.merge(d[measure] for d in by_service[service])
            count = histogram.get_total_count()
            limit = getattr(targets, field)
            over = count_above(histogram, limit)
            rate = (over / count) / budget if count else 0.0
            lines.append(
                BurnLine(
                    service=service,
                    measure=measure,
                    target_ms=limit,
                    count=count,
                    over=over,
                    p95_ms=histogram.get_value_at_percentile(95.0),
                    burn_rate=round(rate, 3),
                )
            )
    return lines


def format_report(lines):
    """Return the burn report as a text table.

    :param lines: a list of :class:`BurnLine`.
    """
    header = (
        f'{"service":<18} {"measure":<6} {"target":>7} {"count":>6} '
        f'{"over":>5} {"p95":>7} {"burn":>6}'
    )
    rows = [header]
    for line in lines:
        rows.append(
            f'{line.service:<18} {line.measure:<6} {line.target_ms:>7} '
            f'{line.count:>6} {line.over:>5} {line.p95_ms:>7} '
            f'{line.burn_rate:>6.2f}'
        )
    return '\n'.join(rows)
