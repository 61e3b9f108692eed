"""Charges a node's calls against the rate limits of their accounts.

An account is the organisation of a call, or the target that it is sent to.

The source node of a failure domain enforces the limits for all its nodes
(`LimitServer`). The others ask it about calls that are large relative to a
limit; they admit small ones locally and report them shortly after.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable
from types import MappingProxyType
from typing import Protocol

import attrs
import eventlet
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import CountMetric, InstanceId, PeerMessage
from dandelionyoke_dispatch import (
    FleetLimiter,
    LimitScope,
    LimitVerdict,
    RateLimit,
)
from dandelionyoke_gateway._answer_wait import AnswerWait
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._domain_source import DomainSource
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._limit_messages import (
    ChargeAsked,
    ChargeTold,
    OverLimit,
    UseReported,
)
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import Send

# A healthy node of the domain answers within milliseconds.
ANSWER_TIMEOUT_S = 0.15
# A call below this share of the burst is admitted without asking.
SMALL_CALL_SHARE = 0.01
REPORT_INTERVAL_S = 0.2
# While no account has a limit.
IDLE_INTERVAL_S = 0.5
REQUEST_NUMBER_BITS = 48
_METRICS = MappingProxyType(
    {LimitScope.ORGANISATION: 'limit', LimitScope.TARGET: 'target_limit'}
)


@attrs.frozen
class Charge:
    """The amount that a call uses of the limit of an account."""

    attempt_id: str
    account: str
    amount: float


@attrs.frozen
class _Decision:
    """A verdict and the node that made it; None if it was this one."""

    verdict: LimitVerdict
    decided_by: InstanceId | None = None


class OverLimitError(Exception):
    """The call exceeds the limit of its account; retry later."""

    def __init__(self, charge: Charge, verdict: LimitVerdict) -> None:
        super().__init__(
            f'{charge.account} is over its limit for {verdict.over_s:.2f} s'
        )
        self.retry_after_s = verdict.retry_after_s
        self.over_s = verdict.over_s


class RateLimits(Protocol):
    """Charges calls against the limits of their accounts."""

    def charge(self, charge: Charge) -> None:
        """Charge a call.

        Raises:
            OverLimitError: it exceeds the limit.
        """

    def refund(self, charge: Charge) -> None:
        """Refund the charge of a call that no target ran."""


class DomainRateLimits:
    """Asks the domain's source node; decides locally without its answer."""

    def __init__(
        self,
        knowledge: Knowledge,
        log: DecisionLog,
        scope: LimitScope = LimitScope.ORGANISATION,
    ) -> None:
        self.scope = scope
        self._knowledge = knowledge
        self._log = log
        self._metric = _METRICS[scope]
        self._source = DomainSource(knowledge)
        # An earlier process of this instance may still have open requests
        # there, so numbering starts at a random value.
        first_number = knowledge.random.getrandbits(REQUEST_NUMBER_BITS)
        self._request_numbers = itertools.count(first_number)
        self._responses: dict[int, LightQueue] = {}
        self._unreported: defaultdict[str, float] = defaultdict(float)
        self._over_until_s: dict[str, float] = {}
        self._on_use: Callable[[], None] | None = None

    @property
    def limiter(self) -> FleetLimiter:
        """The limiter of these accounts."""
        return self._knowledge.limiters[self.scope]

    def listen(self, on_use: Callable[[], None]) -> None:
        """Set the listener for calls that this node admits as the limiter."""
        self._on_use = on_use

    def attach(self, send: Send) -> None:
        """Set the function that sends messages, once the links are open."""
        self._source.attach(send)

    def charge(self, charge: Charge) -> None:
        """Charge a call.

        Raises:
            OverLimitError: it exceeds the limit.
        """
        limit = self.limiter.limit_of(charge.account)
        if limit is None:
            return
        decision = self._decide(charge, limit)
        verdict = decision.verdict
        outcome = 'admitted' if verdict.is_admitted else 'refused'
        self._log.count(
            CountMetric(
                f'{self._metric}.{outcome}', int(charge.amount), charge.account
            )
        )
        if not verdict.is_admitted:
            self._log_refusal(charge, decision)
            raise OverLimitError(charge, verdict)

    def refund(self, charge: Charge) -> None:
        """Refund the charge of a call that no target ran."""
        if self.limiter.limit_of(charge.account) is not None:
            self._adjust(charge.account, -charge.amount)

    def handle_response(self, message: ChargeTold) -> None:
        """Pass an answer on to the call that waits for it."""
        responses = self._responses.get(message.number)
        if responses is not None:
            responses.put(message.verdict)

    def handle_over_limit(self, message: OverLimit) -> None:
        """Record which accounts are over their limits."""
        now_s = clock_s()
        for account, over_s in message.for_s.items():
            self._over_until_s[account] = now_s + over_s
            if self.scope is LimitScope.TARGET:
                self._knowledge.target_limits.withhold(account, now_s + over_s)

    def send_to_source(self, message: PeerMessage) -> bool:
        """Send a message to the domain's source node; False if there is none."""
        source_id = self._source.find()
        return source_id is not None and self._source.send(source_id, message)

    def run(self) -> None:
        """Report locally admitted calls until the process exits."""
        while True:
            is_used = self.limiter.has_limits
            eventlet.sleep(REPORT_INTERVAL_S if is_used else IDLE_INTERVAL_S)
            self._send_report()

    def _decide(self, charge: Charge, limit: RateLimit) -> _Decision:
        source_id = self._source.find()
        if source_id is not None:
            if charge.amount < SMALL_CALL_SHARE * limit.burst:
                return _Decision(self._admit_small(charge))
            verdict = self._request_verdict(source_id, charge)
            if verdict is not None:
                return _Decision(verdict, source_id)
        verdict = self.limiter.admit(charge.account, charge.amount, clock_s())
        if not verdict.is_admitted:
            return _Decision(verdict)
        if not self._is_source():
            self._unreported[charge.account] += charge.amount
        elif self._on_use is not None:
            self._on_use()
        return _Decision(verdict)

    def _admit_small(self, charge: Charge) -> LimitVerdict:
        over_s = self._over_until_s.get(charge.account, 0.0) - clock_s()
        if over_s > 0:
            return LimitVerdict(
                is_admitted=False, retry_after_s=over_s, over_s=over_s
            )
        self._over_until_s.pop(charge.account, None)
        self._unreported[charge.account] += charge.amount
        return LimitVerdict(is_admitted=True)

    def _request_verdict(
        self, source_id: InstanceId, charge: Charge
    ) -> LimitVerdict | None:
        """Ask the source node; None if it did not answer."""
        number = next(self._request_numbers)
        responses = LightQueue()
        self._responses[number] = responses
        request = ChargeAsked(number, charge.account, charge.amount, self.scope)
        try:
            if not self._source.send(source_id, request):
                return None
            verdict: LimitVerdict = AnswerWait(ANSWER_TIMEOUT_S).get(responses)
        except Empty:
            self._source.start_cooldown()
            self._log.decide('limit.silent', source_id, outcome='decided here')
            return None
        finally:
            self._responses.pop(number)
        # Replaces an older `OverLimit`, which may no longer apply.
        self.handle_over_limit(
            OverLimit({charge.account: verdict.over_s}, self.scope)
        )
        return verdict

    def _adjust(self, account: str, amount: float) -> None:
        if self._is_source():
            self.limiter.charge(account, amount, clock_s())
        else:
            self._unreported[account] += amount

    def _send_report(self) -> None:
        if not self._unreported:
            return
        if self._is_source():
            for account, amount in self._unreported.items():
                self.limiter.charge(account, amount, clock_s())
            self._unreported.clear()
            return
        report = UseReported(dict(self._unreported), self.scope)
        if self.send_to_source(report):
            self._unreported.clear()

    def _is_source(self) -> bool:
        return self._knowledge.sources.is_source(clock_s())

    def _log_refusal(self, charge: Charge, decision: _Decision) -> None:
        verdict = decision.verdict
        self._log.decide(
            'limit.reached',
            charge.attempt_id,
            outcome='refused',
            scope=self.scope.value,
            account=charge.account,
            amount=charge.amount,
            level=verdict.level,
            over_s=verdict.over_s,
            share=verdict.share,
            news_age_s=verdict.news_age_s,
            decided_by=decision.decided_by,
        )
