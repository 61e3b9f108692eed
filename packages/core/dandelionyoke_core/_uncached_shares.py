"""The share of prompt tokens that is not in a KV cache, by service."""

from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._target_state import SentAttempt

# The share is a moving average over this many prompt tokens.
AVERAGING_TOKENS = 100_000


class UncachedShares:
    """Track the uncached share of the prompts that this entry sent."""

    def __init__(self) -> None:
        self._shares: dict[ServiceName, float] = {}

    def share(self, service: ServiceName) -> float:
        """Return the recent share of uncached prompt tokens."""
        return self._shares.get(service, 1)

    def learn(self, sent: SentAttempt, block_tokens: int) -> None:
        """Update the share with a call; long prompts have more weight."""
        prompt_tokens = sent.requirements.prompt_tokens
        if not prompt_tokens:
            return
        service = sent.requirements.service
        call_share = sent.uncached_tokens(block_tokens) / prompt_tokens
        previous_share = self.share(service)
        learning_rate = min(1, prompt_tokens / AVERAGING_TOKENS)
        self._shares[service] = previous_share + learning_rate * (
            call_share - previous_share
        )
