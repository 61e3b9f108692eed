"""Which engines are believed to hold a shared prefix in their cache.

Load: engines crash, start anew and are replaced while prompts arrive in
bursts. The engine that all nodes rank first for a prefix is then often one that
has never prefilled it, and prompts wait for a fetch that brings nothing.

A belief is a hint: engines drop prefixes without a word, and a wrong one costs
the prefill of the prefix.
"""

from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget


@attrs.frozen
class PrefixHolderSettings:
    """Limits on what is remembered; the latest are kept."""

    max_prefixes: int = 2048
    max_holders: int = 32


class PrefixHolders:
    """The engines that prefilled or fetched each prefix, at one node."""

    def __init__(self, settings: PrefixHolderSettings) -> None:
        self._settings = settings
        # By prefix, the start of each engine; the latest last in both.
        self._starts: dict[str, dict[str, int | None]] = {}

    def record(self, shared_key: str, target: RegisteredTarget) -> None:
        """Record that an engine has prefilled a prompt with a prefix."""
        starts = self._starts.pop(shared_key, {})
        starts.pop(target.target_id, None)
        starts[target.target_id] = target.started_ms
        if len(starts) > self._settings.max_holders:
            starts.pop(next(iter(starts)))
        self._starts[shared_key] = starts
        if len(self._starts) > self._settings.max_prefixes:
            self._starts.pop(next(iter(self._starts)))

    def among(
        self, shared_key: str, engines: Iterable[RegisteredTarget]
    ) -> list[RegisteredTarget]:
        """Return the holders among some engines, the latest first.

        An engine that has started anew since is none.
        """
        by_id = {engine.target_id: engine for engine in engines}
        starts = self._starts.get(shared_key, {})
        return [
            by_id[target_id]
            for target_id, started_ms in reversed(starts.items())
            if target_id in by_id and by_id[target_id].started_ms == started_ms
        ]
