"""Limits per organisation over all entries, without a shared counter.

Each entry lets through a share of an organisation's limit. It works the
share out from the demand that it hears of, as every other entry does, and
the shares add up to the whole limit.
"""

from collections import deque

import attrs

from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._demand import DemandTable
from dandelionyoke_core._names import OrganisationId
from dandelionyoke_core._ports import Ticket
from dandelionyoke_core._rate import TokenBucket
from dandelionyoke_core._refusals import Refusal, RefusalKind

MAX_ORGANISATIONS = 4096
TINY = 1e-9


@attrs.define
class Allowance:
    """What an organisation may still do at this entry."""

    tokens: TokenBucket
    calls: TokenBucket
    running: int = 0


@attrs.frozen
class Shares:
    """This entry's parts of an organisation's limits, a second."""

    tokens_per_s: float
    calls_per_s: float
    running: float


class OrganisationLimits:
    """This entry's share of each organisation's limits."""

    def __init__(
        self, settings: AdmissionSettings, demand: DemandTable
    ) -> None:
        self._settings = settings
        self._demand = demand
        self._allowances: dict[OrganisationId, Allowance] = {}
        self._entries: deque[tuple[float, int]] = deque()

    def entries_known(self, count: int, now_s: float) -> None:
        """Learn how many entries live.

        The highest count of a while ago still holds: in a cut each side
        sees only itself, and would let the whole limit through.
        """
        while self._entries and self._entries[-1][1] <= count:
            self._entries.pop()
        self._entries.append((now_s, count))
        oldest_s = now_s - self._settings.live_memory_s
        while self._entries[0][0] < oldest_s and len(self._entries) > 1:
            self._entries.popleft()

    def refusal(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Refuse a call that goes over a limit."""
        shares = self.shares(ticket, now_s)
        allowance = self._refilled(ticket, shares, now_s)
        if allowance.running >= max(1, shares.running):
            return _over_limit('calls at once', self._settings.min_retry_s)
        wait_s = allowance.calls.wait_s(shares.calls_per_s)
        if wait_s > 0:
            return _over_limit('calls a second', self._bounded(wait_s))
        wait_s = allowance.tokens.wait_s(shares.tokens_per_s)
        if wait_s > 0:
            return _over_limit('tokens a second', self._bounded(wait_s))
        return None

    def admit(self, ticket: Ticket, output_tokens: float, now_s: float) -> None:
        """Charge a call with what it is expected to take."""
        shares = self.shares(ticket, now_s)
        allowance = self._refilled(ticket, shares, now_s)
        allowance.running += 1
        allowance.calls.level -= 1
        allowance.tokens.level -= ticket.prompt_tokens + output_tokens

    def finish(self, ticket: Ticket, excess_tokens: float) -> None:
        """Give the place back; charge what was served over the estimate."""
        organisation_id = ticket.organisation.organisation_id
        allowance = self._allowances.get(organisation_id)
        if allowance is not None:
            allowance.running = max(0, allowance.running - 1)
            allowance.tokens.level -= excess_tokens

    def shares(self, ticket: Ticket, now_s: float) -> Shares:
        """Work out this entry's parts of an organisation's limits."""
        organisation = ticket.organisation
        name = organisation.organisation_id
        entries = self._entries[0][1] if self._entries else 1
        here = self._demand.told(name)
        there = self._demand.elsewhere(name, now_s)
        if there is None:
            # Nobody is heard: the others may be letting their parts
            # through, so no more than an equal one is safe.
            return Shares(
                organisation.tokens_per_s / entries,
                organisation.requests_per_s / entries,
                organisation.concurrent_requests / entries,
            )
        reserved = self._settings.reserved_share
        calls_per_s = demand_share(
            here.calls_per_s,
            there.calls_per_s,
            organisation.requests_per_s,
            entries,
            reserved,
        )
        return Shares(
            demand_share(
                here.tokens_per_s,
                there.tokens_per_s,
                organisation.tokens_per_s,
                entries,
                reserved,
            ),
            calls_per_s,
            organisation.concurrent_requests
            * calls_per_s
            / max(organisation.requests_per_s, TINY),
        )

    def _bounded(self, wait_s: float) -> float:
        return min(self._settings.max_retry_s, wait_s)

    def _refilled(
        self, ticket: Ticket, shares: Shares, now_s: float
    ) -> Allowance:
        name = ticket.organisation.organisation_id
        burst_s = self._settings.burst_s
        token_burst = shares.tokens_per_s * burst_s
        # A small part still lets whole calls through; a limit of 0 none.
        call_burst = max(1, shares.calls_per_s * burst_s)
        if shares.calls_per_s <= 0:
            call_burst = 0
        allowance = self._allowances.get(name)
        if allowance is None:
            self._make_room()
            allowance = Allowance(
                TokenBucket(token_burst, now_s), TokenBucket(call_burst, now_s)
            )
            self._allowances[name] = allowance
        allowance.tokens.refill(shares.tokens_per_s, token_burst, now_s)
        allowance.calls.refill(shares.calls_per_s, call_burst, now_s)
        return allowance

    def _make_room(self) -> None:
        if len(self._allowances) < MAX_ORGANISATIONS:
            return
        idle = [
            name
            for name, allowance in self._allowances.items()
            if not allowance.running
        ]
        for name in idle[: MAX_ORGANISATIONS // 2]:
            self._allowances.pop(name)


def demand_share(
    here: float, there: float, limit: float, entries: int, reserved: float
) -> float:
    """Share a limit by demand; over all entries it adds up to the limit.

    What nobody asks for is shared equally, and so is a reserved part, so
    that an organisation that comes to a new entry finds some room there.
    """
    if limit <= 0:
        return 0
    whole = here + there
    spare = max(0, limit - whole) / entries
    by_demand = limit * (here + spare) / max(limit, whole)
    return reserved * limit / entries + (1 - reserved) * by_demand


def _over_limit(limit: str, wait_s: float) -> Refusal:
    return Refusal(
        RefusalKind.OVER_LIMIT,
        f'the limit of {limit} of this organisation is reached',
        'Send the call again after the time given, or ask for a higher limit',
        retry_after_s=wait_s,
    )
