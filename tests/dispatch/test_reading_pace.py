"""How long a token of a prompt takes, learned from answers."""

import testtools

from dandelionyoke_dispatch import (
    Prompt,
    PromptPace,
    PromptPart,
    ReadingPace,
    ReadingPaceSettings,
)


class ReadingPaceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pace = ReadingPace(ReadingPaceSettings())

    def test_nothing_is_expected_before_a_prompt_was_read(self) -> None:
        self.assertIsNone(self.pace.expected_s(1000))
        self.pace.took(10, 0.05)
        self.assertIsNone(self.pace.expected_s(1000))

    def test_prompts_read_beside_others_hardly_count(self) -> None:
        for number in range(400):
            self.pace.took(2000, 0.02 if number % 3 else 0.3)
        expected_s = self.pace.expected_s(1000) or 0
        self.assertGreater(expected_s, 0.007)
        self.assertLess(expected_s, 0.013)

    def test_an_engine_eight_times_faster_is_soon_known(self) -> None:
        self.pace.took(2000, 0.16)
        for _ in range(60):
            self.pace.took(2000, 0.02)
        expected_s = self.pace.expected_s(1000) or 0
        self.assertLess(expected_s, 0.02)

    def test_a_clock_that_did_not_move_tells_nothing(self) -> None:
        self.pace.took(2000, 0)
        self.assertIsNone(self.pace.expected_s(1000))


class PromptPaceTest(testtools.TestCase):
    def test_what_engines_kept_is_told_apart_from_what_they_read(self) -> None:
        """Engines keep nine tenths of each prompt.

        Had the time for a whole prompt been taken for reading all of it, an
        engine without the shared part would seem as quick as the one that
        keeps it.
        """
        pace = PromptPace(ReadingPaceSettings())
        parts = (PromptPart('x', 18000), PromptPart('own', 2000))
        for _ in range(50):
            pace.took(Prompt('m', 20000, 10, parts), 0.1)
        found_s = pace.found.expected_s(18000) or 0
        unkept_s = pace.unkept.expected_s(18000) or 0
        self.assertLess(abs(found_s - 0.09), 0.02)
        self.assertLess(abs(unkept_s - 0.9), 0.2)
