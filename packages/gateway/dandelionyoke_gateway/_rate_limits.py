"""Charges a node's calls against the rate limits of their organisations.

The source node of a failure domain enforces the limits for all its nodes
(`LimitServer`). The others ask it about calls that are large relative to a
limit; they admit small ones locally and report them shortly after.
"""

import itertools
from collections import defaultdict
from typing import Protocol

import attrs
import eventlet
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import CountMetric, InstanceId
from dandelionyoke_dispatch import LimitVerdict, RateLimit
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
REQUEST_NUMBER_BITS = 48


@attrs.frozen
class Charge:
    """The amount that a call uses of its organisation's limit."""

    attempt_id: str
    organisation: str
    amount: float


@attrs.frozen
class _Decision:
    """A verdict and the node that made it; None if it was this one."""

    verdict: LimitVerdict
    decided_by: InstanceId | None = None


class OverLimitError(Exception):
    """The call exceeds its organisation's limit; retry later."""

    def __init__(self, charge: Charge, verdict: LimitVerdict) -> None:
        super().__init__(
            f'{charge.organisation} is over its limit '
            f'for {verdict.over_s:.2f} s'
        )
        self.retry_after_s = verdict.retry_after_s


class RateLimits(Protocol):
    """Charges calls against the limits of their organisations."""

    def charge(self, charge: Charge) -> None:
        """Charge a call.

        Raises:
            OverLimitError: it exceeds the limit.
        """

    def refund(self, charge: Charge) -> None:
        """Refund the charge of a call that no target ran."""


class DomainRateLimits:
    """Asks the domain's source node; decides locally without its answer."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._limiter = knowledge.limiter
        self._log = log
        self._source = DomainSource(knowledge)
        # An earlier process of this instance may still have open requests
        # there, so numbering starts at a random value.
        first_number = knowledge.random.getrandbits(REQUEST_NUMBER_BITS)
        self._request_numbers = itertools.count(first_number)
        self._responses: dict[int, LightQueue] = {}
        self._unreported: defaultdict[str, float] = defaultdict(float)
        self._over_until_s: dict[str, float] = {}

    def attach(self, send: Send) -> None:
        """Set the function that sends messages, once the links are open."""
        self._source.attach(send)

    def charge(self, charge: Charge) -> None:
        """Charge a call.

        Raises:
            OverLimitError: it exceeds the limit.
        """
        limit = self._limiter.limit_of(charge.organisation)
        if limit is None:
            return
        decision = self._decide(charge, limit)
        verdict = decision.verdict
        outcome = 'admitted' if verdict.is_admitted else 'refused'
        self._log.count(
            CountMetric(
                f'limit.{outcome}', int(charge.amount), charge.organisation
            )
        )
        if not verdict.is_admitted:
            self._log_refusal(charge, decision)
            raise OverLimitError(charge, verdict)

    def refund(self, charge: Charge) -> None:
        """Refund the charge of a call that no target ran."""
        if self._limiter.limit_of(charge.organisation) is not None:
            self._adjust(charge.organisation, -charge.amount)

    def handle_response(self, message: ChargeTold) -> None:
        """Pass an answer on to the call that waits for it."""
        responses = self._responses.get(message.number)
        if responses is not None:
            responses.put(message.verdict)

    def handle_over_limit(self, message: OverLimit) -> None:
        """Record which organisations are over their limits."""
        now_s = clock_s()
        for organisation, over_s in message.for_s.items():
            self._over_until_s[organisation] = now_s + over_s

    def run(self) -> None:
        """Report locally admitted calls until the process exits."""
        while True:
            eventlet.sleep(REPORT_INTERVAL_S)
            self._send_report()

    def _decide(self, charge: Charge, limit: RateLimit) -> _Decision:
        source_id = self._source.find()
        if source_id is not None:
            if charge.amount < SMALL_CALL_SHARE * limit.burst:
                return _Decision(self._admit_small(charge))
            verdict = self._request_verdict(source_id, charge)
            if verdict is not None:
                return _Decision(verdict, source_id)
        verdict = self._limiter.admit(
            charge.organisation, charge.amount, clock_s()
        )
        if verdict.is_admitted and not self._is_source():
            self._unreported[charge.organisation] += charge.amount
        return _Decision(verdict)

    def _admit_small(self, charge: Charge) -> LimitVerdict:
        over_s = self._over_until_s.get(charge.organisation, 0.0) - clock_s()
        if over_s > 0:
            return LimitVerdict(
                is_admitted=False, retry_after_s=over_s, over_s=over_s
            )
        self._over_until_s.pop(charge.organisation, None)
        self._unreported[charge.organisation] += charge.amount
        return LimitVerdict(is_admitted=True)

    def _request_verdict(
        self, source_id: InstanceId, charge: Charge
    ) -> LimitVerdict | None:
        """Ask the source node; None if it did not answer."""
        number = next(self._request_numbers)
        responses = LightQueue()
        self._responses[number] = responses
        request = ChargeAsked(number, charge.organisation, charge.amount)
        try:
            if not self._source.send(source_id, request):
                return None
            verdict: LimitVerdict = responses.get(timeout=ANSWER_TIMEOUT_S)
        except Empty:
            self._source.start_cooldown()
            self._log.decide('limit.silent', source_id, outcome='decided here')
            return None
        finally:
            self._responses.pop(number)
        # Replaces an older `OverLimit`, which may no longer apply.
        self.handle_over_limit(OverLimit({charge.organisation: verdict.over_s}))
        return verdict

    def _adjust(self, organisation: str, amount: float) -> None:
        if self._is_source():
            self._limiter.charge(organisation, amount, clock_s())
        else:
            self._unreported[organisation] += amount

    def _send_report(self) -> None:
        if not self._unreported:
            return
        if self._is_source():
            for organisation, amount in self._unreported.items():
                self._limiter.charge(organisation, amount, clock_s())
            self._unreported.clear()
            return
        source_id = self._source.find()
        if source_id is None:
            return
        if self._source.send(source_id, UseReported(dict(self._unreported))):
            self._unreported.clear()

    def _is_source(self) -> bool:
        return self._knowledge.sources.is_source(clock_s())

    def _log_refusal(self, charge: Charge, decision: _Decision) -> None:
        verdict = decision.verdict
        self._log.decide(
            'limit.reached',
            charge.attempt_id,
            outcome='refused',
            organisation=charge.organisation,
            amount=charge.amount,
            level=verdict.level,
            over_s=verdict.over_s,
            share=verdict.share,
            news_age_s=verdict.news_age_s,
            decided_by=decision.decided_by,
        )
