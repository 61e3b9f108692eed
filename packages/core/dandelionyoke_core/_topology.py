"""Which peers a node opens links to, worked out from the live instances.

In its domain the instances stand on a ring, in the order of their hashes,
and each opens links to the ones 1, 4, 16, ... places on: about half of
log2 n, and as many are opened to it. The step of 1 keeps the ring, and so
the domain, connected. Across, each opens a few links to other domains; the
places on the ring share the other domains out, so that each pair of domains
has several links and no instance has many.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from dandelionyoke_core._names import Domain, InstanceId
from dandelionyoke_core._records import Instance
from dandelionyoke_core._rendezvous import hash_of, rendezvous

RING_TOPIC = 'ring'
RING_BASE = 4


@attrs.frozen
class TopologySettings:
    """How many links a node opens to other domains.

    A small domain takes at most `inward_per_peer` for each of its
    instances from any other domain, so that a large one does not swamp it.
    """

    links_across: int = 2
    inward_per_peer: int = 4


def choose_links(
    own: Instance, live: Iterable[Instance], settings: TopologySettings
) -> frozenset[InstanceId]:
    """Choose the peers that an instance opens links to."""
    domains: dict[Domain, list[InstanceId]] = {own.domain: []}
    for instance in live:
        domains.setdefault(instance.domain, []).append(instance.instance_id)
    if own.instance_id not in domains[own.domain]:
        domains[own.domain].append(own.instance_id)
    ring = _ring(domains[own.domain])
    place = ring.index(own.instance_id)
    inside = _links_inside(ring, place)
    across = _links_across(own, place, domains, settings)
    return frozenset((*inside, *across))


def _ring(names: Iterable[InstanceId]) -> list[InstanceId]:
    return sorted(names, key=lambda name: (hash_of(RING_TOPIC, name), name))


def _links_inside(ring: Sequence[InstanceId], place: int) -> list[InstanceId]:
    chosen: list[InstanceId] = []
    step = 1
    while step < len(ring):
        chosen.append(ring[(place + step) % len(ring)])
        step *= RING_BASE
    return chosen


def _links_across(
    own: Instance,
    place: int,
    domains: Mapping[Domain, Sequence[InstanceId]],
    settings: TopologySettings,
) -> list[InstanceId]:
    count = settings.links_across
    order = sorted(domains)
    others = len(order) - 1
    start = order.index(own.domain) + 1
    chosen: list[InstanceId] = []
    for number in range(min(count, others)):
        skipped = (place * count + number) % others
        peers = domains[order[(start + skipped) % len(order)]]
        if place < settings.inward_per_peer * len(peers):
            chosen.extend(rendezvous(peers, own.instance_id, 1))
    return chosen
