"""What this entry knows of each target, and what it sent there."""

from collections import deque

import attrs

from dandelionyoke_core._load_estimate import Load, call_blocks
from dandelionyoke_core._names import AttemptId
from dandelionyoke_core._ports import RouteNeed
from dandelionyoke_core._prefix_index import PrefixIndex
from dandelionyoke_core._records import (
    LoadReport,
    Presence,
    Target,
    TargetKind,
)

NEVER_S = float('-inf')
# Ends are kept only until the next report; without one the target is
# avoided soon, so the oldest may go.
MAX_ENDED = 1024
# Weight of one report in the part of the time with queued prompts.
BUSY_LEARNING = 0.15


@attrs.define
class Sent:
    """An attempt of this entry, in progress at a target."""

    need: RouteNeed
    sent_s: float
    cached_blocks: int
    final_output_tokens: float
    output_tokens: int = 0
    first_s: float | None = None

    def fresh_tokens(self, block_tokens: int) -> int:
        """Prompt tokens that the target has to compute."""
        cached_tokens = self.cached_blocks * block_tokens
        return max(0, self.need.prompt_tokens - cached_tokens)

    def growth_tokens(self) -> float:
        """Output that is still to come."""
        return max(0, self.final_output_tokens - self.output_tokens)

    def held_tokens(self) -> int:
        """Tokens that the target holds for it now."""
        return self.need.prompt_tokens + self.output_tokens


@attrs.define
class TargetState:
    """One target as this entry sees it."""

    target: Target
    report: LoadReport
    prefixes: PrefixIndex
    taken_s: float = NEVER_S
    heard_s: float = NEVER_S
    shared_s: float = NEVER_S
    sent: dict[AttemptId, Sent] = attrs.field(factory=dict)
    ended: deque[tuple[float, Sent]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_ENDED)
    )
    prefill_busy: float = 0.0
    failures: int = 0
    avoid_until_s: float = NEVER_S
    left: bool = False
    listed: bool = True

    @property
    def is_engine(self) -> bool:
        """Whether an engine stands there."""
        return self.target.kind is TargetKind.ENGINE

    def usable(self, now_s: float) -> bool:
        """Tell whether new work may go there."""
        if self.left or not self.listed:
            return False
        if self.target.state is not Presence.LIVE or self.report.draining:
            return False
        return now_s >= self.avoid_until_s

    def load(self) -> Load:
        """Correct the report by what this entry did since it was taken."""
        report = self.report
        calls = report.running + report.waiting
        fresh_tokens = report.prefill_queue_tokens
        blocks = self._others_blocks()
        for sent in self.sent.values():
            calls += int(self._is_news(sent))
            fresh_tokens += self._fresh_correction(sent)
            blocks += self._blocks_to_come(sent)
        for gone in self._gone():
            calls -= 1
            blocks -= self._blocks(gone.held_tokens()) - gone.cached_blocks
            if gone.first_s is None or gone.first_s >= self.taken_s:
                fresh_tokens -= gone.fresh_tokens(report.block_tokens)
        return Load(
            role=report.role,
            calls=max(0, calls),
            prefill_tokens=max(0, fresh_tokens),
            used_blocks=max(0, report.kv_used_blocks + blocks),
            total_blocks=report.kv_total_blocks,
            block_tokens=report.block_tokens,
            prefill_busy=self.prefill_busy,
        )

    def take(self, report: LoadReport, taken_s: float) -> None:
        """Replace the report by a newer one."""
        self.report = report
        self.taken_s = taken_s
        busy = int(report.prefill_queue_tokens > 0)
        self.prefill_busy += BUSY_LEARNING * (busy - self.prefill_busy)
        while self.ended and self.ended[0][0] <= taken_s:
            self.ended.popleft()

    def reached(self, now_s: float) -> None:
        """Note that it answers."""
        self.failures = 0
        self.heard_s = now_s
        self.avoid_until_s = min(self.avoid_until_s, now_s)

    def missed(self, avoid_until_s: float) -> None:
        """Note that it does not answer."""
        self.failures += 1
        self.avoid_until_s = avoid_until_s

    def start(self, attempt_id: AttemptId, sent: Sent) -> None:
        """Count an attempt as in progress."""
        self.sent[attempt_id] = sent
        self.prefixes.add(sent.need.blocks)

    def progress(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Note output of an attempt (the total so far)."""
        sent = self.sent[attempt_id]
        sent.output_tokens = output_tokens
        if sent.first_s is None:
            sent.first_s = now_s

    def finish(self, attempt_id: AttemptId, now_s: float) -> Sent | None:
        """Move an attempt from what is in progress to what has ended."""
        sent = self.sent.pop(attempt_id, None)
        # A call that the present report does not show yet is kept too: the
        # next report may have been taken while it still ran.
        if sent is not None:
            self.ended.append((now_s, sent))
        return sent

    def _gone(self) -> list[Sent]:
        """Give the calls that the report shows and that have ended."""
        return [sent for _, sent in self.ended if not self._is_news(sent)]

    def _is_news(self, sent: Sent) -> bool:
        return sent.sent_s >= self.taken_s

    def _fresh_correction(self, sent: Sent) -> int:
        """Prefill that the report lacks, or that is done since then."""
        fresh_tokens = sent.fresh_tokens(self.report.block_tokens)
        if sent.first_s is None:
            return fresh_tokens if self._is_news(sent) else 0
        if self._is_news(sent) or sent.first_s < self.taken_s:
            return 0
        return -fresh_tokens

    def _blocks_to_come(self, sent: Sent) -> int:
        growth = self._blocks(sent.growth_tokens())
        if not self._is_news(sent):
            return growth
        return growth + self._blocks(sent.held_tokens()) - sent.cached_blocks

    def _others_blocks(self) -> int:
        """What calls of other entries are still to take.

        They are taken to grow as this entry's calls do. Without this every
        entry would see the same free memory and fill it at once, and the
        engine would have to preempt.
        """
        known = sum(not self._is_news(sent) for sent in self.sent.values())
        known += len(self._gone())
        report = self.report
        others = max(0, report.running + report.waiting - known)
        if not others or not self.sent:
            return 0
        growth = sum(sent.growth_tokens() for sent in self.sent.values())
        return others * self._blocks(growth / len(self.sent))

    def _blocks(self, tokens: float) -> int:
        return call_blocks(tokens, self.report.block_tokens)


def unknown_report(target: Target) -> LoadReport:
    """Stand in for the report of a target that has given none."""
    return LoadReport(target.target_id, '', 0)
