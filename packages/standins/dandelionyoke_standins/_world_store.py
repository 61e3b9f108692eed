"""Store actions of nodes, performed on the platform model."""

from collections.abc import Callable
from typing import Any

from dandelionyoke_core import (
    Action,
    LeaseExpired,
    LeaseGrant,
    LeaseGranted,
    LeaseId,
    LeaseRelease,
    LeaseRenew,
    StoreConflict,
    StoreDelete,
    StoreFailed,
    StoreGet,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_standins._errors import (
    ConflictError,
    LostAnswerError,
    MissingError,
    StandinError,
)
from dandelionyoke_standins._platform import PlatformModel
from dandelionyoke_standins._store import StoreChanges, StoreEntry, StoreModel


def perform_store(
    platform: PlatformModel, action: Action, now_s: float
) -> StoreResult:
    """Perform a store action, subject to the platform's current faults."""
    key = getattr(action, 'key', None)
    platform.store.expire(now_s)
    try:
        platform.faults.before(key)
    except StandinError as error:
        return StoreFailed(repr(error), may_have_been_applied=False)
    try:
        result = _perform(platform.store, action, now_s)
        if isinstance(action, StorePut | StoreDelete):
            platform.faults.after_write(key)
    except LostAnswerError:
        return StoreFailed('the answer was lost', may_have_been_applied=True)
    except StandinError as error:
        return _failure_result(action, error)
    return result


def listing_from_changes(changes: StoreChanges) -> StoreListing:
    """Convert the model's changes to the core's listing."""
    return StoreListing(
        changes.revision, tuple(map(_item_from_entry, changes.items))
    )


def _perform(store: StoreModel, action: Action, now_s: float) -> StoreResult:
    perform = _PERFORMERS[type(action)]
    return perform(store, action, now_s)


def _failure_result(action: Action, error: StandinError) -> StoreResult:
    if isinstance(error, ConflictError):
        return StoreConflict(StoreItem(**error.answer))
    if isinstance(error, MissingError) and isinstance(
        action, LeaseRenew | LeaseRelease
    ):
        return LeaseExpired(action.lease_id)
    return StoreFailed(repr(error), may_have_been_applied=False)


def _get(store: StoreModel, action: StoreGet, now_s: float) -> StoreResult:
    return _item_from_entry(store.read(action.key))


def _put(store: StoreModel, action: StorePut, now_s: float) -> StoreResult:
    written = store.write(
        action.key, action.value, action.expected_revision, action.lease_id
    )
    return StoreWritten(written.key, written.revision)


def _delete(
    store: StoreModel, action: StoreDelete, now_s: float
) -> StoreResult:
    removed = store.delete(action.key, action.expected_revision)
    return StoreWritten(removed.key, removed.revision)


def _list(store: StoreModel, action: StoreList, now_s: float) -> StoreResult:
    return listing_from_changes(store.list_prefix(action.prefix))


def _grant(store: StoreModel, action: LeaseGrant, now_s: float) -> StoreResult:
    lease_id = store.grant_lease(action.ttl_s, now_s)
    return LeaseGranted(LeaseId(lease_id), action.ttl_s)


def _renew(store: StoreModel, action: LeaseRenew, now_s: float) -> StoreResult:
    ttl_s = store.renew_lease(action.lease_id, now_s)
    return LeaseGranted(action.lease_id, ttl_s)


def _release(
    store: StoreModel, action: LeaseRelease, now_s: float
) -> StoreResult:
    store.revoke_lease(action.lease_id, now_s)
    return LeaseExpired(action.lease_id)


def _item_from_entry(entry: StoreEntry) -> StoreItem:
    return StoreItem(entry.key, entry.revision, entry.value)


_Performer = Callable[[StoreModel, Any, float], StoreResult]
_PERFORMERS: dict[type[Action], _Performer] = {  # noqa: WPS407 - filled once
    StoreGet: _get,
    StorePut: _put,
    StoreDelete: _delete,
    StoreList: _list,
    LeaseGrant: _grant,
    LeaseRenew: _renew,
    LeaseRelease: _release,
}
