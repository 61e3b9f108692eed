"""What the parts of one streamed call share: tries, heads, notes."""

from dandelionyoke_dispatch import Cause, RegisteredTarget
from dandelionyoke_gateway._call_desk import OpenCall, Tools
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._messages import RequestHead
from dandelionyoke_gateway._plain_call import note_failure
from dandelionyoke_gateway._ports import Forwarding


class NextTryError(Exception):
    """This send came to nothing; another one may be made."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class StreamTries:
    """One streamed call and the targets that it was tried at."""

    def __init__(self, tools: Tools, opened: OpenCall) -> None:
        self.tools = tools
        self.opened = opened
        self.tried: set[str] = set()
        self.last_event_id = opened.call.last_event_id

    def next_try(
        self, target: RegisteredTarget, error: ExchangeError
    ) -> NextTryError:
        """Draw the conclusions from a send that failed."""
        self.tried.add(target.target_id)
        return NextTryError(
            note_failure(self.tools, self.opened, target, error)
        )

    def tell(
        self,
        decision: str,
        target: RegisteredTarget,
        **inputs: str | float | None,
    ) -> None:
        """Write a decision about the call and a target to the log."""
        watch = self.tools.knowledge.watch_of(self.opened.service.name)
        self.tools.log.decide(
            decision,
            self.opened.call.attempt_id,
            outcome=target.target_id,
            service=self.opened.service.name,
            line_s=watch.line.expected_wait_s(),
            busy=self.tools.knowledge.loads.busy(target.target_id, clock_s()),
            **inputs,
        )

    def forwarding(self, target: RegisteredTarget) -> Forwarding:
        """Say what goes to any target with the call."""
        return Forwarding(
            target_id=target.target_id,
            time_left_s=self.opened.until_s - clock_s(),
            organisation=self.opened.name,
            priority=self.opened.rank,
            last_event_id=self.last_event_id,
        )

    def head(self, forwarding: Forwarding) -> RequestHead:
        """Write the head with which the call goes to a target."""
        return self.tools.dialect.call_head(
            self.opened.request.head, forwarding
        )
