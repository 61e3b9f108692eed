"""The time in which nothing came from a target, beside standstills."""

import time

import eventlet
import testtools

from dandelionyoke_gateway._silence import MAX_LEFT_OUT_S, SilenceTimer

STEP_S = 0.5


class SilenceTimerTest(testtools.TestCase):
    def test_a_standstill_is_left_out(self) -> None:
        """Guards against a sound target that is taken for a silent one."""
        eventlet.sleep(0)
        timer = SilenceTimer()
        time.sleep(1.2)
        eventlet.sleep(0)
        self.assertLess(timer.duration_s, 0.3)

    def test_a_busy_process_leaves_a_dead_target(self) -> None:
        """Guards against calls that wait for it until their time is over."""
        timer = SilenceTimer()
        timer.wait(1.0)
        began_s = time.monotonic()
        while timer.remaining_s:
            time.sleep(STEP_S)
            eventlet.sleep(0)
        took_s = time.monotonic() - began_s
        self.assertLess(took_s, 1.0 + MAX_LEFT_OUT_S + 2 * STEP_S)
