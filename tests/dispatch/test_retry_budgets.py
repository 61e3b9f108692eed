"""The retries of all nodes together, in virtual time."""

import bisect
from collections.abc import Iterable
from random import Random

import testtools

from dandelionyoke_dispatch import RetryBudgets, RetryBudgetSettings

SHARE = 0.2
WINDOW_S = 10.0
# What was charged is remembered for so much longer than the window.
ARRIVAL_S = 3.0
# Extra retries for each node of a fleet, as in the deployments.
EXTRA_PER_NODE = 2.2
END_S = 60.0
# A list of nodes may be so old, and a node starts so long after its end.
LIST_AGE_S = 5.0
START_S = 1.0
FLEET_SIZES = (6, 195, 410)


class Fleet:
    """Nodes of which each wants to retry every call several times."""

    def __init__(self, size: int, calls_per_s: float) -> None:
        self.size = size
        self._random = Random(3)
        extra = EXTRA_PER_NODE * size
        self.extra = extra
        self._settings = RetryBudgetSettings(SHARE, extra, WINDOW_S)
        self._interval_s = 1 / calls_per_s
        self.calls_s: list[float] = []
        self.retries_s: list[float] = []
        self._budgets: list[RetryBudgets] = []
        for _ in range(size):
            self.start_node(-END_S, size)

    def start_node(self, now_s: float, listed: int) -> None:
        """Add a node that lists so many nodes a moment after its start."""
        budget = RetryBudgets(self._settings, self._random, now_s)
        budget.take_nodes(listed, now_s + START_S)
        self._budgets.append(budget)

    def restart(self, now_s: float) -> None:
        """Start all nodes anew; each first lists itself alone."""
        self._budgets.clear()
        for _ in range(self.size):
            self.start_node(now_s, 1)
        for budget in self._budgets:
            budget.take_nodes(self.size, now_s + 3.6)

    def list_nodes(self, count: int, now_s: float) -> None:
        """Let all nodes list so many nodes."""
        for budget in self._budgets:
            budget.take_nodes(count, now_s)

    def play(self, start_s: float, end_s: float) -> None:
        """Call all nodes, whose targets refuse every call."""
        now_s = start_s
        while now_s < end_s:
            for budget in self._budgets:
                budget.add_call('lm', now_s)
                self.calls_s.append(now_s)
                for sends in (2, 1, 1):
                    if budget.try_charge('lm', now_s, sends).is_allowed:
                        self.retries_s += [now_s] * sends
            now_s += self._interval_s

    def worst_excess(self) -> float:
        """Return the most retries above the bound in any window."""
        return max(
            _count(self.retries_s, start_s, start_s + WINDOW_S)
            - SHARE * self._most_calls(start_s)
            - self.extra
            for start_s in self._starts()
        )

    def _most_calls(self, start_s: float) -> int:
        """Count the calls as the rule does: of the best of three windows."""
        return max(
            _count(self.calls_s, start_s - back_s, start_s - back_s + WINDOW_S)
            for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )

    def _starts(self) -> Iterable[float]:
        return sorted(set(self.retries_s)) or [0.0]


def _count(times_s: list[float], start_s: float, end_s: float) -> int:
    first = bisect.bisect_left(times_s, start_s)
    return bisect.bisect_left(times_s, end_s) - first


class FleetBoundTest(testtools.TestCase):
    def fleets(self) -> Iterable[Fleet]:
        for size in FLEET_SIZES:
            for calls_per_s in (0.4, 4.0):
                yield Fleet(size, calls_per_s)

    def test_all_nodes_together_keep_the_bound(self) -> None:
        """Guards against an overdraft that each node has for itself."""
        for fleet in self.fleets():
            fleet.play(0.0, END_S)
            self.assertLessEqual(fleet.worst_excess(), 0)
            # Half of the extra requests at least are of use to callers.
            self.assertGreater(
                len(fleet.retries_s),
                0.5 * fleet.extra * END_S / (WINDOW_S + ARRIVAL_S),
            )

    def test_nodes_that_all_start_anew_keep_the_bound(self) -> None:
        """Guards against a full allowance for each process of a node."""
        for fleet in self.fleets():
            fleet.play(0.0, 20.0)
            for number in range(3):
                start_s = 20.0 + 4.0 * number
                fleet.restart(start_s)
                fleet.play(start_s, start_s + 4.0)
            fleet.play(32.0, END_S)
            self.assertLessEqual(fleet.worst_excess(), 0)

    def test_nodes_that_join_keep_the_bound(self) -> None:
        """Guards against nodes that are not counted yet."""
        for fleet in self.fleets():
            fleet.play(0.0, 20.0)
            grown = fleet.size + fleet.size // 2
            for _ in range(fleet.size // 2):
                fleet.start_node(20.0, grown)
            fleet.play(20.0, 20.0 + LIST_AGE_S)
            fleet.list_nodes(grown, 20.0 + LIST_AGE_S)
            fleet.play(20.0 + LIST_AGE_S, END_S)
            self.assertLessEqual(fleet.worst_excess(), 0)

    def test_a_list_that_lost_its_entries_keeps_the_bound(self) -> None:
        """Guards against nodes that each take themselves for the only one."""
        for fleet in self.fleets():
            fleet.list_nodes(fleet.size, 0.0)
            fleet.play(0.0, 20.0)
            fleet.list_nodes(1, 20.0)
            fleet.play(20.0, 28.0)
            fleet.list_nodes(fleet.size, 28.0)
            fleet.play(28.0, END_S)
            self.assertLessEqual(fleet.worst_excess(), 0)


class NodeTest(testtools.TestCase):
    def budgets(self, extra: float = 10.0) -> RetryBudgets:
        settings = RetryBudgetSettings(SHARE, extra, WINDOW_S)
        return RetryBudgets(settings, Random(3), started_s=-END_S)

    def spend(
        self, budgets: RetryBudgets, service: str, now_s: float = 0.0
    ) -> int:
        """Charge retries until one is refused; return their number."""
        count = 0
        while budgets.try_charge(service, now_s).is_allowed:
            count += 1
        return count

    def test_each_service_has_its_own_allowance(self) -> None:
        budgets = self.budgets()
        budgets.take_nodes(1, 0.0)
        first = self.spend(budgets, 'lm')
        self.assertGreaterEqual(first, 6)
        self.assertGreaterEqual(self.spend(budgets, 'ledger'), 6)

    def test_without_a_known_number_of_nodes_only_calls_earn(self) -> None:
        """Guards against a node that takes the whole extra part for its own."""
        budgets = self.budgets()
        self.assertEqual(0, self.spend(budgets, 'lm'))
        for _ in range(100):
            budgets.add_call('lm', 0.0)
        self.assertIn(self.spend(budgets, 'lm'), {16, 17})

    def test_a_retry_of_two_sends_needs_both(self) -> None:
        """Guards against an overdraft, which sums up over the nodes."""
        budgets = self.budgets(extra=1.7)
        budgets.take_nodes(1, 0.0)
        self.assertFalse(budgets.try_charge('lm', 0.0, 2).is_allowed)
        self.assertTrue(budgets.try_charge('lm', 0.0, 1).is_allowed)

    def test_what_was_spent_is_back_after_the_window(self) -> None:
        budgets = self.budgets()
        budgets.take_nodes(1, 0.0)
        spent = self.spend(budgets, 'lm')
        self.assertEqual(0, self.spend(budgets, 'lm', WINDOW_S))
        self.assertEqual(spent, self.spend(budgets, 'lm', 2 * WINDOW_S))

    def test_a_first_send_costs_nothing(self) -> None:
        budgets = self.budgets(extra=0.0)
        self.assertTrue(budgets.try_charge('lm', 0.0, 0).is_allowed)
