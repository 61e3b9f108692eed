"""The settings of the decisions on roles and fleet size."""

import attrs

from dandelionyoke_core._load_estimate import EngineSpeed


@attrs.frozen
class FleetSettings:
    """Thresholds, costs and cooldowns of role changes and fleet size changes.

    Utilisation is the load of the engines; above 1 they are overloaded.
    `change_cost_s` is the engine time that a role change costs: the drain,
    the change, and an initially empty KV cache. Below
    `min_utilisation_for_change` a change gains nothing: the engines serve all
    work, and would all have the wrong role for the next mix. The gain has to
    exceed the cost by a factor of `gain_factor`. No role change is decided
    before the mix has been observed for `min_observation_s`.
    `role_cooldown_s` can be short because the mix is measured on the demand,
    which a role change does not alter. A pending change is requested again
    every `resend_interval_s` and given up after `role_change_timeout_s`.
    """

    decision_interval_s: float = 2.0
    change_cost_s: float = 8.0
    gain_factor: float = 1.5
    min_utilisation_for_change: float = 0.9
    min_hold_s: float = 30.0
    max_hold_s: float = 300.0
    shift_threshold: float = 0.15
    role_cooldown_s: float = 2.0
    min_observation_s: float = 15.0
    role_change_timeout_s: float = 60.0
    resend_interval_s: float = 5.0
    grow_utilisation: float = 0.85
    shrink_utilisation: float = 0.5
    grow_after_s: float = 20.0
    shrink_after_s: float = 120.0
    size_cooldown_s: float = 90.0
    speed: EngineSpeed = attrs.field(factory=EngineSpeed)
