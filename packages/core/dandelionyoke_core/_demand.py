"""What is asked for: at this entry, and at the others as they tell of it.

Each entry shares one small record. In a small fleet every entry hears every
other. In a large one it hears those of its domain, and for each other
domain a sum that one entry there, picked by rendezvous hashing, shares: so
what an entry hears does not grow with the fleet.
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
from dandelionyoke_core._notices import ShareRecord
from dandelionyoke_core._ports import Output, Peers, Ticket
from dandelionyoke_core._rate import DecayingRate
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._work_mix import MixRow, WorkMeter

MAX_ORGANISATIONS = 4096
VERSIONS_PER_S = 1000


@attrs.frozen
class Asked:
    """Demand of an organisation, a second."""

    tokens_per_s: float = 0
    calls_per_s: float = 0


@attrs.frozen
class DemandShared(SharedRecord):
    """Demand at one entry, or the sum over its domain; in columns.

    `mix` is told in small fleets only; in a large one an entry's own part
    of the work is sample enough.
    """

    instance_id: InstanceId
    is_sum: bool
    organisations: tuple[OrganisationId, ...]
    tokens_per_s: tuple[float, ...]
    calls_per_s: tuple[float, ...]
    mix: tuple[MixRow, ...] = ()

    def asked(self) -> dict[OrganisationId, Asked]:
        """Give the demand of each organisation."""
        columns = zip(
            self.organisations,
            self.tokens_per_s,
            self.calls_per_s,
            strict=False,
        )
        return {name: Asked(tokens, calls) for name, tokens, calls in columns}


@attrs.define
class Heard:
    """The last record of an entry, and when it came."""

    record: DemandShared
    heard_s: float
    asked: dict[OrganisationId, Asked]


@attrs.define
class OwnDemand:
    """One organisation's demand at this entry, and its limits."""

    organisation: Organisation
    tokens: DecayingRate
    calls: DecayingRate

    def presses(self, entries: int, share: float, now_s: float) -> bool:
        """Tell whether it asks for much of an equal part of its limits."""
        limits = self.organisation
        part = share / entries
        if self.tokens.per_s(now_s) > limits.tokens_per_s * part:
            return True
        return self.calls.per_s(now_s) > limits.requests_per_s * part


class DemandTable:
    """Demand here and elsewhere."""

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
        self._own: dict[OrganisationId, OwnDemand] = {}
        self._told: dict[OrganisationId, Asked] = {}
        self._heard: dict[InstanceId, Heard] = {}
        self._version = 0
        self._has_told = False
        self._next_s: float | None = None
        self._shared_s: float | None = None

    def count(self, ticket: Ticket, output_tokens: float, now_s: float) -> None:
        """Count a call that was asked for, whether it is served or not."""
        name = ticket.organisation.organisation_id
        own = self._own.get(name)
        if own is None:
            self._make_room(now_s)
            window_s = self._settings.rate_window_s
            own = OwnDemand(
                ticket.organisation,
                DecayingRate(window_s),
                DecayingRate(window_s),
            )
            self._own[name] = own
        own.organisation = ticket.organisation
        own.tokens.add(ticket.prompt_tokens + output_tokens, now_s)
        own.calls.add(1, now_s)

    def learn(self, record: DemandShared, now_s: float) -> None:
        """Take in what another entry tells."""
        self._heard[record.instance_id] = Heard(record, now_s, record.asked())

    def told(self, name: OrganisationId) -> Asked:
        """Give an organisation's demand here, as the others know it."""
        return self._told.get(name, Asked())

    def elsewhere(self, name: OrganisationId, now_s: float) -> Asked | None:
        """Add up what is heard of an organisation; None: nobody is heard."""
        heard = list(self._fresh(now_s))
        if not heard:
            return None
        found = [one.asked.get(name, Asked()) for one in heard]
        return Asked(
            sum(one.tokens_per_s for one in found),
            sum(one.calls_per_s for one in found),
        )

    def mix(self, service: ServiceName, now_s: float) -> tuple[MixRow, ...]:
        """Estimate the work that all entries are asked for."""
        own = self.meter.rows(service, now_s)
        live = self._peers.live
        if not self._is_small():
            return tuple(row.scaled(len(live)) for row in own)
        heard = [
            row
            for one in self._fresh(now_s)
            if one.record.instance_id in live
            for row in one.record.mix
            if row.service == service
        ]
        return (*own, *heard)

    def next_wakeup_s(self) -> float | None:
        """Tell when the demand is to be shared again."""
        return self._next_s

    def start(self, now_s: float, wall_s: float) -> None:
        """Begin to share; versions go on from the clock's.

        A process that starts again under its instance's name would else
        begin with versions that its peers take for old.
        """
        self._version = int(wall_s * VERSIONS_PER_S)
        self._next_s = now_s

    def share(self, now_s: float) -> list[Output]:
        """Share the demand here, when it is due."""
        if self._next_s is None or now_s < self._next_s:
            return []
        self._next_s = now_s + self._interval_s()
        self._told = self._own_asked(now_s)
        is_small = self._is_small()
        mix = self.meter.every_row(now_s) if is_small else ()
        record = self._record(self._told, is_sum=False, mix=mix)
        outputs: list[Output] = []
        has_news = bool(self._told or self._has_told or mix)
        if has_news or (is_small and self._is_forgotten_soon(now_s)):
            self._shared_s = now_s
            outputs.append(ShareRecord(record, is_small))
        # One empty record takes back what was told before it.
        self._has_told = bool(self._told)
        if not is_small and self._is_summing():
            total = self._record(self._domain_asked(now_s), is_sum=True)
            if total.organisations:
                outputs.append(ShareRecord(total, everywhere=True))
        return outputs

    def _record(
        self,
        asked: Mapping[OrganisationId, Asked],
        *,
        is_sum: bool,
        mix: tuple[MixRow, ...] = (),
    ) -> DemandShared:
        self._version += 1
        kind = 'demand-sum' if is_sum else 'demand'
        names = _most_asked(asked, self._settings.shared_organisations)
        return DemandShared(
            record_key=f'{kind}/{self._instance_id}',
            version=self._version,
            lifetime_s=self._settings.demand_lifetime_s,
            instance_id=self._instance_id,
            is_sum=is_sum,
            organisations=names,
            tokens_per_s=tuple(
                round(asked[name].tokens_per_s, 1) for name in names
            ),
            calls_per_s=tuple(
                round(asked[name].calls_per_s, 2) for name in names
            ),
            mix=mix,
        )

    def _own_asked(self, now_s: float) -> dict[OrganisationId, Asked]:
        """Give the demand that the others have to know.

        In a large fleet that is what presses: an organisation that asks for
        less than an equal part of its limits is served without any news.
        """
        share = 0 if self._is_small() else self._settings.pressing_share
        entries = max(1, len(self._peers.live))
        return {
            name: Asked(own.tokens.per_s(now_s), own.calls.per_s(now_s))
            for name, own in self._own.items()
            if own.presses(entries, share, now_s)
        }

    def _domain_asked(self, now_s: float) -> dict[OrganisationId, Asked]:
        here = set(self._peers.live_in_domain)
        parts = [
            one.asked
            for one in self._fresh(now_s)
            if not one.record.is_sum and one.record.instance_id in here
        ]
        sums: dict[OrganisationId, Asked] = {}
        for part in (self._told, *parts):
            for name, asked in part.items():
                before = sums.get(name, Asked())
                sums[name] = Asked(
                    before.tokens_per_s + asked.tokens_per_s,
                    before.calls_per_s + asked.calls_per_s,
                )
        return sums

    def _fresh(self, now_s: float) -> Iterable[Heard]:
        """Give the records that count, and forget those that are old."""
        since_s = now_s - self._lifetime_s()
        old = [
            name for name, one in self._heard.items() if one.heard_s < since_s
        ]
        for name in old:
            self._heard.pop(name)
        here = set(self._peers.live_in_domain)
        return [
            one
            for name, one in self._heard.items()
            if not (one.record.is_sum and name in here)
        ]

    def _is_small(self) -> bool:
        return len(self._peers.live) <= self._settings.share_all_below_entries

    def _is_summing(self) -> bool:
        here = self._peers.live_in_domain
        return self._instance_id in rendezvous(here, 'demand-sum', 1)

    def _is_forgotten_soon(self, now_s: float) -> bool:
        """Tell whether the others would soon take this entry for unheard.

        An entry that is heard to ask for nothing leaves its part to others;
        one that is not heard keeps an equal part.
        """
        if self._shared_s is None:
            return True
        unheard_s = now_s - self._shared_s
        return unheard_s + 2 * self._interval_s() >= self._lifetime_s()

    def _interval_s(self) -> float:
        """Share less often where more share."""
        here = len(self._peers.live_in_domain)
        slower = max(1, here / self._settings.share_all_below_entries)
        return self._settings.demand_interval_s * slower

    def _lifetime_s(self) -> float:
        return self._settings.demand_lifetime_s * max(
            1, self._interval_s() / self._settings.demand_interval_s
        )

    def _make_room(self, now_s: float) -> None:
        if len(self._own) < MAX_ORGANISATIONS:
            return
        ranked = sorted(
            self._own, key=lambda name: self._own[name].calls.amount(now_s)
        )
        for name in ranked[: MAX_ORGANISATIONS // 2]:
            self._own.pop(name)


def _most_asked(
    asked: Mapping[OrganisationId, Asked], count: int
) -> tuple[OrganisationId, ...]:
    ranked = sorted(asked, key=lambda name: (-asked[name].tokens_per_s, name))
    return tuple(ranked[:count])
