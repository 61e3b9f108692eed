"""The settings of orders to engines and to the platform."""

import attrs

from dandelionyoke_core._back_off import BackOffSettings


@attrs.frozen
class OrdersSettings:
    """How orders are given.

    An order leaves within `send_limit_s` or never; that has to be no longer
    than the pause of a handover. A successor waits `settle_s` for what its
    predecessor sent last to arrive. An engine counts as drained by a report
    that is newer than its drain by more than `report_lag_s`.
    """

    send_limit_s: float = 1.0
    takeover_delay_s: float = 2.0
    report_lag_s: float = 1.0
    drain_limit_s: float = 120.0
    poll_interval_s: float = 0.5
    answer_timeout_s: float = 5.0
    call_timeout_s: float = 5.0
    max_plans: int = 64
    back_off: BackOffSettings = attrs.field(factory=BackOffSettings)
