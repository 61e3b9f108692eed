"""Limits of a node that stands still while the other domains go on."""

import time

import eventlet
import testtools

from dandelionyoke_core import InstanceId, PeerMessageArrived
from dandelionyoke_dispatch import GroupUse, LimitScope
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._limit_messages import GroupUseTold
from tests.gateway.test_rate_limits import LARGE, Network

# The limiter of another domain counts as partitioned after 0.8 s.
STANDSTILL_S = 1.2
PARTITION_S = 1.0


class StandstillLimitTest(testtools.TestCase):
    """The limiter of one of two domains, whose limit is 100 tokens per second."""

    def setUp(self) -> None:
        super().setUp()
        network = Network(2)
        network.silent.add('b-1')
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
        self.node = network.source
        self.node.knowledge.limiter.take_nodes(1, 2, clock_s() - 60)
        self.hear_other(0.0)

    def hear_other(self, spent: float) -> None:
        """Let the limiter of the other domain report what it admitted."""
        use = GroupUse('b-1.x', 1, {'acme': spent})
        message = GroupUseTold(use, LimitScope.ORGANISATION, ())
        event = PeerMessageArrived(InstanceId('b-1'), message)
        self.node.handle_event(event)

    def stand_still(self) -> None:
        eventlet.sleep(0)
        time.sleep(STANDSTILL_S)

    def test_the_whole_limit_is_used_after_a_standstill(self) -> None:
        """Guards against refusals by a share, as if the fleet was parted."""
        debt = self.node.level + 90
        self.node.limits.limiter.charge('acme', debt, clock_s())
        self.stand_still()
        self.assertTrue(self.node.call(LARGE))

    def test_what_others_admitted_in_a_standstill_is_charged(self) -> None:
        """Guards against a limit that is exceeded after a standstill."""
        self.assertGreater(self.node.level, 990)
        self.stand_still()
        self.hear_other(900.0)
        self.assertLess(self.node.level, 120)

    def test_a_limiter_that_is_not_heard_while_running_is_parted(self) -> None:
        """Guards against a whole limit on each side of a partition."""
        self.stand_still()
        eventlet.sleep(PARTITION_S)
        self.assertAlmostEqual(
            0.5, self.node.limits.limiter.share(clock_s()), delta=0.01
        )
