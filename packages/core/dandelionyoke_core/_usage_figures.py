"""Tables of usage figures by organisation and service."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core._names import OrganisationId, ServiceName
from dandelionyoke_core._records import UsageFigure

RowKey = tuple[OrganisationId, ServiceName]


def row_key(figure: UsageFigure) -> RowKey:
    """Return the key of the row that a figure belongs to."""
    return (figure.organisation, figure.service)


@attrs.define
class UsageTable:
    """A table with one figure per organisation and service."""

    rows: dict[RowKey, UsageFigure] = attrs.field(factory=dict)

    @classmethod
    def sum_of(cls, figures: Iterable[UsageFigure]) -> 'UsageTable':
        """Return the table of the sums of figures."""
        table = cls()
        for figure in figures:
            table.add(figure)
        return table

    def add(self, figure: UsageFigure) -> None:
        """Add a figure to its row."""
        present = self._row(figure)
        self.rows[row_key(figure)] = attrs.evolve(
            present,
            requests=present.requests + figure.requests,
            prompt_tokens=present.prompt_tokens + figure.prompt_tokens,
            output_tokens=present.output_tokens + figure.output_tokens,
        )

    def merge_max(self, figures: Iterable[UsageFigure]) -> bool:
        """Merge by the maximum of each count; return whether any changed.

        Cumulative counts only grow, so the higher one is the later one.
        """
        is_changed = False
        for figure in figures:
            present = self._row(figure)
            highest = _max_counts(present, figure)
            is_changed = is_changed or highest != present
            self.rows[row_key(figure)] = highest
        return is_changed

    def delta_since(self, earlier: 'UsageTable') -> tuple[UsageFigure, ...]:
        """Return the non-zero differences from an earlier table."""
        changes = (
            _difference(figure, earlier.rows.get(name))
            for name, figure in sorted(self.rows.items())
        )
        return tuple(change for change in changes if _is_nonzero(change))

    def figures(self) -> tuple[UsageFigure, ...]:
        """Return all rows, sorted by key."""
        return tuple(self.rows[name] for name in sorted(self.rows))

    def _row(self, figure: UsageFigure) -> UsageFigure:
        empty = UsageFigure(figure.organisation, figure.service)
        return self.rows.get(row_key(figure), empty)


def _max_counts(left: UsageFigure, right: UsageFigure) -> UsageFigure:
    return attrs.evolve(
        left,
        requests=max(left.requests, right.requests),
        prompt_tokens=max(left.prompt_tokens, right.prompt_tokens),
        output_tokens=max(left.output_tokens, right.output_tokens),
    )


def _difference(now: UsageFigure, before: UsageFigure | None) -> UsageFigure:
    if before is None:
        return now
    return attrs.evolve(
        now,
        requests=now.requests - before.requests,
        prompt_tokens=now.prompt_tokens - before.prompt_tokens,
        output_tokens=now.output_tokens - before.output_tokens,
    )


def _is_nonzero(figure: UsageFigure) -> bool:
    counts = (figure.requests, figure.prompt_tokens, figure.output_tokens)
    return any(counts)
