"""What a placing node learns from the times of prefills and fetches."""

import testtools

from dandelionyoke_dispatch import (
    RegisteredTarget,
    TargetSpeeds,
    TargetSpeedSettings,
)
from dandelionyoke_dispatch._engine_pace import EnginePaces, EnginePaceSettings
from dandelionyoke_dispatch._fetch_time import (
    FetchTimeEstimate,
    FetchTimeSettings,
    RunningFetches,
)


def engine(name: str, started_ms: int = 1) -> RegisteredTarget:
    return RegisteredTarget(
        name, 'lm', '10.0.0.1:1', 'a', 32, False, started_ms=started_ms
    )


class EnginePaceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.speeds = TargetSpeeds(TargetSpeedSettings())
        self.paces = EnginePaces(EnginePaceSettings(), self.speeds)

    def measure(self, slowness: dict[str, float]) -> None:
        for number in range(40):
            for name, slow in slowness.items():
                took_s = 1.5 * 0.05 * slow
                self.paces.observe(engine(name), 0.05, took_s, number / 40)

    def test_a_slow_engine_is_found_and_tried_again(self) -> None:
        """Guards against an engine that turns slow, or is left out for ever."""
        self.measure({'e1': 0.7, 'e2': 0.7, 'e3': 1.6})
        fast = self.paces.slowness(engine('e1'), 1)
        slow = self.paces.slowness(engine('e3'), 1)
        self.assertAlmostEqual(1.6 / 0.7, slow / fast, delta=0.2)
        self.assertAlmostEqual(
            1, self.paces.slowness(engine('e3'), 11), delta=0.05
        )
        self.assertEqual(1, self.paces.slowness(engine('e3', 2), 1))

    def test_one_odd_time_says_little(self) -> None:
        """Guards against one stalled prompt that empties an engine."""
        self.measure({'e1': 1.0, 'e2': 1.0})
        self.paces.observe(engine('e1'), 0.05, 5.0, 1)
        self.assertLess(self.paces.slowness(engine('e1'), 1), 1.6)
        self.paces.observe(engine('e2'), 0.005, 0.05, 1)
        self.assertLess(self.paces.slowness(engine('e2'), 1), 1.1)


class FetchTimeTest(testtools.TestCase):
    def test_the_fixed_time_and_that_by_size_are_learned(self) -> None:
        """Guards against fetches that take longer than a prefill for long."""
        estimate = FetchTimeEstimate(FetchTimeSettings())
        for number in range(60):
            tokens = 6000 + 7000 * (number % 2)
            estimate.add_sample(tokens, 0.05 + tokens * 0.00001, number / 60)
        self.assertAlmostEqual(0.11, estimate.expected_s(6000, 1), delta=0.02)
        self.assertAlmostEqual(0.18, estimate.expected_s(13000, 1), delta=0.02)
        settings = FetchTimeSettings()
        self.assertAlmostEqual(
            settings.fixed_s + 6000 * settings.token_s,
            estimate.expected_s(6000, 120),
            delta=0.002,
        )

    def test_a_fetch_waits_for_those_from_the_same_engine(self) -> None:
        """Guards against a burst of fetches that wait at one holder."""
        running = RunningFetches(1.0)
        running.start('1', 'e1', 6000, 0)
        running.start('2', 'e1', 6000, 0.1)
        self.assertEqual(12000, running.tokens('e1', 0.2))
        self.assertEqual(12000, running.end('2'))
        self.assertEqual(0, running.tokens('e1', 1.2))
