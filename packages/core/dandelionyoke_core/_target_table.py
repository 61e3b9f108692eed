"""The targets as the platform lists them and as they report themselves."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core._events import (
    CacheEventsReported,
    Event,
    LoadReported,
    TargetsListed,
    TargetUnreachable,
)
from dandelionyoke_core._names import (
    AttemptId,
    Domain,
    InstanceId,
    ServiceName,
    TargetId,
)
from dandelionyoke_core._notices import (
    RecordLearned,
    ShareRecord,
    TargetCrashed,
    TargetLeaving,
)
from dandelionyoke_core._observation import LoadShared
from dandelionyoke_core._ports import Output, Peers, RouteNeed
from dandelionyoke_core._records import LoadReport, Presence, Target
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._target_state import TargetState, unknown_report


class TargetTable:
    """Every known target with its last report and this entry's attempts."""

    def __init__(
        self,
        settings: RoutingSettings,
        peers: Peers,
        domain: Domain,
        instance_id: InstanceId,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._domain = domain
        self._instance_id = instance_id
        self._states: dict[TargetId, TargetState] = {}
        self._places: dict[AttemptId, TargetId] = {}
        self._version = 0

    def learn(self, event: Event, now_s: float) -> list[Output]:
        """Take in what is told of targets."""
        match event:
            case TargetsListed(targets=targets):
                return self._listed(targets)
            case LoadReported():
                return self._reported(event, now_s)
            case TargetUnreachable(target_id=target_id):
                return self._unreachable(target_id, now_s)
            case CacheEventsReported():
                self._cache_reported(event)
            case TargetLeaving(target_id=target_id):
                self._leave(target_id)
            case RecordLearned(record=LoadShared() as shared):
                return self._take(shared.target_id, shared.report, now_s)
        return []

    def find(self, target_id: TargetId) -> TargetState | None:
        """Look a target up."""
        return self._states.get(target_id)

    def of_service(self, service: ServiceName) -> Iterable[TargetState]:
        """Go through the targets of a service."""
        return (
            state
            for state in self._states.values()
            if state.target.service == service
        )

    def in_domain(self) -> list[TargetState]:
        """List the targets of this entry's domain."""
        return [
            state
            for state in self._states.values()
            if state.target.domain == self._domain
        ]

    def dispatched(
        self,
        attempt_id: AttemptId,
        target_id: TargetId,
        need: RouteNeed,
        now_s: float,
    ) -> None:
        """Count an attempt as in progress at a target."""
        state = self._states.get(target_id)
        if state is not None:
            state.start(attempt_id, need, now_s)
            self._places[attempt_id] = target_id

    def progressed(self, attempt_id: AttemptId, output_tokens: int) -> None:
        """Count output of an attempt (the total so far)."""
        state = self._place(attempt_id)
        if state is not None:
            state.sent[attempt_id].output_tokens = output_tokens

    def ended(self, attempt_id: AttemptId, now_s: float) -> None:
        """Stop counting an attempt."""
        state = self._place(attempt_id)
        if state is not None:
            state.finish(attempt_id, now_s)
        self._places.pop(attempt_id, None)

    def _place(self, attempt_id: AttemptId) -> TargetState | None:
        target_id = self._places.get(attempt_id)
        return None if target_id is None else self._states.get(target_id)

    def _listed(self, targets: tuple[Target, ...]) -> list[Output]:
        outputs: list[Output] = []
        for target in targets:
            state = self._states.get(target.target_id)
            if state is None:
                state = TargetState(target, unknown_report(target))
                self._states[target.target_id] = state
            if _begins_to_leave(state.target, target):
                outputs.append(
                    TargetLeaving(target.target_id, target.state.value)
                )
            state.target = target
            state.listed = True
        self._drop_unlisted({target.target_id for target in targets})
        return outputs

    def _drop_unlisted(self, listed: set[TargetId]) -> None:
        for target_id in set(self._states) - listed:
            self._states[target_id].listed = False
            if not self._states[target_id].sent:
                self._states.pop(target_id)

    def _reported(self, event: LoadReported, now_s: float) -> list[Output]:
        outputs = self._take(event.target_id, event.report, now_s)
        here = len(self._peers.live_in_domain)
        if here <= self._settings.poll_all_below_entries:
            return outputs
        self._version += 1
        record = LoadShared(
            record_key=f'load/{event.target_id}/{self._instance_id}',
            version=self._version,
            lifetime_s=self._settings.share_lifetime_s,
            target_id=event.target_id,
            report=attrs.evolve(event.report, in_progress=()),
        )
        outputs.append(ShareRecord(record))
        return outputs

    def _take(
        self, target_id: TargetId, report: LoadReport, now_s: float
    ) -> list[Output]:
        state = self._states.get(target_id)
        if state is None:
            return []
        before = state.report.incarnation
        restarted = before not in {'', report.incarnation}
        state.reached(now_s)
        taken_s = now_s - report.age_s
        if restarted:
            state.prefixes.clear()
        if restarted or taken_s >= state.taken_s:
            state.take(report, taken_s)
        return _crash(state) if restarted else []

    def _unreachable(self, target_id: TargetId, now_s: float) -> list[Output]:
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


def _begins_to_leave(before: Target, after: Target) -> bool:
    return before.state is Presence.LIVE and after.state is not Presence.LIVE
