"""The prefill time per token, estimated from responses."""

import testtools

from dandelionyoke_dispatch import (
    PrefillTimeEstimate,
    PrefillTimeSettings,
    Prompt,
    PromptPart,
    TokenTimeEstimate,
)


class TokenTimeEstimateTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.estimate = TokenTimeEstimate(PrefillTimeSettings())

    def test_the_time_is_unknown_before_the_first_prompt(self) -> None:
        self.assertIsNone(self.estimate.expected_s(1000))
        self.estimate.add_sample(10, 0.05)
        self.assertIsNone(self.estimate.expected_s(1000))

    def test_prompts_slowed_by_others_hardly_count(self) -> None:
        for number in range(400):
            self.estimate.add_sample(2000, 0.02 if number % 3 else 0.3)
        expected_s = self.estimate.expected_s(1000) or 0
        self.assertGreater(expected_s, 0.007)
        self.assertLess(expected_s, 0.013)

    def test_the_estimate_follows_an_engine_eight_times_faster(self) -> None:
        self.estimate.add_sample(2000, 0.16)
        for _ in range(60):
            self.estimate.add_sample(2000, 0.02)
        expected_s = self.estimate.expected_s(1000) or 0
        self.assertLess(expected_s, 0.02)

    def test_a_time_of_zero_is_ignored(self) -> None:
        self.estimate.add_sample(2000, 0)
        self.assertIsNone(self.estimate.expected_s(1000))


class PrefillTimeEstimateTest(testtools.TestCase):
    def test_cached_and_uncached_tokens_are_distinguished(self) -> None:
        """Engines have nine tenths of each prompt cached.

        If the whole time were attributed to all tokens of a prompt, an engine
        without the shared prefix would seem as fast as the one that has it
        cached.
        """
        prefill_time = PrefillTimeEstimate(PrefillTimeSettings())
        parts = (PromptPart('x', 18000), PromptPart('own', 2000))
        for _ in range(50):
            prefill_time.add_sample(Prompt('m', 20000, 10, parts), 0.1)
        with_cache_s = prefill_time.with_cache.expected_s(18000) or 0
        without_cache_s = prefill_time.without_cache.expected_s(18000) or 0
        self.assertLess(abs(with_cache_s - 0.09), 0.02)
        self.assertLess(abs(without_cache_s - 0.9), 0.2)
