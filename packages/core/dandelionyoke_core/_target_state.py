"""The state of a target, as seen by this entry."""

from collections import deque

import attrs

from dandelionyoke_core._load_estimate import Load, blocks_needed
from dandelionyoke_core._names import AttemptId
from dandelionyoke_core._ports import RouteRequirements
from dandelionyoke_core._prefix_index import PrefixIndex
from dandelionyoke_core._records import (
    LoadReport,
    Presence,
    Target,
    TargetKind,
)

NEVER_S = float('-inf')
# Ended attempts are kept until the next report. A target without reports
# soon goes into cooldown, so the oldest may be dropped.
MAX_ENDED = 1024
# Weight of one report in the moving average of the prefill utilisation.
UTILISATION_LEARNING_RATE = 0.15


@attrs.define
class SentAttempt:
    """An attempt of this entry at a target."""

    requirements: RouteRequirements
    sent_s: float
    cached_blocks: int
    expected_output_tokens: float
    output_tokens: int = 0
    first_output_s: float | None = None

    def uncached_tokens(self, block_tokens: int) -> int:
        """Prompt tokens that are not cached at the target."""
        cached_tokens = self.cached_blocks * block_tokens
        return max(0, self.requirements.prompt_tokens - cached_tokens)

    def remaining_output_tokens(self) -> float:
        """Expected output tokens that are still to be generated."""
        return max(0, self.expected_output_tokens - self.output_tokens)

    def held_tokens(self) -> int:
        """Tokens that the attempt occupies in the KV cache now."""
        return self.requirements.prompt_tokens + self.output_tokens


@attrs.define
class TargetState:
    """The last report of a target and the attempts of this entry there."""

    target: Target
    report: LoadReport
    prefixes: PrefixIndex
    report_taken_s: float = NEVER_S
    last_response_s: float = NEVER_S
    last_shared_report_s: float = NEVER_S
    sent: dict[AttemptId, SentAttempt] = attrs.field(factory=dict)
    ended: deque[tuple[float, SentAttempt]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_ENDED)
    )
    prefill_utilisation: float = 0.0
    failures: int = 0
    first_failure_s: float = NEVER_S
    is_silent: bool = False
    is_presumed_crashed: bool = False
    cooldown_until_s: float = NEVER_S
    is_leaving: bool = False
    listed: bool = True

    @property
    def is_engine(self) -> bool:
        """Whether the target is an engine."""
        return self.target.kind is TargetKind.ENGINE

    def usable(self, now_s: float) -> bool:
        """Return whether the target accepts new work."""
        return self._is_serving() and now_s >= self.cooldown_until_s

    def may_go_on(self) -> bool:
        """Return whether the target is silent and may accept work again."""
        is_silent = self.is_silent and not self.is_presumed_crashed
        return is_silent and self._is_serving()

    def load(self) -> Load:
        """Estimate the current load from the report and later attempts."""
        report = self.report
        calls = report.running + report.waiting
        uncached_tokens = report.prefill_queue_tokens
        blocks = self._other_entries_blocks()
        for sent in self.sent.values():
            calls += int(self._is_after_report(sent))
            uncached_tokens += self._prefill_correction(sent)
            blocks += self._expected_blocks(sent)
        for ended in self._ended_in_report():
            calls -= 1
            blocks -= self._blocks(ended.held_tokens()) - ended.cached_blocks
            if (
                ended.first_output_s is None
                or ended.first_output_s >= self.report_taken_s
            ):
                uncached_tokens -= ended.uncached_tokens(report.block_tokens)
        return Load(
            role=report.role,
            calls=max(0, calls),
            prefill_tokens=max(0, uncached_tokens),
            used_blocks=max(0, report.kv_used_blocks + blocks),
            total_blocks=report.kv_total_blocks,
            block_tokens=report.block_tokens,
            prefill_utilisation=self.prefill_utilisation,
        )

    def update_report(self, report: LoadReport, report_taken_s: float) -> None:
        """Replace the report with a newer one."""
        self.report = report
        self.report_taken_s = report_taken_s
        has_queued_prompts = int(report.prefill_queue_tokens > 0)
        self.prefill_utilisation += UTILISATION_LEARNING_RATE * (
            has_queued_prompts - self.prefill_utilisation
        )
        while self.ended and self.ended[0][0] <= report_taken_s:
            self.ended.popleft()

    def mark_reachable(self, now_s: float) -> None:
        """Record that the target responded."""
        self.failures = 0
        self.is_silent = False
        self.is_presumed_crashed = False
        self.last_response_s = now_s
        self.cooldown_until_s = min(self.cooldown_until_s, now_s)

    def mark_unreachable(
        self, now_s: float, cooldown_until_s: float, *, is_silent: bool
    ) -> None:
        """Record that the target did not respond."""
        if not self.failures:
            self.first_failure_s = now_s
        self.is_silent = is_silent and (self.is_silent or not self.failures)
        self.failures += 1
        self.cooldown_until_s = cooldown_until_s

    def add_attempt(self, attempt_id: AttemptId, sent: SentAttempt) -> None:
        """Record an attempt as in flight."""
        self.sent[attempt_id] = sent
        self.prefixes.add(sent.requirements.blocks)

    def record_output(
        self, attempt_id: AttemptId, output_tokens: int, now_s: float
    ) -> None:
        """Record the total output of an attempt so far."""
        sent = self.sent[attempt_id]
        sent.output_tokens = output_tokens
        if sent.first_output_s is None:
            sent.first_output_s = now_s

    def end_attempt(
        self, attempt_id: AttemptId, now_s: float
    ) -> SentAttempt | None:
        """Move an attempt from the ones in flight to the ended ones."""
        sent = self.sent.pop(attempt_id, None)
        # An attempt that the current report does not include is kept as
        # well, since the next report may be from when it was still running.
        if sent is not None:
            self.ended.append((now_s, sent))
        return sent

    def _is_serving(self) -> bool:
        if self.is_leaving or not self.listed or self.report.draining:
            return False
        return self.target.state is Presence.LIVE

    def _ended_in_report(self) -> list[SentAttempt]:
        """Return the ended attempts that the report still includes."""
        return [
            sent for _, sent in self.ended if not self._is_after_report(sent)
        ]

    def _is_after_report(self, sent: SentAttempt) -> bool:
        return sent.sent_s >= self.report_taken_s

    def _prefill_correction(self, sent: SentAttempt) -> int:
        """Prefill tokens to add to the report, or to subtract once done."""
        uncached_tokens = sent.uncached_tokens(self.report.block_tokens)
        if sent.first_output_s is None:
            return uncached_tokens if self._is_after_report(sent) else 0
        if (
            self._is_after_report(sent)
            or sent.first_output_s < self.report_taken_s
        ):
            return 0
        return -uncached_tokens

    def _expected_blocks(self, sent: SentAttempt) -> int:
        growth_blocks = self._blocks(sent.remaining_output_tokens())
        if not self._is_after_report(sent):
            return growth_blocks
        return (
            growth_blocks
            + self._blocks(sent.held_tokens())
            - sent.cached_blocks
        )

    def _other_entries_blocks(self) -> int:
        """Estimate the blocks that calls of other entries will still use.

        These calls are expected to grow like the calls of this entry.
        Otherwise all entries would see the same free memory and fill it at
        once, and the engine would have to preempt calls.
        """
        own_calls = sum(
            not self._is_after_report(sent) for sent in self.sent.values()
        )
        own_calls += len(self._ended_in_report())
        report = self.report
        other_calls = max(0, report.running + report.waiting - own_calls)
        if not other_calls or not self.sent:
            return 0
        remaining_tokens = sum(
            sent.remaining_output_tokens() for sent in self.sent.values()
        )
        return other_calls * self._blocks(remaining_tokens / len(self.sent))

    def _blocks(self, tokens: float) -> int:
        return blocks_needed(tokens, self.report.block_tokens)


def empty_report(target: Target) -> LoadReport:
    """Create an empty report for a target that has not reported yet."""
    return LoadReport(target.target_id, '', 0)
