"""Which target a plain call goes to, and whether it waits for one."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol

from dandelionyoke_dispatch import (
    DEFAULT_RETRY_AFTER_S,
    Cause,
    RegisteredTarget,
)
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import CallDependencies
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._ports import ResponseFacts

LogInputs = Mapping[str, str | float | None]


class NoRoomError(Exception):
    """The call would have its turn too late; it was not sent."""


class PlainTurns(Protocol):
    """Gives one call its turn at a target, as often as it is sent.

    `is_queued` is whether a call may have to wait for its turn, `has_waited`
    whether this one did.
    """

    has_waited: bool
    is_queued: bool

    def take(self) -> RegisteredTarget | None:
        """Return the target that the call goes to now; None if there is none.

        Raises:
            NoRoomError: its turn would come too late.
        """

    def ended(self) -> None:
        """Let another call have the place of this one."""

    def answered(self, target: RegisteredTarget, elapsed_s: float) -> None:
        """Take note of the time of an answered call."""

    def refused(self, target: RegisteredTarget, facts: ResponseFacts) -> bool:
        """Return whether a target that refused a call was full.

        The call may go to a full one again, if it may be repeated or no other
        target is left for it.
        """

    def retry_after_s(self, cause: Cause) -> float:
        """Return when the caller may return after a refusal."""

    @property
    def log_inputs(self) -> LogInputs:
        """What was believed of the target as it was chosen."""


class DirectTurns:
    """Sends a call at once to the least busy target."""

    has_waited = False
    is_queued = False
    log_inputs: LogInputs = MappingProxyType({})

    def __init__(self, deps: CallDependencies, context: CallContext) -> None:
        self._knowledge = deps.knowledge
        self._context = context

    def take(self) -> RegisteredTarget | None:
        """Choose a target; None if there is none."""
        context = self._context
        return self._knowledge.placement.choose_plain_target(
            context.service.name, context.tried.ids, clock_s()
        )

    def ended(self) -> None:
        """Do nothing: no call waits."""

    def answered(self, target: RegisteredTarget, elapsed_s: float) -> None:
        """Do nothing: no time is expected."""

    def refused(self, target: RegisteredTarget, facts: ResponseFacts) -> bool:
        """Each target refuses a call once."""
        return False

    def retry_after_s(self, cause: Cause) -> float:
        """Return the delay if nothing better is known."""
        return DEFAULT_RETRY_AFTER_S
