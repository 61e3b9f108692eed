"""The settings of the fleet's decisions."""

import attrs

from dandelionyoke_core._load_estimate import EngineSpeed


@attrs.frozen
class FleetSettings:
    """When a role change or another number of targets pays.

    `change_cost_s` is the time of an engine that a role change takes: its
    drain, the change, and a cache that begins empty. Below
    `comfortable_stress` there is nothing to gain. `gain_factor` is how much
    the gain has to exceed the cost. Nothing is decided before the mix has
    been watched for `known_after_s`. `settle_s` is short, since the mix is
    that of the demand, which a change does not alter.
    """

    decision_interval_s: float = 2.0
    change_cost_s: float = 8.0
    gain_factor: float = 1.5
    comfortable_stress: float = 0.7
    min_hold_s: float = 30.0
    max_hold_s: float = 300.0
    shift_threshold: float = 0.15
    role_cooldown_s: float = 2.0
    min_observation_s: float = 15.0
    role_change_timeout_s: float = 60.0
    resend_interval_s: float = 5.0
    grow_stress: float = 0.85
    shrink_stress: float = 0.5
    grow_after_s: float = 20.0
    shrink_after_s: float = 120.0
    size_settle_s: float = 90.0
    speed: EngineSpeed = attrs.field(factory=EngineSpeed)
