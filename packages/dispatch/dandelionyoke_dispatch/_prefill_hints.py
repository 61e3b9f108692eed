"""What a placing node learns from the prefills that it placed."""

import attrs

from dandelionyoke_dispatch._calls import Prompt
from dandelionyoke_dispatch._engine_pace import EnginePaces, EnginePaceSettings
from dandelionyoke_dispatch._fetch_time import (
    FetchTimeEstimate,
    FetchTimeSettings,
    RunningFetches,
    fetch_size_tokens,
)
from dandelionyoke_dispatch._prefill_choice import (
    PrefillForecast,
    PrefillPlacement,
)
from dandelionyoke_dispatch._prefix_holders import (
    PrefixHolders,
    PrefixHolderSettings,
)
from dandelionyoke_dispatch._target_speed import TargetSpeeds

# Longer than a fetch that is of use.
FETCH_LIFETIME_S = 1.0
# A prefix of up to this share of a prompt hardly changes its prefill time.
SMALL_PREFIX_SHARE = 0.25


@attrs.frozen
class PrefillOutcome:
    """How a prefill ended; `prefill_s` is None if it did not run."""

    prefill_s: float | None
    is_slow_fetch: bool


class PrefillHints:
    """Holders of prefixes, the pace of engines and the time of fetches.

    All of it is hints, learned again within a few prompts once it is lost.
    """

    def __init__(self, speeds: TargetSpeeds) -> None:
        self.speeds = speeds
        self.holders = PrefixHolders(PrefixHolderSettings())
        self.paces = EnginePaces(EnginePaceSettings(), speeds)
        self.fetch_time = FetchTimeEstimate(FetchTimeSettings())
        self.running_fetches = RunningFetches(FETCH_LIFETIME_S)

    def prefill_placed(
        self,
        ticket_id: str,
        prompt: Prompt,
        placement: PrefillPlacement,
        now_s: float,
    ) -> None:
        """Record a prompt that was given to an engine."""
        source = placement.source
        if source is None or placement.forecast is None:
            return
        size_tokens = fetch_size_tokens(
            prompt.shared_tokens, source, placement.target.domain
        )
        self.running_fetches.start(
            ticket_id, source.target_id, size_tokens, now_s
        )

    def prefill_ended(
        self,
        ticket_id: str,
        prompt: Prompt,
        placement: PrefillPlacement,
        outcome: PrefillOutcome,
        now_s: float,
    ) -> None:
        """Learn from the end of a prompt; nothing if it did not run."""
        fetched_tokens = self.running_fetches.end(ticket_id)
        took_s, target = outcome.prefill_s, placement.target
        if took_s is None or not self.speeds.is_balanced(target.service):
            return
        if prompt.shared_tokens:
            self.holders.record(prompt.shared_key, target)
        forecast = placement.forecast
        if forecast is None:
            return
        if placement.source is None:
            if _is_certain(prompt, forecast):
                self.paces.observe(target, forecast.usual_s, took_s, now_s)
        elif forecast.is_known and not outcome.is_slow_fetch:
            fetch_s = took_s - forecast.slowness * forecast.usual_s
            self.fetch_time.add_sample(fetched_tokens, fetch_s, now_s)

    def forget(self, known: frozenset[str]) -> None:
        """Remove engines that are gone."""
        self.paces.forget(known)


def _is_certain(prompt: Prompt, forecast: PrefillForecast) -> bool:
    """Whether a forecast hardly depends on a guess of what an engine holds."""
    return (forecast.is_held and forecast.is_known) or (
        prompt.shared_tokens <= SMALL_PREFIX_SHARE * prompt.token_count
    )
