"""A seeded plan of planned work, silences and standstills under paced load.

No connection is harmed and no target breaks off, so that all requests can be
served: what a call may have to wait for is shorter than its time.
"""

from collections.abc import Iterator
from random import Random

from tests.soak.configuration import CHANGES
from tests.soak.faults import SILENCE_S, SILENCES, Fault
from tests.soak.silences import SERVICES, index_silence

FIRST_SILENCE_S = 1.0
SECONDS_PER_SILENCE = 5.5
PAUSE_S = (1.0, 1.5)
# A node stands still once the calls that waited for a silence have ended, and
# within the last silence, where a call may wait for both.
PAUSE_AFTER_S = 3.3
SHORT_S = (1.0, 1.2)
# A SIGHUP series, and when it comes after a silence has begun.
RELOADS = 3
RELOAD_INTERVAL_S = 0.4
RELOAD_AFTER_S = (0.0, 2.0)
NODES = 4
EXTENTS = (0, 1, 2, 2)


def plan_paced(seed: int) -> list[Fault]:
    """Draw the faults of the part; the same seed gives the same faults."""
    random = Random(f'paced {seed}')
    nodes = random.sample(range(NODES), NODES)
    faults = [
        *_draw_silences(random),
        *_draw_pauses(random, nodes[1:]),
        *_draw_signals(random, nodes),
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_silences(random: Random) -> Iterator[Fault]:
    """Silence one, half and all targets beside each change, in any order."""
    extents = random.sample(EXTENTS, len(EXTENTS))
    changes = random.sample(range(len(CHANGES)), len(CHANGES))
    last = len(CHANGES) - 1
    for number, change in enumerate(changes):
        index = index_silence(
            random.randrange(SERVICES),
            extents[number],
            change,
            random.randrange(NODES),
        )
        lasts_s = random.uniform(*(SHORT_S if number == last else SILENCE_S))
        action = random.choice(SILENCES)
        yield Fault(_silence_s(number), lasts_s, 'silence', action, index)


def _draw_pauses(random: Random, nodes: list[int]) -> Iterator[Fault]:
    last = len(CHANGES) - 1
    for number in range(last):
        at_s = _silence_s(number) + PAUSE_AFTER_S
        lasts_s = random.uniform(*PAUSE_S)
        node = nodes[number % len(nodes)]
        yield Fault(at_s, lasts_s, 'node', 'pause', node)
    at_s = _silence_s(last) + random.uniform(0, 0.5)
    lasts_s = random.uniform(*SHORT_S)
    yield Fault(at_s, lasts_s, 'node', 'pause', random.choice(nodes))


def _draw_signals(random: Random, nodes: list[int]) -> Iterator[Fault]:
    """Signal nodes; the one that is ended is signalled before that only."""
    ended, *others = nodes
    ended_s = _silence_s(1) + random.uniform(0, 1)
    yield Fault(ended_s - 0.5, 0.0, 'node', 'reload', ended)
    yield Fault(ended_s, 0.0, 'node', 'term', ended)
    for number in range(len(CHANGES)):
        at_s = _silence_s(number) + random.uniform(*RELOAD_AFTER_S)
        node = random.choice(others)
        for reload in range(RELOADS):
            reload_s = at_s + reload * RELOAD_INTERVAL_S
            yield Fault(reload_s, 0.0, 'node', 'reload', node)


def _silence_s(number: int) -> float:
    return FIRST_SILENCE_S + number * SECONDS_PER_SILENCE
