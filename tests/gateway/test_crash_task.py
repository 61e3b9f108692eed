"""Which calls count as having crashed the targets that ran them."""

from random import Random

import eventlet
import testtools

from dandelionyoke_core import Metrics, StoreWritten
from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway import clock_s
from dandelionyoke_gateway._crash_task import PROBE_TIMEOUT_S, CrashTask
from dandelionyoke_gateway._knowledge import new_knowledge
from dandelionyoke_gateway._log import DecisionLog
from tests.gateway.settings import new_settings
from tests.platform.node_harness import LogLines

CALL = 'a-fingerprint'
# Nothing listens on this port.
CLOSED_ADDRESS = '127.0.0.1:1'


class NoStore:
    """A store that takes every write."""

    def perform(self, action: object) -> StoreWritten:
        return StoreWritten('', 1)


class CrashTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.knowledge = new_knowledge(new_settings(), Random(3))
        log = DecisionLog(LogLines(), 'n-1', Metrics())
        self.addCleanup(log.close)
        self.task = CrashTask(self.knowledge, NoStore(), log)

    def list_targets(self, *addresses: str) -> None:
        self.knowledge.registry.replace(
            [
                RegisteredTarget(f'i-{number}', 'lm', address, 'a', 8, False)
                for number, address in enumerate(addresses)
            ],
            clock_s(),
        )

    def break_off_everywhere(self, count: int) -> None:
        """Let a call be broken off by targets that accept no connection."""
        for number in range(count):
            self.task.probe(CALL, f'i-{number}', CLOSED_ADDRESS)
        eventlet.sleep(2 * PROBE_TIMEOUT_S)

    def is_refused(self) -> bool:
        return self.knowledge.crashes.refuses(CALL, clock_s())

    def test_a_call_that_crashed_three_targets_is_refused(self) -> None:
        listener = eventlet.listen(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.list_targets(*[CLOSED_ADDRESS] * 3, f'{host}:{port}')
        self.break_off_everywhere(3)
        self.assertTrue(self.is_refused())

    def test_a_cut_that_breaks_calls_off_blames_none_of_them(self) -> None:
        """Guards against calls refused everywhere for one node's partition."""
        self.list_targets(*[CLOSED_ADDRESS] * 4)
        self.break_off_everywhere(3)
        self.assertFalse(self.is_refused())
