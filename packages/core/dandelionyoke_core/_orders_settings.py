"""The settings of orders to engines and to the platform."""

import attrs

from dandelionyoke_core._back_off import BackOffSettings


@attrs.frozen
class OrdersSettings:
    """Time limits of orders.

    An order is sent within `send_limit_s` or not at all; this must not exceed
    the handover pause of the duty. A new holder waits `takeover_delay_s` for
    the last order of its predecessor to arrive. An engine counts as drained
    only by a report that is newer than the drain by more than `report_lag_s`.
    A drain that takes longer than `drain_limit_s` is given up.
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
