"""The settings of routing and of the observation of targets."""

import attrs

from dandelionyoke_core._load_estimate import EngineSpeed


@attrs.frozen
class RoutingSettings:
    """How targets are observed and chosen.

    `sample` random targets are compared with the one that the call's prefix
    points to. A target that could not be reached gets no call for
    `avoid_s`, and `crash_failures` failed polls in a row count as its end.
    `far_polls` targets of other domains are read at each round, for the
    services that were asked for in the last `needed_s`.
    """

    list_interval_s: float = 2.0
    seldom_list_factor: float = 40.0
    poll_interval_s: float = 0.5
    cache_interval_s: float = 1.0
    share_interval_s: float = 2.0
    entries_per_share: int = 32
    jitter_share: float = 0.2
    watchers: int = 2
    far_polls: int = 2
    poll_all_below_far: int = 16
    needed_s: float = 60.0
    poll_all_below_entries: int = 4
    sample: int = 3
    avoid_s: float = 3.0
    crash_failures: int = 3
    report_fresh_s: float = 6.0
    far_penalty_s: float = 0.01
    short_block_penalty_s: float = 0.05
    engine_time_weight: float = 4.0
    affinity_blocks: int = 8
    prefix_blocks: int = 100_000
    reuse_factor: float = 3.0
    least_reuse_share: float = 0.1
    most_reuse_share: float = 0.8
    plain_slots: int = 16
    start_within_s: float = 0.5
    max_token_s: float = 0.045
    share_burst_s: float = 2.0
    share_lifetime_s: float = 20.0
    retry_after_s: float = 1.0
    speed: EngineSpeed = attrs.field(factory=EngineSpeed)
