"""What one call has sent to targets, and what may be said of it."""

import enum

import attrs


@enum.unique
class Outcome(enum.Enum):
    """What is known of one send to a target."""

    UNKNOWN = 'unknown'
    NOT_RUN = 'not run'
    RAN = 'ran'


@attrs.define
class Attempts:
    """The sends of one call.

    A refusal promises the caller that the call did not run and never will;
    the caller then sends it again. If that is said of a call which may have
    run, a customer is charged twice. So each send counts as run until its
    target has said that it is not.
    """

    max_attempts: int
    _outcomes: list[Outcome] = attrs.field(factory=list)
    targets: list[str] = attrs.field(factory=list)

    def sent(self, target_id: str) -> None:
        """Note that bytes of the call are about to leave for a target."""
        self.targets.append(target_id)
        self._outcomes.append(Outcome.UNKNOWN)

    def refused(self) -> None:
        """Take the target's word that it did not run the last send."""
        self._outcomes[-1] = Outcome.NOT_RUN

    def ran(self) -> None:
        """Note that the last send ran to an end that the target told."""
        self._outcomes[-1] = Outcome.RAN

    @property
    def may_have_run(self) -> bool:
        """Whether any send ran, or is not known not to have run."""
        return any(end is not Outcome.NOT_RUN for end in self._outcomes)

    @property
    def run_count(self) -> int:
        """How many sends may have run."""
        return sum(end is not Outcome.NOT_RUN for end in self._outcomes)

    def may_run_again(self, is_repeatable: bool) -> bool:
        """Whether one more target may be given the call."""
        if not self.may_have_run:
            return True
        return is_repeatable and self.run_count < self.max_attempts
