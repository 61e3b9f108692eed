"""Answers queries about the node: models for callers, status for operators."""

from collections.abc import Callable
from typing import ClassVar

from dandelionyoke_core._actions import (
    NodeStatus,
    RefuseCall,
    RespondModels,
    RespondStatus,
)
from dandelionyoke_core._capacity import CapacityView
from dandelionyoke_core._events import (
    Event,
    ModelListRequested,
    StatusRequested,
)
from dandelionyoke_core._notices import DutyGained, DutyLost
from dandelionyoke_core._ports import (
    Authenticator,
    ConfigurationView,
    Output,
    Peers,
)
from dandelionyoke_core._records import Instance
from dandelionyoke_core._refusals import Refusal

NO_WAKEUP_S: float | None = None


class NodeQueriesPart:
    """Answers model and status queries; makes no decisions."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        ModelListRequested,
        StatusRequested,
        DutyGained,
        DutyLost,
    )

    def __init__(
        self,
        own: Instance,
        configuration_view: ConfigurationView,
        authenticator: Authenticator,
        peers: Peers,
        capacities: CapacityView,
        leaving: Callable[[], bool],
        in_progress: Callable[[], int],
    ) -> None:
        self._own = own
        self._configuration_view = configuration_view
        self._authenticator = authenticator
        self._peers = peers
        self._capacities = capacities
        self._is_leaving = leaving
        self._in_progress = in_progress
        self._duties: set[str] = set()

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        outputs: list[Output] = []
        match event:
            case ModelListRequested():
                outputs.append(self._models(event, now_s))
            case StatusRequested():
                status = self._status(now_s)
                outputs.append(RespondStatus(event.request_id, status))
            case DutyGained():
                self._duties.add(event.duty)
            case DutyLost():
                self._duties.discard(event.duty)
        return outputs

    def next_wakeup_s(self) -> float | None:
        """Return None: this part needs no wake-up."""
        return NO_WAKEUP_S

    def _models(self, event: ModelListRequested, now_s: float) -> Output:
        identity = self._authenticator.authenticate(event.bearer_key, now_s)
        if isinstance(identity, Refusal):
            return RefuseCall(event.request_id, identity)
        models = self._configuration_view.snapshot.models
        return RespondModels(
            event.request_id, tuple(models[name] for name in sorted(models))
        )

    def _usable_targets(self, now_s: float) -> int:
        return sum(
            self._capacities.capacity(service, now_s).targets
            for service in self._configuration_view.snapshot.services
        )

    def _status(self, now_s: float) -> NodeStatus:
        return NodeStatus(
            instance_id=self._own.instance_id,
            domain=self._own.domain,
            revision=self._configuration_view.snapshot.revision,
            knowledge_age_s=self._configuration_view.knowledge_age_s(now_s),
            leaving=self._is_leaving(),
            in_progress=self._in_progress(),
            live=self._peers.live,
            usable_targets=self._usable_targets(now_s),
            duties=tuple(sorted(self._duties)),
        )
