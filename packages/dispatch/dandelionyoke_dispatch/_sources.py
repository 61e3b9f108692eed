"""Which node of a domain asks the store, and whom the others ask.

Each node that asks the store for itself makes the calls grow with the fleet,
and each call has a price. So one node of a domain asks, and the others ask
that node. All nodes rank the members alike, without talk; a node that does
not answer, or whose knowledge has grown old, is passed over for a while.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from dandelionyoke_core import rendezvous


@attrs.frozen
class Member:
    """A node as it entered itself in the store.

    `capacity` is its processor time for each second, in seconds.
    """

    instance_id: str
    domain: str
    address: str
    capacity: float = 1.0


@attrs.frozen
class SourceSettings:
    """How long a node that did not answer in time is passed over.

    A killed process is back after about `suspicion_s`, and a node that is gone
    is dropped from the members within a few such periods. Each further failure
    within `forgotten_s` of the end of such a period doubles it: a node that
    the store turns away answers, and would be asked again and again.
    """

    suspicion_s: float = 4.0
    longest_suspicion_s: float = 16.0
    forgotten_s: float = 8.0


@attrs.frozen
class _Suspicion:
    for_s: float
    until_s: float


class SourceChoice:
    """Ranks the members for one node."""

    def __init__(
        self, own_id: str, domain: str, settings: SourceSettings
    ) -> None:
        self._own_id = own_id
        self._domain = domain
        self._settings = settings
        self._near: Sequence[Member] = ()
        self._far: Sequence[Member] = ()
        self._firsts: Sequence[Member] = ()
        self._suspicions: dict[str, _Suspicion] = {}

    def take_members(self, members: Iterable[Member]) -> None:
        """Take which nodes there are."""
        by_id = {member.instance_id: member for member in members}
        own = Member(self._own_id, self._domain, '')
        by_id.setdefault(self._own_id, own)
        far = {name for name in by_id if by_id[name].domain != self._domain}
        self._near = _ranked(by_id, self._domain)
        self._firsts = [
            _ranked(by_id, domain)[0]
            for domain in sorted({by_id[name].domain for name in far})
        ]
        # Each node ranks those of other domains differently, so that nodes
        # in need do not all turn to the same one.
        self._far = [
            by_id[name] for name in rendezvous(far, self._own_id, len(far))
        ]
        self._suspicions = {
            name: suspicion
            for name, suspicion in self._suspicions.items()
            if name in by_id
        }

    def suspect(self, instance_id: str, now_s: float) -> None:
        """Pass a node over for a while."""
        settings = self._settings
        for_s = settings.suspicion_s
        before = self._suspicions.get(instance_id)
        if before and now_s < before.until_s + settings.forgotten_s:
            for_s = min(2 * before.for_s, settings.longest_suspicion_s)
        self._suspicions[instance_id] = _Suspicion(for_s, now_s + for_s)

    def is_source(self, now_s: float) -> bool:
        """Whether this node is the one of its domain that asks the store."""
        return self.domain_source(now_s) is None

    def domain_source(self, now_s: float) -> Member | None:
        """Tell which other node asks the store for the domain.

        None: this one does.
        """
        first = self._first(self._near, now_s)
        if first is None or first.instance_id == self._own_id:
            return None
        return first

    def first_elsewhere(self) -> Sequence[Member]:
        """Name the first node of each other domain, as its own rank it.

        Nodes of that domain may have passed it over for a while.
        """
        return self._firsts

    def whom_to_ask(self, now_s: float, *, is_blind: bool) -> Member | None:
        """Choose the node to ask; None: this one asks the store itself.

        A node is blind that asks the store in vain. The store may turn away
        some nodes and serve others, also of other domains.
        """
        source = self.domain_source(now_s)
        if source is not None or not is_blind:
            return source
        return self._first((*self._near, *self._far), now_s, but_own=True)

    def _first(
        self,
        members: Sequence[Member],
        now_s: float,
        *,
        but_own: bool = False,
    ) -> Member | None:
        for member in members:
            if but_own and member.instance_id == self._own_id:
                continue
            suspicion = self._suspicions.get(member.instance_id)
            if suspicion is None or now_s >= suspicion.until_s:
                return member
        return None


def _ranked(by_id: Mapping[str, Member], domain: str) -> list[Member]:
    """Rank the nodes of a domain, in the same order on every node.

    The first one works for all others of its domain, so the strongest ones
    go first.
    """
    names = [name for name in by_id if by_id[name].domain == domain]
    ranked = [by_id[name] for name in rendezvous(names, domain, len(names))]
    return sorted(ranked, key=lambda member: -member.capacity)
