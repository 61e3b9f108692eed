"""The attempts at the targets of a run, and injected target faults."""

from collections.abc import Sequence
from functools import partial

import attrs

from dandelionyoke_core import (
    AttemptEnded,
    AttemptFailed,
    AttemptId,
    AttemptRefused,
    Domain,
    Presence,
    RequestId,
    TargetId,
    TokensArrived,
)
from dandelionyoke_standins._policy_caller import StartEngineAttempt
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_engine import (
    EngineAttempt,
    Progress,
    SimulatedEngine,
)
from dandelionyoke_standins._policy_ledger import Ledger
from dandelionyoke_standins._policy_nodes import (
    NETWORK_DELAY_S,
    Network,
    SimulatedNode,
)
from dandelionyoke_standins._policy_platform import (
    SimulatedPlatform,
    SimulatedTarget,
)

ENGINE_STEP_S = 0.04
REPORT_SAMPLE_INTERVAL_S = 0.25
NO_ANSWER_TIMEOUT_S = 2.0
# Nodes get an event for about every twelfth token only; the ledger records
# every token.
PROGRESS_EVENT_TOKENS = 12


@attrs.frozen
class RunningAttempt:
    """The node, call and target of an attempt that runs or waits."""

    node: SimulatedNode
    request_id: RequestId
    target_id: TargetId


class TargetPool:
    """The targets of a run: engine steps, progress events and faults."""

    def __init__(
        self,
        clock: VirtualClock,
        network: Network,
        platform: SimulatedPlatform,
        ledger: Ledger,
    ) -> None:
        self._clock = clock
        self._network = network
        self._platform = platform
        self._ledger = ledger
        self._running: dict[AttemptId, RunningAttempt] = {}

    def engine(self, target_id: TargetId) -> SimulatedEngine:
        """Return the engine of a target."""
        return self._platform.targets[target_id].engine

    def reaches(self, node: SimulatedNode, target_id: TargetId) -> bool:
        """Return whether a target serves and the node can reach it."""
        simulated_target = self._platform.targets[target_id]
        if not simulated_target.is_serving(self._clock.now_s):
            return False
        return self._network.can_reach(
            node.domain, simulated_target.target.domain
        )

    def start_attempt(
        self, node: SimulatedNode, action: StartEngineAttempt
    ) -> None:
        """Queue an attempt at its engine, refuse it, or let it time out."""
        target_id = action.target.target_id
        request_id = action.call.request_id
        if not self.reaches(node, target_id):
            no_answer = AttemptFailed(request_id, action.attempt_id, True, '')
            self._network.deliver(node, no_answer, NO_ANSWER_TIMEOUT_S)
            return
        cause = self.engine(target_id).refusal_cause(self._clock.now_s)
        if cause is not None:
            refused = AttemptRefused(request_id, action.attempt_id, cause)
            self._network.deliver(node, refused, 2 * NETWORK_DELAY_S)
            return
        self._running[action.attempt_id] = RunningAttempt(
            node, request_id, target_id
        )
        self.engine(target_id).add(_engine_attempt(action))
        self._schedule_step(self._platform.targets[target_id])

    def cancel(self, target_id: TargetId, attempt_id: AttemptId) -> None:
        """Cancel an attempt."""
        self._running.pop(attempt_id, None)
        self.engine(target_id).cancel(attempt_id)

    def sample_reports(self) -> None:
        """Record load reports of all engines, periodically."""
        for simulated_target in self._platform.live(self._clock.now_s):
            simulated_target.engine.sample(self._clock.now_s)
        self._clock.call_later(REPORT_SAMPLE_INTERVAL_S, self.sample_reports)

    # Faults.

    def crash(self, simulated_target: SimulatedTarget) -> None:
        """Crash and restart an engine; its attempts fail."""
        lost = simulated_target.engine.restart(self._clock.now_s)
        self._fail_attempts(lost, 'crashed')

    def remove_target(
        self, simulated_target: SimulatedTarget, *, reclaimed: bool
    ) -> None:
        """Remove a target; its attempts fail."""
        lost = simulated_target.engine.in_progress()
        simulated_target.removed_s = self._clock.now_s
        for attempt_id in lost if reclaimed else ():
            self._ledger.record_reclaim(self._running[attempt_id].request_id)
        self._fail_attempts(lost, 'vanished')

    def isolate_domain(self, domain: Domain) -> None:
        """Isolate a domain from the other domains and the platform.

        Attempts across the cut fail after the timeout.
        """
        self._network.isolate_domains(self._network.isolated_domains | {domain})
        lost = [
            attempt_id
            for attempt_id, running in self._running.items()
            if not self.reaches(running.node, running.target_id)
        ]
        self._clock.call_later(
            NO_ANSWER_TIMEOUT_S, partial(self._fail_attempts, lost, 'silent')
        )

    def reconnect_domains(self) -> None:
        """End the isolation of all domains."""
        self._network.isolate_domains(frozenset())

    def reclaim(self, domain: Domain, notice_s: float) -> None:
        """Reclaim all reclaimable targets of a domain after the notice."""
        for reclaimed in tuple(self._platform.live(self._clock.now_s)):
            if (
                reclaimed.target.domain == domain
                and reclaimed.target.reclaimable
            ):
                self._platform.set_state(reclaimed, Presence.RECLAIMED)
                remove_target = partial(
                    self.remove_target, reclaimed, reclaimed=True
                )
                self._clock.call_later(notice_s, remove_target)

    def _schedule_step(self, simulated_target: SimulatedTarget) -> None:
        if not simulated_target.is_stepping:
            simulated_target.is_stepping = True
            self._clock.call_later(
                ENGINE_STEP_S, partial(self._step, simulated_target)
            )

    def _step(self, simulated_target: SimulatedTarget) -> None:
        simulated_target.is_stepping = False
        if not simulated_target.is_serving(self._clock.now_s):
            return
        engine = simulated_target.engine
        for progress in engine.step(ENGINE_STEP_S, self._clock.now_s):
            self._deliver_progress(progress)
        if engine.has_work:
            self._schedule_step(simulated_target)

    def _deliver_progress(self, progress: Progress) -> None:
        attempt_id = progress.attempt_id
        running = self._running.get(attempt_id)
        if running is None or not self.reaches(running.node, running.target_id):
            return
        request_id = running.request_id
        if progress.ended:
            self._running.pop(attempt_id)
            ended = AttemptEnded(
                request_id, attempt_id, 'stop', progress.generated_tokens, 0
            )
            self._network.deliver(running.node, ended)
        elif self._is_reported(request_id, progress):
            tokens = TokensArrived(
                request_id, attempt_id, progress.generated_tokens, ()
            )
            self._network.deliver(running.node, tokens)
        self._ledger.record_progress(
            request_id, progress.generated_tokens, self._clock.now_s
        )

    def _is_reported(self, request_id: RequestId, progress: Progress) -> bool:
        is_first = self._ledger.outcomes[request_id].first_token_s is None
        return is_first or progress.generated_tokens % PROGRESS_EVENT_TOKENS < 2

    def _fail_attempts(
        self, attempt_ids: Sequence[AttemptId], cause: str
    ) -> None:
        for attempt_id in attempt_ids:
            running = self._running.pop(attempt_id, None)
            if running is not None:
                failed = AttemptFailed(
                    running.request_id, attempt_id, True, cause
                )
                self._network.deliver(running.node, failed)


def _engine_attempt(action: StartEngineAttempt) -> EngineAttempt:
    call = action.call
    return EngineAttempt(
        action.attempt_id,
        call.prompt_tokens,
        call.output_tokens,
        call.shared_blocks,
        generated_tokens=action.generated_tokens,
    )
