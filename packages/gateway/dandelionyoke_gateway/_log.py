"""Decisions as JSON lines, bounded so that logging never holds calls up."""

import json
from typing import TextIO

from eliot import add_destinations, log_message

from dandelionyoke_core import CountMetric, Metrics, ObserveLatency
from dandelionyoke_gateway._clock import clock_s

# Twice what a node decides at the peak of its load; past it lines are left
# out and counted, so that a storm of refusals costs no processor time.
LINES_A_SECOND = 300


class DecisionLog:
    """Writes one line for each decision, at most so many a second."""

    def __init__(
        self, stream: TextIO, instance_id: str, metrics: Metrics
    ) -> None:
        self._metrics = metrics
        self._stream = stream
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
        log_message(
            message_type=decision,
            instance_id=self._instance_id,
            subject=subject,
            outcome=outcome,
            left_out=self._left_out,
            **inputs,
        )
        self._left_out = 0

    def observe(self, metric: str, elapsed_s: float) -> None:
        """Record a duration in a histogram; no line is written."""
        self._metrics.observe(ObserveLatency(metric, elapsed_s))

    def _has_room(self) -> bool:
        second = int(clock_s())
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        return self._written <= LINES_A_SECOND

    def _write(self, message: dict[str, object]) -> None:
        try:
            self._stream.write(json.dumps(message, default=str) + '\n')
            self._stream.flush()
        except OSError:
            # A reader that is gone or stands still must not stop the calls;
            # the next line that gets through tells how many were left out.
            self._left_out += 1
