"""Capacity of the targets of a service, as seen by admission."""

from typing import Protocol

import attrs

from dandelionyoke_core._load_estimate import WorkSize
from dandelionyoke_core._names import ServiceName


@attrs.frozen
class ServiceCapacity:
    """The capacity of the usable targets of a service, for all entries.

    `slots` is the number of calls that may run concurrently. It is 0 while no
    target is usable.
    """

    targets: int = 0
    slots: int = 0


@attrs.frozen
class CallForecast:
    """The expected times of a call that is sent to a target now.

    `can_start` tells whether the target could start the call. `run_s` is
    `total_s` without the time in the queue of the target.
    """

    can_start: bool
    first_token_s: float
    total_s: float
    run_s: float


class CapacityView(Protocol):
    """View of the capacity of services and of the expected times of calls."""

    def capacity(self, service: ServiceName, now_s: float) -> ServiceCapacity:
        """Sum the capacity of the usable targets of a service.

        While there are none, those that may go on after a silence count.
        """

    def forecast(
        self, service: ServiceName, size: WorkSize, now_s: float
    ) -> CallForecast | None:
        """Estimate a call at the best of a sample of targets.

        Returns None while no target is usable, or may go on after a silence.
        """
