"""Routing keeps to what is usable, and sees what others see."""

from random import Random

import attrs
import testtools

from dandelionyoke_core import (
    Domain,
    InstanceId,
    LoadReport,
    LoadReported,
    NoRoute,
    OrganisationId,
    Presence,
    RouteNeed,
    RoutingPart,
    RoutingSettings,
    ServiceName,
    Snapshot,
    Target,
    TargetCrashed,
    TargetId,
    TargetsListed,
    TargetUnreachable,
)

SERVICE = ServiceName('route-assistant')
HOME = Domain('kurasini')
HERE = InstanceId('entry-0')


@attrs.frozen
class FixedDirectory:
    snapshot: Snapshot = Snapshot()

    def knowledge_age_s(self, now_s: float) -> float | None:
        return 0


@attrs.frozen
class FixedPeers:
    live: tuple[InstanceId, ...] = (HERE,)
    live_in_domain: tuple[InstanceId, ...] = (HERE,)


def make_targets(count: int, **fields: object) -> tuple[Target, ...]:
    return tuple(
        Target(TargetId(f't{n}'), SERVICE, HOME, f'10.0.0.{n}:80', **fields)
        for n in range(count)
    )


def make_routing(
    targets: tuple[Target, ...], settings: RoutingSettings = RoutingSettings()
) -> RoutingPart:
    part = RoutingPart(
        settings, FixedDirectory(), FixedPeers(), HOME, HERE, Random(1)
    )
    part.handle(TargetsListed(targets), 0)
    return part


def make_need(**fields: object) -> RouteNeed:
    given = {'prompt_tokens': 100, 'max_output_tokens': 100, **fields}
    return RouteNeed(OrganisationId('duka'), SERVICE, **given)


class RoutingTest(testtools.TestCase):
    def test_only_usable_targets_are_chosen(self) -> None:
        plain, *others = make_targets(4)
        leaving = attrs.evolve(others[0], state=Presence.LEAVING)
        reclaimable = attrs.evolve(others[1], reclaimable=True)
        part = make_routing((plain, leaving, reclaimable, others[2]))
        report = LoadReport(others[2].target_id, 'a', 0, draining=True)
        part.handle(LoadReported(others[2].target_id, report), 0)
        need = make_need(steady=True)
        self.assertEqual(plain, part.choose(need, 0))
        avoiding = make_need(steady=True, avoid=frozenset((plain.target_id,)))
        self.assertIsInstance(part.choose(avoiding, 0), NoRoute)

    def test_a_restarted_or_vanished_engine_crashed(self) -> None:
        """An engine dies of a request and restarts at once, or stays away.

        The caller would wait for an answer that can never come.
        """
        (target,) = make_targets(1)
        for restarts in (True, False):
            part = make_routing((target,))
            report = LoadReport(target.target_id, 'first', 0)
            part.handle(LoadReported(target.target_id, report), 0)
            part.dispatched('a1', target.target_id, make_need(), 1)
            if restarts:
                again = attrs.evolve(report, incarnation='second')
                outputs = part.handle(LoadReported(target.target_id, again), 2)
            else:
                gone = TargetUnreachable(target.target_id, 'refused')
                outputs = [
                    out for n in range(3) for out in part.handle(gone, n)
                ]
            self.assertEqual(
                [TargetCrashed(target.target_id, ('a1',))], outputs
            )
