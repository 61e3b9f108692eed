"""The log line of a process that stood still."""

import time

import eventlet
import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._stall_task import StallTask
from tests.platform.node_harness import LogLines


class StallTaskTest(testtools.TestCase):
    def test_a_stall_is_logged(self) -> None:
        """Guards against a silent node whose log does not tell why."""
        lines = LogLines()
        log = DecisionLog(lines, 'n-1', Metrics())
        self.addCleanup(log.close)
        thread = eventlet.spawn(StallTask('n-1', log).run)
        self.addCleanup(thread.kill)
        eventlet.sleep(0.1)
        time.sleep(1.0)
        eventlet.sleep(0.3)
        self.assertIn('process.stalled', lines.text)
