"""Which part of the prompts caches do not hold, by service."""

from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._target_state import Sent

# Prompt tokens over which the share is averaged.
MEMORY_TOKENS = 100_000


class FreshShares:
    """Follows what this entry sent: the part that had to be computed."""

    def __init__(self) -> None:
        self._shares: dict[ServiceName, float] = {}

    def share(self, service: ServiceName) -> float:
        """Tell the part that was not cached of late."""
        return self._shares.get(service, 1)

    def learn(self, sent: Sent, block_tokens: int) -> None:
        """Take in a call; long prompts count for more."""
        prompt_tokens = sent.need.prompt_tokens
        if not prompt_tokens:
            return
        service = sent.need.service
        seen = sent.fresh_tokens(block_tokens) / prompt_tokens
        before = self.share(service)
        learning = min(1, prompt_tokens / MEMORY_TOKENS)
        self._shares[service] = before + learning * (seen - before)
