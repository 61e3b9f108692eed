"""Counters and latency histograms in the Prometheus text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from dandelionyoke_core._actions import CountMetric, ObserveLatency

PREFIX = 'dandelionyoke'
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000
PERCENTILES = (50.0, 95.0, 99.0)

# Some labels come from outside. Without a limit a caller could grow the memory,
# so series beyond this number are counted together as OTHER_LABEL.
MAX_SERIES = 2000
OTHER_LABEL = 'other'


class Metrics:
    """Metrics of this process since its start."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, action: CountMetric) -> None:
        """Increase a counter."""
        series = (action.metric, action.label)
        if series not in self._counters and len(self._counters) >= MAX_SERIES:
            series = (action.metric, OTHER_LABEL)
        self._counters[series] += action.amount

    def observe(self, action: ObserveLatency) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(action.metric)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            self._histograms[action.metric] = histogram
        histogram.record_value(
            max(1, int(action.elapsed_s * MICROSECONDS_PER_S))
        )

    def text(self) -> bytes:
        """Return all metrics as text; durations are in seconds."""
        lines: list[str] = []
        for (metric, label), amount in sorted(self._counters.items()):
            labels = f'{{label="{_escape_label(label)}"}}' if label else ''
            lines.append(f'{_metric_name(metric)}_total{labels} {amount}')
        for metric, histogram in sorted(self._histograms.items()):
            lines.extend(_summary_lines(_metric_name(metric), histogram))
        return ''.join(f'{line}\n' for line in lines).encode()


def _summary_lines(name: str, histogram: HdrHistogram) -> list[str]:
    lines = []
    for percentile in PERCENTILES:
        microseconds = histogram.get_value_at_percentile(percentile)
        seconds = microseconds / MICROSECONDS_PER_S
        lines.append(
            f'{name}_seconds{{quantile="{percentile / 100:g}"}} {seconds:g}'
        )
    lines.append(f'{name}_seconds_count {histogram.get_total_count()}')
    return lines


def _metric_name(metric: str) -> str:
    return f'{PREFIX}_{metric.replace(".", "_")}'


def _escape_label(label: str) -> str:
    escaped = label.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
