"""A seeded plan of overlapping faults."""

from collections.abc import Iterator
from random import Random

import attrs

NODE_FAULTS = ('kill', 'pause', 'term', 'reload')
LINK_FAULTS = ('cut', 'silence', 'deafen', 'blackhole', 'reset', 'delay')
LINKS = ('store', 'callers', 'peers', 'target')
STORE_FAULTS = ('out', 'refuse', 'forget', 'lapse', 'lose')
TARGET_FAULTS = ('refuse', 'lose', 'extra', 'break', 'leave')
# What targets say of themselves in their answers.
NOTICES = ('tell', 'rest')
CHANGES = ('withdraw', 'configure')
# Targets that stop answering and go on: the process stands still, or the path
# holds all bytes both ways.
SILENCES = ('stop', 'hold')

MAX_FAULT_S = 4.0
# A limit is checked from some seconds after it was named.
LIMIT_FAULT_S = (5.0, 9.0)
SECONDS_PER_LIMIT = 10.0
# A notice is checked from some seconds after it was given.
NOTICE_FAULT_S = (4.0, 7.0)
SECONDS_PER_NOTICE = 6.0
# A domain that loses all targets is checked from some seconds on, too.
REACH_FAULTS = ('hang', 'cut', 'refuse')
REACH_FAULT_S = (5.0, 8.0)
SECONDS_PER_REACH = 15.0
SILENCE_S = (1.0, 2.5)
SECONDS_PER_SILENCE = 4.0
# Engines that start again as another version, and back.
VERSION_FAULT_S = (2.0, 4.0)
SECONDS_PER_VERSION = 4.0
# The store is away for a moment and comes back from a copy.
COPY_FAULT_S = (0.1, 1.5)
SECONDS_PER_COPY = 8.0
# Once nothing else disturbs any more, silences beside planned work go on.
CALM_S = 3.0
PLANNED_SILENCES = 4
SECONDS_PER_PLANNED_SILENCE = 3.0
PLANNED_SIGNALS = ('reload', 'term')


@attrs.frozen
class Fault:
    """One fault: its start, duration, kind, action and target index.

    The index selects a node or target modulo their number.
    """

    at_s: float
    duration_s: float
    kind: str
    action: str
    index: int


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Draw the faults of a soak; the same seed gives the same faults."""
    random = Random(seed)
    faults = list(_draw(random, duration_s))
    for series in _SERIES:
        faults.extend(_draw_series(seed, duration_s, series))
    end_s = max(fault.at_s + fault.duration_s for fault in faults)
    faults.extend(_draw_planned(seed, end_s + CALM_S))
    return sorted(faults, key=lambda fault: fault.at_s)


def planned_start_s(faults: list[Fault]) -> float:
    """Return when a plan's silences beside planned work alone begin."""
    return faults[-PLANNED_SILENCES - len(PLANNED_SIGNALS)].at_s


@attrs.frozen
class _Series:
    """Faults that are drawn apart from the others, whose plan a seed keeps."""

    name: str
    kind: str
    actions: tuple[str, ...]
    lasts_s: tuple[float, float]
    seconds_per_fault: float


_SERIES = (
    _Series('limits', 'target', ('limit',), LIMIT_FAULT_S, SECONDS_PER_LIMIT),
    _Series('reach', 'reach', REACH_FAULTS, REACH_FAULT_S, SECONDS_PER_REACH),
    _Series('notices', 'target', NOTICES, NOTICE_FAULT_S, SECONDS_PER_NOTICE),
    _Series('silences', 'silence', SILENCES, SILENCE_S, SECONDS_PER_SILENCE),
    _Series(
        'versions',
        'version',
        ('swap',),
        VERSION_FAULT_S,
        SECONDS_PER_VERSION,
    ),
    _Series('copies', 'copy', ('return',), COPY_FAULT_S, SECONDS_PER_COPY),
)


def _draw_series(
    seed: int, duration_s: float, series: _Series
) -> Iterator[Fault]:
    random = Random(f'{series.name} {seed}')
    for _ in range(max(1, int(duration_s / series.seconds_per_fault))):
        fault_s = random.uniform(*series.lasts_s)
        at_s = random.uniform(0, max(0, duration_s - fault_s))
        action = series.actions[0]
        if len(series.actions) > 1:
            action = random.choice(series.actions)
        index = random.randrange(1000)
        yield Fault(at_s, fault_s, series.kind, action, index)


def _draw_planned(seed: int, start_s: float) -> Iterator[Fault]:
    random = Random(f'planned {seed}')
    for number in range(PLANNED_SILENCES):
        at_s = start_s + number * SECONDS_PER_PLANNED_SILENCE
        yield Fault(
            at_s,
            random.uniform(*SILENCE_S),
            'silence',
            random.choice(SILENCES),
            random.randrange(1000),
        )
    lasts_s = PLANNED_SILENCES * SECONDS_PER_PLANNED_SILENCE
    for action in PLANNED_SIGNALS:
        at_s = start_s + random.uniform(0, lasts_s)
        yield Fault(at_s, 0.0, 'node', action, random.randrange(1000))


def _draw(random: Random, duration_s: float) -> Iterator[Fault]:
    count = max(4, int(duration_s * random.uniform(0.4, 1.0)))
    for _ in range(count):
        kind, action = _draw_kind(random)
        yield Fault(
            at_s=random.uniform(0, duration_s),
            duration_s=random.uniform(0.2, MAX_FAULT_S),
            kind=kind,
            action=action,
            index=random.randrange(1000),
        )


def _draw_kind(random: Random) -> tuple[str, str]:
    kind = random.choice(
        ('node', 'node', 'link', 'link', 'store', 'target', 'change')
    )
    if kind == 'link':
        link = random.choice(LINKS)
        return link, random.choice(LINK_FAULTS)
    actions = {
        'node': NODE_FAULTS,
        'store': STORE_FAULTS,
        'target': TARGET_FAULTS,
        'change': CHANGES,
    }[kind]
    return kind, random.choice(actions)
