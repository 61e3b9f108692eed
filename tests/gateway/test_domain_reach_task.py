"""The failure domains that a placing node does not reach."""

from random import Random

import eventlet
import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_dispatch import (
    RegisteredTarget,
    TargetFailure,
)
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._domain_reach_task import DomainReachTask
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from tests.gateway.settings import new_settings
from tests.gateway.test_prefill_queue import Network, engine, request
from tests.platform.node_harness import LogLines
from tests.platform.program import wait_for

DOMAIN_TARGETS = 5


class DomainReachTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge = new_knowledge(new_settings(), Random(3))
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        self.task = DomainReachTask(self.knowledge, log)
        self.listeners = {name: self.listen() for name in 'ab'}

    def listen(self) -> eventlet.greenio.GreenSocket:
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        return listener

    def list_targets(self, service: str = 'lm') -> list[RegisteredTarget]:
        """List targets in both domains, each at its domain's listener."""
        targets = [
            RegisteredTarget(
                f'{domain}-{number}',
                service,
                '{}:{}'.format(*listener.getsockname()),
                domain,
                8,
                is_leaving=False,
            )
            for domain, listener in self.listeners.items()
            for number in range(DOMAIN_TARGETS)
        ]
        self.knowledge.registry.replace(targets, clock_s())
        return targets

    def choose(self, service: str = 'lm') -> str:
        target = self.knowledge.placement.choose_plain_target(
            service, (), clock_s()
        )
        assert target is not None
        return target.domain

    def fail_two(self, domain: str) -> None:
        for number in range(2):
            name = f'{domain}-{number}'
            self.knowledge.loads.unreachable(name, clock_s())
            self.task.failed(name, TargetFailure.UNREACHABLE)

    def test_two_failures_take_a_cut_domain_out_of_use_until_it_is_back(
        self,
    ) -> None:
        """Guards against a call that is held up by each target of a domain."""
        target = self.list_targets()[0]
        self.knowledge.speeds.observe(target, 1.0, clock_s())
        address = self.listeners['a'].getsockname()
        self.listeners['a'].close()
        self.fail_two('a')
        reach = self.knowledge.domain_reach
        wait_for(lambda: reach.is_cut_off('lm', 'a'), 'the cut')
        loads = self.knowledge.loads
        self.assertEqual(
            [f'a-{number}' for number in range(DOMAIN_TARGETS)],
            loads.in_cooldown(clock_s()),
        )
        self.assertEqual('b', self.choose())
        again = eventlet.listen(address)
        self.addCleanup(again.close)
        wait_for(lambda: not reach.is_cut_off('lm', 'a'), 'its end')
        self.assertFalse(loads.is_in_cooldown('a-0', clock_s()))

    def test_crashed_targets_do_not_take_their_domain_out_of_use(self) -> None:
        """Guards against a loss of all targets of a domain for two."""
        target = self.list_targets()[0]
        self.knowledge.speeds.observe(target, 1.0, clock_s())
        self.fail_two('a')
        eventlet.sleep(0.1)
        self.assertFalse(self.knowledge.domain_reach.is_cut_off('lm', 'a'))
        self.assertEqual(
            ['a-0', 'a-1'], self.knowledge.loads.in_cooldown(clock_s())
        )

    def test_services_that_tell_no_speed_are_left_alone(self) -> None:
        """Guards against new decisions where no target asks for them."""
        self.list_targets()
        self.listeners['a'].close()
        self.fail_two('a')
        eventlet.sleep(0.1)
        self.assertFalse(self.knowledge.domain_reach.is_cut_off('lm', 'a'))


class CutDomainNewsTest(testtools.TestCase):
    def test_the_nodes_of_a_domain_hear_of_a_cut(self) -> None:
        """Guards against nodes that find out each lost target by a call."""
        listed = [engine(f'i-{number}') for number in range(4)]
        near = RegisteredTarget(
            'near', 'lm', '127.0.0.1:1', 'b', 32, False, listed[0].phase
        )
        network = Network(3, [*listed, near])
        for node in network.nodes.values():
            self.addCleanup(node.log.close)
            node.knowledge.speeds.observe(near, 1.0, clock_s())
        first, second = network.others
        source = network.source.knowledge
        lost = {target.target_id: False for target in listed}
        source.domain_reach.probed('lm', 'a', lost, clock_s())
        first.queue.acquire(request())
        self.assertEqual(
            sorted(lost), first.knowledge.loads.in_cooldown(clock_s())
        )
