"""Tests that a soak records its own standstills."""

import time

import eventlet
import testtools

from dandelionyoke_gateway import clock_s
from tests.soak.record import CONFIRM, CallerCall, SoakRecord
from tests.soak.stalls import describe_stalls, name_stalls, watch_for_stalls

STALL_S = 0.5


class StallTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.is_ended = False
        self.record = SoakRecord(start_s=clock_s())
        watch = eventlet.spawn(
            watch_for_stalls, self.record, lambda: self.is_ended
        )
        eventlet.sleep(0.2)
        time.sleep(STALL_S)
        eventlet.sleep(0.2)
        self.is_ended = True
        watch.wait()

    def test_a_standstill_is_recorded(self) -> None:
        """Guards against waits of the soak that are taken for the product's."""
        stall = max(self.record.stalls, key=lambda stall: stall.stalled_s)
        self.assertAlmostEqual(STALL_S, stall.stalled_s, delta=0.15)
        self.assertGreater(stall.end_s - stall.start_s, STALL_S)
        self.assertIn('the longest: 0.', describe_stalls(self.record))

    def test_a_violation_names_the_standstills_beside_its_calls(self) -> None:
        """Guards against reports that hide that the soak stood still."""
        stall = self.record.stalls[0]
        call = CallerCall('n-1.0.2', CONFIRM, 'acme', 'n-1', stall.start_s)
        call.ended_s = stall.end_s
        later = CallerCall('n-1.0.20', CONFIRM, 'acme', 'n-1', stall.end_s + 1)
        later.ended_s = stall.end_s + 2
        self.record.calls = [call, later]
        for text, is_named in (
            ('LOST n-1.0.2: /ask/ status 200', True),
            ("LOST 4 calls on kept connections: ['n-1.0.20', 'n-1.0.2']", True),
            ('LOST n-1.0.20: /ask/ status 200', False),
            ('RECOVER n-1', False),
        ):
            named = name_stalls(text, self.record)
            self.assertEqual(is_named, 'stood still' in named)
