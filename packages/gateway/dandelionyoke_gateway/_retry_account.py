"""What one call charges to the retry budget of its service."""

from collections import deque
from itertools import repeat

from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import CallDependencies
from dandelionyoke_gateway._clock import clock_s


class RetryDeniedError(Exception):
    """The retry budget of the service does not allow to send a call again."""


class RetryAccount:
    """Charges the sends of one call that repeat an earlier one.

    A try reserves its repeats before it waits for an engine, so that no
    prefill is sent whose call could not follow. Whether a send is a repeat is
    decided as it is sent: meanwhile another try of the call may have sent it.
    """

    def __init__(self, deps: CallDependencies, context: CallContext) -> None:
        self._deps = deps
        self._context = context
        self._attempts = context.attempts
        # When each repeat was charged that was not sent yet.
        self._reserved_s: deque[float] = deque()

    def reserve(self, sends: int) -> None:
        """Charge so many repeats, less those that are reserved already.

        Raises:
            RetryDeniedError: the budget does not allow them.
        """
        self._drop_expired()
        missing = sends - len(self._reserved_s)
        if missing <= 0:
            return
        self._charge(missing)
        self._reserved_s.extend(repeat(clock_s(), missing))

    def call_sent(self, target_id: str) -> int:
        """Record the call before any byte of it is sent to a target.

        Only a prefill that an engine accepted is free beside the first call.
        Returns the number of the attempt.

        Raises:
            RetryDeniedError: it is a repeat that the budget does not allow.
        """
        attempts = self._attempts
        is_prefill_lost = (
            attempts.is_prefill_sent and not attempts.is_prefill_accepted
        )
        self._settle(is_repeat=attempts.is_sent or is_prefill_lost)
        return attempts.sent(target_id)

    def prefill_sent(self) -> None:
        """Record a prefill before any byte of it is sent to a target.

        Raises:
            RetryDeniedError: it is a repeat that the budget does not allow.
        """
        self._settle(is_repeat=self._attempts.is_prefill_sent)
        self._attempts.prefill_sent()

    def _settle(self, *, is_repeat: bool) -> None:
        if is_repeat:
            self.reserve(1)
            self._reserved_s.popleft()

    def _drop_expired(self) -> None:
        """Drop reservations that the budget counts as sent by now."""
        oldest_s = clock_s() - self._deps.knowledge.budget.arrival_s
        while self._reserved_s and self._reserved_s[0] < oldest_s:
            self._reserved_s.popleft()

    def _charge(self, sends: int) -> None:
        service = self._context.service.name
        verdict = self._deps.knowledge.budget.try_charge(
            service, clock_s(), sends
        )
        self._deps.log.decide(
            'retry.charged',
            self._context.call.attempt_id,
            outcome='allowed' if verdict.is_allowed else 'refused',
            service=service,
            sends=sends,
            elsewhere=','.join(sorted(self._context.serving_nodes)),
            spent=verdict.spent,
            allowed=verdict.allowed,
            calls=verdict.calls,
            nodes=verdict.node_count,
        )
        if not verdict.is_allowed:
            raise RetryDeniedError
