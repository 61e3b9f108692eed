"""Builds a node from its parts and wires them together."""

from random import Random

import attrs

from dandelionyoke_core._actions import Action
from dandelionyoke_core._admission import AdmissionPart
from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._claims import IdempotencySettings
from dandelionyoke_core._configuration import (
    ConfigurationPart,
    ConfigurationSettings,
)
from dandelionyoke_core._duty_lease import REPORT_DUTY, DutyLeasePart
from dandelionyoke_core._duty_lease_settings import DutyLeaseSettings
from dandelionyoke_core._events import Event
from dandelionyoke_core._fleet import CONTROL_DUTY, FleetPart
from dandelionyoke_core._fleet_settings import FleetSettings
from dandelionyoke_core._idempotency import IdempotencyPart
from dandelionyoke_core._keys import KeysPart, KeysSettings
from dandelionyoke_core._lifecycle import LifecyclePart, LifecycleSettings
from dandelionyoke_core._membership import MembershipPart
from dandelionyoke_core._membership_settings import MembershipSettings
from dandelionyoke_core._node import Composition
from dandelionyoke_core._node_queries import NodeQueriesPart
from dandelionyoke_core._orders import OrdersPart
from dandelionyoke_core._orders_settings import OrdersSettings
from dandelionyoke_core._quarantine import QuarantinePart
from dandelionyoke_core._quarantine_settings import QuarantineSettings
from dandelionyoke_core._records import Instance
from dandelionyoke_core._request import RequestPart
from dandelionyoke_core._request_settings import RequestSettings
from dandelionyoke_core._routing import RoutingPart
from dandelionyoke_core._routing_settings import RoutingSettings
from dandelionyoke_core._usage import UsagePart
from dandelionyoke_core._usage_settings import UsageSettings


@attrs.frozen
class NodeSettings:
    """Settings of every part of a node.

    `incarnation` increases with each start under one instance id: seconds
    since the epoch at the start.
    """

    instance: Instance
    incarnation: int
    membership: MembershipSettings = attrs.field(factory=MembershipSettings)
    configuration: ConfigurationSettings = attrs.field(
        factory=ConfigurationSettings
    )
    keys: KeysSettings = attrs.field(factory=KeysSettings)
    routing: RoutingSettings = attrs.field(factory=RoutingSettings)
    admission: AdmissionSettings = attrs.field(factory=AdmissionSettings)
    idempotency: IdempotencySettings = attrs.field(factory=IdempotencySettings)
    quarantine: QuarantineSettings = attrs.field(factory=QuarantineSettings)
    request: RequestSettings = attrs.field(factory=RequestSettings)
    duty_lease: DutyLeaseSettings = attrs.field(factory=DutyLeaseSettings)
    fleet: FleetSettings = attrs.field(factory=FleetSettings)
    orders: OrdersSettings = attrs.field(factory=OrdersSettings)
    usage: UsageSettings = attrs.field(factory=UsageSettings)
    lifecycle: LifecycleSettings = attrs.field(factory=LifecycleSettings)


class Node:
    """All decision logic of one entry behind a single `handle` method.

    Nothing outside of it makes decisions, so that a test can run many nodes
    in one process and replay a run from its seed.
    """

    def __init__(self, settings: NodeSettings, random: Random) -> None:
        own = settings.instance
        self.membership = MembershipPart(
            settings.membership, own, settings.incarnation, random
        )
        self.configuration = ConfigurationPart(
            settings.configuration,
            self.membership,
            random,
            own.instance_id,
            own.domain,
        )
        self.keys = KeysPart(self.configuration, settings.keys)
        self.routing = RoutingPart(
            settings.routing,
            self.configuration,
            self.membership,
            own.domain,
            own.instance_id,
            random,
        )
        self.admission = AdmissionPart(
            settings.admission,
            self.configuration,
            self.membership,
            self.routing,
            own.instance_id,
        )
        self.idempotency = IdempotencyPart(
            settings.idempotency, own.instance_id, random
        )
        self.quarantine = QuarantinePart(settings.quarantine)
        self.request = RequestPart(
            settings.request,
            self.configuration,
            self.keys,
            self.admission,
            self.routing,
            self.idempotency,
            self.quarantine,
            random,
        )
        self.control_duty = DutyLeasePart(
            settings.duty_lease, CONTROL_DUTY, own, random
        )
        self.report_duty = DutyLeasePart(
            settings.duty_lease, REPORT_DUTY, own, random
        )
        self.fleet = FleetPart(
            settings.fleet,
            self.configuration,
            self.routing,
            self.admission,
            own.domain,
        )
        self.orders = OrdersPart(
            settings.orders, own, self.routing.find, random
        )
        self.usage = UsagePart(
            settings.usage, own, settings.incarnation, self.membership, random
        )
        self.lifecycle = LifecyclePart(
            settings.lifecycle,
            lambda: self.request.in_progress,
            lambda: self.idempotency.in_progress + self.usage.unsaved_count,
        )
        self.node_queries = NodeQueriesPart(
            own,
            self.configuration,
            self.keys,
            self.membership,
            self.routing,
            lambda: self.leaving,
            lambda: self.request.in_progress,
        )
        # The lifecycle part handles an event before the request part: after
        # a second signal the request part ends all calls, and the lifecycle
        # part would then see none in progress and report a clean exit.
        self._parts = Composition(
            (
                self.lifecycle,
                self.membership,
                self.configuration,
                self.routing,
                self.admission,
                self.idempotency,
                self.quarantine,
                self.request,
                self.control_duty,
                self.report_duty,
                self.fleet,
                self.orders,
                self.usage,
                self.node_queries,
            )
        )

    @property
    def leaving(self) -> bool:
        """Whether a shutdown was requested."""
        return self.lifecycle.leaving

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Handle one event and return the resulting actions in order."""
        return self._parts.handle(event, now_s)

    def next_wakeup_s(self) -> float | None:
        """Return the time at which the next `TimerFired` is due, or None."""
        return self._parts.next_wakeup_s()
