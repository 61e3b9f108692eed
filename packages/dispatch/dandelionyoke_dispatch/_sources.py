"""The choice of the node of a domain that polls the store for the others.

If each node polled the store, the number of requests would grow with the fleet,
and each request has a price. So one node per failure domain polls the store,
and the others poll that node. All nodes rank the members in the same order,
without communication. A node that does not respond, or has stale data, is
skipped for a while.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from dandelionyoke_core import rendezvous


@attrs.frozen
class Member:
    """The entry of a node in the store.

    `capacity` is its processor time in seconds per second. `takes_calls` is
    whether other nodes may hand it calls; earlier versions take none.
    `keeps_origins` is whether it keeps where streams of other nodes began, and
    lets a call that is handed to it go on at its version.
    """

    instance_id: str
    domain: str
    address: str
    capacity: float = 1.0
    takes_calls: bool = False
    keeps_origins: bool = False


@attrs.frozen
class SourceSettings:
    """How long a node that did not respond in time is suspect.

    A killed process is back after about `suspicion_s`, and a node that is gone
    is removed from the members within a few such periods. Each further failure
    within `backoff_reset_s` after such a period doubles it: a node that the
    store rejects does respond, and would otherwise be polled again and again.

    A node that introduced itself counts as a member for `introduction_s`, and
    until the next listing: listings may be seconds old.
    """

    suspicion_s: float = 4.0
    max_suspicion_s: float = 16.0
    backoff_reset_s: float = 8.0
    introduction_s: float = 15.0


@attrs.frozen
class _Suspicion:
    duration_s: float
    until_s: float


@attrs.frozen
class _Introduction:
    member: Member
    until_s: float


class SourceChoice:
    """The ranking of the members, as seen by one node."""

    def __init__(
        self, own_id: str, domain: str, settings: SourceSettings
    ) -> None:
        self._own_id = own_id
        self._domain = domain
        self._settings = settings
        self._own_domain_members: Sequence[Member] = ()
        self._other_members: Sequence[Member] = ()
        self._domain_leaders: Sequence[Member] = ()
        self._listed: Sequence[Member] = ()
        self._introductions: dict[str, _Introduction] = {}
        self._suspicions: dict[str, _Suspicion] = {}

    def take_members(self, members: Iterable[Member], now_s: float) -> None:
        """Replace the listed members."""
        self._listed = tuple(members)
        self._introductions = {
            name: introduction
            for name, introduction in self._introductions.items()
            if now_s < introduction.until_s
        }
        self._rank_members()

    def introduce(self, member: Member, now_s: float) -> bool:
        """Add a node that introduced itself; return whether it was unknown."""
        is_known = member.instance_id == self._own_id or any(
            member == known
            for known in (*self._own_domain_members, *self._other_members)
        )
        self._introductions[member.instance_id] = _Introduction(
            member, now_s + self._settings.introduction_s
        )
        if not is_known:
            self._rank_members()
        return not is_known

    def _rank_members(self) -> None:
        by_id = {member.instance_id: member for member in self._listed}
        by_id |= {
            name: introduction.member
            for name, introduction in self._introductions.items()
        }
        own = Member(self._own_id, self._domain, '')
        by_id.setdefault(self._own_id, own)
        other_ids = {
            name for name in by_id if by_id[name].domain != self._domain
        }
        self._own_domain_members = _rank_domain(by_id, self._domain)
        self._domain_leaders = [
            _rank_domain(by_id, domain)[0]
            for domain in sorted({by_id[name].domain for name in other_ids})
        ]
        # Each node ranks the nodes of other domains differently, so that nodes
        # without access to the store do not all poll the same one.
        self._other_members = [
            by_id[name]
            for name in rendezvous(other_ids, self._own_id, len(other_ids))
        ]
        self._suspicions = {
            name: suspicion
            for name, suspicion in self._suspicions.items()
            if name in by_id
        }

    def suspect(self, instance_id: str, now_s: float) -> None:
        """Mark a node as suspect; repeated failures back off exponentially."""
        settings = self._settings
        duration_s = settings.suspicion_s
        previous = self._suspicions.get(instance_id)
        if previous and now_s < previous.until_s + settings.backoff_reset_s:
            duration_s = min(2 * previous.duration_s, settings.max_suspicion_s)
        self._suspicions[instance_id] = _Suspicion(
            duration_s, now_s + duration_s
        )

    def trust_again(self, instance_id: str, now_s: float) -> bool:
        """End a suspicion unless it is a repeated one; return whether it did.

        A node that is late again and again would otherwise alternate between
        being polled and being suspected.
        """
        suspicion = self._suspicions.get(instance_id)
        settings = self._settings
        if suspicion is None or suspicion.duration_s > settings.suspicion_s:
            return False
        self._suspicions[instance_id] = attrs.evolve(suspicion, until_s=now_s)
        return True

    def is_source(self, now_s: float) -> bool:
        """Whether this node polls the store for its domain."""
        return self.domain_source(now_s) is None

    def domain_source(self, now_s: float) -> Member | None:
        """Return the other node that polls the store for the domain.

        None: this node does.
        """
        source = self._first_trusted(self._own_domain_members, now_s)
        if source is None or source.instance_id == self._own_id:
            return None
        return source

    def node_to_meet(self) -> Member | None:
        """Return the node to which this node introduces itself as the source.

        It is the source node without this one, which may not know this node
        yet, or the first node of another domain; None: no other is known.
        """
        for member in (*self._own_domain_members, *self._domain_leaders):
            if member.instance_id != self._own_id:
                return member
        return None

    def others(self) -> Sequence[Member]:
        """Return all other known members."""
        return [
            member
            for member in (*self._own_domain_members, *self._other_members)
            if member.instance_id != self._own_id
        ]

    def first_of_other_domains(self) -> Sequence[Member]:
        """Return the first node of each other domain, as ranked there.

        The nodes of that domain may currently suspect it and use another one.
        """
        return self._domain_leaders

    def node_to_poll(
        self, now_s: float, *, has_lost_store: bool
    ) -> Member | None:
        """Return the node to poll; None: this node polls the store.

        `has_lost_store` tells that the store does not respond to this node. The store
        may reject some nodes and serve others, also those of other domains.
        """
        source = self.domain_source(now_s)
        if source is not None or not has_lost_store:
            return source
        return self._first_trusted(
            (*self._own_domain_members, *self._other_members),
            now_s,
            exclude_own=True,
        )

    def _first_trusted(
        self,
        members: Sequence[Member],
        now_s: float,
        *,
        exclude_own: bool = False,
    ) -> Member | None:
        for member in members:
            if exclude_own and member.instance_id == self._own_id:
                continue
            suspicion = self._suspicions.get(member.instance_id)
            if suspicion is None or now_s >= suspicion.until_s:
                return member
        return None


def _rank_domain(by_id: Mapping[str, Member], domain: str) -> list[Member]:
    """Rank the nodes of a domain in the same order on every node.

    The first node serves all others of its domain, so nodes with a higher
    capacity come first.
    """
    names = [name for name in by_id if by_id[name].domain == domain]
    ranked = [by_id[name] for name in rendezvous(names, domain, len(names))]
    return sorted(ranked, key=lambda member: -member.capacity)
