"""How long a wait for answers of other nodes may take."""

from dandelionyoke_gateway._clock import stalled_s


def max_wait_s(timeout_s: float, began_s: float) -> float:
    """Return the limit, in seconds, of a wait that began at `began_s`.

    A standstill of this process, such as a garbage collection, gives the
    other nodes their time again, once.
    """
    stall_s = stalled_s(began_s)
    timeouts = 2 if stall_s else 1
    return (timeouts + 1) * timeout_s + stall_s
