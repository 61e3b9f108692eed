"""Demand per organisation, measured at this entry and shared by other entries.

Each entry shares one small record. In a small fleet every entry receives
the record of every other. In a large one it receives the records of its own
domain, and for each other domain one sum, shared by an entry there that
rendezvous hashing selects. The volume that an entry receives therefore does
not grow with the fleet.
"""

from collections.abc import Iterable, Mapping

import attrs

from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._entities import Organisation
from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._names import (
    InstanceId,
    OrganisationId,
    ServiceName,
)
from dandelionyoke_core._notices import ReplicateRecord
from dandelionyoke_core._ports import Output, Peers, Ticket
from dandelionyoke_core._rate import DecayingRate
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._work_mix import MixRow, WorkMeter

MAX_ORGANISATIONS = 4096
VERSIONS_PER_S = 1000


@attrs.frozen
class DemandRate:
    """Demand of an organisation, per second."""

    tokens_per_s: float = 0
    calls_per_s: float = 0


@attrs.frozen
class DemandShared(SharedRecord):
    """Demand at one entry, or the sum over its domain, stored in columns.

    `mix` is shared in small fleets only; in a large one an entry's own work
    is a sufficient sample.
    """

    instance_id: InstanceId
    is_sum: bool
    organisations: tuple[OrganisationId, ...]
    tokens_per_s: tuple[float, ...]
    calls_per_s: tuple[float, ...]
    mix: tuple[MixRow, ...] = ()

    def rates(self) -> dict[OrganisationId, DemandRate]:
        """Return the demand of each organisation."""
        columns = zip(
            self.organisations,
            self.tokens_per_s,
            self.calls_per_s,
            strict=False,
        )
        return {
            name: DemandRate(tokens, calls) for name, tokens, calls in columns
        }


@attrs.define
class ReceivedDemand:
    """The last record received from an entry, and when it arrived."""

    record: DemandShared
    received_s: float
    rates: dict[OrganisationId, DemandRate]


@attrs.define
class LocalDemand:
    """Demand of one organisation at this entry, and its limits."""

    organisation: Organisation
    tokens: DecayingRate
    calls: DecayingRate

    def exceeds_share(self, entries: int, share: float, now_s: float) -> bool:
        """Return whether demand exceeds `share` of an equal part of the limits.

        The equal part is the organisation's limits divided by `entries`.
        """
        limits = self.organisation
        part = share / entries
        if self.tokens.per_s(now_s) > limits.tokens_per_s * part:
            return True
        return self.calls.per_s(now_s) > limits.requests_per_s * part


class DemandTable:
    """Tracks local demand and the demand that other entries report."""

    def __init__(
        self,
        settings: AdmissionSettings,
        peers: Peers,
        instance_id: InstanceId,
    ) -> None:
        self.meter = WorkMeter()
        self._settings = settings
        self._peers = peers
        self._instance_id = instance_id
        self._local: dict[OrganisationId, LocalDemand] = {}
        self._last_shared: dict[OrganisationId, DemandRate] = {}
        self._received: dict[InstanceId, ReceivedDemand] = {}
        self._version = 0
        self._has_shared_demand = False
        self._next_share_s: float | None = None
        self._last_shared_s: float | None = None

    def count(self, ticket: Ticket, output_tokens: float, now_s: float) -> None:
        """Count an incoming call, whether it is served or not."""
        name = ticket.organisation.organisation_id
        demand = self._local.get(name)
        if demand is None:
            self._evict_least_active(now_s)
            window_s = self._settings.rate_window_s
            demand = LocalDemand(
                ticket.organisation,
                DecayingRate(window_s),
                DecayingRate(window_s),
            )
            self._local[name] = demand
        demand.organisation = ticket.organisation
        demand.tokens.add(ticket.prompt_tokens + output_tokens, now_s)
        demand.calls.add(1, now_s)

    def add_received(self, record: DemandShared, now_s: float) -> None:
        """Store a record received from another entry."""
        self._received[record.instance_id] = ReceivedDemand(
            record, now_s, record.rates()
        )

    def last_shared(self, name: OrganisationId) -> DemandRate:
        """Return the local demand that this entry shared last."""
        return self._last_shared.get(name, DemandRate())

    def remote_demand(
        self, name: OrganisationId, now_s: float
    ) -> DemandRate | None:
        """Sum the demand at other entries; None without a current record."""
        current = list(self._current_records(now_s))
        if not current:
            return None
        rates = [received.rates.get(name, DemandRate()) for received in current]
        return DemandRate(
            sum(rate.tokens_per_s for rate in rates),
            sum(rate.calls_per_s for rate in rates),
        )

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Estimate the demand on all entries, per ratio of prompt to output."""
        local_rows = self.meter.rows(service, now_s)
        live = self._peers.live
        if not self._is_small_fleet():
            return tuple(row.scaled(len(live)) for row in local_rows)
        remote_rows = [
            row
            for received in self._current_records(now_s)
            if received.record.instance_id in live
            for row in received.record.mix
            if row.service == service
        ]
        return (*local_rows, *remote_rows)

    def next_wakeup_s(self) -> float | None:
        """Return the time at which demand is shared next, or None."""
        return self._next_share_s

    def start(self, now_s: float, wall_s: float) -> None:
        """Start sharing, with versions derived from the wall clock.

        A process that restarts under the same instance id would otherwise
        begin with versions that its peers reject as old.
        """
        self._version = int(wall_s * VERSIONS_PER_S)
        self._next_share_s = now_s

    def share(self, now_s: float) -> list[Output]:
        """Share the local demand, and the domain sum, when due."""
        if self._next_share_s is None or now_s < self._next_share_s:
            return []
        self._next_share_s = now_s + self._interval_s()
        self._last_shared = self._local_demand(now_s)
        is_small = self._is_small_fleet()
        mix = self.meter.every_row(now_s) if is_small else ()
        record = self._make_record(self._last_shared, is_sum=False, mix=mix)
        outputs: list[Output] = []
        has_content = bool(self._last_shared or self._has_shared_demand or mix)
        if has_content or (is_small and self._needs_refresh(now_s)):
            self._last_shared_s = now_s
            outputs.append(ReplicateRecord(record, is_small))
        # One empty record replaces the demand that was shared before.
        self._has_shared_demand = bool(self._last_shared)
        if not is_small and self._shares_domain_sum():
            total = self._make_record(self._domain_demand(now_s), is_sum=True)
            if total.organisations:
                outputs.append(ReplicateRecord(total, everywhere=True))
        return outputs

    def _make_record(
        self,
        demand: Mapping[OrganisationId, DemandRate],
        *,
        is_sum: bool,
        mix: tuple[MixRow, ...] = (),
    ) -> DemandShared:
        self._version += 1
        kind = 'demand-sum' if is_sum else 'demand'
        names = _highest_demand(demand, self._settings.shared_organisations)
        return DemandShared(
            record_key=f'{kind}/{self._instance_id}',
            version=self._version,
            lifetime_s=self._settings.demand_lifetime_s,
            instance_id=self._instance_id,
            is_sum=is_sum,
            organisations=names,
            tokens_per_s=tuple(
                round(demand[name].tokens_per_s, 1) for name in names
            ),
            calls_per_s=tuple(
                round(demand[name].calls_per_s, 2) for name in names
            ),
            mix=mix,
        )

    def _local_demand(self, now_s: float) -> dict[OrganisationId, DemandRate]:
        """Return the local demand that other entries need to know.

        In a large fleet only organisations near an equal part of their
        limits are included: one that demands less is served without any
        coordination.
        """
        share = (
            0
            if self._is_small_fleet()
            else self._settings.demand_share_threshold
        )
        entries = max(1, len(self._peers.live))
        return {
            name: DemandRate(
                demand.tokens.per_s(now_s), demand.calls.per_s(now_s)
            )
            for name, demand in self._local.items()
            if demand.exceeds_share(entries, share, now_s)
        }

    def _domain_demand(self, now_s: float) -> dict[OrganisationId, DemandRate]:
        domain_entries = set(self._peers.live_in_domain)
        parts = [
            received.rates
            for received in self._current_records(now_s)
            if not received.record.is_sum
            and received.record.instance_id in domain_entries
        ]
        sums: dict[OrganisationId, DemandRate] = {}
        for part in (self._last_shared, *parts):
            for name, rate in part.items():
                subtotal = sums.get(name, DemandRate())
                sums[name] = DemandRate(
                    subtotal.tokens_per_s + rate.tokens_per_s,
                    subtotal.calls_per_s + rate.calls_per_s,
                )
        return sums

    def _current_records(self, now_s: float) -> Iterable[ReceivedDemand]:
        """Return the current records and drop the expired ones.

        A sum shared by an entry of this domain is left out, since the
        records of the single entries are received too.
        """
        since_s = now_s - self._lifetime_s()
        expired = [
            name
            for name, received in self._received.items()
            if received.received_s < since_s
        ]
        for name in expired:
            self._received.pop(name)
        domain_entries = set(self._peers.live_in_domain)
        return [
            received
            for name, received in self._received.items()
            if not (received.record.is_sum and name in domain_entries)
        ]

    def _is_small_fleet(self) -> bool:
        return len(self._peers.live) <= self._settings.share_all_below_entries

    def _shares_domain_sum(self) -> bool:
        domain_entries = self._peers.live_in_domain
        return self._instance_id in rendezvous(domain_entries, 'demand-sum', 1)

    def _needs_refresh(self, now_s: float) -> bool:
        """Return whether the last shared record is about to expire at peers.

        An entry that reports no demand leaves its part of the limits to
        other entries; one without a current record keeps an equal part.
        """
        if self._last_shared_s is None:
            return True
        since_shared_s = now_s - self._last_shared_s
        return since_shared_s + 2 * self._interval_s() >= self._lifetime_s()

    def _interval_s(self) -> float:
        """Return the share interval, longer in a larger domain."""
        entry_count = len(self._peers.live_in_domain)
        interval_factor = max(
            1, entry_count / self._settings.share_all_below_entries
        )
        return self._settings.demand_interval_s * interval_factor

    def _lifetime_s(self) -> float:
        return self._settings.demand_lifetime_s * max(
            1, self._interval_s() / self._settings.demand_interval_s
        )

    def _evict_least_active(self, now_s: float) -> None:
        if len(self._local) < MAX_ORGANISATIONS:
            return
        ranked = sorted(
            self._local, key=lambda name: self._local[name].calls.amount(now_s)
        )
        for name in ranked[: MAX_ORGANISATIONS // 2]:
            self._local.pop(name)


def _highest_demand(
    demand: Mapping[OrganisationId, DemandRate], count: int
) -> tuple[OrganisationId, ...]:
    ranked = sorted(demand, key=lambda name: (-demand[name].tokens_per_s, name))
    return tuple(ranked[:count])
