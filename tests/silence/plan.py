"""A seeded plan of standstills and changes of the configuration."""

from collections.abc import Iterator
from random import Random

import attrs

from tests.silence.configuration import CHANGES
from tests.silence.record import PLAIN_SERVICES, STREAM_SERVICE

# What stands still in each mode.
MODES = {
    'engines': ('engines',),
    'nodes': ('nodes',),
    'starved': ('starved',),
    'both': ('engines', 'nodes', 'starved'),
}
DURATIONS_S = {
    'engines': (1.0, 2.5),
    'nodes': (1.0, 1.5),
    'starved': (1.0, 2.0),
}
# Pauses between the starts of standstills of a kind; they may overlap.
INTERVALS_S = {
    'engines': (1.5, 3.5),
    'nodes': (2.5, 4.5),
    'starved': (2.5, 4.5),
}
# Shares of the processes; at least one.
SHARES = (0.0, 0.6, 1.0)
SERVICES = (STREAM_SERVICE, STREAM_SERVICE, *PLAIN_SERVICES)
# The new configuration comes up to this long before or after the start.
CHANGE_OFFSET_S = 0.7
FIRST_AT_S = 1.0
PULSES_S = (0.01, 0.02, 0.04)


@attrs.frozen
class Standstill:
    """A standstill of processes and the change of the configuration beside it.

    `first` selects the first process, modulo their number. Starved processes
    run in pulses of `pulse_s`.
    """

    kind: str
    at_s: float
    duration_s: float
    share: float
    service: str
    first: int
    change: str
    change_at_s: float
    pulse_s: float


def plan_standstills(
    seed: int, mode: str, duration_s: float
) -> list[Standstill]:
    """Draw the standstills of a run; the same seed gives the same ones."""
    return sorted(
        (
            standstill
            for kind in MODES[mode]
            for standstill in _draw(kind, seed, duration_s)
        ),
        key=lambda standstill: standstill.at_s,
    )


def _draw(kind: str, seed: int, duration_s: float) -> Iterator[Standstill]:
    random = Random(f'{kind} {seed}')
    changes: list[str] = []
    at_s = FIRST_AT_S + random.uniform(0, INTERVALS_S[kind][0])
    while at_s < duration_s:
        if not changes:
            changes = random.sample(CHANGES, len(CHANGES))
        offset_s = random.uniform(-CHANGE_OFFSET_S, CHANGE_OFFSET_S)
        yield Standstill(
            kind,
            at_s,
            random.uniform(*DURATIONS_S[kind]),
            random.choice(SHARES),
            random.choice(SERVICES),
            random.randrange(1000),
            changes.pop(),
            at_s + offset_s,
            random.choice(PULSES_S),
        )
        at_s += random.uniform(*INTERVALS_S[kind])
