"""Latency metrics of services, in HDR histograms."""

import dataclasses

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 95.0, 99.0)


@dataclasses.dataclass
class ServiceMetrics:
    """Histograms and counters of one service on one daemon.

    :param ttft: time to the first token.
    :param itl: time between tokens.
    :param total: time to the complete response.
    :param retries: attempts that failed and were repeated.
    :param moves: requests continued on another endpoint because theirs was
        being reclaimed.
    :param adopted: requests taken over from another daemon.
    """

    ttft: HdrHistogram = dataclasses.field(
        default_factory=lambda: new_histogram()
    )
    itl: HdrHistogram = dataclasses.field(
        default_factory=lambda: new_histogram()
    )
    total: HdrHistogram = dataclasses.field(
        default_factory=lambda: new_histogram()
    )
    accepted: int = 0
    done: int = 0
    failed: int = 0
    rejected: int = 0
    tokens: int = 0
    retries: int = 0
    moves: int = 0
    adopted: int = 0

    def to_body(self):
        """Return counters and encoded histograms as a JSON-serializable body.

        Histograms have HdrHistogram's compressed encoding, so that those of
        several daemons can be merged without loss of precision.
        """
        return {
            'accepted': self.accepted,
            'done': self.done,
            'failed': self.failed,
            'rejected': self.rejected,
            'tokens': self.tokens,
            'retries': self.retries,
            'moves': self.moves,
            'adopted': self.adopted,
            'ttft': self.ttft.encode().decode('ascii'),
            'itl': self.itl.encode().decode('ascii'),
            'total': self.total.encode().decode('ascii'),
        }


class MetricsTable(dict):
    """Metrics of one daemon, by service name."""

    def get_or_create(self, service):
        """Return a service's :class:`ServiceMetrics`; create it if new."""
        if service not in self:
            self[service] = ServiceMetrics()
        return self[service]


def new_histogram():
    """Return an empty latency histogram in milliseconds."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


def record(histogram, value_ms):
    """Record a latency, clamped to the histogram's range.

    :param histogram: an :class:`HdrHistogram`.
    :param value_ms: the latency in milliseconds.
    """
    histogram.record_value(min(max(int(value_ms), LOWEST_MS), HIGHEST_MS))


def decode(encoded):
    """Decode a histogram from :meth:`ServiceMetrics.to_body`."""
    return HdrHistogram.decode(encoded.encode('ascii'))


def merge(encoded_list):
    """Merge several encoded histograms into one.

    :param encoded_list: histograms encoded by
        :meth:`ServiceMetrics.to_body`.
    :returns: one :class:`HdrHistogram`.
    """
    total = new_histogram()
    for encoded in encoded_list:
        total.add(decode(encoded))
    return total


def summarize(histogram):
    """Return a histogram's count and its percentiles in milliseconds."""
    body = {'count': histogram.get_total_count()}
    for pct in PERCENTILES:
        body[f'p{pct:g}'] = histogram.get_value_at_percentile(pct)
    return body
