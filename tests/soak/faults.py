"""A seeded series of faults that overlap."""

from collections.abc import Iterator
from random import Random

import attrs

NODE_FAULTS = ('kill', 'pause', 'term', 'reload')
LINK_FAULTS = ('cut', 'silence', 'deafen', 'blackhole', 'reset', 'delay')
LINKS = ('store', 'callers', 'peers', 'target')
STORE_FAULTS = ('out', 'refuse', 'forget', 'lapse', 'lose')
TARGET_FAULTS = ('refuse', 'lose', 'extra', 'break', 'leave')
CHANGES = ('withdraw', 'configure')

LONGEST_S = 4.0


@attrs.frozen
class Fault:
    """What happens when, to which of the nodes or targets, for how long."""

    at_s: float
    for_s: float
    kind: str
    how: str
    which: int


def plan_faults(seed: int, for_s: float) -> list[Fault]:
    """Draw the faults of a soak; the same ones for the same seed."""
    random = Random(seed)
    return sorted(_draw(random, for_s), key=lambda fault: fault.at_s)


def _draw(random: Random, for_s: float) -> Iterator[Fault]:
    number = max(4, int(for_s * random.uniform(0.4, 1.0)))
    for _ in range(number):
        kind, how = _draw_kind(random)
        yield Fault(
            at_s=random.uniform(0, for_s),
            for_s=random.uniform(0.2, LONGEST_S),
            kind=kind,
            how=how,
            which=random.randrange(1000),
        )


def _draw_kind(random: Random) -> tuple[str, str]:
    kind = random.choice(
        ('node', 'node', 'link', 'link', 'store', 'target', 'change')
    )
    if kind == 'link':
        link = random.choice(LINKS)
        return link, random.choice(LINK_FAULTS)
    hows = {
        'node': NODE_FAULTS,
        'store': STORE_FAULTS,
        'target': TARGET_FAULTS,
        'change': CHANGES,
    }[kind]
    return kind, random.choice(hows)
