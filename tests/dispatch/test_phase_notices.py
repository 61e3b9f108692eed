"""Tests of what a refusal shows of an engine's phase."""

import attrs
import testtools

from dandelionyoke_dispatch import (
    Phase,
    RegisteredTarget,
    RegistrySettings,
    TargetRegistry,
)

NOTICE_S = RegistrySettings().phase_notice_s
LISTED = RegisteredTarget(
    'i-1', 'lm', '127.0.0.1:1', 'a', 8, False, Phase.PREFILL, started_ms=1
)


class PhaseNoticeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = TargetRegistry(RegistrySettings())
        self.registry.replace([LISTED], 0)

    def phase(self) -> Phase:
        (target,) = self.registry.of_service('lm')
        return target.phase

    def test_a_refused_phase_is_unknown_until_it_is_settled(self) -> None:
        """Guards against a guess while another target may have answered."""
        self.assertTrue(self.registry.refuse_phase(LISTED, 0))
        self.assertIs(Phase.UNKNOWN, self.phase())
        (target,) = self.registry.of_service('lm')
        self.assertIs(Phase.PREFILL, self.registry.listed_phase(target))
        self.registry.replace([LISTED], 1)
        self.assertIs(Phase.UNKNOWN, self.phase())
        self.assertIs(Phase.DECODE, self.registry.settle_phase(LISTED))
        self.registry.replace([LISTED], 2)
        self.assertIs(Phase.DECODE, self.phase())

    def test_a_second_refusal_of_the_same_entry_changes_nothing(self) -> None:
        """Guards against a phase that is unknown again with each call."""
        self.registry.refuse_phase(LISTED, 0)
        self.assertFalse(self.registry.refuse_phase(LISTED, 0.1))
        self.registry.settle_phase(LISTED)
        self.assertFalse(self.registry.refuse_phase(LISTED, 0.2))
        self.assertIs(Phase.DECODE, self.phase())

    def test_a_notice_ends_as_the_registry_lists_the_phase(self) -> None:
        """Guards against a notice that hides a later change."""
        self.registry.refuse_phase(LISTED, 0)
        self.registry.settle_phase(LISTED)
        self.registry.replace([attrs.evolve(LISTED, phase=Phase.DECODE)], 1)
        self.registry.replace([LISTED], 2)
        self.assertIs(Phase.PREFILL, self.phase())

    def test_a_notice_ends_with_its_time(self) -> None:
        """Guards against an engine that is wrong for ever."""
        self.registry.refuse_phase(LISTED, 0)
        self.registry.settle_phase(LISTED)
        self.registry.replace([LISTED], NOTICE_S)
        self.assertIs(Phase.PREFILL, self.phase())
        self.assertIsNone(self.registry.refused_phase('i-1'))

    def test_a_notice_ends_with_a_new_start(self) -> None:
        """Guards against the phase of a process that is gone."""
        self.registry.refuse_phase(LISTED, 0)
        self.registry.replace([attrs.evolve(LISTED, started_ms=2)], 1)
        self.assertIs(Phase.PREFILL, self.phase())
        self.assertIsNone(self.registry.settle_phase(LISTED))
        self.assertIs(Phase.PREFILL, self.phase())

    def test_an_engine_that_gives_no_answer_counts_as_listed(self) -> None:
        """Guards against a phase that is unknown until the next listing."""
        self.registry.refuse_phase(LISTED, 0)
        self.registry.forget_phase('i-1')
        self.assertIs(Phase.PREFILL, self.phase())
        self.registry.forget_phase('i-1')
        self.registry.forget_phase('i-2')

    def test_an_engine_that_refuses_both_phases_is_asked_again(self) -> None:
        """Guards against an engine that has switched back."""
        self.registry.refuse_phase(LISTED, 0)
        self.registry.settle_phase(LISTED)
        (learned,) = self.registry.of_service('lm')
        self.assertTrue(self.registry.refuse_phase(learned, 1))
        self.assertIs(Phase.PREFILL, self.registry.settle_phase(learned))
        self.registry.replace([LISTED], 2)
        self.assertIs(Phase.PREFILL, self.phase())
