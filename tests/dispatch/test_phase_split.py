"""Phases of engines under bursts and turns of the mix, in virtual time."""

import attrs
import testtools

from dandelionyoke_dispatch import (
    BalancedSplit,
    PhaseLoad,
    PhasePlanSettings,
    StreamSplit,
)
from tests.dispatch.phase_fleet import PhaseDay, Rate

NEWS_S = (0.2, 1.0, 3.0)
USUAL = 225.0


def doubled(now_s: float) -> float:
    """Twice as many calls for some seconds."""
    return 2 * USUAL if 20 <= now_s < 32 else USUAL


def jammed(now_s: float) -> float:
    """Four times as many calls for two seconds."""
    return 4 * USUAL if 20 <= now_s < 22 else USUAL


class BalancedSplitTest(testtools.TestCase):
    def test_streams_get_what_they_need_while_it_is_there(self) -> None:
        split = BalancedSplit(filled_share=0.5, prompts_at_engine=2)
        self.assertEqual(5, split.decode_count(20, 32, PhaseLoad(80, 10)))

    def test_both_phases_are_short_alike(self) -> None:
        """Guards against a phase that gets all engines but one."""
        split = BalancedSplit(filled_share=0.5, prompts_at_engine=2)
        self.assertEqual(15, split.decode_count(20, 32, PhaseLoad(480, 20)))

    def test_no_streams_and_no_prompts(self) -> None:
        self.assertEqual(0, BalancedSplit().decode_count(20, 32, PhaseLoad(0)))


class PhaseDayTest(testtools.TestCase):
    """Each day also by the naive form, which follows streams alone."""

    def play(self, day: PhaseDay) -> tuple[PhaseDay, PhaseDay]:
        naive = attrs.evolve(
            day,
            split=StreamSplit(),
            settings=PhasePlanSettings(coming_share=1.0),
        )
        return day.play(), naive.play()

    def test_the_load_doubles_while_a_domain_is_lost(self) -> None:
        """Guards against engines that all leave prefill for a burst."""
        for news_late_s in NEWS_S:
            day, _ = self.play(
                PhaseDay(
                    doubled, lost=(12, 13.0, 24.0), news_late_s=news_late_s
                )
            )
            self.assertGreater(day.served_share, 0.95)
            self.assertGreater(day.least_prefill, day.engines / 3)

    def test_all_decode_engines_are_lost(self) -> None:
        """Guards against streams that wait while few engines may change."""
        for news_late_s in NEWS_S:
            day, naive = self.play(
                PhaseDay(
                    lambda now_s: USUAL,
                    lost=(8, 13.0, 24.0),
                    loses_decode=True,
                    news_late_s=news_late_s,
                )
            )
            self.assertGreaterEqual(day.served_share, naive.served_share)

    def test_a_jam_that_is_gone_before_engines_have_changed(self) -> None:
        """Guards against a queue of two seconds that is held as demand."""
        for news_late_s in NEWS_S:
            day, naive = self.play(PhaseDay(jammed, news_late_s=news_late_s))
            self.assertGreater(day.served_share, 0.99)
            self.assertLess(day.orders, naive.orders)

    def assert_better(self, rate: float, stream_s: Rate) -> None:
        """More is served than by the streams alone, however late news is."""
        for news_late_s in NEWS_S:
            day, naive = self.play(
                PhaseDay(
                    lambda now_s: rate,
                    stream_s=stream_s,
                    news_late_s=news_late_s,
                    length_s=60,
                )
            )
            self.assertGreater(day.served_share, naive.served_share)

    def test_a_turn_of_the_mix_that_lasts(self) -> None:
        """Guards against a plan that damps a true turn away."""
        self.assert_better(200.0, lambda now_s: 0.6 if now_s < 15 else 4.0)

    def test_a_turn_back_to_prompts(self) -> None:
        """Guards against decode engines kept for streams that are gone."""
        self.assert_better(250.0, lambda now_s: 3.0 if now_s < 20 else 0.5)

    def test_a_new_holder_of_the_duty_midway(self) -> None:
        """Guards against a holder that knows nothing and turns all back."""
        day, _ = self.play(PhaseDay(doubled, new_holder_s=25.0))
        self.assertGreater(day.served_share, 0.95)
