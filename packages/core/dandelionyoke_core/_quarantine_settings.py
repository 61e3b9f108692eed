"""Settings of the quarantine of requests that crash engines."""

import attrs


@attrs.frozen
class QuarantineSettings:
    """Timeouts and limits of the quarantine.

    One crash makes a request a suspect for `suspect_lifetime_s`. A second
    crash, of an engine on which it runs as the only suspect, quarantines it
    for `quarantine_s`. The quarantine takes effect after `outage_window_s`:
    if `outage_engines` engines crash within that time, the cause is assumed
    to be an outage and not a request. A request is also quarantined after
    `shared_crash_limit` further crashes with other suspects on the engine.
    A suspect on an engine that fell silent waits `lost_window_s` for a
    report about the engine. A report that a peer shared may be older by
    `max_shared_report_age_s` than it says.
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
    max_engines: int = 8_192
    max_shared_report_age_s: float = 25.0
