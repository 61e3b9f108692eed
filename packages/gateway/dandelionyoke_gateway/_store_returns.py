"""Tells this node's tasks that the store came back from a copy."""

from collections.abc import Callable

from dandelionyoke_gateway._log import DecisionLog

Follower = Callable[[], None]


class StoreReturns:
    """Logs each new era and calls the tasks that have to act on it."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._followers: list[Follower] = []

    def follow(self, follower: Follower) -> None:
        """Call a function on each return; it must not block."""
        self._followers.append(follower)

    def era_began(self, era: int) -> None:
        """Let all tasks read and write again what may be lost."""
        self._log.decide('store.returned', 'store', outcome='copy', era=era)
        for follower in self._followers:
            follower()

    def era_unreadable(self, text: str) -> None:
        """Log an era that is no number; answers with it are used as before."""
        self._log.decide('store.era', 'store', outcome='ignored', text=text)
