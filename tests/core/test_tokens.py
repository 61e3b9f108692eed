"""Tests of token splitting and of the names of prefix blocks."""

import testtools
from hypothesis import given, strategies

from dandelionyoke_core import BLOCK_TOKENS, prefix_blocks, split_tokens


class TokensTest(testtools.TestCase):
    @given(strategies.text())
    def test_tokens_join_to_the_text(self, text: str) -> None:
        self.assertEqual(text, ''.join(split_tokens(text)))

    @given(
        strategies.lists(strategies.text(max_size=2), max_size=50),
        strategies.lists(strategies.text(max_size=2), max_size=50),
    )
    def test_an_equal_name_means_an_equal_prefix(
        self, left: list[str], right: list[str]
    ) -> None:
        pairs = zip(prefix_blocks(left), prefix_blocks(right), strict=False)
        for position, (left_name, right_name) in enumerate(pairs, start=1):
            size = position * BLOCK_TOKENS
            self.assertEqual(
                left[:size] == right[:size], left_name == right_name
            )
