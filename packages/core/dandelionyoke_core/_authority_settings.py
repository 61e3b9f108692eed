"""The settings of the duties' leases."""

import attrs

from dandelionyoke_core._back_off import BackOffSettings


@attrs.frozen
class AuthoritySettings:
    """How duties are held.

    The holder's clock may run slower than the store's by `clock_rate_share`
    at most; `clock_margin_s` is taken off besides. `handover_pause_s` has to
    be at least as long as an order may wait in this process before it is
    sent. `candidates` entries of a domain try to get each duty. One that has
    lost a duty stays away from it for `return_pause_s`: those who take its
    orders refuse two holders that take turns within a short time.
    """

    ttl_s: float = 10.0
    clock_rate_share: float = 0.02
    clock_margin_s: float = 0.2
    renew_interval_s: float = 2.5
    renew_retry_s: float = 0.5
    look_interval_s: float = 2.0
    return_pause_s: float = 0.0
    call_timeout_s: float = 3.0
    handover_pause_s: float = 1.0
    candidates: int = 3
    back_off: BackOffSettings = attrs.field(factory=BackOffSettings)

    def term_end_s(self, sent_s: float, ttl_s: float) -> float:
        """Tell until when a lease is sure that was asked for at `sent_s`."""
        sure_s = min(ttl_s, self.ttl_s) * (1 - self.clock_rate_share)
        return sent_s + sure_s - self.clock_margin_s
