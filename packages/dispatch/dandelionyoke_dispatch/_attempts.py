"""Tracks the attempts of one call and whether the call may have run."""

import enum

import attrs

from dandelionyoke_dispatch._tried_targets import TriedTargets


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
    # At how many targets each attempt may run the call.
    _weights: list[int] = attrs.field(factory=list)
    targets: list[str] = attrs.field(factory=list)
    tried: TriedTargets = attrs.field(factory=TriedTargets)
    # Whether the call, or a prefill for it, was sent to a target by this node
    # or by another one that has reported it.
    _is_sent: bool = False
    _is_prefill_sent: bool = False
    # Whether this node knows of a prefill of the call that an engine accepted.
    is_prefill_accepted: bool = False
    # How many other nodes have the call and have not reported what they sent.
    _unreported_count: int = 0

    @property
    def is_sent(self) -> bool:
        """Whether any node may have sent the call; the next one is a retry."""
        return self._is_sent or bool(self._unreported_count)

    @property
    def is_prefill_sent(self) -> bool:
        """Whether any node may have sent a prefill of the call."""
        return self._is_prefill_sent or bool(self._unreported_count)

    def sent(self, target_id: str) -> int:
        """Record an attempt before any byte of the call is sent to a target.

        Returns its number, with which its outcome is recorded.
        """
        self._is_sent = True
        return self._begin(target_id, 1)

    def handed(self, name: str, granted: int = 1) -> int:
        """Record an attempt at another node, which may not send the call.

        It may run it at `granted` targets. Until `handover_reported`, it may
        send it at any moment. Returns its number, with which its outcome is
        recorded.
        """
        self._unreported_count += 1
        return self._begin(name, granted)

    def handover_reported(
        self, *, is_sent: bool, is_prefill_sent: bool
    ) -> None:
        """Record what another node has sent, or may have if it is unknown."""
        self._unreported_count -= 1
        self.add_sent(is_sent=is_sent, is_prefill_sent=is_prefill_sent)

    def prefill_sent(self) -> None:
        """Record a prefill before any byte of it is sent to a target."""
        self._is_prefill_sent = True

    def add_sent(self, *, is_sent: bool, is_prefill_sent: bool) -> None:
        """Add what another node sent."""
        self._is_sent |= is_sent
        self._is_prefill_sent |= is_prefill_sent

    def refused(self, number: int = -1) -> None:
        """Record that the target reported not running an attempt.

        It is the last one if no number is given.
        """
        self._outcomes[number] = Outcome.NOT_RUN

    def ran(self, number: int = -1) -> None:
        """Record that the target reported the end of an attempt.

        It is the last one if no number is given.
        """
        self._outcomes[number] = Outcome.RAN

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt ran or has an unknown outcome."""
        return any(outcome is not Outcome.NOT_RUN for outcome in self._outcomes)

    @property
    def run_count(self) -> int:
        """The number of targets that may have run the call."""
        return sum(
            weight
            for weight, outcome in zip(
                self._weights, self._outcomes, strict=True
            )
            if outcome is not Outcome.NOT_RUN
        )

    @property
    def handover_grant(self) -> int:
        """At how many targets the next node may run the call.

        One is kept for a node that is tried beside it, if there are more.
        """
        return max(1, self.max_attempts - self.run_count - 1)

    def may_run_again(self, is_repeatable: bool) -> bool:
        """Whether the call may be sent to another target."""
        if not self.may_have_run:
            return True
        return is_repeatable and self.run_count < self.max_attempts

    def _begin(self, name: str, weight: int) -> int:
        self.targets.append(name)
        self._weights.append(weight)
        self._outcomes.append(Outcome.UNKNOWN)
        return len(self._outcomes) - 1
