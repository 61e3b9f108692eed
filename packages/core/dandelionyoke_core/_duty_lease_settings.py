"""Settings for the leases of duties."""

import attrs

from dandelionyoke_core._back_off import BackOffSettings


@attrs.frozen
class DutyLeaseSettings:
    """Lease times, retries and candidates of a duty.

    The holder's clock may run slower than the store's by at most
    `clock_drift_share`; `clock_margin_s` is subtracted from the lease as well.
    `handover_delay_s` must be at least the time that an order may wait in
    this process before it is sent. `candidates` is the number of entries of a
    domain that try to acquire a duty. An entry that lost a duty does not
    compete for it for `reacquire_delay_s`, because receivers refuse orders of
    two holders that alternate within a short time.
    """

    ttl_s: float = 10.0
    clock_drift_share: float = 0.02
    clock_margin_s: float = 0.2
    renew_interval_s: float = 2.5
    renew_retry_s: float = 0.5
    check_interval_s: float = 2.0
    reacquire_delay_s: float = 0.0
    call_timeout_s: float = 3.0
    handover_delay_s: float = 1.0
    candidates: int = 3
    back_off: BackOffSettings = attrs.field(factory=BackOffSettings)

    def term_end_s(self, sent_s: float, ttl_s: float) -> float:
        """Return until when a lease requested at `sent_s` is certainly valid."""
        safe_ttl_s = min(ttl_s, self.ttl_s) * (1 - self.clock_drift_share)
        return sent_s + safe_ttl_s - self.clock_margin_s
