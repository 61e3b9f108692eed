"""Tracks the attempts of one call and whether the call may have run."""

import enum

import attrs


@enum.unique
class Outcome(enum.Enum):
    """What is known about one attempt at a target."""

    UNKNOWN = 'unknown'
    NOT_RUN = 'not run'
    RAN = 'ran'


@attrs.define
class Attempts:
    """The attempts of one call at targets.

    A refusal promises the caller that the call did not run and never will, so
    the caller sends it again. If a call that may have run is refused, the
    customer is charged twice. An attempt therefore counts as run until its
    target has reported that it was not.
    """

    max_attempts: int
    _outcomes: list[Outcome] = attrs.field(factory=list)
    targets: list[str] = attrs.field(factory=list)

    def sent(self, target_id: str) -> None:
        """Record an attempt before any byte of the call is sent to a target."""
        self.targets.append(target_id)
        self._outcomes.append(Outcome.UNKNOWN)

    def refused(self) -> None:
        """Record that the target reported not running the last attempt."""
        self._outcomes[-1] = Outcome.NOT_RUN

    def ran(self) -> None:
        """Record that the target reported the end of the last attempt."""
        self._outcomes[-1] = Outcome.RAN

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt ran or has an unknown outcome."""
        return any(outcome is not Outcome.NOT_RUN for outcome in self._outcomes)

    @property
    def run_count(self) -> int:
        """The number of attempts that may have run."""
        return sum(outcome is not Outcome.NOT_RUN for outcome in self._outcomes)

    def may_run_again(self, is_repeatable: bool) -> bool:
        """Whether the call may be sent to another target."""
        if not self.may_have_run:
            return True
        return is_repeatable and self.run_count < self.max_attempts
