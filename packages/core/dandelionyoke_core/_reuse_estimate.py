"""How likely a prompt's prefix comes again, by service."""

from collections import OrderedDict

import attrs

from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._ports import RouteNeed

MAX_SEEN = 8192
START_SHARE = 0.25
LEARNING = 0.03


@attrs.define
class ReuseEstimate:
    """Remembers the middle block of each prompt that this entry sent.

    The hits in caches would not do: they are few where calls with one prefix
    are spread, so that spreading them would look right for good. The middle
    block is taken since a first one that all calls share, as a system
    prompt, tells nothing of the long rest.
    """

    _seen: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _shares: dict[ServiceName, float] = attrs.field(factory=dict)

    def share(self, service: ServiceName) -> float:
        """Tell which part of the prompts came again at this entry."""
        return self._shares.get(service, START_SHARE)

    def learn(self, need: RouteNeed) -> None:
        """Take in a call that was sent."""
        if not need.blocks:
            return
        middle = need.blocks[len(need.blocks) // 2]
        seen = int(middle in self._seen)
        before = self.share(need.service)
        self._shares[need.service] = before + LEARNING * (seen - before)
        self._seen[middle] = None
        self._seen.move_to_end(middle)
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
