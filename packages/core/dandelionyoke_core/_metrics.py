"""Counters and latency histograms, in the usual text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from dandelionyoke_core._actions import CountMetric, ObserveLatency

PREFIX = 'dandelionyoke'
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_A_SECOND = 1_000_000
PERCENTILES = (50.0, 95.0, 99.0)

# Labels come from outside at times; more than this would let a caller grow
# the memory, so the rest is counted together.
MAX_SERIES = 2000
OTHER = 'other'


class Metrics:
    """The figures of this process since its start."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, action: CountMetric) -> None:
        """Add to a counter."""
        series = (action.metric, action.label)
        if series not in self._counters and len(self._counters) >= MAX_SERIES:
            series = (action.metric, OTHER)
        self._counters[series] += action.amount

    def observe(self, action: ObserveLatency) -> None:
        """Record a duration."""
        histogram = self._histograms.get(action.metric)
        if histogram is None:
            histogram = HdrHistogram(
                1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms[action.metric] = histogram
        histogram.record_value(
            max(1, int(action.elapsed_s * MICROSECONDS_A_SECOND))
        )

    def text(self) -> bytes:
        """Write all figures; durations are in seconds."""
        lines: list[str] = []
        for (metric, label), amount in sorted(self._counters.items()):
            labels = f'{{label="{_escaped(label)}"}}' if label else ''
            lines.append(f'{_name(metric)}_total{labels} {amount}')
        for metric, histogram in sorted(self._histograms.items()):
            lines.extend(_summary(_name(metric), histogram))
        return ''.join(f'{line}\n' for line in lines).encode()


def _summary(name: str, histogram: HdrHistogram) -> list[str]:
    lines = []
    for percentile in PERCENTILES:
        microseconds = histogram.get_value_at_percentile(percentile)
        seconds = microseconds / MICROSECONDS_A_SECOND
        lines.append(
            f'{name}_seconds{{quantile="{percentile / 100:g}"}} {seconds:g}'
        )
    lines.append(f'{name}_seconds_count {histogram.get_total_count()}')
    return lines


def _name(metric: str) -> str:
    return f'{PREFIX}_{metric.replace(".", "_")}'


def _escaped(label: str) -> str:
    escaped = label.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
