"""Keeps processes from the processor for a while.

python -m tests.silence.pulses SECONDS PULSE_S PID...  lets them run in pulses
python -m tests.silence.pulses SECONDS                 keeps a processor busy
"""

import contextlib
import os
import signal
import sys
import time

PERIOD_S = 0.2


def pulse(process_ids: list[int], duration_s: float, pulse_s: float) -> None:
    """Let processes run for `pulse_s` of each `PERIOD_S`."""
    until_s = time.monotonic() + duration_s
    try:
        while time.monotonic() < until_s:
            _send(process_ids, signal.SIGSTOP)
            time.sleep(PERIOD_S - pulse_s)
            _send(process_ids, signal.SIGCONT)
            time.sleep(pulse_s)
    finally:
        _send(process_ids, signal.SIGCONT)


def keep_busy(duration_s: float) -> None:
    """Keep a processor busy."""
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        pass


def _send(process_ids: list[int], signal_number: int) -> None:
    for process_id in process_ids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process_id, signal_number)


if __name__ == '__main__':
    seconds, *numbers = sys.argv[1:]
    if numbers:
        pulse_s, *process_ids = numbers
        pulse(list(map(int, process_ids)), float(seconds), float(pulse_s))
    else:
        keep_busy(float(seconds))
