"""Saves where streams began, so that they outlive all processes.

A process that starts knows no stream of those before it, and no version that
they used. The store keeps two kinds of records for it: the versions that may
have begun the streams of a service, and the streams under way while there are
several of these.
"""

import hashlib

import attrs
from eventlet import sleep
from eventlet.semaphore import Semaphore

from dandelionyoke_core import (
    BackOff,
    BackOffSettings,
    CodecError,
    OperationId,
    StoreConflict,
    StoreFailed,
    StoreItem,
    StorePut,
    StoreResult,
    StoreWritten,
    record_from_json,
    record_to_json,
)
from dandelionyoke_dispatch import (
    OpenStreamsRecord,
    StreamGroup,
    VersionsRecord,
    merge_groups,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._counts_task import NEWS_FRESH_S
from dandelionyoke_gateway._knowledge import NEVER_S, Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Store

STREAMS_PREFIX = 'streams/'
OPEN_PREFIX = 'streams/open/'
VERSIONS_PREFIX = 'streams/versions/'
# Names of services may be longer than a key of the store.
SERVICE_DIGEST_BYTES = 12

# The streams of the last interval may be lost with all processes.
SAVE_INTERVAL_S = 1.0
# A record lasts for half of this at least after its last write.
RECORD_TTL_S = 120.0
RENEW_S = 30.0
SAVE_BACK_OFF = BackOffSettings(initial_s=0.5, max_s=4.0)
# The second try is made with the record that the first one found.
MAX_VERSION_TRIES = 2


@attrs.frozen
class _RecordedVersions:
    """What the store has; `versions` is None if it cannot be read."""

    revision: int = 0
    versions: frozenset[str] | None = frozenset()


class StreamRecordTask:
    """Saves the streams of this process, and of those that ask it for news."""

    def __init__(
        self, knowledge: Knowledge, store: Store, log: DecisionLog
    ) -> None:
        self._knowledge = knowledge
        self._store = store
        self._log = log
        self._records = LeasedRecords(store, RECORD_TTL_S)
        self._key = f'{OPEN_PREFIX}{knowledge.process_name}'
        self._revision = 0
        self._saved_keys: frozenset[str] = frozenset()
        self._saved_s = NEVER_S
        self._versions: dict[str, _RecordedVersions] = {}
        self._back_off = BackOff(SAVE_BACK_OFF, knowledge.random)
        self._paused_until_s = NEVER_S
        self._lock = Semaphore()

    def run(self) -> None:
        """Save until the process exits."""
        random = self._knowledge.random
        while True:
            sleep(SAVE_INTERVAL_S * random.uniform(0.8, 1))
            now_s = clock_s()
            # The node that answers news requests saves for this one.
            is_saved = now_s - self._knowledge.news_received_s < NEWS_FRESH_S
            if not is_saved and now_s >= self._paused_until_s:
                self.save()

    def save(self) -> None:
        """Save what changed since the last time."""
        with self._lock:
            self._save_changed()

    def finish(self) -> None:
        """Save the streams that end with this process, on shutdown."""
        if self._knowledge.unproven_streams():
            self.save()

    def store_replaced(self) -> None:
        """Save everything again that the store may have lost."""
        self._records.forget_lease()
        self._revision = 0
        self._saved_keys = frozenset()
        self._versions.clear()

    def _save_changed(self) -> None:
        knowledge = self._knowledge
        groups = (
            *knowledge.stream_reports.groups(
                clock_s(), knowledge.stream_lifetime_s
            ),
            *knowledge.unproven_streams(),
        )
        services = {group.origin.service for group in groups}
        services |= knowledge.open_streams.services | self._versions.keys()
        for service in sorted(services):
            if not self._save_versions(service):
                self._pause()
                return
        needed = tuple(group for group in groups if self._is_needed(group))
        if self._save_streams(merge_groups(needed)):
            self._back_off.reset()
        else:
            self._pause()

    def _pause(self) -> None:
        self._paused_until_s = clock_s() + self._back_off.next_s()

    # Versions.

    def _save_versions(self, service: str) -> bool:
        """Record the versions of a service; return whether that is done."""
        for _ in range(MAX_VERSION_TRIES):
            recorded = self._versions.get(service, _RecordedVersions())
            versions = self._next_versions(service, recorded)
            if versions is None or versions == recorded.versions:
                return True
            answer = self._write_versions(service, versions, recorded.revision)
            match answer:
                case StoreWritten(revision=revision):
                    found = _RecordedVersions(revision, versions)
                    self._versions[service] = found
                    self._log_versions(service, versions)
                    return True
                case StoreConflict(present=present):
                    self._versions[service] = _read_versions(present)
                case _:
                    self._log_failure(service, answer)
                    return False
        return True

    def _next_versions(
        self, service: str, recorded: _RecordedVersions
    ) -> frozenset[str] | None:
        """Return the versions to record; None if those are not known."""
        history = self._knowledge.registry.version_history
        since_s = clock_s() - self._knowledge.stream_lifetime_s
        only_version = history.only_version(service, since_s)
        if only_version is not None:
            return frozenset((only_version,))
        if recorded.versions is None:
            return None
        return recorded.versions | history.versions(service, since_s)

    def _write_versions(
        self, service: str, versions: frozenset[str], expected_revision: int
    ) -> StoreResult:
        record = VersionsRecord(service, tuple(sorted(versions)))
        return self._store.perform(
            StorePut(
                OperationId('versions'),
                _versions_key(service),
                record_to_json(record),
                expected_revision,
            )
        )

    def _log_versions(self, service: str, versions: frozenset[str]) -> None:
        self._log.decide(
            'stream.versions',
            service,
            outcome='recorded',
            versions=','.join(sorted(versions)),
        )

    # Streams.

    def _is_needed(self, group: StreamGroup) -> bool:
        """Whether the versions alone do not show where streams began."""
        recorded = self._versions.get(group.origin.service)
        only_version = frozenset((group.origin.version,))
        return recorded is None or recorded.versions != only_version

    def _save_streams(self, groups: tuple[StreamGroup, ...]) -> bool:
        """Write the streams; return whether the store has them."""
        keys = frozenset(key for group in groups for key in group.split_keys())
        is_young = clock_s() - self._saved_s < RENEW_S
        if not keys or (is_young and keys <= self._saved_keys):
            return True
        text = record_to_json(OpenStreamsRecord(groups))
        answer = self._records.write(self._key, text, self._revision)
        match answer:
            case StoreWritten(revision=revision):
                self._revision = revision
                self._saved_keys = keys
                self._saved_s = clock_s()
                return True
            case StoreConflict(present=present):
                # An answer was lost, or the record has expired; no other
                # process writes this key.
                self._revision = present.revision
                return True
        self._log_failure(self._key, answer)
        return False

    def _log_failure(self, subject: str, answer: StoreResult) -> None:
        cause = answer.cause if isinstance(answer, StoreFailed) else ''
        self._log.decide(
            'stream.unsaved', subject, outcome='tried again', cause=cause
        )


def _versions_key(service: str) -> str:
    digest = hashlib.blake2b(service.encode(), digest_size=SERVICE_DIGEST_BYTES)
    return f'{VERSIONS_PREFIX}{digest.hexdigest()}'


def _read_versions(item: StoreItem) -> _RecordedVersions:
    if item.value is None:
        return _RecordedVersions(item.revision)
    try:
        record = record_from_json(item.value, VersionsRecord)
    except CodecError:
        # Written by another version of this program.
        return _RecordedVersions(item.revision, None)
    return _RecordedVersions(item.revision, frozenset(record.versions))
