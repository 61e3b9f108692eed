"""Settings of cluster membership."""

import attrs

from dandelionyoke_core._gossip import GossipSettings
from dandelionyoke_core._links import LinkSettings
from dandelionyoke_core._records import Instance
from dandelionyoke_core._topology import TopologySettings


@attrs.frozen
class MembershipSettings:
    """Intervals, timeouts and limits of peer discovery and failure detection.

    After a wake-up that is late by more than `stall_threshold_s` the
    silence of peers is not counted. A suspected peer counts as dead after
    `suspicion_timeout_s`, and is not suspected again by this instance for
    `resuspect_after_s`. The platform's list is read every
    `isolated_list_interval_s` while no peer is known. `seeds` are the
    instances known at the start.
    """

    heartbeat_interval_s: float = 1.0
    stall_threshold_s: float = 2.0
    suspicion_timeout_s: float = 2.0
    resuspect_after_s: float = 30.0
    list_interval_s: float = 30.0
    isolated_list_interval_s: float = 2.0
    probe_interval_s: float = 10.0
    relink_delay_s: float = 0.3
    announce_interval_s: float = 1800.0
    member_lifetime_s: float = 5400.0
    max_members: int = 2048
    seeds: tuple[Instance, ...] = ()
    links: LinkSettings = attrs.field(factory=LinkSettings)
    topology: TopologySettings = attrs.field(factory=TopologySettings)
    gossip: GossipSettings = attrs.field(factory=GossipSettings)
