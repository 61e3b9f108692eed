"""A pure model of a plain service, which counts the runs of each call."""

from collections import Counter

import attrs


@attrs.define
class PlainFaults:
    """The faults that are currently injected.

    `crash` ends the process at once, `crash_before_run` and
    `crash_after_run` on the next call, and `crash_on` before running a call
    with this text in its body.
    """

    silent: bool = False
    lose_answers: int = 0
    crash: bool = False
    crash_before_run: bool = False
    crash_after_run: bool = False
    crash_on: str = ''
    refuse: str = ''
    delay_s: float = 0


@attrs.frozen
class PlainRun:
    """One run of a call."""

    at_s: float
    key: str
    request_id: str
    attempt_id: str
    method: str
    path: str
    has_caller_key: bool


class PlainModel:
    """Counts the runs of each idempotency key; counting is the only effect."""

    def __init__(self) -> None:
        self.faults = PlainFaults()
        self.runs: Counter[str] = Counter()
        self.record: list[PlainRun] = []

    def run(self, run: PlainRun) -> int:
        """Record a run and return the total number of runs of its key."""
        self.runs[run.key] += 1
        self.record.append(run)
        return self.runs[run.key]
