"""Decisions as JSON lines, bounded so that logging never holds calls up."""

import json
import os
from typing import Protocol

from eliot import add_destinations, log_message, remove_destination

from dandelionyoke_core import CountMetric, Metrics, ObserveLatency
from dandelionyoke_gateway._clock import clock_s

# Several times what a node decides at the peak of its load; past it lines are
# left out and counted, so that a storm of refusals costs no processor time.
MAX_LINES_PER_S = 300


class LineSink(Protocol):
    """Takes lines without ever waiting."""

    def write_line(self, line: bytes) -> None:
        """Write a line.

        Raises:
            OSError: there is no room for it now, or nobody reads.
        """


class DescriptorSink:
    """Writes lines to a descriptor, such as standard output.

    A reader that stands still fills the pipe. Written in the usual way, the
    next line would hold up every call of the process until it is read.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b''
        os.set_blocking(descriptor, False)

    def write_line(self, line: bytes) -> None:
        """Write a line, after what is left of the one before."""
        if self._rest:
            written = os.write(self._descriptor, self._rest)
            self._rest = self._rest[written:]
        if self._rest:
            raise BlockingIOError
        written = os.write(self._descriptor, line)
        self._rest = line[written:]


class DecisionLog:
    """Writes one line for each decision, at most so many a second."""

    def __init__(
        self, sink: LineSink, instance_id: str, metrics: Metrics
    ) -> None:
        self._metrics = metrics
        self._sink = sink
        self._instance_id = instance_id
        self._second = 0
        self._written = 0
        self._left_out = 0
        add_destinations(self._write)

    def decide(
        self,
        decision: str,
        subject: str,
        *,
        outcome: str = '',
        **inputs: str | float | None,
    ) -> None:
        """Write a decision about a call or a belief, with its inputs.

        It is counted even where its line is left out.
        """
        self._metrics.count(CountMetric('decisions', label=decision))
        if not self._has_room():
            self._left_out += 1
            return
        left_out = self._left_out
        self._left_out = 0
        log_message(
            message_type=decision,
            instance_id=self._instance_id,
            subject=subject,
            outcome=outcome,
            left_out=left_out,
            **inputs,
        )

    def close(self) -> None:
        """Write no more lines."""
        remove_destination(self._write)

    def count(self, counted: CountMetric) -> None:
        """Add to a counter; no line is written."""
        self._metrics.count(counted)

    def observe(self, metric: str, elapsed_s: float) -> None:
        """Record a duration in a histogram; no line is written."""
        self._metrics.observe(ObserveLatency(metric, elapsed_s))

    def _has_room(self) -> bool:
        second = int(clock_s())
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        return self._written <= MAX_LINES_PER_S

    def _write(self, message: dict[str, object]) -> None:
        line = json.dumps(message, default=str) + '\n'
        try:
            self._sink.write_line(line.encode())
        except OSError:
            # A reader that is gone or stands still must not stop the calls;
            # the next line that gets through tells how many were left out.
            self._left_out += int(str(message.get('left_out', 0))) + 1
