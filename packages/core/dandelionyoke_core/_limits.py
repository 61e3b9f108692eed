"""Organisation limits over all entries, without a shared counter.

Each entry enforces a share of the limits of an organisation. All entries
compute their shares from the demand that they report to each other, and the
shares add up to the whole limit.
"""

from collections import deque

import attrs

from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._demand import DemandTable
from dandelionyoke_core._names import OrganisationId, RequestId
from dandelionyoke_core._ports import Ticket
from dandelionyoke_core._rate import TokenBucket
from dandelionyoke_core._refusals import Refusal, RefusalKind

MAX_ORGANISATIONS = 4096
# Avoids a division by zero for a limit of 0 requests per second.
EPSILON = 1e-9


@attrs.define
class LimitState:
    """The remaining allowance of an organisation at this entry."""

    tokens: TokenBucket
    calls: TokenBucket
    running: int = 0


@attrs.frozen
class LimitShares:
    """The shares of this entry in the limits of an organisation.

    `running` is the share of the concurrent calls.
    """

    tokens_per_s: float
    calls_per_s: float
    running: float


class OrganisationLimits:
    """Enforce the share of this entry in the limits of each organisation."""

    def __init__(
        self, settings: AdmissionSettings, demand: DemandTable
    ) -> None:
        self._settings = settings
        self._demand = demand
        self._states: dict[OrganisationId, LimitState] = {}
        self._charges: dict[RequestId, float] = {}
        self._entry_counts: deque[tuple[float, int]] = deque()

    def update_entry_count(self, count: int, now_s: float) -> None:
        """Record the number of live entries.

        The shares use the highest count of the last
        `peak_entries_window_s`. In a network partition each side sees only
        its own entries, and with the current count both sides together would
        exceed the limit.
        """
        while self._entry_counts and self._entry_counts[-1][1] <= count:
            self._entry_counts.pop()
        self._entry_counts.append((now_s, count))
        oldest_s = now_s - self._settings.peak_entries_window_s
        while (
            self._entry_counts[0][0] < oldest_s and len(self._entry_counts) > 1
        ):
            self._entry_counts.popleft()

    def refusal(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Return a refusal if the call exceeds a limit, else None."""
        shares = self.shares(ticket, now_s)
        state = self._refilled_state(ticket, shares, now_s)
        if state.running >= max(1, shares.running):
            return _over_limit('calls at once', self._settings.min_retry_s)
        wait_s = state.calls.wait_s(shares.calls_per_s)
        if wait_s > 0:
            return _over_limit('calls a second', self._clamp_wait(wait_s))
        wait_s = state.tokens.wait_s(shares.tokens_per_s)
        if wait_s > 0:
            return _over_limit('tokens a second', self._clamp_wait(wait_s))
        return None

    def admit(self, ticket: Ticket, output_tokens: float, now_s: float) -> None:
        """Charge the expected tokens of a call to its organisation."""
        shares = self.shares(ticket, now_s)
        state = self._refilled_state(ticket, shares, now_s)
        state.running += 1
        state.calls.level -= 1
        charge = ticket.prompt_tokens + output_tokens
        state.tokens.level -= charge
        self._charges[ticket.request_id] = charge

    def finish(self, ticket: Ticket, served_tokens: int) -> None:
        """Release a call and replace its charge by the tokens served."""
        charge = self._charges.pop(ticket.request_id, 0)
        organisation_id = ticket.organisation.organisation_id
        state = self._states.get(organisation_id)
        if state is not None:
            state.running = max(0, state.running - 1)
            state.tokens.level -= served_tokens - charge

    def shares(self, ticket: Ticket, now_s: float) -> LimitShares:
        """Compute the shares of this entry in the limits of an organisation."""
        organisation = ticket.organisation
        organisation_id = organisation.organisation_id
        entries = self._entry_counts[0][1] if self._entry_counts else 1
        local_demand = self._demand.last_shared(organisation_id)
        remote_demand = self._demand.remote_demand(organisation_id, now_s)
        if remote_demand is None:
            # No other entry reports its demand. The others may still use
            # their shares, so only an equal share is safe.
            return LimitShares(
                organisation.tokens_per_s / entries,
                organisation.requests_per_s / entries,
                organisation.concurrent_requests / entries,
            )
        reserved = self._settings.reserved_share
        calls_per_s = demand_share(
            local_demand.calls_per_s,
            remote_demand.calls_per_s,
            organisation.requests_per_s,
            entries,
            reserved,
        )
        return LimitShares(
            demand_share(
                local_demand.tokens_per_s,
                remote_demand.tokens_per_s,
                organisation.tokens_per_s,
                entries,
                reserved,
            ),
            calls_per_s,
            organisation.concurrent_requests
            * calls_per_s
            / max(organisation.requests_per_s, EPSILON),
        )

    def _clamp_wait(self, wait_s: float) -> float:
        return min(self._settings.max_retry_s, wait_s)

    def _refilled_state(
        self, ticket: Ticket, shares: LimitShares, now_s: float
    ) -> LimitState:
        organisation_id = ticket.organisation.organisation_id
        burst_s = self._settings.burst_s
        token_burst = shares.tokens_per_s * burst_s
        # A small share still admits whole calls; a limit of 0 admits none.
        call_burst = max(1, shares.calls_per_s * burst_s)
        if shares.calls_per_s <= 0:
            call_burst = 0
        state = self._states.get(organisation_id)
        if state is None:
            self._evict_idle()
            state = LimitState(
                TokenBucket(token_burst, now_s), TokenBucket(call_burst, now_s)
            )
            self._states[organisation_id] = state
        state.tokens.refill(shares.tokens_per_s, token_burst, now_s)
        state.calls.refill(shares.calls_per_s, call_burst, now_s)
        return state

    def _evict_idle(self) -> None:
        if len(self._states) < MAX_ORGANISATIONS:
            return
        idle = [
            organisation_id
            for organisation_id, state in self._states.items()
            if not state.running
        ]
        for organisation_id in idle[: MAX_ORGANISATIONS // 2]:
            self._states.pop(organisation_id)


def demand_share(
    local_demand: float,
    remote_demand: float,
    limit: float,
    entries: int,
    reserved: float,
) -> float:
    """Compute the share of this entry in a limit, in proportion to demand.

    The shares of all entries add up to the limit. Unused capacity is split
    equally. So is the reserved part of the limit, so that an organisation
    can start to send calls to another entry.
    """
    if limit <= 0:
        return 0
    total = local_demand + remote_demand
    unused = max(0, limit - total) / entries
    proportional = limit * (local_demand + unused) / max(limit, total)
    return reserved * limit / entries + (1 - reserved) * proportional


def _over_limit(limit: str, wait_s: float) -> Refusal:
    return Refusal(
        RefusalKind.OVER_LIMIT,
        f'the limit of {limit} of this organisation is reached',
        'Send the call again after the time given, or ask for a higher limit',
        retry_after_s=wait_s,
    )
