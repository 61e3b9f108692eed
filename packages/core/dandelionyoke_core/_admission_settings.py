"""The settings of admission: queues, limits and what work costs."""

import attrs


@attrs.frozen
class AdmissionSettings:
    """How calls are queued and limited.

    An output token counts as `output_weight` prompt tokens. Each step of
    priority multiplies a weight by `priority_factor`: a lower priority waits
    longer, but never without end.
    """

    output_weight: float = 4.0
    priority_factor: float = 1.6
    max_queued: int = 512
    max_queued_share: float = 0.5
    burst_s: float = 4.0
    rate_window_s: float = 10.0
    min_retry_s: float = 0.5
    max_retry_s: float = 30.0
    queue_limit_s: float = 30.0
    live_memory_s: float = 600.0
    demand_interval_s: float = 1.0
    demand_lifetime_s: float = 5.0
    reserved_share: float = 0.2
    memory_fill: float = 1.0
    no_target_retry_s: float = 1.0
