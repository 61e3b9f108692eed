"""The settings of usage counting and reporting."""

import attrs

from dandelionyoke_core._back_off import BackOffSettings


@attrs.frozen
class UsageSettings:
    """Intervals, time limits and size limits of saving and reporting usage.

    A killed entry loses at most what it counted within `copy_interval_s`, or
    within `flush_interval_s` if both peers that hold its copies are killed
    too. A copy is saved `takeover_after_s` after the link to its owner ended.
    A report is sent within `send_limit_s` or not at all. A window is closed
    `close_after_s` after its end. A leaving entry waits at most
    `final_flush_timeout_s` for its last save.
    """

    copy_interval_s: float = 0.5
    flush_interval_s: float = 3.0
    takeover_after_s: float = 2.0
    final_flush_timeout_s: float = 10.0
    call_timeout_s: float = 5.0
    window_s: float = 60.0
    close_after_s: float = 5.0
    check_interval_s: float = 1.0
    send_limit_s: float = 1.0
    kept_windows: int = 16
    max_rows: int = 4096
    max_copies: int = 256
    copies: int = 2
    back_off: BackOffSettings = attrs.field(factory=BackOffSettings)
