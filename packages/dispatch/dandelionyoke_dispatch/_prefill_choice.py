"""The choice of a prefill engine among those that may get a prompt."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch._calls import Prompt
from dandelionyoke_dispatch._prefill_time import (
    PrefillTimeEstimate,
    TokenTimeEstimate,
)
from dandelionyoke_dispatch._prompt_queue import PromptQueue
from dandelionyoke_dispatch._registry import RegisteredTarget
from dandelionyoke_dispatch._target_load import TargetLoads

# The cost of not using the first engine of a shared prefix, as a share of the
# prefill time of that prefix. Another engine fetches the prefix if the first
# one has it cached; if not, the prefix is prefilled where later calls do not
# look for it.
MOVE_COST_SHARE = 1.0

# A prefill with a fetch that took this many times as long as expected waited
# for the fetch, not for other prompts.
SLOW_FETCH_FACTOR = 2.0


@attrs.frozen
class PrefillForecast:
    """The time that a prefill should take, with its wait at the engine.

    `usual_s` is the time at an engine of usual speed without a fetch,
    `expected_s` the time at this one with it. `is_held` is whether the engine
    should have the shared prefix in its cache, and `is_known` whether this or
    the source of a fetch is known from prefills, not only from the ranking. The
    `slowness` of the engine was last measured `slowness_age_s` ago; None if
    never.
    """

    usual_s: float
    expected_s: float
    slowness: float
    slowness_age_s: float | None
    is_held: bool
    is_known: bool


@attrs.frozen
class PrefillPlacement:
    """The prefill engine of a prompt, and one that may hold its prefix.

    `forecast` is None if another node chose them, or chose without one.
    """

    target: RegisteredTarget
    source: RegisteredTarget | None
    forecast: PrefillForecast | None = None

    def is_far_exceeded(self, took_s: float) -> bool:
        """Whether a prefill took far longer than forecast, if it was."""
        if self.forecast is None:
            return True
        return took_s > SLOW_FETCH_FACTOR * self.forecast.expected_s

    @property
    def prefix_use(self) -> str:
        """How the engine gets the shared prefix."""
        if self.source is not None:
            return 'fetched'
        if self.forecast is None:
            return 'unknown'
        return 'held' if self.forecast.is_held else 'prefilled'


@attrs.frozen
class PrefillQuestion:
    """A prompt, and the engines of which one is to prefill it.

    `engines` may get it and are not empty; `listed` are all prefill engines of
    the service, those that leave included.
    """

    prompt: Prompt
    prefill_time: PrefillTimeEstimate
    queue: PromptQueue
    engines: Sequence[RegisteredTarget]
    listed: Sequence[RegisteredTarget]
    now_s: float


class PrefillChoice(Protocol):
    """Chooses the engine of a prompt, and where it fetches the prefix."""

    def choose(self, question: PrefillQuestion) -> PrefillPlacement:
        """Choose one of the engines of a question."""


class TokenBacklogChoice:
    """The engine with the fewest tokens, where all are equally fast.

    All nodes rank the engines for a shared prefix in the same order, without
    communication, so that the prefix is prefilled on the first engine only, and
    later prompts find it in its KV cache. Once the backlog of that engine is
    longer than that of another one by more than it costs to move, the other one
    fetches the prefix from it. Ties go to the engine that has been without a
    new prompt for longest: taking turns spreads the prompts of many nodes more
    evenly than a random choice.
    """

    def __init__(self, fetches: TargetLoads) -> None:
        self._fetches = fetches

    def choose(self, question: PrefillQuestion) -> PrefillPlacement:
        """Choose one of the engines of a question."""
        prompt, queue = question.prompt, question.queue
        prefill_time = question.prefill_time
        preferred = first_ranked(question.engines, prompt.shared_key)
        move_cost_s = MOVE_COST_SHARE * _prefill_time_s(
            prefill_time.without_cache, prompt.shared_tokens
        )
        backlog = queue.fleet_backlog(question.now_s)
        chosen = min(
            question.engines,
            key=lambda engine: (
                _prefill_time_s(
                    prefill_time.with_cache, backlog[engine.target_id]
                )
                + move_cost_s * (engine is not preferred),
                queue.placed_s(engine.target_id),
                engine.target_id,
            ),
        )
        return PrefillPlacement(chosen, self._find_source(chosen, question))

    def _find_source(
        self, target: RegisteredTarget, question: PrefillQuestion
    ) -> RegisteredTarget | None:
        """Return the engine to fetch a shared prefix from, if any.

        It is the one of the same version that most likely has the prefix in
        its cache. An engine that is leaving keeps its cache until it stops, so
        others can still fetch from it. A fetch from an engine that is gone or
        unreachable delays a prompt for many times the prefill time of the
        prefix, so engines with recent slow fetches are skipped.
        """
        engines = [
            engine
            for engine in question.listed
            if engine.version == target.version
            and not self._fetches.is_in_cooldown(
                engine.target_id, question.now_s
            )
        ]
        if not engines:
            return None
        holder = first_ranked(engines, question.prompt.shared_key)
        return None if holder.target_id == target.target_id else holder


def first_ranked(
    engines: Sequence[RegisteredTarget], shared_key: str
) -> RegisteredTarget:
    """Return the engine that all nodes rank first for a shared prefix."""
    by_id = {engine.target_id: engine for engine in engines}
    return by_id[rendezvous(by_id, shared_key, 1)[0]]


def _prefill_time_s(estimate: TokenTimeEstimate, tokens: int) -> float:
    """Return the prefill time; the token count while the time is unknown."""
    expected_s = estimate.expected_s(tokens)
    return tokens if expected_s is None else expected_s
