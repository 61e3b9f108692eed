"""Probes of the targets of a service."""

from random import Random

import eventlet
import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._reach_task import ReachTask
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines
from tests.platform.program import wait_for

CLOSED_ADDRESS = '127.0.0.1:1'


class ReachTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge = new_knowledge(new_settings(), Random(3))
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        self.task = ReachTask(self.knowledge, log)

    def list_targets(self, *addresses: str) -> list[RegisteredTarget]:
        targets = [
            RegisteredTarget(f'i-{number}', 'lm', address, 'a', 8, False)
            for number, address in enumerate(addresses)
        ]
        self.knowledge.registry.replace(targets, clock_s())
        return targets

    def test_an_invalid_address_does_not_keep_a_service_cut_off(self) -> None:
        """Guards against a cut that lasts for good after the paths are back."""
        for target in self.list_targets(CLOSED_ADDRESS, 'no-port'):
            self.task.failed(target)
        wait_for(lambda: self.knowledge.reach.is_cut_off('lm'), 'the cut')
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.list_targets(f'{host}:{port}', 'no-port')
        wait_for(lambda: not self.knowledge.reach.is_cut_off('lm'), 'its end')
