"""A plain service as a pure model: it counts how often each call has run."""

from collections import Counter

import attrs


@attrs.define
class PlainFaults:
    """What is wrong with the service at present.

    `crash` ends the process at once, `crash_before_run` and
    `crash_after_run` with the next call, and `crash_on` before a call whose
    body holds the text.
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
    """One run of a call, as the service saw it."""

    at_s: float
    key: str
    request_id: str
    attempt_id: str
    method: str
    path: str
    has_caller_key: bool


class PlainModel:
    """Counts runs; a run takes effect when it is counted."""

    def __init__(self) -> None:
        self.faults = PlainFaults()
        self.runs: Counter[str] = Counter()
        self.record: list[PlainRun] = []

    def run(self, run: PlainRun) -> int:
        """Run a call; give how often its key has run by now."""
        self.runs[run.key] += 1
        self.record.append(run)
        return self.runs[run.key]
