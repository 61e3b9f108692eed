"""The settings of admission: queues, limits and what work costs."""

import attrs


@attrs.frozen
class AdmissionSettings:
    """How calls are queued and limited.

    An output token counts as `output_weight` prompt tokens. Each step of
    priority multiplies a weight by `priority_factor`: a lower priority waits
    longer, but never without end. A call is refused when even
    `deadline_margin` of its expected time would miss its deadline.
    """

    output_weight: float = 8.0
    priority_factor: float = 1.6
    max_queued: int = 512
    max_queued_share: float = 0.5
    slot_margin: float = 1.25
    deadline_margin: float = 0.9
    burst_s: float = 4.0
    rate_window_s: float = 10.0
    look_again_s: float = 0.1
    min_retry_s: float = 0.5
    max_retry_s: float = 30.0
    queue_limit_s: float = 30.0
    live_memory_s: float = 600.0
    demand_interval_s: float = 1.0
    demand_lifetime_s: float = 5.0
    share_all_below_entries: int = 16
    shared_organisations: int = 64
    pressing_share: float = 0.7
    reserved_share: float = 0.2
    no_target_retry_s: float = 1.0
