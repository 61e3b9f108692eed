"""Connection pools, one for each target, that can be thrown away."""

from collections import OrderedDict

import urllib3

from dandelionyoke_wire._transport import new_pool

# Addresses beyond this are the least recently used ones; their pools are
# closed, and opened again on the next call.
MAX_TARGETS = 2048


class TargetPools:
    """The pools of this process, by target address."""

    def __init__(self) -> None:
        self._pools: OrderedDict[str, urllib3.PoolManager] = OrderedDict()

    def pool(self, address: str) -> urllib3.PoolManager:
        """Return the pool of a target."""
        pool = self._pools.pop(address, None) or new_pool()
        self._pools[address] = pool
        if len(self._pools) > MAX_TARGETS:
            _, oldest = self._pools.popitem(last=False)
            oldest.clear()
        return pool

    def fresh(self, address: str) -> urllib3.PoolManager:
        """Forget a target's connections and return a new pool.

        Something between the two ends can lose track of open connections:
        they stay silent for good while new ones work. A retry on a pooled
        connection would hang like the first try did.
        """
        self._pools.pop(address, None)
        return self.pool(address)
