"""What this entry knows of each target, and what it sent there."""

import attrs

from dandelionyoke_core._load_estimate import Correction, call_blocks
from dandelionyoke_core._names import AttemptId
from dandelionyoke_core._ports import RouteNeed
from dandelionyoke_core._prefix_index import PrefixIndex
from dandelionyoke_core._records import LoadReport, Presence, Target

NEVER_S = float('-inf')


@attrs.define
class Sent:
    """An attempt of this entry, in progress at a target."""

    need: RouteNeed
    sent_s: float
    cached_blocks: int
    output_tokens: int = 0

    def final_tokens(self) -> int:
        """Tokens that it holds at its end, if it uses its whole output."""
        return self.need.prompt_tokens + self.need.max_output_tokens


@attrs.define
class TargetState:
    """One target as this entry sees it."""

    target: Target
    report: LoadReport
    taken_s: float = NEVER_S
    sent: dict[AttemptId, Sent] = attrs.field(factory=dict)
    ended: list[tuple[float, Sent]] = attrs.field(factory=list)
    prefixes: PrefixIndex = attrs.field(factory=PrefixIndex)
    failures: int = 0
    avoid_until_s: float = NEVER_S
    left: bool = False
    listed: bool = True

    def usable(self, now_s: float) -> bool:
        """Tell whether new work may go there."""
        if (
            self.left
            or not self.listed
            or self.target.state is not Presence.LIVE
        ):
            return False
        return not self.report.draining and now_s >= self.avoid_until_s

    def correction(self) -> Correction:
        """Add up what happened here since the report was taken."""
        calls = 0
        prefill_tokens = 0
        blocks = 0
        for sent in self.sent.values():
            held = 0
            if sent.sent_s >= self.taken_s:
                calls += 1
                prefill_tokens += self._prefill_tokens(sent)
            else:
                held = sent.need.prompt_tokens + sent.output_tokens
            blocks += self._blocks(sent.final_tokens() - held)
            blocks -= 0 if held else sent.cached_blocks
        for _, gone in self.ended:
            calls -= 1
            blocks -= self._blocks(gone.need.prompt_tokens + gone.output_tokens)
        return Correction(calls, prefill_tokens, blocks)

    def take(self, report: LoadReport, taken_s: float) -> None:
        """Replace the report by a newer one."""
        self.report = report
        self.taken_s = taken_s
        self.ended = [
            (ended_s, sent) for ended_s, sent in self.ended if ended_s > taken_s
        ]

    def reached(self, now_s: float) -> None:
        """Note that it answers."""
        self.failures = 0
        self.avoid_until_s = min(self.avoid_until_s, now_s)

    def missed(self, avoid_until_s: float) -> None:
        """Note that it does not answer."""
        self.failures += 1
        self.avoid_until_s = avoid_until_s

    def start(
        self, attempt_id: AttemptId, need: RouteNeed, now_s: float
    ) -> None:
        """Count an attempt as in progress."""
        cached_blocks = self.prefixes.overlap(need.blocks)
        self.sent[attempt_id] = Sent(need, now_s, cached_blocks)
        self.prefixes.add(need.blocks)

    def finish(self, attempt_id: AttemptId, now_s: float) -> None:
        """Move an attempt from what is in progress to what has ended."""
        sent = self.sent.pop(attempt_id, None)
        if sent is not None and sent.sent_s < self.taken_s:
            self.ended.append((now_s, sent))

    def _prefill_tokens(self, sent: Sent) -> int:
        cached_tokens = sent.cached_blocks * self.report.block_tokens
        return max(0, sent.need.prompt_tokens - cached_tokens)

    def _blocks(self, tokens: int) -> int:
        return call_blocks(tokens, self.report.block_tokens)


def unknown_report(target: Target) -> LoadReport:
    """Stand in for the report of a target that has given none."""
    return LoadReport(target.target_id, '', 0)
