"""How much work a set of engines can do, by their roles: pure arithmetic."""

from collections.abc import Mapping, Sequence

import attrs

from dandelionyoke_core._load_estimate import ROLE_RATES, EngineSpeed
from dandelionyoke_core._records import Role

Counts = Mapping[Role, int]

STEPS = 12
LEAST_STRESS = 0.01
MOST_STRESS = 20.0
TINY = 1e-6


@attrs.frozen
class WorkRow:
    """Work with one ratio of prompt to output, in tokens a second."""

    prompt_per_s: float
    output_per_s: float

    @property
    def ratio(self) -> float:
        """Prompt tokens for each output token."""
        return self.prompt_per_s / max(self.output_per_s, TINY)


@attrs.define
class Room:
    """What is left of the time of the engines in one role."""

    role: Role
    time: float
    prefill_time: float

    def take(self, row: WorkRow, speed: EngineSpeed) -> float:
        """Take as much of a row's work as there is room for; tell the part."""
        prefill = row.prompt_per_s / speed.prefill_rate(self.role)
        whole = prefill + row.output_per_s / speed.decode_rate(self.role)
        part = min(1.0, self.time / max(whole, TINY))
        part = min(part, self.prefill_time / max(prefill, TINY))
        self.time -= part * whole
        self.prefill_time -= part * prefill
        return part


def stress(
    rows: Sequence[WorkRow], counts: Counts, speed: EngineSpeed
) -> float:
    """Tell how full the engines are; above 1 they cannot keep up.

    It is the factor by which all engines' time would have to grow to hold
    just this work.
    """
    low, high = LEAST_STRESS, MOST_STRESS
    for _ in range(STEPS):
        middle = (low * high) ** 0.5
        if _fits(rows, counts, speed, middle):
            high = middle
        else:
            low = middle
    return high


def _fits(
    rows: Sequence[WorkRow], counts: Counts, speed: EngineSpeed, factor: float
) -> bool:
    """Place long prompts on prefill engines, long outputs on decode ones.

    What finds no room there goes to the mixed ones, and then wherever room
    is left.
    """
    rooms = {
        role: Room(
            role,
            count * factor,
            count * factor * ROLE_RATES[role].prefill_share,
        )
        for role, count in counts.items()
    }
    ranked = sorted(rows, key=lambda row: row.ratio, reverse=True)
    ranked = _place(ranked, rooms.get(Role.PREFILL), speed)
    ranked = _place(list(reversed(ranked)), rooms.get(Role.DECODE), speed)
    for role in (Role.MIXED, Role.DECODE, Role.PREFILL):
        ranked = _place(ranked, rooms.get(role), speed)
    return not ranked


def _place(
    rows: Sequence[WorkRow], room: Room | None, speed: EngineSpeed
) -> list[WorkRow]:
    """Put rows into a room in order; give back what is left of them."""
    if room is None:
        return list(rows)
    left: list[WorkRow] = []
    for row in rows:
        part = room.take(row, speed)
        if part < 1 - TINY:
            rest = 1 - part
            left.append(
                WorkRow(row.prompt_per_s * rest, row.output_per_s * rest)
            )
    return left


def changed(counts: Counts, before: Role, after: Role) -> dict[Role, int]:
    """Give the counts with one engine in another role."""
    found = dict(counts)
    found[before] = found.get(before, 0) - 1
    found[after] = found.get(after, 0) + 1
    return found
