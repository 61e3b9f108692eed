"""Finds out which engine is at fault if a KV cache is not imported."""

import attrs

from dandelionyoke_dispatch import ImportRefusal, RegisteredTarget, is_full
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._ports import ResponseFacts
from dandelionyoke_gateway._prompt_prefiller import (
    PrefilledPrompt,
    PromptPrefiller,
)
from dandelionyoke_gateway._stream_call_state import StreamCallState


@attrs.define
class PromptUse:
    """Whether an engine may have imported the KV cache of a prompt."""

    prompt: PrefilledPrompt | None
    is_spent: bool = False


class ImportCheck:
    """Sends one call without its KV cache to an engine that refused it.

    Only where targets report their slowness. While a check is pending, the
    decode engine prefills the prompt.
    """

    def __init__(
        self, prefiller: PromptPrefiller, state: StreamCallState
    ) -> None:
        self._prefiller = prefiller
        self._state = state
        self._knowledge = state.deps.knowledge
        self._refusal: ImportRefusal | None = None
        self._prompt: PrefilledPrompt | None = None
        # The engine to send the call to once more.
        self._target: RegisteredTarget | None = None

    @property
    def is_pending(self) -> bool:
        """Whether it is not known yet which engine is at fault."""
        return self._refusal is not None

    def take_refusal(
        self, target: RegisteredTarget, facts: ResponseFacts, use: PromptUse
    ) -> bool:
        """Take a refusal; return whether the engine itself is not suspect.

        An engine that has room gets the call without the prompt of `use`. If
        it refuses that as well, the prompt is left to other engines.
        """
        if self._is_refused_again(target, use):
            use.prompt = self._prompt
            self._prompt = None
            self._conclude(is_refused_without=True)
            return False
        prompt = use.prompt
        if prompt is None or not self._has_room(facts) or facts.load is None:
            return False
        self.settle()
        self._refusal = ImportRefusal(
            prompt.target.target_id, target.target_id, facts.load, clock_s()
        )
        self._prompt = prompt
        self._target = target
        use.prompt = None
        return True

    def take_target(self) -> RegisteredTarget | None:
        """Return the engine to send the call to without its cache, once."""
        target = self._target
        self._target = None
        if target is None or target.target_id in self._state.tried_ids:
            return None
        known = self._knowledge.registry.find(target.target_id)
        if known is None or known.is_leaving:
            return None
        is_bound = self._state.context.version not in {None, target.version}
        return None if is_bound else target

    def settle(self) -> None:
        """End a pending check: the engine that holds the cache is suspect."""
        if self._refusal is None:
            return
        self._prefiller.release(self._prompt)
        self._prompt = None
        self._conclude(is_refused_without=False)

    def _is_refused_again(
        self, target: RegisteredTarget, use: PromptUse
    ) -> bool:
        refusal = self._refusal
        is_without = use.prompt is None
        return (
            refusal is not None
            and is_without
            and target.target_id == refusal.decode_id
        )

    def _has_room(self, facts: ResponseFacts) -> bool:
        service = self._state.context.service.name
        if not self._knowledge.speeds.is_balanced(service):
            return False
        is_answer = not facts.is_misdirected and not facts.rest_s
        return is_answer and not is_full(facts.load)

    def _conclude(self, *, is_refused_without: bool) -> None:
        refusal = self._refusal
        if refusal is None:
            return
        self._refusal = None
        self._target = None
        suspect_id = refusal.suspect_id(is_refused_without=is_refused_without)
        if suspect_id == refusal.source_id:
            self._knowledge.loads.refused(suspect_id, clock_s())
        self._state.deps.log.decide(
            'prompt.lost',
            self._state.context.call.attempt_id,
            outcome=suspect_id,
            source=refusal.source_id,
            target=refusal.decode_id,
            running=refusal.load.running,
            queued=refusal.load.queued,
            slots=refusal.load.slots,
            age_s=clock_s() - refusal.refused_s,
        )
