"""Eras of a store that may come back from an earlier copy of itself.

Each return begins an era, in which the revisions and leases that were lost are
given out again. A revision here is the era and the store's own number in one,
so that it rises from one era to the next. A lease carries its era in its id.
"""

from collections.abc import Callable
from typing import Protocol

import attrs

from dandelionyoke_core._actions import (
    Action,
    LeaseGrant,
    LeaseRelease,
    LeaseRenew,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
    StoreWatch,
)
from dandelionyoke_core._names import LeaseId
from dandelionyoke_core._records import (
    LeaseExpired,
    LeaseGranted,
    StoreConflict,
    StoreFailed,
    StoreItem,
    StoreListing,
    StoreResult,
    StoreWritten,
)

# Keeps revisions within the whole numbers that JSON readers hold exactly.
REVISIONS_PER_ERA = 2**40
MAX_ERA = 2**12 - 1
# No key is at this revision, so that a write that expects it conflicts.
NO_REVISION = REVISIONS_PER_ERA - 1
_LEASE_SEPARATOR = ':'
_LOST_LEASE = 'the lease is of an era before the store came back from a copy'
_LOST_WATCH = 'the store came back from a copy that may lack the revision'
_LATE_ANSWER = 'the answer is from before the store came back from a copy'
_LOST_BASIS = 'the store came back from a copy; what was expected may be lost'


def revision_in(era: int, number: int) -> int:
    """Return the revision for the store's number in an era; 0 stays 0."""
    return era * REVISIONS_PER_ERA + number if number else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // REVISIONS_PER_ERA


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision % REVISIONS_PER_ERA


class EraListener(Protocol):
    """Hears of eras; must not block."""

    def era_began(self, era: int) -> None:
        """Take note that the store came back from a copy."""

    def era_unreadable(self, text: str) -> None:
        """Take note of an era that is no number, of the first one only."""


class StoreEra:
    """The latest era that the store's answers have shown.

    A store that names no era is in era 0.
    """

    def __init__(self) -> None:
        self._current: int | None = None
        self._listeners: list[EraListener] = []
        self._has_unreadable = False

    def listen(self, listener: EraListener) -> None:
        """Tell a listener of each era after the first one that was seen."""
        self._listeners.append(listener)

    def translate(self, action: Action) -> Action | StoreResult:
        """Return an action in the store's terms, or its result without it.

        What a revision or a lease of an earlier era stands for may be lost.
        """
        match action:
            case StorePut(lease_id=lease_id) if lease_id is not None:
                if self._is_lost(lease_id):
                    return StoreFailed(_LOST_LEASE, may_have_been_applied=False)
                plain_id = _plain_lease(lease_id)
                return self._expecting(attrs.evolve(action, lease_id=plain_id))
            case StorePut() | StoreDelete():
                return self._expecting(action)
            case StoreWatch(after_revision=after):
                if after and era_of(after) != self._era:
                    return StoreFailed(_LOST_WATCH, may_have_been_applied=False)
                return attrs.evolve(action, after_revision=number_of(after))
            case (
                LeaseRenew(lease_id=lease_id) | LeaseRelease(lease_id=lease_id)
            ):
                if self._is_lost(lease_id):
                    return LeaseExpired(lease_id)
                return attrs.evolve(action, lease_id=_plain_lease(lease_id))
        return action

    def interpret(
        self, action: Action, result: StoreResult, era_text: str | None
    ) -> StoreResult:
        """Return the result of an action, in revisions and leases of its era.

        `action` is as before `translate`, `era_text` is the era that the
        answer names, None if there is none.
        """
        era = self._read_era(era_text)
        if era < self._era:
            return StoreFailed(_LATE_ANSWER, may_have_been_applied=True)
        self._begin(era)
        basis = _basis(action)
        if basis is not None and basis != era:
            lost = _result_without_basis(action, result)
            if lost is not None:
                return lost
        return _in_era(result, era, action)

    @property
    def _era(self) -> int:
        return self._current or 0

    def _read_era(self, text: str | None) -> int:
        if text is None:
            return self._era
        digits = text.strip()
        if digits.isascii() and digits.isdecimal():
            if len(digits) <= len(str(MAX_ERA)) and int(digits) <= MAX_ERA:
                return int(digits)
        if not self._has_unreadable:
            self._has_unreadable = True
            for listener in self._listeners:
                listener.era_unreadable(text[:40])
        return self._era

    def _begin(self, era: int) -> None:
        is_return = self._current is not None and era > self._current
        self._current = era
        if is_return:
            for listener in self._listeners:
                listener.era_began(era)

    def _is_lost(self, lease_id: LeaseId) -> bool:
        return _lease_era(lease_id) != self._era

    def _expecting(
        self, action: StorePut | StoreDelete
    ) -> StorePut | StoreDelete:
        revision = action.expected_revision
        number = number_of(revision)
        if revision and era_of(revision) != self._era:
            number = NO_REVISION
        return attrs.evolve(action, expected_revision=number)


class Exchange(Protocol):
    """Performs one action in the store's own revisions and leases."""

    era_text: str | None

    def perform(self, action: Action) -> StoreResult:
        """Return the result; `era_text` is the era that the answer names."""


class EraStore:
    """Performs store actions in revisions and leases that carry their era."""

    def __init__(
        self, era: StoreEra, new_exchange: Callable[[], Exchange]
    ) -> None:
        self.era = era
        self._new_exchange = new_exchange

    def perform(self, action: Action) -> StoreResult:
        """Perform a store action."""
        sent = self.era.translate(action)
        if not isinstance(sent, Action):
            return sent
        exchange = self._new_exchange()
        result = exchange.perform(sent)
        return self.era.interpret(action, result, exchange.era_text)


def _basis(action: Action) -> int | None:
    """Return the era that an action depends on, if any."""
    match action:
        case StorePut(lease_id=lease_id) if lease_id is not None:
            return _lease_era(lease_id)
        case StorePut() | StoreDelete():
            revision = action.expected_revision
            return era_of(revision) if revision else None
        case StoreWatch(after_revision=after):
            return era_of(after) if after else None
        case LeaseRenew(lease_id=lease_id) | LeaseRelease(lease_id=lease_id):
            return _lease_era(lease_id)
        case StoreGet() | StoreList() | LeaseGrant():
            return None
    return None


def _result_without_basis(
    action: Action, result: StoreResult
) -> StoreResult | None:
    """Return the result of an action that met a later era than it expects.

    None if the result stands.
    """
    match action, result:
        case LeaseRenew() | LeaseRelease(), LeaseGranted() | LeaseExpired():
            return LeaseExpired(action.lease_id)
        case StorePut() | StoreDelete(), StoreWritten():
            return StoreFailed(_LOST_BASIS, may_have_been_applied=True)
        case StoreWatch(), StoreListing():
            return StoreFailed(_LOST_WATCH, may_have_been_applied=False)
    return None


def _in_era(result: StoreResult, era: int, action: Action) -> StoreResult:
    match result:
        case StoreItem(revision=number):
            return attrs.evolve(result, revision=revision_in(era, number))
        case StoreWritten(revision=number):
            return attrs.evolve(result, revision=revision_in(era, number))
        case StoreConflict(present=StoreItem(revision=number) as present):
            revision = revision_in(era, number)
            return StoreConflict(attrs.evolve(present, revision=revision))
        case StoreListing(revision=number, items=found):
            return StoreListing(
                revision_in(era, number),
                tuple(
                    attrs.evolve(item, revision=revision_in(era, item.revision))
                    for item in found
                ),
            )
        case LeaseGranted(lease_id=lease_id):
            if isinstance(action, LeaseRenew):
                return attrs.evolve(result, lease_id=action.lease_id)
            return attrs.evolve(result, lease_id=_lease_in(era, lease_id))
        case LeaseExpired():
            if isinstance(action, LeaseRenew | LeaseRelease):
                return LeaseExpired(action.lease_id)
    return result


def _lease_in(era: int, lease_id: LeaseId) -> LeaseId:
    return LeaseId(f'{era}{_LEASE_SEPARATOR}{lease_id}') if era else lease_id


def _lease_era(lease_id: LeaseId) -> int:
    era, separator, _ = lease_id.partition(_LEASE_SEPARATOR)
    return int(era) if separator else 0


def _plain_lease(lease_id: LeaseId) -> LeaseId:
    return LeaseId(lease_id.rpartition(_LEASE_SEPARATOR)[2])
