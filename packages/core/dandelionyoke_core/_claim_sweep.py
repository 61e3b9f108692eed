"""Incremental deletion of expired claims from the store."""

from collections import deque
from random import Random

from dandelionyoke_core._actions import StoreDelete, StoreList
from dandelionyoke_core._claims import (
    CLAIM_PREFIX,
    ClaimRecord,
    IdempotencySettings,
)
from dandelionyoke_core._codec import record_from_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._names import OperationId, OrganisationId
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import StoreItem, StoreListing, StoreResult

MAX_ORGANISATIONS = 256
BUCKET_COUNT = 256


class ClaimSweep:
    """Lists one small bucket of keys at a time and deletes expired claims.

    Expiry is decided by the record alone. A delete names the revision that
    was checked, so that a claim made in the meantime stays.
    """

    def __init__(self, settings: IdempotencySettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._organisations: deque[OrganisationId] = deque(
            maxlen=MAX_ORGANISATIONS
        )
        self._listing_id: OperationId | None = None
        self._next_sweep_s: float | None = None

    def add_organisation(
        self, organisation_id: OrganisationId, now_s: float
    ) -> None:
        """Include an organisation that has claims in the sweep."""
        if organisation_id not in self._organisations:
            self._organisations.append(organisation_id)
        if self._next_sweep_s is None:
            self._schedule_next(now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the next bucket is due, or None."""
        return self._next_sweep_s

    def list_next_bucket(self, name: str, now_s: float) -> list[Output]:
        """List a random bucket if one is due."""
        if self._next_sweep_s is None or now_s < self._next_sweep_s:
            return []
        self._schedule_next(now_s)
        organisation_id = self._random.choice(self._organisations)
        bucket = self._random.randrange(BUCKET_COUNT)
        self._listing_id = OperationId(name)
        prefix = f'{CLAIM_PREFIX}/{organisation_id}/{bucket:02x}'
        return [StoreList(self._listing_id, prefix)]

    def delete_expired(
        self,
        operation_id: OperationId,
        result: StoreResult,
        wall_s: float,
    ) -> list[Output]:
        """Delete the expired claims of a listed bucket.

        A claim whose delete fails is found again by a later sweep.
        """
        if operation_id != self._listing_id:
            return []
        self._listing_id = None
        if not isinstance(result, StoreListing):
            return []
        expired = [
            item for item in result.items if self._is_expired(item, wall_s)
        ]
        return [
            StoreDelete(
                OperationId(f'{operation_id}.{index}'), item.key, item.revision
            )
            for index, item in enumerate(expired[: self._settings.sweep_batch])
        ]

    def _is_expired(self, item: StoreItem, wall_s: float) -> bool:
        if item.value is None:
            return False
        try:
            record = record_from_json(item.value, ClaimRecord)
        except CodecError:
            return False
        return record.is_expired(wall_s, self._settings.clock_margin_s)

    def _schedule_next(self, now_s: float) -> None:
        interval_s = self._settings.sweep_interval_s
        self._next_sweep_s = now_s + interval_s * self._random.uniform(0.5, 1.5)
