"""The settings of membership."""

import attrs

from dandelionyoke_core._gossip import GossipSettings
from dandelionyoke_core._links import LinkSettings
from dandelionyoke_core._records import Instance
from dandelionyoke_core._topology import TopologySettings


@attrs.frozen
class MembershipSettings:
    """How an instance finds its peers, and when it misses one."""

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
