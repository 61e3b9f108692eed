"""Replaceable connection pools, one for each target."""

from collections import OrderedDict

import urllib3

from dandelionyoke_wire._transport import new_pool

# Above this number the least recently used pool is closed; the next call to
# its address opens a new one.
MAX_POOLS = 2048


class TargetPools:
    """Connection pools of this process, by target address."""

    def __init__(self) -> None:
        self._pools: OrderedDict[str, urllib3.PoolManager] = OrderedDict()

    def get(self, address: str) -> urllib3.PoolManager:
        """Return the pool of a target, or create it."""
        pool = self._pools.pop(address, None) or new_pool()
        self._pools[address] = pool
        if len(self._pools) > MAX_POOLS:
            _, oldest = self._pools.popitem(last=False)
            oldest.clear()
        return pool

    def replace(self, address: str) -> urllib3.PoolManager:
        """Discard a target's connections and return a new pool.

        A device between the two ends can lose track of open connections.
        These never receive data again while new ones work. A retry on a
        pooled connection would hang like the first attempt.
        """
        self._pools.pop(address, None)
        return self.get(address)
