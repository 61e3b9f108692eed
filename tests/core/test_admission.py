"""Admission is fair, bounded, and truthful about waiting."""

import attrs
import testtools

from dandelionyoke_core import (
    AdmissionPart,
    AdmissionSettings,
    Admitted,
    CallAdmitted,
    InstanceId,
    Organisation,
    OrganisationId,
    Outlook,
    Queued,
    Refusal,
    RefusalKind,
    RequestId,
    ServiceCapacity,
    ServiceName,
    Snapshot,
    Ticket,
    Woken,
    WorkSize,
)

SERVICE = ServiceName('route-assistant')
HERE = InstanceId('entry-0')
SLOT_MARGIN = AdmissionSettings().slot_margin


@attrs.frozen
class FixedDirectory:
    snapshot: Snapshot = Snapshot()

    def knowledge_age_s(self, now_s: float) -> float | None:
        return 0


@attrs.frozen
class FixedPeers:
    live: tuple[InstanceId, ...] = (HERE,)
    live_in_domain: tuple[InstanceId, ...] = (HERE,)


@attrs.frozen
class FixedCapacity:
    slots: float

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        return ServiceCapacity(1, self.slots)

    def outlook(
        self, service: ServiceName, size: WorkSize, now_s: float
    ) -> Outlook | None:
        return Outlook(True, 0.1, 1) if self.slots else None


def make_admission(slots: int) -> AdmissionPart:
    return AdmissionPart(
        AdmissionSettings(),
        FixedDirectory(),
        FixedPeers(),
        FixedCapacity(slots / SLOT_MARGIN),
        HERE,
    )


def make_ticket(
    name: str, organisation: str = 'duka', **fields: object
) -> Ticket:
    given = {'prompt_tokens': 100, 'max_output_tokens': 10, **fields}
    return Ticket(
        RequestId(name),
        Organisation(OrganisationId(organisation)),
        SERVICE,
        arrived_s=0,
        **given,
    )


class AdmissionTest(testtools.TestCase):
    def test_a_freed_place_goes_to_who_had_least(self) -> None:
        part = make_admission(1)
        self.assertEqual(Admitted(), part.offer(make_ticket('a1', 'a'), 0))
        self.assertEqual(Queued(), part.offer(make_ticket('a2', 'a'), 0))
        self.assertEqual(Queued(), part.offer(make_ticket('b1', 'b'), 0))
        part.finish(RequestId('a1'), 100, 10, 1)
        self.assertLessEqual(part.next_wakeup_s(), 1)
        self.assertEqual(
            [CallAdmitted(RequestId('b1'))], part.handle(Woken(), 1)
        )

    def test_no_usable_target_refuses_at_once(self) -> None:
        refusal = make_admission(0).offer(make_ticket('a1'), 0)
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual(RefusalKind.NO_TARGET, refusal.kind)
