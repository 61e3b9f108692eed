"""The calls and the memory in use at each engine, as one node believes.

Load: prompts of thousands of tokens come in bursts to few decode engines. An
engine runs out of memory long before it runs out of slots, and then preempts
streams in the middle, while a count of calls takes it for half empty.

A node knows the tokens of its own calls. Of the others it knows how many there
are, from what the engine said in its last answer.
"""

import math

import attrs

from dandelionyoke_dispatch._load_report import LoadReport
from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class EngineRoomSettings:
    """How much of an engine is used, and how long its report counts.

    Calls may take `used_share` of the memory: what is expected of a call may
    be too low. The calls of others fade within `report_lifetime_s`. A new call
    makes up `sample_share` of the means of a service's calls.
    """

    used_share: float = 0.9
    report_lifetime_s: float = 1.0
    sample_share: float = 0.1


@attrs.frozen
class DecodeCall:
    """What a call needs at a decode engine, and the memory that engines have.

    `tokens` are those of its prompt and its answer. A capacity of 0 is not
    known, and no bound.
    """

    tokens: int = 0
    capacity_tokens: int = 0


@attrs.define
class _Engine:
    calls: int = 0
    tokens: int = 0
    load: LoadReport | None = None
    reported_s: float = -math.inf
    # Calls of other nodes at the time of the report.
    others: int = 0


@attrs.define
class _Means:
    """The means of a service's calls at this node; None if there was none."""

    tokens: float | None = None
    stream_s: float | None = None


class EngineRoom:
    """The calls, tokens and reports by engine."""

    def __init__(self, settings: EngineRoomSettings) -> None:
        self._settings = settings
        self._engines: dict[str, _Engine] = {}
        self._means: dict[str, _Means] = {}

    def call_started(self, target: RegisteredTarget, tokens: int) -> None:
        """Count a call of this node."""
        engine = self._engine(target.target_id)
        engine.calls += 1
        engine.tokens += tokens
        means = self._means_of(target.service)
        means.tokens = self._mean(means.tokens, tokens)

    def call_ended(
        self, target: RegisteredTarget, tokens: int, stream_s: float | None
    ) -> None:
        """Count the end of a call, `stream_s` after its answer began, if so."""
        engine = self._engine(target.target_id)
        engine.calls = max(0, engine.calls - 1)
        engine.tokens = max(0, engine.tokens - tokens)
        if stream_s is not None:
            means = self._means_of(target.service)
            means.stream_s = self._mean(means.stream_s, stream_s)

    def reported(
        self, target: RegisteredTarget, load: LoadReport, now_s: float
    ) -> None:
        """Record what an engine said of its load."""
        engine = self._engine(target.target_id)
        engine.load = load
        engine.reported_s = now_s
        engine.others = max(0, load.busy - engine.calls)

    def leave_out(self, standstill_s: float) -> None:
        """Leave a time in which no report could be read out of their ages."""
        for engine in self._engines.values():
            engine.reported_s += standstill_s

    def calls(self, target: RegisteredTarget, now_s: float) -> float:
        """Estimate the calls at an engine, including those of other nodes."""
        engine = self._engine(target.target_id)
        return engine.calls + engine.others * self._weight(engine, now_s)

    def tokens(self, target: RegisteredTarget, now_s: float) -> float:
        """Estimate the tokens of all calls at an engine."""
        engine = self._engine(target.target_id)
        others = engine.others * self._weight(engine, now_s)
        mean = self._means_of(target.service).tokens or 0.0
        return engine.tokens + others * mean

    def has_room(
        self, target: RegisteredTarget, call: DecodeCall, now_s: float
    ) -> bool:
        """Whether an engine can take one more call, as far as is known.

        An engine that says that calls wait there has none, whatever this node
        counts.
        """
        if self.queued(target, now_s):
            return False
        if self.calls(target, now_s) >= target.slots:
            return False
        if not call.capacity_tokens:
            return True
        usable = self._settings.used_share * call.capacity_tokens
        return self.tokens(target, now_s) + call.tokens <= usable

    def queued(self, target: RegisteredTarget, now_s: float) -> float:
        """Return how many calls wait at an engine, by a recent report."""
        engine = self._engine(target.target_id)
        if engine.load is None:
            return 0
        return engine.load.queued * self._weight(engine, now_s)

    def wait_s(
        self, target: RegisteredTarget, slowness: float, now_s: float
    ) -> float:
        """Estimate how long a call waits at an engine before it runs.

        Each of its slots ends a call in the mean time of a stream.
        """
        stream_s = self._means_of(target.service).stream_s
        if stream_s is None:
            return 0
        turns = self.queued(target, now_s) / target.slots
        return turns * stream_s * slowness

    def age_s(self, target: RegisteredTarget, now_s: float) -> float:
        """Return the age of the last report of an engine."""
        return now_s - self._engine(target.target_id).reported_s

    def forget(self, known: frozenset[str]) -> None:
        """Remove engines that are gone and have no calls in flight."""
        self._engines = {
            target_id: engine
            for target_id, engine in self._engines.items()
            if target_id in known or engine.calls
        }

    def _weight(self, engine: _Engine, now_s: float) -> float:
        age_s = max(0.0, now_s - engine.reported_s)
        return max(0.0, 1 - age_s / self._settings.report_lifetime_s)

    def _mean(self, mean: float | None, sample: float) -> float:
        if mean is None:
            return sample
        share = self._settings.sample_share
        return (1 - share) * mean + share * sample

    def _engine(self, target_id: str) -> _Engine:
        return self._engines.setdefault(target_id, _Engine())

    def _means_of(self, service: str) -> _Means:
        return self._means.setdefault(service, _Means())
