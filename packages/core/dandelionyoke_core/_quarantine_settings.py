"""Limits of the quarantine."""

import attrs


@attrs.frozen
class QuarantineSettings:
    """When a request is refused for the engines that it crashed.

    One crash makes a request a suspect for `suspect_lifetime_s`; a second
    one, of the engine on which it is then tried as the only suspect, puts
    it in quarantine for `quarantine_s`. A verdict is held back for
    `outage_window_s`: when `outage_engines` break within it, the cause is
    taken for an outage and not for a request. After `joint_limit` crashes
    with other suspects on the engine a request is quarantined all the same.
    A suspect that an engine fell silent with waits `lost_window_s` for news
    of the engine.
    """

    suspect_lifetime_s: float = 600.0
    quarantine_s: float = 86_400.0
    outage_window_s: float = 2.0
    outage_engines: int = 3
    shared_crash_limit: int = 2
    lost_window_s: float = 30.0
    trial_lifetime_s: float = 300.0
    retry_after_s: float = 1.0
    max_suspects: int = 2_048
    max_trials: int = 1_024
    max_incidents: int = 64
    max_lost: int = 1_024
