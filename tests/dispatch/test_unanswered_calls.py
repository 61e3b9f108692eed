"""Tests of calls that targets left unanswered."""

import testtools

from dandelionyoke_dispatch import RegisteredTarget, UnansweredCalls
from dandelionyoke_dispatch._unanswered_calls import (
    KEPT_S,
    MAX_KEYS,
    MAX_TARGETS,
)


def target(number: int = 1) -> RegisteredTarget:
    return RegisteredTarget(f'i-{number}', 'lm', '127.0.0.1:1', 'a', 8, False)


class UnansweredCallsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.calls = UnansweredCalls()

    def test_the_keys_of_a_start_are_taken_once(self) -> None:
        """Guards against two reports of one end."""
        self.calls.add('i-1.1', target(), ('a', 'b'), 0)
        self.calls.add('i-1.1', target(), ('b', 'c'), 1)
        self.assertEqual(('a', 'b', 'c'), self.calls.take('i-1.1'))
        self.assertEqual((), self.calls.take('i-1.1'))
        self.assertFalse(self.calls)

    def test_an_answer_drops_the_calls_before_it(self) -> None:
        """Guards against calls that were over as their target ended."""
        self.calls.add('i-1.1', target(), ('a',), 1)
        self.calls.add('i-1.1', target(), ('b',), 3)
        self.calls.answered('i-1.1', 2)
        self.calls.answered('i-2.1', 9)
        self.assertEqual(('b',), self.calls.take('i-1.1'))

    def test_calls_expire(self) -> None:
        """Guards against keys that are blamed for a crash of much later."""
        self.calls.add('i-1.1', target(), ('a',), 0)
        self.calls.expire(KEPT_S)
        self.assertTrue(self.calls)
        self.calls.expire(KEPT_S + 1)
        self.assertFalse(self.calls)

    def test_targets_and_keys_are_bounded(self) -> None:
        """Guards against memory without a bound."""
        for number in range(MAX_TARGETS + 1):
            self.calls.add(f'i-{number}', target(number), ('a',), number)
        self.assertEqual(MAX_TARGETS, len(self.calls.targets(lambda _: True)))
        self.assertEqual((), self.calls.take('i-0'))
        keys = tuple(str(number) for number in range(MAX_KEYS + 1))
        self.calls.add('i-9', target(9), keys, MAX_TARGETS)
        taken = self.calls.take('i-9')
        self.assertEqual(MAX_KEYS, len(taken))
        self.assertEqual(keys[-1], taken[-1])
