"""What a target says in an answer about its load at that moment."""

import attrs

# Larger figures are taken for errors of the target.
MAX_CALLS = 1000000
MAX_SLOWNESS = 100.0


class LoadReportError(ValueError):
    """A load report with figures that no target can have."""


@attrs.frozen
class LoadReport:
    """The calls at a target, its slots, and how slow its machine is.

    `slowness` is how long work takes there now as a multiple of the usual
    time; None if the target does not say.
    """

    running: int
    queued: int
    slots: int
    slowness: float | None = None

    @property
    def busy(self) -> int:
        """The calls that run or wait at the target."""
        return self.running + self.queued

    def validate(self) -> None:
        """Check that the figures are possible.

        Raises:
            LoadReportError: the message names the figure.
        """
        if not 0 < self.slots <= MAX_CALLS:
            raise LoadReportError(f'{self.slots} slots')
        if max(self.running, self.queued) > MAX_CALLS:
            raise LoadReportError(f'{self.busy} calls at the target')
        if self.slowness is not None and not 0 < self.slowness <= MAX_SLOWNESS:
            raise LoadReportError(f'work takes {self.slowness} times as long')
