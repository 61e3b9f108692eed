"""Settings of admission: queues, limits and the cost of work."""

import attrs


@attrs.frozen
class AdmissionSettings:
    """Settings of the queues and the organisation limits.

    An output token costs as much as `output_weight` prompt tokens. Each
    priority level multiplies the weight of an organisation by
    `priority_factor`, so a lower priority waits longer but never starves. A
    call is refused when `deadline_margin` times its expected duration would
    already miss its deadline. An organisation may have at most
    `max_queued_share` of the `max_queued` calls in a queue.

    An entry starts at most `slot_margin` times its equal part of the slots of
    a service. `reserved_share` of each limit is split equally among the
    entries; their number is the highest count of live entries in the last
    `peak_entries_window_s`. In a large fleet an entry shares the demand of an
    organisation only above `demand_share_threshold` of its equal part of a limit.
    """

    output_weight: float = 8.0
    priority_factor: float = 1.6
    max_queued: int = 512
    max_queued_share: float = 0.5
    slot_margin: float = 1.25
    deadline_margin: float = 0.9
    burst_s: float = 4.0
    rate_window_s: float = 10.0
    queue_check_interval_s: float = 0.1
    min_retry_s: float = 0.5
    max_retry_s: float = 30.0
    max_queue_wait_s: float = 30.0
    peak_entries_window_s: float = 600.0
    demand_interval_s: float = 1.0
    demand_lifetime_s: float = 5.0
    share_all_below_entries: int = 16
    shared_organisations: int = 64
    demand_share_threshold: float = 0.7
    reserved_share: float = 0.2
    no_target_retry_s: float = 1.0
