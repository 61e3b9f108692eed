"""How long a node accepts an API key without the store."""

import testtools

from dandelionyoke_dispatch import Freshness, FreshnessSettings


class FreshnessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.freshness = Freshness(FreshnessSettings(5.0, 0.5))

    def test_no_key_is_accepted_before_the_first_confirmation(self) -> None:
        self.assertFalse(self.freshness.may_accept_keys(0))

    def test_a_partitioned_node_stops_before_the_limit(self) -> None:
        """A node is partitioned from the store while an operator revokes a key.

        It cannot be told, so it must stop accepting keys by itself in time.
        """
        self.freshness.confirm(10)
        self.assertTrue(self.freshness.may_accept_keys(14.4))
        self.assertFalse(self.freshness.may_accept_keys(14.5))

    def test_a_response_confirms_the_time_of_its_request(self) -> None:
        self.freshness.confirm(10)
        self.freshness.confirm(7)
        self.assertEqual(2, self.freshness.age_s(12))
