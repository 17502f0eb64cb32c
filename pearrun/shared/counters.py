"""Counters and latency histograms of one host in text format."""

from pearrun.decisions.streamversion import StreamRefusal
from pearrun.metrics import new_histogram
from pearrun.metrics import record

# Reasons for which a resumed stream does not go on, counted apart.
VERSION_REASONS = frozenset(item.value for item in StreamRefusal)
PERCENTILES = (50.0, 95.0, 99.0)


class Counters:
    """Counts calls by outcome and records their latencies.

    There are two histograms per route, in milliseconds: the time to the
    first byte and the time to the end of the response.
    """

    def __init__(self):
        self.endings = {}
        self.sends = 0
        self.repeats = 0
        self.rejected = 0
        self.limited_answers = 0
        self.leaving_answers = 0
        self.rest_answers = 0
        self.resumptions = {}
        self.first_byte = {}
        self.response = {}

    def count_call(self, trace, now_ms):
        """Record the outcome and the latencies of a call that has ended."""
        ending = trace.ending.value if trace.ending else 'error'
        key = (trace.call.route.name, ending, trace.status)
        self.endings[key] = self.endings.get(key, 0) + 1
        self.sends += len(trace.attempts)
        self.repeats += max(0, len(trace.attempts) - 1)
        if trace.call.is_resumption:
            self._count_resumption('caller', trace, ending)
        if trace.interruptions:
            self._count_resumption('host', trace, ending)
        route = trace.call.route.name
        if trace.first_byte_ms is not None:
            record(self._find(self.first_byte, route), trace.first_byte_ms)
        record(self._find(self.response, route), now_ms - trace.started_ms)

    def count_notice(self, notice):
        """Count the notices in an answer about its endpoint.

        :param notice: the :class:`EndpointNotice`.
        """
        self.limited_answers += notice.rate_limit is not None
        self.leaving_answers += notice.is_leaving
        self.rest_answers += notice.rest_ms is not None

    def _count_resumption(self, by, trace, ending):
        """Count a stream that went on at another endpoint, or did not.

        :param by: whether its caller resumed it or this host.
        """
        outcome = ending
        if ending != 'answered' and trace.reason in VERSION_REASONS:
            outcome = trace.reason
        key = (by, outcome)
        self.resumptions[key] = self.resumptions.get(key, 0) + 1

    def render(self, gauges, store_calls=(), store_read_ages=()):
        """Return all metrics as text, one per line.

        :param gauges: additional values by name.
        :param store_calls: number of store calls by method and topic.
        :param store_read_ages: milliseconds since a read of each topic last
            returned.
        """
        lines = [f'pearrun_{name} {value}' for name, value in gauges.items()]
        lines.append(f'pearrun_sends_total {self.sends}')
        lines.append(f'pearrun_repeated_sends_total {self.repeats}')
        lines.append(f'pearrun_rejected_requests_total {self.rejected}')
        lines.append(f'pearrun_limited_answers_total {self.limited_answers}')
        lines.append(f'pearrun_leaving_answers_total {self.leaving_answers}')
        lines.append(f'pearrun_rest_answers_total {self.rest_answers}')
        for call, topic in sorted(store_calls):
            labels = f'call="{call}",topic="{topic}"'
            count = store_calls[call, topic]
            lines.append(f'pearrun_store_calls{{{labels}}} {count}')
        for topic in sorted(store_read_ages):
            age_ms = store_read_ages[topic]
            lines.append(
                f'pearrun_store_read_age_ms{{topic="{topic}"}} {age_ms}'
            )
        for (by, outcome), count in sorted(self.resumptions.items()):
            labels = f'by="{by}",outcome="{outcome}"'
            lines.append(
                f'pearrun_stream_resumptions_total{{{labels}}} {count}'
            )
        for (route, ending, status), count in sorted(self.endings.items()):
            labels = f'route="{route}",ending="{ending}",status="{status}"'
            lines.append(f'pearrun_calls_total{{{labels}}} {count}')
        lines.extend(render_histograms('first_byte_ms', self.first_byte))
        lines.extend(render_histograms('answer_ms', self.response))
        return '\n'.join(lines) + '\n'

    def _find(self, table, route):
        """Return the histogram of a route, creating it if necessary."""
        if route not in table:
            table[route] = new_histogram()
        return table[route]


def render_histograms(name, table):
    """Yield the metric lines of per-route histograms.

    :param name: metric name without its prefix.
    :param table: histograms by route.
    """
    for route, histogram in sorted(table.items()):
        for pct in PERCENTILES:
            value = histogram.get_value_at_percentile(pct)
            labels = f'route="{route}",quantile="{pct / 100:g}"'
            yield f'pearrun_{name}{{{labels}}} {value}'
        count = histogram.get_total_count()
        yield f'pearrun_{name}_count{{route="{route}"}} {count}'
