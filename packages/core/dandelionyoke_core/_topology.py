"""Selection of the peers that a node opens links to.

The instances of a domain form a ring in the order of their hashes. Each
opens links to the instances 1, 4, 16, ... positions ahead: about half of
log2 n links, and as many are opened to it. The links with a step of 1 keep
the ring, and so the domain, connected. Each instance also opens a few links
to other domains. The position on the ring determines which ones, so that
each pair of domains has several links and no instance has many.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from dandelionyoke_core._names import Domain, InstanceId
from dandelionyoke_core._records import Instance
from dandelionyoke_core._rendezvous import hash_of, rendezvous

RING_HASH_SUBJECT = 'ring'
RING_STEP_FACTOR = 4


@attrs.frozen
class TopologySettings:
    """Limits on the links between domains.

    Each node opens `links_to_other_domains` links. A domain accepts at most
    `max_inbound_per_peer` links for each of its instances from any other
    domain, so that a large domain does not overload a small one.
    """

    links_to_other_domains: int = 2
    max_inbound_per_peer: int = 4


def choose_links(
    own: Instance, live: Iterable[Instance], settings: TopologySettings
) -> frozenset[InstanceId]:
    """Return the peers that an instance opens links to."""
    domains: dict[Domain, list[InstanceId]] = {own.domain: []}
    for instance in live:
        domains.setdefault(instance.domain, []).append(instance.instance_id)
    if own.instance_id not in domains[own.domain]:
        domains[own.domain].append(own.instance_id)
    ring = _sorted_by_hash(domains[own.domain])
    position = ring.index(own.instance_id)
    in_domain = _links_in_domain(ring, position)
    to_other_domains = _links_to_other_domains(own, position, domains, settings)
    return frozenset((*in_domain, *to_other_domains))


def _sorted_by_hash(names: Iterable[InstanceId]) -> list[InstanceId]:
    return sorted(
        names, key=lambda name: (hash_of(RING_HASH_SUBJECT, name), name)
    )


def _links_in_domain(
    ring: Sequence[InstanceId], position: int
) -> list[InstanceId]:
    chosen: list[InstanceId] = []
    step = 1
    while step < len(ring):
        chosen.append(ring[(position + step) % len(ring)])
        step *= RING_STEP_FACTOR
    return chosen


def _links_to_other_domains(
    own: Instance,
    position: int,
    domains: Mapping[Domain, Sequence[InstanceId]],
    settings: TopologySettings,
) -> list[InstanceId]:
    count = settings.links_to_other_domains
    ordered_domains = sorted(domains)
    other_count = len(ordered_domains) - 1
    start = ordered_domains.index(own.domain) + 1
    chosen: list[InstanceId] = []
    for link_index in range(min(count, other_count)):
        offset = (position * count + link_index) % other_count
        peers = domains[
            ordered_domains[(start + offset) % len(ordered_domains)]
        ]
        if position < settings.max_inbound_per_peer * len(peers):
            chosen.extend(rendezvous(peers, own.instance_id, 1))
    return chosen
