"""The choice of the prefill engine that is expected to end first.

Load: bursts of prompts while engines crash, are reclaimed or are cut off, and
engines of unequal speed. The fewest tokens are then not the soonest end, and a
fetch from an engine that is gone holds a prompt for longer than the prefill of
its whole prefix.
"""

from collections.abc import Mapping, Sequence

import attrs

from dandelionyoke_dispatch._fetch_time import fetch_size_tokens
from dandelionyoke_dispatch._prefill_choice import (
    PrefillForecast,
    PrefillPlacement,
    PrefillQuestion,
    first_ranked,
)
from dandelionyoke_dispatch._prefill_hints import PrefillHints
from dandelionyoke_dispatch._prefill_time import PrefillTimeEstimate
from dandelionyoke_dispatch._registry import RegisteredTarget
from dandelionyoke_dispatch._target_load import TargetLoads

# Ends within this time of the first one are equal: callers do not notice the
# difference, and prefixes that stay in one place are prefilled less often.
EQUAL_END_S = 0.005
# A prefix that is prefilled in less time is never fetched: the request for it
# takes as long.
MIN_FETCHED_PREFILL_S = 0.01


@attrs.frozen
class _Holders:
    """The engines that should hold a prefix, known or only ranked first."""

    engines: Sequence[RegisteredTarget] = ()
    is_known: bool = False


@attrs.frozen
class _Fetch:
    """The fetch of a prefix, after those from the same engine."""

    source: RegisteredTarget
    expected_s: float


@attrs.define
class _Candidate:
    """An engine, and the times that a prompt should take there."""

    target: RegisteredTarget
    source: RegisteredTarget | None
    is_held: bool
    slowness: float
    usual_s: float
    expected_s: float


class ExpectedEndChoice:
    """The engine that ends first, from the hints of this node.

    Engines that prefilled the prefix should hold it; while none is known, the
    one that all nodes rank first. Of engines that end at the same time, holders
    come first, then the first-ranked one, then the one that has been without a
    new prompt for longest.
    """

    def __init__(
        self, hints: PrefillHints, loads: TargetLoads, fetches: TargetLoads
    ) -> None:
        self._hints = hints
        self._loads = loads
        self._fetches = fetches

    def is_possible(
        self, service: str, prefill_time: PrefillTimeEstimate
    ) -> bool:
        """Whether targets tell their slowness, and prefill times are known."""
        return (
            self._hints.speeds.is_balanced(service)
            and prefill_time.with_cache.expected_s(1) is not None
        )

    def choose(self, question: PrefillQuestion) -> PrefillPlacement:
        """Choose one of the engines of a question."""
        forecasts = _Forecasts(
            question,
            self._hints,
            self._find_holders(question),
            self._fetches,
        )
        candidates = [forecasts.of_engine(one) for one in question.engines]
        soonest_s = min(one.expected_s for one in candidates)
        preferred = first_ranked(question.engines, question.prompt.shared_key)
        chosen = min(
            (
                one
                for one in candidates
                if one.expected_s <= soonest_s + EQUAL_END_S
            ),
            key=lambda one: (
                not one.is_held,
                one.target is not preferred,
                question.queue.placed_s(one.target.target_id),
                one.target.target_id,
            ),
        )
        return forecasts.placement(chosen)

    def _find_holders(self, question: PrefillQuestion) -> _Holders:
        """Return the engines that should hold the prefix and answer."""
        if not question.prompt.shared_tokens:
            return _Holders()
        answering = [
            engine
            for engine in question.listed
            if not self._loads.is_in_cooldown(engine.target_id, question.now_s)
        ]
        key = question.prompt.shared_key
        known = self._hints.holders.among(key, answering)
        if known:
            return _Holders(known, is_known=True)
        first = first_ranked(question.engines, key)
        return _Holders([first] if first in answering else ())


class _Forecasts:
    """The time that one prompt should take at each engine."""

    def __init__(
        self,
        question: PrefillQuestion,
        hints: PrefillHints,
        holders: _Holders,
        fetches: TargetLoads,
    ) -> None:
        prompt, now_s = question.prompt, question.now_s
        self._prompt = prompt
        self._prefill_time = question.prefill_time
        self._now_s = now_s
        self._hints = hints
        self._is_known = holders.is_known
        self._holder_ids = {holder.target_id for holder in holders.engines}
        self._backlog: Mapping[str, int] = question.queue.fleet_backlog(now_s)
        self._whole_s = self._uncached_s(prompt.token_count)
        self._prefix_s = self._uncached_s(prompt.shared_tokens)
        self._sources = [
            holder
            for holder in holders.engines
            if not fetches.is_in_cooldown(holder.target_id, now_s)
        ]
        # By version and domain of the engines that fetch; filled on use.
        self._soonest: dict[tuple[str, str], _Fetch | None] = {}

    def of_engine(self, engine: RegisteredTarget) -> _Candidate:
        """Return the times at an engine, with a fetch if that pays."""
        slowness = self._hints.paces.slowness(engine, self._now_s)
        is_held = engine.target_id in self._holder_ids
        fetch = None if is_held else self._find_fetch(engine, slowness)
        usual_s = self._wait_s(engine) + self._whole_s
        if is_held or fetch is not None:
            usual_s -= self._prefix_s
        expected_s = slowness * usual_s
        if fetch is not None:
            expected_s += fetch.expected_s
        return _Candidate(
            engine,
            None if fetch is None else fetch.source,
            is_held,
            slowness,
            usual_s,
            expected_s,
        )

    def placement(self, chosen: _Candidate) -> PrefillPlacement:
        """Return the placement of a prompt, with its forecast."""
        age_s = self._hints.paces.age_s(chosen.target, self._now_s)
        forecast = PrefillForecast(
            usual_s=chosen.usual_s,
            expected_s=chosen.expected_s,
            slowness=chosen.slowness,
            slowness_age_s=age_s,
            is_held=chosen.is_held,
            is_known=self._is_known,
        )
        return PrefillPlacement(chosen.target, chosen.source, forecast)

    def _find_fetch(
        self, engine: RegisteredTarget, slowness: float
    ) -> _Fetch | None:
        """Return the fetch of the prefix; None if it is better prefilled."""
        prefix_s = slowness * self._prefix_s
        if prefix_s < MIN_FETCHED_PREFILL_S:
            return None
        key = (engine.version, engine.domain)
        if key not in self._soonest:
            self._soonest[key] = self._find_soonest(*key)
        fetch = self._soonest[key]
        return fetch if fetch and fetch.expected_s < prefix_s else None

    def _find_soonest(self, version: str, domain: str) -> _Fetch | None:
        return min(
            (
                self._fetch(holder, domain)
                for holder in self._sources
                if holder.version == version
            ),
            key=lambda fetch: (fetch.expected_s, fetch.source.target_id),
            default=None,
        )

    def _fetch(self, holder: RegisteredTarget, domain: str) -> _Fetch:
        ahead_tokens = self._hints.running_fetches.tokens(
            holder.target_id, self._now_s
        )
        size_tokens = fetch_size_tokens(
            self._prompt.shared_tokens, holder, domain
        )
        expected_s = self._hints.fetch_time.expected_s(
            ahead_tokens + size_tokens, self._now_s
        )
        return _Fetch(holder, expected_s)

    def _wait_s(self, engine: RegisteredTarget) -> float:
        """Return the usual time of the prompts that an engine has."""
        tokens = self._backlog[engine.target_id]
        return self._prefill_time.with_cache.expected_s(tokens) or 0.0

    def _uncached_s(self, tokens: int) -> float:
        uncached_s = self._prefill_time.without_cache.expected_s(tokens)
        if uncached_s is None:
            return self._prefill_time.with_cache.expected_s(tokens) or 0.0
        return uncached_s
