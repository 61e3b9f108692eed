"""Settings of routing and of the observation of targets."""

import attrs

from dandelionyoke_core._load_estimate import EngineSpeed


@attrs.frozen
class RoutingSettings:
    """Settings of target observation and target choice.

    `sample` random targets are compared with the affinity targets of the
    prefix. An unreachable target gets no calls for `unreachable_cooldown_s`,
    and after `failures_before_crash` consecutive failed polls it counts as
    crashed, but not before `silent_polls_s` have passed since the first if all
    of them timed out. Each round polls `remote_polls` targets of other domains, for the
    services that were requested in the last `service_interest_s`.
    """

    list_interval_s: float = 2.0
    non_watcher_list_factor: float = 40.0
    poll_interval_s: float = 0.5
    cache_interval_s: float = 1.0
    share_interval_s: float = 2.0
    entries_per_share: int = 32
    jitter_share: float = 0.2
    watchers: int = 2
    remote_polls: int = 2
    poll_all_below_remote: int = 16
    service_interest_s: float = 60.0
    poll_all_below_entries: int = 4
    sample: int = 3
    unreachable_cooldown_s: float = 3.0
    failures_before_crash: int = 3
    silent_polls_s: float = 0.75
    max_report_age_s: float = 6.0
    remote_penalty_s: float = 0.01
    missing_block_penalty_s: float = 0.05
    engine_time_weight: float = 4.0
    affinity_blocks: int = 8
    max_prefix_blocks: int = 100_000
    reuse_factor: float = 3.0
    min_reuse_share: float = 0.1
    max_reuse_share: float = 0.8
    plain_slots: int = 16
    max_queue_s: float = 0.5
    max_token_s: float = 0.045
    share_burst_s: float = 2.0
    share_lifetime_s: float = 20.0
    retry_after_s: float = 1.0
    speed: EngineSpeed = attrs.field(factory=EngineSpeed)
