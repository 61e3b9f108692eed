"""The table of targets, from platform listings and target reports."""

from collections.abc import Iterable, Mapping

from dandelionyoke_core._events import (
    CacheEventsReported,
    Event,
    LoadReported,
    TargetsListed,
    TargetUnreachable,
)
from dandelionyoke_core._names import AttemptId, ServiceName, TargetId
from dandelionyoke_core._notices import (
    RecordReceived,
    TargetCrashed,
    TargetLeaving,
)
from dandelionyoke_core._observation import LoadsShared
from dandelionyoke_core._ports import Output
from dandelionyoke_core._prefix_index import PrefixBlockTable, PrefixIndex
from dandelionyoke_core._records import LoadReport, Presence, Target
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_changes import (
    RecentChanges,
    TargetsShared,
)
from dandelionyoke_core._target_state import (
    SentAttempt,
    TargetState,
    empty_report,
)


class TargetTable:
    """The state of every known target."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.changes = RecentChanges()
        self._settings = settings
        self._prefixes = PrefixBlockTable(settings.max_prefix_blocks)
        self._states: dict[TargetId, TargetState] = {}
        self._services: dict[ServiceName, dict[TargetId, TargetState]] = {}
        self._targets_by_attempt: dict[AttemptId, TargetId] = {}

    def learn(self, event: Event, now_s: float) -> list[Output]:
        """Update the table from an event about targets."""
        match event:
            case TargetsListed(targets=targets):
                return self._on_listing(targets, now_s)
            case LoadReported(target_id=target_id, report=report):
                return self._on_report(target_id, report, now_s)
            case TargetUnreachable(target_id=target_id, is_silent=is_silent):
                return self._on_unreachable(target_id, now_s, is_silent)
            case CacheEventsReported():
                self._on_cache_events(event)
            case TargetLeaving(target_id=target_id):
                self._on_leaving(target_id)
            case RecordReceived(record=LoadsShared() as loads):
                return self._on_loads_shared(loads, now_s)
            case RecordReceived(record=TargetsShared() as shared):
                return self._on_targets_shared(shared, now_s)
        return []

    def find(self, target_id: TargetId) -> TargetState | None:
        """Return the state of a target, or None if it is unknown."""
        return self._states.get(target_id)

    def all_states(self) -> Iterable[TargetState]:
        """Return the states of all targets."""
        return self._states.values()

    def of_service(
        self, service: ServiceName
    ) -> Mapping[TargetId, TargetState]:
        """Return the states of the targets of a service."""
        return self._services.get(service, {})

    def dispatched(
        self, attempt_id: AttemptId, target_id: TargetId, sent: SentAttempt
    ) -> None:
        """Record an attempt as in flight at a target."""
        state = self._states.get(target_id)
        if state is not None:
            state.add_attempt(attempt_id, sent)
            self._targets_by_attempt[attempt_id] = target_id

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Record the total output of an attempt so far."""
        state = self._state_of_attempt(attempt_id)
        if state is not None:
            state.record_output(attempt_id, output_tokens, now_s)

    def ended(self, attempt_id: AttemptId, now_s: float) -> SentAttempt | None:
        """Record the end of an attempt."""
        state = self._state_of_attempt(attempt_id)
        self._targets_by_attempt.pop(attempt_id, None)
        return None if state is None else state.end_attempt(attempt_id, now_s)

    def _state_of_attempt(self, attempt_id: AttemptId) -> TargetState | None:
        target_id = self._targets_by_attempt.get(attempt_id)
        return None if target_id is None else self._states.get(target_id)

    def _on_listing(
        self, targets: tuple[Target, ...], now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        is_first = not self._states
        for target in targets:
            outputs.extend(self._upsert(target, now_s))
        if is_first:
            # The other entries have read the list as well, so the changes
            # need not be shared.
            self.changes.clear()
        listed = {target.target_id for target in targets}
        for target_id in set(self._states) - listed:
            self._unlist(target_id, now_s)
        return outputs

    def _on_targets_shared(
        self, shared: TargetsShared, now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        for target in shared.changed:
            state = self._states.get(target.target_id)
            # A shared change may be older than the list that was read here,
            # so it updates a known target only if the target is not live. A
            # target that is leaving does not return under its name.
            if state is None or target.state is not Presence.LIVE:
                outputs.extend(self._upsert(target, now_s))
        for target_id in shared.gone:
            if target_id in self._states:
                self._unlist(target_id, now_s)
        return outputs

    def _upsert(self, target: Target, now_s: float) -> list[Output]:
        state = self._states.get(target.target_id)
        if state is None:
            state = TargetState(
                target, empty_report(target), PrefixIndex(self._prefixes)
            )
            self._states[target.target_id] = state
            service = self._services.setdefault(target.service, {})
            service[target.target_id] = state
            self.changes.add_changed(target, now_s)
        elif state.target != target:
            self.changes.add_changed(target, now_s)
        starts_leaving = _starts_leaving(state.target, target)
        if _returns_to_live(state.target, target):
            # The removal of the target was cancelled. It is paid for, so it
            # gets calls again.
            state.is_leaving = False
        state.target = target
        state.listed = True
        if starts_leaving:
            return [TargetLeaving(target.target_id, target.state.value)]
        return []

    def _unlist(self, target_id: TargetId, now_s: float) -> None:
        state = self._states[target_id]
        if state.listed:
            self.changes.add_removed(target_id, now_s)
        state.listed = False
        if not state.sent:
            self._states.pop(target_id)
            self._services[state.target.service].pop(target_id)

    def _on_loads_shared(
        self, shared: LoadsShared, now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        for target_id, report in shared.reports():
            state = self._states.get(target_id)
            if state is not None:
                state.last_shared_report_s = now_s
            outputs.extend(self._on_report(target_id, report, now_s))
        for target_id in shared.unreachable:
            # The record does not tell why; a silence is the milder cause.
            outputs.extend(
                self._on_unreachable(target_id, now_s, is_silent=True)
            )
        return outputs

    def _on_report(
        self, target_id: TargetId, report: LoadReport, now_s: float
    ) -> list[Output]:
        state = self._states.get(target_id)
        if state is None:
            return []
        previous_incarnation = state.report.incarnation
        restarted = previous_incarnation not in {'', report.incarnation}
        report_taken_s = now_s - report.age_s
        if report_taken_s < state.report_taken_s:
            return []
        state.mark_reachable(now_s)
        state.update_report(report, report_taken_s)
        if not restarted:
            return []
        state.prefixes.clear()
        return _crash_notices(state)

    def _on_unreachable(
        self, target_id: TargetId, now_s: float, is_silent: bool
    ) -> list[Output]:
        state = self._states.get(target_id)
        if state is None:
            return []
        state.mark_unreachable(
            now_s,
            now_s + self._settings.unreachable_cooldown_s,
            is_silent=is_silent,
        )
        if state.is_presumed_crashed or not self._has_crashed(state, now_s):
            return []
        state.is_presumed_crashed = True
        return _crash_notices(state, is_presumed=state.is_silent)

    def _has_crashed(self, state: TargetState, now_s: float) -> bool:
        if state.failures < self._settings.failures_before_crash:
            return False
        silent_s = now_s - state.first_failure_s
        return not state.is_silent or silent_s >= self._settings.silent_polls_s

    def _on_cache_events(self, event: CacheEventsReported) -> None:
        state = self._states.get(event.target_id)
        if state is not None:
            state.prefixes.learn(
                event.first_sequence, event.next_sequence, event.events
            )

    def _on_leaving(self, target_id: TargetId) -> None:
        state = self._states.get(target_id)
        if state is not None:
            state.is_leaving = True


def _crash_notices(
    state: TargetState, *, is_presumed: bool = False
) -> list[Output]:
    if not state.sent:
        return []
    attempt_ids = tuple(state.sent)
    return [TargetCrashed(state.target.target_id, attempt_ids, is_presumed)]


def _returns_to_live(before: Target, after: Target) -> bool:
    return before.state is not after.state and after.state is Presence.LIVE


def _starts_leaving(before: Target, after: Target) -> bool:
    """Return whether a target starts to leave, or will leave sooner."""
    return before.state is not after.state and after.state is not Presence.LIVE
