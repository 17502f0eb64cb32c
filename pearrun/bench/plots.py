"""Plots of time to first token and cost over the time of a round."""

from pearrun import exceptions


def draw(rounds, path):
    """Draw a PNG of latency and cost over time, one color per policy.

    :param rounds: a list of :class:`Round`.
    :param path: the file to write.
    :raises PearrunError: matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError as exc:
        raise exceptions.PearrunError(
            "matplotlib is not installed: pip install 'pearrun[bench]'"
        ) from exc
    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 7))
    policies = list(dict.fromkeys(r.policy for r in rounds))
    for policy, color in zip(policies, ('C0', 'C1', 'C2'), strict=False):
        group = [r for r in rounds if r.policy == policy]
        points = [
            (o.arrival.at_s, o.ttft_ms)
            for r in group
            for o in r.outcomes
            if o.ttft_ms is not None
        ]
        top.scatter(*zip(*points, strict=True), s=6, color=color, label=policy)
        for one_round in group:
            times, costs = zip(*one_round.meter.cost_over_time, strict=True)
            bottom.plot(times, costs, color=color, label=policy)
    top.set_ylabel('time to first token, ms')
    top.set_yscale('log')
    top.legend()
    bottom.set_ylabel('cost of hosts so far')
    bottom.set_xlabel('seconds into the round')
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
