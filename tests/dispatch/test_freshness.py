"""How long a node may trust a key without the store."""

import testtools

from dandelionyoke_dispatch import Freshness, FreshnessSettings


class FreshnessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.freshness = Freshness(FreshnessSettings(5.0, 0.5))

    def test_nothing_known_serves_no_key(self) -> None:
        self.assertFalse(self.freshness.serves_keys(0))

    def test_a_cut_node_stops_before_the_bound(self) -> None:
        """A node is cut off while an operator withdraws a key.

        Nobody can tell it, so it has to stop by itself in time.
        """
        self.freshness.prove(10)
        self.assertTrue(self.freshness.serves_keys(14.4))
        self.assertFalse(self.freshness.serves_keys(14.5))

    def test_an_answer_proves_the_time_of_its_question(self) -> None:
        self.freshness.prove(10)
        self.freshness.prove(7)
        self.assertEqual(2, self.freshness.age_s(12))
