"""Connections without a call, which tell whether targets are reached."""

from collections.abc import Sequence
from random import Random

import eventlet

from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._target_connection import connect

# A live target on a sound path accepts a connection within milliseconds.
PROBE_TIMEOUT_S = 0.4
PROBE_INTERVAL_S = 0.5


def probe_sample(
    targets: Sequence[RegisteredTarget], count: int, random: Random
) -> dict[str, bool]:
    """Connect to `count` of the targets; return which of them accepted."""
    probes = {
        target.target_id: eventlet.spawn(is_reached, target)
        for target in random.sample(targets, min(len(targets), count))
    }
    return {name: probe.wait() for name, probe in probes.items()}


def is_reached(target: RegisteredTarget) -> bool:
    """Connect to a target; return whether it accepted."""
    try:
        connect(target.address, PROBE_TIMEOUT_S).close()
    except (ExchangeError, ValueError):
        # The registry may list an address without a valid port.
        return False
    return True
