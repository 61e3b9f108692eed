"""What an engine reports: its load, late, and a record for checks."""

from collections import deque

import attrs

from dandelionyoke_core import BLOCK_TOKENS
from dandelionyoke_standins._attempt import Attempt, StreamEnd
from dandelionyoke_standins._engine_orders import ReceivedEngineOrder


@attrs.frozen
class ReportSettings:
    """How old a load report is at least, and how often figures are taken."""

    lag_s: float = 0.5
    interval_s: float = 0.1


@attrs.frozen
class LoadReport:
    """The figures of an engine at `measured_s` of its own clock."""

    engine_id: str
    incarnation: str
    measured_s: float
    age_s: float
    role: str
    models: tuple[str, ...]
    running: int
    waiting: int
    prefill_queue_tokens: int
    decode_tokens_per_s: float
    kv_used_blocks: int
    kv_total_blocks: int
    draining: bool
    drain_order_id: str | None
    highest_fence: int
    in_progress: tuple[str, ...]
    version: str = ''
    block_tokens: int = BLOCK_TOKENS


@attrs.frozen
class AttemptRecord:
    """An attempt from its start to its end."""

    attempt_id: str
    model: str
    priority: int
    received_s: float
    ended_s: float | None
    end: StreamEnd | None
    prompt_tokens: int
    cached_tokens: int
    resumed_tokens: int
    output_tokens: int
    preemptions: int


@attrs.frozen
class EngineRecord:
    """Every order and every attempt, as the engine saw them."""

    orders: tuple[ReceivedEngineOrder, ...]
    attempts: tuple[AttemptRecord, ...]
    preemptions: int


class ReportLog:
    """Keeps the figures of the last moments, to report them late."""

    def __init__(self, settings: ReportSettings) -> None:
        self._settings = settings
        self._reports: deque[LoadReport] = deque()

    def is_due(self, now_s: float) -> bool:
        """Whether figures are to be taken again."""
        last_s = self._reports[-1].measured_s
        return now_s - last_s >= self._settings.interval_s

    def add(self, report: LoadReport) -> None:
        """Keep the figures of a moment."""
        self._reports.append(report)
        self._drop_until(report.measured_s - self._settings.lag_s)

    def rate_since(self, decoded: int, decoded_s: float) -> float:
        """Give a rate over the time since the last figures."""
        if not self._reports:
            return 0
        passed_s = decoded_s - self._reports[-1].measured_s
        return decoded / passed_s if passed_s > 0 else 0

    def report(self, now_s: float) -> LoadReport:
        """Give the newest figures that are old enough."""
        self._drop_until(now_s - self._settings.lag_s)
        report = self._reports[0]
        return attrs.evolve(report, age_s=now_s - report.measured_s)

    def _drop_until(self, until_s: float) -> None:
        while len(self._reports) > 1 and self._reports[1].measured_s <= until_s:
            self._reports.popleft()


def record_attempt(attempt: Attempt) -> AttemptRecord:
    """Tell an attempt's course so far."""
    return AttemptRecord(
        attempt_id=attempt.request.attempt_id,
        model=attempt.request.model,
        priority=attempt.request.priority,
        received_s=attempt.received_s,
        ended_s=attempt.ended_s,
        end=attempt.end,
        prompt_tokens=len(attempt.prompt_tokens),
        cached_tokens=attempt.cached_tokens,
        resumed_tokens=len(attempt.request.resume_tokens),
        output_tokens=len(attempt.output),
        preemptions=attempt.preemptions,
    )
