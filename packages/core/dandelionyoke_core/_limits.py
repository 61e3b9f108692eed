"""Limits per organisation over all entries, without a shared counter.

Each entry lets through a share of an organisation's limit. The shares are
worked out by each entry for itself from the demand that it hears of, and add
up to about the whole limit.
"""

from collections import deque

import attrs

from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._names import InstanceId, OrganisationId
from dandelionyoke_core._ports import Ticket
from dandelionyoke_core._rate import TokenBucket
from dandelionyoke_core._refusals import Refusal, RefusalKind

MAX_ORGANISATIONS = 4096


@attrs.define
class Allowance:
    """What an organisation may still do at this entry."""

    tokens: TokenBucket
    requests: TokenBucket
    running: int = 0


class OrganisationLimits:
    """This entry's share of each organisation's limits."""

    def __init__(
        self, settings: AdmissionSettings, instance_id: InstanceId
    ) -> None:
        self._settings = settings
        self._instance_id = instance_id
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

    def share(self, organisation_id: OrganisationId) -> float:
        """Tell this entry's part of an organisation's limits."""
        count = self._entries[0][1] if self._entries else 1
        return 1 / max(1, count)

    def refusal(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Refuse a call that goes over a limit."""
        organisation = ticket.organisation
        allowance = self._refilled(ticket, now_s)
        share = self.share(organisation.organisation_id)
        most = max(1, organisation.concurrent_requests * share)
        if allowance.running >= most:
            return _over_limit('calls at once', self._settings.min_retry_s)
        wait_s = allowance.requests.wait_s(organisation.requests_per_s * share)
        if wait_s > 0:
            return _over_limit('calls a second', wait_s)
        wait_s = allowance.tokens.wait_s(organisation.tokens_per_s * share)
        if wait_s > 0:
            return _over_limit('tokens a second', wait_s)
        return None

    def admit(self, ticket: Ticket, now_s: float) -> None:
        """Charge a call; its output is charged when it has ended."""
        allowance = self._refilled(ticket, now_s)
        allowance.running += 1
        allowance.requests.level -= 1
        allowance.tokens.level -= ticket.prompt_tokens

    def finish(
        self,
        ticket: Ticket,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Give the place back and charge what was really served."""
        allowance = self._refilled(ticket, now_s)
        allowance.running = max(0, allowance.running - 1)
        unused = ticket.prompt_tokens - prompt_tokens
        allowance.tokens.level += unused - output_tokens

    def _refilled(self, ticket: Ticket, now_s: float) -> Allowance:
        organisation = ticket.organisation
        share = self.share(organisation.organisation_id)
        tokens_per_s = organisation.tokens_per_s * share
        requests_per_s = organisation.requests_per_s * share
        burst_s = self._settings.burst_s
        allowance = self._allowances.get(organisation.organisation_id)
        if allowance is None:
            self._make_room()
            allowance = Allowance(
                TokenBucket(tokens_per_s * burst_s, now_s),
                TokenBucket(max(1, requests_per_s * burst_s), now_s),
            )
            self._allowances[organisation.organisation_id] = allowance
        allowance.tokens.refill(tokens_per_s, tokens_per_s * burst_s, now_s)
        allowance.requests.refill(
            requests_per_s, max(1, requests_per_s * burst_s), now_s
        )
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


def _over_limit(limit: str, wait_s: float) -> Refusal:
    return Refusal(
        RefusalKind.OVER_LIMIT,
        f'the limit of {limit} of this organisation is reached',
        'Send the call again after the time given, or ask for a higher limit',
        retry_after_s=wait_s,
    )
