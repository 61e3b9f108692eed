"""Decision log in JSON lines, limited in rate and never blocking."""

import json
import os
from typing import Protocol

from eliot import add_destinations, log_message, remove_destination

from dandelionyoke_core import CountMetric, Metrics, ObserveLatency
from dandelionyoke_gateway._clock import clock_s

# Several times the decisions of a node at peak load. Lines beyond it are
# dropped and counted, so that a burst of refusals costs little processor time.
MAX_LINES_PER_S = 300


class LineSink(Protocol):
    """Writes lines without blocking."""

    def write_line(self, line: bytes) -> None:
        """Write a line.

        Raises:
            OSError: the buffer is full, or the reader has closed.
        """


class DescriptorSink:
    """Writes lines to a non-blocking descriptor, such as standard output.

    If the reader stops reading, the pipe fills up. A blocking write would
    then block every call of the process until the pipe is read.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    def write_line(self, line: bytes) -> None:
        """Write a line, after the unwritten rest of the previous one."""
        if self._unwritten:
            written = os.write(self._descriptor, self._unwritten)
            self._unwritten = self._unwritten[written:]
        if self._unwritten:
            raise BlockingIOError
        written = os.write(self._descriptor, line)
        self._unwritten = line[written:]


class DecisionLog:
    """Writes one line per decision, up to `MAX_LINES_PER_S`."""

    def __init__(
        self, sink: LineSink, instance_id: str, metrics: Metrics
    ) -> None:
        self._metrics = metrics
        self._sink = sink
        self._instance_id = instance_id
        self._current_second = 0
        self._lines_in_second = 0
        self._dropped_count = 0
        add_destinations(self._write)

    def decide(
        self,
        decision: str,
        subject: str,
        *,
        outcome: str = '',
        **inputs: str | float | None,
    ) -> None:
        """Log a decision about a call or this node's knowledge.

        `inputs` are the values that the decision is based on. The decision
        is counted in the metrics even if its line is dropped.
        """
        self._metrics.count(CountMetric('decisions', label=decision))
        if not self._is_within_rate():
            self._dropped_count += 1
            return
        dropped_count = self._dropped_count
        self._dropped_count = 0
        log_message(
            message_type=decision,
            instance_id=self._instance_id,
            subject=subject,
            outcome=outcome,
            left_out=dropped_count,
            **inputs,
        )

    def close(self) -> None:
        """Stop writing lines."""
        remove_destination(self._write)

    def count(self, counted: CountMetric) -> None:
        """Increment a counter without writing a line."""
        self._metrics.count(counted)

    def observe(self, metric: str, elapsed_s: float) -> None:
        """Record a duration in a histogram without writing a line."""
        self._metrics.observe(ObserveLatency(metric, elapsed_s))

    def _is_within_rate(self) -> bool:
        second = int(clock_s())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_LINES_PER_S

    def _write(self, message: dict[str, object]) -> None:
        line = json.dumps(message, default=str) + '\n'
        try:
            self._sink.write_line(line.encode())
        except OSError:
            # A reader that has closed or stopped reading must not block
            # calls. The next line that is written tells how many lines were
            # dropped.
            self._dropped_count += int(str(message.get('left_out', 0))) + 1
