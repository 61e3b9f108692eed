"""The targets that were tried for one call."""

from collections.abc import Iterable

import attrs


@attrs.define
class TriedTargets:
    """The IDs of the targets that a call should not be sent to again.

    `refusing_ids` are those that said that they did not run it, to any node.
    """

    ids: set[str] = attrs.field(factory=set)
    refusing_ids: set[str] = attrs.field(factory=set)

    def add_refusing(self, target_ids: Iterable[str]) -> None:
        """Avoid targets that did not run the call."""
        refusing = frozenset(target_ids)
        self.ids |= refusing
        self.refusing_ids |= refusing

    def has_failed(self, target_id: str) -> bool:
        """Whether a try at a target failed otherwise than by a refusal."""
        return target_id in self.ids and target_id not in self.refusing_ids

    def forget_refusals(self) -> None:
        """Try targets again that did not run the call before."""
        self.ids -= self.refusing_ids
        self.refusing_ids.clear()
