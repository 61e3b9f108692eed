"""The duty of a node that stands still."""

import json
import signal
import tempfile

import eventlet
import testtools
from testtools.content import text_content

from tests.platform.node_harness import ScriptedTarget, answer
from tests.platform.program import Program, wait_for
from tests.platform.store_standin import StoreStandin
from tests.platform.test_process import configuration

SHORT_STANDSTILLS_S = (1.2, 2.2)
# Longer than the lease of a duty.
LONG_STANDSTILL_S = 6.0
RENEWAL_S = 1.5
TARGET = {'service': 'ledger', 'zone': 'a', 'slots': 4, 'state': 'ready'}


class StoppedHolderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        target = ScriptedTarget(lambda _: [answer()])
        self.addCleanup(target.close)
        entry = TARGET | {'address': target.address}
        self.store.put('servers/i-1', json.dumps(entry))
        self.store.put('op/config', configuration())
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.holder = self.start_program()
        wait_for(lambda: self.has_logged('duty.gained'), 'a holder')

    def start_program(self) -> Program:
        program = Program(self.store, self.folder)
        self.addCleanup(program.process.wait)
        self.addCleanup(program.process.kill)
        self.addOnException(lambda _: self.show_log(program))
        program.wait_until_ready()
        return program

    def show_log(self, program: Program) -> None:
        """Attach the log of a program to the test's failure."""
        name = f'log of n-{program.port}'
        self.addDetail(name, text_content(program.log.read_text()))

    def has_logged(self, text: str) -> bool:
        """Whether the first holder has logged a text."""
        return text in self.holder.log.read_text()

    def stop_holder(self, duration_s: float) -> None:
        """Stop the first holder for a while."""
        self.holder.send_signal(signal.SIGSTOP)
        eventlet.sleep(duration_s)
        self.holder.send_signal(signal.SIGCONT)

    def test_a_duty_outlasts_a_standstill_within_its_term(self) -> None:
        """Guards against a duty given up although its lease is valid."""
        for duration_s in SHORT_STANDSTILLS_S:
            self.stop_holder(duration_s)
            eventlet.sleep(RENEWAL_S)
        self.assertTrue(self.has_logged('process.stalled'))
        self.assertFalse(self.has_logged('duty.lost'))

    def test_a_holder_sends_nothing_after_a_standstill_over_its_term(
        self,
    ) -> None:
        """Guards against two holders of which one believes an old lease."""
        successor = self.start_program()
        stopping = eventlet.spawn(self.stop_holder, LONG_STANDSTILL_S)
        while not stopping.dead:
            successor.call()
            eventlet.sleep(0.1)
        self.holder.call()
        wait_for(lambda: self.has_logged('duty.lost'), 'the loss of the duty')
        reported = len(self.store.usage)
        wait_for(lambda: len(self.store.usage) > reported, 'a report')
        fences = [fence for _, fence, _ in self.store.usage]
        self.assertEqual(sorted(fences), fences)
        self.assertEqual(f'n-{successor.port}', self.store.usage[-1][0])
