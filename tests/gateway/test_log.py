"""Tests of the decision log, which must not block calls."""

import json
import os

import testtools

from dandelionyoke_core import Metrics
from dandelionyoke_gateway import DescriptorSink
from dandelionyoke_gateway._log import MAX_LINES_PER_S, DecisionLog


class DecisionLogTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.metrics = Metrics()
        self.log = DecisionLog(DescriptorSink(writer), 'n-1', self.metrics)
        self.addCleanup(self.log.close)

    def read(self) -> str:
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ''

    def test_a_stalled_reader_does_not_block_the_log(self) -> None:
        """Guards against a full log pipe that blocks all calls.

        The log collector stops reading, so that the pipe fills up.
        """
        for _ in range(80):
            self.log.decide('call.refused', 'a1', cause='x' * 3000)
        before = self.read()
        self.assertLess(len(before), 80 * 3000)
        self.log.decide('call.refused', 'a2')
        lines = self.read().splitlines()
        last = json.loads(lines[-1])
        self.assertEqual('a2', last['subject'])
        self.assertGreater(last['left_out'], 0)

    def test_a_burst_is_rate_limited_and_counted(self) -> None:
        for _ in range(MAX_LINES_PER_S * 3):
            self.log.decide('call.refused', 'a1')
        lines = self.read().splitlines()
        self.assertLessEqual(len(lines), MAX_LINES_PER_S * 2)
        self.assertIn(
            f'decisions_total{{label="call.refused"}} {MAX_LINES_PER_S * 3}',
            self.metrics.text().decode(),
        )
