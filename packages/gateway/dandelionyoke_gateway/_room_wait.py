"""Waits shortly for room at the decode engines, before a call's prefill."""

import eventlet

from dandelionyoke_dispatch import Cause, Refusal, RegisteredTarget
from dandelionyoke_gateway._call_dispatcher import RefusedError
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._prompt_prefiller import PromptPrefiller
from dandelionyoke_gateway._stream_call_state import StreamCallState

# A caller that is refused within this share of its goal can still be served
# in time elsewhere.
MAX_WAIT_GOAL_SHARE = 0.25
POLL_INTERVAL_S = 0.02


class RoomWait:
    """Holds one call back while all decode engines are too full for it.

    Only where targets report their slowness, and by recent reports only: an
    engine of which this node has not heard may have room.
    """

    def __init__(
        self, prefiller: PromptPrefiller, state: StreamCallState
    ) -> None:
        self._prefiller = prefiller
        self._state = state
        self._knowledge = state.deps.knowledge

    def wait(self) -> None:
        """Return once a decode engine can begin before the caller gives up.

        Raises:
            RefusedError: none can for a while.
        """
        context = self._state.context
        started_s = clock_s()
        until_s = started_s + MAX_WAIT_GOAL_SHARE * context.route.goal_s
        wait_s = self._expected_s()
        if self._is_soon(wait_s):
            return
        while not self._is_soon(wait_s) and clock_s() < until_s:
            eventlet.sleep(POLL_INTERVAL_S)
            wait_s = self._expected_s()
        is_soon = self._is_soon(wait_s)
        waited_s = clock_s() - started_s
        self._state.deps.log.observe('stream.room_wait', waited_s)
        self._state.deps.log.decide(
            'stream.no_room',
            context.call.attempt_id,
            outcome='waited' if is_soon else 'refused',
            service=context.service.name,
            expected_s=wait_s,
            waited_s=waited_s,
            engines=len(self._engines()),
            age_s=self._oldest_report_s(),
        )
        if not is_soon:
            self._refuse(wait_s)

    def _is_soon(self, wait_s: float) -> bool:
        return not wait_s or clock_s() + wait_s < self._prefiller.deadline_s

    def _expected_s(self) -> float:
        """Return how long a call waits at the engine that is free first."""
        speeds, now_s = self._knowledge.speeds, clock_s()
        if not speeds.is_balanced(self._state.context.service.name):
            return 0
        waits_s = (
            self._knowledge.room.wait_s(
                target, speeds.slowness(target.target_id, now_s), now_s
            )
            for target in self._engines()
        )
        return min(waits_s, default=0)

    def _engines(self) -> list[RegisteredTarget]:
        return self._knowledge.placement.usable_decode_engines(
            self._state.context.service.name,
            self._state.tried_ids,
            clock_s(),
            self._state.context.version,
        )

    def _oldest_report_s(self) -> float | None:
        now_s = clock_s()
        ages_s = (
            self._knowledge.room.age_s(target, now_s)
            for target in self._engines()
        )
        return max(ages_s, default=None)

    def _refuse(self, wait_s: float) -> None:
        context = self._state.context
        stats = self._knowledge.service_state(context.service.name)
        stats.overload.record_refusal(clock_s())
        raise RefusedError(Refusal(Cause.TOO_LATE, wait_s))
