"""State that the prefill and the decode phase of a streamed call share."""

from dandelionyoke_dispatch import Cause, RegisteredTarget
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import CallDependencies
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._messages import RequestHead
from dandelionyoke_gateway._plain_call import record_failure
from dandelionyoke_gateway._ports import Forwarding
from dandelionyoke_gateway._retry_account import RetryAccount


class RetryableError(Exception):
    """A send failed; the call may be retried at another target."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class StreamCallState:
    """One streamed call and the targets that it was already sent to."""

    def __init__(self, deps: CallDependencies, context: CallContext) -> None:
        self.deps = deps
        self.context = context
        self.retries = RetryAccount(deps, context)
        self.last_event_id = context.call.last_event_id

    @property
    def tried_ids(self) -> set[str]:
        """The targets that were tried."""
        return self.context.tried.ids

    def record_failed_send(
        self, target: RegisteredTarget, error: ExchangeError
    ) -> RetryableError:
        """Record a failed send; return the error to raise for a retry."""
        self.tried_ids.add(target.target_id)
        return RetryableError(
            record_failure(self.deps, self.context, target, error)
        )

    def log_decision(
        self,
        decision: str,
        target: RegisteredTarget,
        **inputs: str | float | None,
    ) -> None:
        """Log a decision about the call and a target."""
        stats = self.deps.knowledge.service_state(self.context.service.name)
        self.deps.log.decide(
            decision,
            self.context.call.attempt_id,
            outcome=target.target_id,
            service=self.context.service.name,
            version=target.version,
            resumes=self.context.call.resumed_attempt_id,
            last_event_id=self.last_event_id,
            line_s=stats.prompt_queue.expected_wait_s(clock_s()),
            busy=self.deps.knowledge.loads.busy(target.target_id, clock_s()),
            **inputs,
        )

    def new_forwarding(self, target: RegisteredTarget) -> Forwarding:
        """Return the forwarding data that any target gets with the call."""
        return Forwarding(
            target_id=target.target_id,
            time_left_s=self.context.deadline_s - clock_s(),
            organisation=self.context.organisation_name,
            priority=self.context.priority,
            last_event_id=self.last_event_id,
        )

    def new_request_head(self, forwarding: Forwarding) -> RequestHead:
        """Return the request head that the call is sent with."""
        return self.deps.dialect.call_head(
            self.context.request.head, forwarding
        )
