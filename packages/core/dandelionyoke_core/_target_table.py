"""The targets as the platform lists them and as they report themselves."""

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
    RecordLearned,
    TargetCrashed,
    TargetLeaving,
)
from dandelionyoke_core._observation import LoadsShared
from dandelionyoke_core._ports import Output
from dandelionyoke_core._prefix_index import PrefixIndex, PrefixMemory
from dandelionyoke_core._records import LoadReport, Presence, Target
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_changes import (
    RecentChanges,
    TargetsShared,
)
from dandelionyoke_core._target_state import (
    Sent,
    TargetState,
    unknown_report,
)


class TargetTable:
    """Every known target with its last report and this entry's attempts."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.changes = RecentChanges()
        self._settings = settings
        self._prefixes = PrefixMemory(settings.prefix_blocks)
        self._states: dict[TargetId, TargetState] = {}
        self._services: dict[ServiceName, dict[TargetId, TargetState]] = {}
        self._places: dict[AttemptId, TargetId] = {}

    def learn(self, event: Event, now_s: float) -> list[Output]:
        """Take in what is told of targets."""
        match event:
            case TargetsListed(targets=targets):
                return self._listed(targets, now_s)
            case LoadReported(target_id=target_id, report=report):
                return self._take(target_id, report, now_s)
            case TargetUnreachable(target_id=target_id):
                return self._missed(target_id, now_s)
            case CacheEventsReported():
                self._cache_reported(event)
            case TargetLeaving(target_id=target_id):
                self._leave(target_id)
            case RecordLearned(record=LoadsShared() as loads):
                return self._loads_shared(loads, now_s)
            case RecordLearned(record=TargetsShared() as news):
                return self._targets_shared(news, now_s)
        return []

    def find(self, target_id: TargetId) -> TargetState | None:
        """Look a target up."""
        return self._states.get(target_id)

    def every(self) -> Iterable[TargetState]:
        """Go through all targets."""
        return self._states.values()

    def of_service(
        self, service: ServiceName
    ) -> Mapping[TargetId, TargetState]:
        """Give the targets of a service."""
        return self._services.get(service, {})

    def dispatched(
        self, attempt_id: AttemptId, target_id: TargetId, sent: Sent
    ) -> None:
        """Count an attempt as in progress at a target."""
        state = self._states.get(target_id)
        if state is not None:
            state.start(attempt_id, sent)
            self._places[attempt_id] = target_id

    def progressed(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Count output of an attempt (the total so far)."""
        state = self._place(attempt_id)
        if state is not None:
            state.progress(attempt_id, output_tokens, now_s)

    def ended(self, attempt_id: AttemptId, now_s: float) -> Sent | None:
        """Stop counting an attempt."""
        state = self._place(attempt_id)
        self._places.pop(attempt_id, None)
        return None if state is None else state.finish(attempt_id, now_s)

    def _place(self, attempt_id: AttemptId) -> TargetState | None:
        target_id = self._places.get(attempt_id)
        return None if target_id is None else self._states.get(target_id)

    def _listed(
        self, targets: tuple[Target, ...], now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        is_first = not self._states
        for target in targets:
            outputs.extend(self._put(target, now_s))
        if is_first:
            # The others have read the list too: it is news to none.
            self.changes.forget()
        listed = {target.target_id for target in targets}
        for target_id in set(self._states) - listed:
            self._unlist(target_id, now_s)
        return outputs

    def _targets_shared(
        self, news: TargetsShared, now_s: float
    ) -> list[Output]:
        outputs: list[Output] = []
        for target in news.changed:
            state = self._states.get(target.target_id)
            # News may be older than what the list said here; a target
            # that leaves does not come back under its name.
            if state is None or target.state is not Presence.LIVE:
                outputs.extend(self._put(target, now_s))
        for target_id in news.gone:
            if target_id in self._states:
                self._unlist(target_id, now_s)
        return outputs

    def _put(self, target: Target, now_s: float) -> list[Output]:
        state = self._states.get(target.target_id)
        if state is None:
            state = TargetState(
                target, unknown_report(target), PrefixIndex(self._prefixes)
            )
            self._states[target.target_id] = state
            service = self._services.setdefault(target.service, {})
            service[target.target_id] = state
            self.changes.note(target, now_s)
        elif state.target != target:
            self.changes.note(target, now_s)
        leaves = _begins_to_leave(state.target, target)
        if _stays_after_all(state.target, target):
            # A target that was to leave stays after all; it is paid for.
            state.left = False
        state.target = target
        state.listed = True
        if leaves:
            return [TargetLeaving(target.target_id, target.state.value)]
        return []

    def _unlist(self, target_id: TargetId, now_s: float) -> None:
        state = self._states[target_id]
        if state.listed:
            self.changes.note_gone(target_id, now_s)
        state.listed = False
        if not state.sent:
            self._states.pop(target_id)
            self._services[state.target.service].pop(target_id)

    def _loads_shared(self, shared: LoadsShared, now_s: float) -> list[Output]:
        outputs: list[Output] = []
        for target_id, report in shared.reports():
            state = self._states.get(target_id)
            if state is not None:
                state.shared_s = now_s
            outputs.extend(self._take(target_id, report, now_s))
        for target_id in shared.unreachable:
            outputs.extend(self._missed(target_id, now_s))
        return outputs

    def _take(
        self, target_id: TargetId, report: LoadReport, now_s: float
    ) -> list[Output]:
        state = self._states.get(target_id)
        if state is None:
            return []
        before = state.report.incarnation
        restarted = before not in {'', report.incarnation}
        taken_s = now_s - report.age_s
        if taken_s < state.taken_s:
            return []
        state.reached(now_s)
        state.take(report, taken_s)
        if not restarted:
            return []
        state.prefixes.clear()
        return _crash(state)

    def _missed(self, target_id: TargetId, now_s: float) -> list[Output]:
        state = self._states.get(target_id)
        if state is None:
            return []
        state.missed(now_s + self._settings.avoid_s)
        if state.failures == self._settings.crash_failures:
            return _crash(state)
        return []

    def _cache_reported(self, event: CacheEventsReported) -> None:
        state = self._states.get(event.target_id)
        if state is not None:
            state.prefixes.learn(
                event.first_sequence, event.next_sequence, event.events
            )

    def _leave(self, target_id: TargetId) -> None:
        state = self._states.get(target_id)
        if state is not None:
            state.left = True


def _crash(state: TargetState) -> list[Output]:
    if not state.sent:
        return []
    return [TargetCrashed(state.target.target_id, tuple(state.sent))]


def _stays_after_all(before: Target, after: Target) -> bool:
    return before.state is not after.state and after.state is Presence.LIVE


def _begins_to_leave(before: Target, after: Target) -> bool:
    """Tell whether a target leaves, or leaves sooner than it was to."""
    return before.state is not after.state and after.state is not Presence.LIVE
