"""The utilisation of a set of engines by role, for a given mix of work."""

from collections.abc import Mapping, Sequence

import attrs

from dandelionyoke_core._load_estimate import ROLE_RATES, EngineSpeed
from dandelionyoke_core._records import Role

Counts = Mapping[Role, int]

BISECTION_STEPS = 12
MIN_STRESS = 0.01
MAX_STRESS = 20.0
EPSILON = 1e-6


@attrs.frozen
class WorkRow:
    """Work with one prompt-to-output ratio, in tokens per second."""

    prompt_per_s: float
    output_per_s: float

    @property
    def ratio(self) -> float:
        """Prompt tokens per output token."""
        return self.prompt_per_s / max(self.output_per_s, EPSILON)


@attrs.define
class RoleTimeBudget:
    """The unallocated engine time in one role, in engine seconds per second."""

    role: Role
    time_left: float
    prefill_time_left: float

    def allocate(self, row: WorkRow, speed: EngineSpeed) -> float:
        """Allocate as much of a row as fits, and return the fraction."""
        prefill = row.prompt_per_s / speed.prefill_rate(self.role)
        total = prefill + row.output_per_s / speed.decode_rate(self.role)
        fraction = min(1.0, self.time_left / max(total, EPSILON))
        fraction = min(fraction, self.prefill_time_left / max(prefill, EPSILON))
        self.time_left -= fraction * total
        self.prefill_time_left -= fraction * prefill
        return fraction


def utilisation(
    rows: Sequence[WorkRow], counts: Counts, speed: EngineSpeed
) -> float:
    """Return the utilisation of the engines; above 1 they are overloaded.

    It is the factor by which the time of all engines would have to be scaled
    to just fit this work.
    """
    low, high = MIN_STRESS, MAX_STRESS
    for _ in range(BISECTION_STEPS):
        middle = (low * high) ** 0.5
        if _can_fit(rows, counts, speed, middle):
            high = middle
        else:
            low = middle
    return high


def _can_fit(
    rows: Sequence[WorkRow], counts: Counts, speed: EngineSpeed, factor: float
) -> bool:
    """Return whether the work fits into the engine time scaled by `factor`.

    Long prompts are allocated to prefill engines and long outputs to decode
    engines. The remainder goes to mixed engines, and then to any engine with
    time left.
    """
    budgets = {
        role: RoleTimeBudget(
            role,
            count * factor,
            count * factor * ROLE_RATES[role].prefill_share,
        )
        for role, count in counts.items()
    }
    remaining = sorted(rows, key=lambda row: row.ratio, reverse=True)
    remaining = _allocate_rows(remaining, budgets.get(Role.PREFILL), speed)
    remaining = _allocate_rows(
        list(reversed(remaining)), budgets.get(Role.DECODE), speed
    )
    for role in (Role.MIXED, Role.DECODE, Role.PREFILL):
        remaining = _allocate_rows(remaining, budgets.get(role), speed)
    return not remaining


def _allocate_rows(
    rows: Sequence[WorkRow], budget: RoleTimeBudget | None, speed: EngineSpeed
) -> list[WorkRow]:
    """Allocate rows to a budget in order, and return the unplaced remainder."""
    if budget is None:
        return list(rows)
    unplaced: list[WorkRow] = []
    for row in rows:
        fraction = budget.allocate(row, speed)
        if fraction < 1 - EPSILON:
            rest = 1 - fraction
            unplaced.append(
                WorkRow(row.prompt_per_s * rest, row.output_per_s * rest)
            )
    return unplaced


def with_role_changed(
    counts: Counts, before: Role, after: Role
) -> dict[Role, int]:
    """Return the counts with one engine moved to another role."""
    new_counts = dict(counts)
    new_counts[before] = new_counts.get(before, 0) - 1
    new_counts[after] = new_counts.get(after, 0) + 1
    return new_counts
