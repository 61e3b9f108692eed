"""Decisions on the roles of engines and on the number of targets.

This part only decides; another part turns its requests into journalled
orders. It decides for its own failure domain, and only while this node holds
the control duty of the domain, so that two nodes never give an engine
conflicting roles.
"""

from collections.abc import Sequence
from typing import ClassVar

import attrs

from dandelionyoke_core._entities import Service, ServiceKind
from dandelionyoke_core._events import Event, Started, TimerFired
from dandelionyoke_core._fleet_roles import RoleDecider
from dandelionyoke_core._fleet_settings import FleetSettings
from dandelionyoke_core._fleet_size import TargetCountScaler
from dandelionyoke_core._fleet_view import (
    FleetScope,
    TargetStatus,
    TargetView,
    WorkView,
)
from dandelionyoke_core._mix_history import MixHistory
from dandelionyoke_core._names import Domain, ServiceName
from dandelionyoke_core._notices import DutyExtended, DutyGained, DutyLost
from dandelionyoke_core._ports import ConfigurationView, Output
from dandelionyoke_core._role_plan import WorkRow
from dandelionyoke_core._work_mix import MixRow

CONTROL_DUTY = 'control'
# With more services than this, the decision interval grows in proportion.
SERVICES_PER_INTERVAL = 4


@attrs.frozen
class ControlDuty:
    """The control duty held by this node, with its fencing token."""

    fence: int
    until_s: float


@attrs.define
class Deciders:
    """The deciders for one service."""

    roles: RoleDecider
    size: TargetCountScaler


class FleetPart:
    """Decides on the roles and the number of targets of its domain."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        Started,
        TimerFired,
        DutyGained,
        DutyExtended,
        DutyLost,
    )

    def __init__(
        self,
        settings: FleetSettings,
        configuration_view: ConfigurationView,
        targets: TargetView,
        work: WorkView,
        domain: Domain,
    ) -> None:
        self._settings = settings
        self._configuration_view = configuration_view
        self._targets = targets
        self._work = work
        self._domain = domain
        self._duty: ControlDuty | None = None
        self._deciders: dict[ServiceName, Deciders] = {}
        self._next_decision_s: float | None = None

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Handle an event and return the resulting outputs."""
        match event:
            case DutyGained() | DutyExtended() if event.duty == CONTROL_DUTY:
                self._duty = ControlDuty(event.fence, event.until_s)
                if self._next_decision_s is None:
                    self._next_decision_s = (
                        now_s + self._settings.decision_interval_s
                    )
            case DutyLost() if event.duty == CONTROL_DUTY:
                self._stop()
            case TimerFired():
                return self._handle_wakeup(now_s)
        return []

    def next_wakeup_s(self) -> float | None:
        """Return when the next decision is due, or None."""
        return self._next_decision_s

    def _handle_wakeup(self, now_s: float) -> list[Output]:
        if self._next_decision_s is None or now_s < self._next_decision_s:
            return []
        duty = self._duty
        if duty is None or now_s >= duty.until_s:
            self._stop()
            return []
        services = [
            service
            for service in self._configuration_view.snapshot.services.values()
            if service.kind is ServiceKind.ENGINE
        ]
        # Deciding takes about a millisecond per service.
        interval_factor = max(1, len(services) / SERVICES_PER_INTERVAL)
        self._next_decision_s = (
            now_s + self._settings.decision_interval_s * interval_factor
        )
        return [
            output
            for service in services
            for output in self._decide(service, duty, now_s)
        ]

    def _stop(self) -> None:
        self._duty = None
        self._next_decision_s = None
        self._deciders.clear()

    def _decide(
        self, service: Service, duty: ControlDuty, now_s: float
    ) -> list[Output]:
        name = service.service_name
        scope = FleetScope(self._domain, name, duty.fence)
        mix = self._work.mix(name, now_s)
        uncached_share = self._targets.uncached_share(name)
        deciders = self._deciders_of(name)
        statuses = self._targets.target_statuses(name, now_s)
        domain_statuses = [
            status
            for status in statuses
            if status.target.domain == self._domain
        ]
        outputs: list[Output] = []
        outputs.extend(
            deciders.roles.decide(
                scope,
                _short_term_rows(
                    mix,
                    uncached_share,
                    _domain_share(domain_statuses, statuses),
                ),
                domain_statuses,
                now_s,
            )
        )
        outputs.extend(
            deciders.size.decide(
                scope,
                service,
                _long_term_rows(mix, uncached_share),
                statuses,
                now_s,
            )
        )
        return outputs

    def _deciders_of(self, name: ServiceName) -> Deciders:
        deciders = self._deciders.get(name)
        if deciders is None:
            history = MixHistory(self._settings.shift_threshold)
            deciders = Deciders(
                RoleDecider(self._settings, history),
                TargetCountScaler(self._settings),
            )
            self._deciders[name] = deciders
        return deciders


def _domain_share(
    domain_statuses: Sequence[TargetStatus], statuses: Sequence[TargetStatus]
) -> float:
    """Return the domain's share of all targets that answer their polls.

    During a network partition the targets on the far side do not answer, and
    this side has to do all of its work. A target that drains for a role
    change still counts. Otherwise its share would pass to the other domains,
    which would change roles for it.
    """
    reachable_count = sum(status.is_reachable for status in statuses)
    return sum(status.is_reachable for status in domain_statuses) / max(
        1, reachable_count
    )


def _short_term_rows(
    mix: tuple[MixRow, ...], uncached_share: float, domain_share: float
) -> list[WorkRow]:
    """Return the domain's share of the work, by its share of the targets.

    Calls are routed across domains. A domain that counted the calls of its
    own entries would change roles for calls that other domains serve. One
    that counted all the work would change roles in step with every other
    domain, and back again.
    """
    return [
        WorkRow(
            row.prompt_per_s * uncached_share * domain_share,
            row.output_per_s * domain_share,
        )
        for row in mix
    ]


def _long_term_rows(
    mix: tuple[MixRow, ...], uncached_share: float
) -> list[WorkRow]:
    return [
        WorkRow(row.slow_prompt_per_s * uncached_share, row.slow_output_per_s)
        for row in mix
    ]
