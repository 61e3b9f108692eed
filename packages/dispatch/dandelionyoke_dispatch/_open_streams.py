"""Streams that are under way, as nodes report them and the store keeps them.

The processes that know where a stream began may all be gone. What the store
keeps outlives them.
"""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

import attrs

from dandelionyoke_dispatch._stream_origins import KEY_BYTES, StreamOrigins
from dandelionyoke_dispatch._version_history import StreamOrigin

KEY_LENGTH = 2 * KEY_BYTES
# The latest streams of a process; more than its engines run at once.
MAX_REPORTED = 4096
# The latest streams of a record, which has 400 KB then.
MAX_SAVED = 16384
# The streams of all records that a process keeps.
MAX_RECORDED = 131072


@attrs.frozen
class StreamGroup:
    """Streams that began at one version, the latest last.

    `keys` are their keys one after the other, each of `KEY_LENGTH`.
    """

    origin: StreamOrigin
    keys: str

    def split_keys(self) -> Iterator[str]:
        """Return the keys one by one; a rest that is no key is left out."""
        ends = range(KEY_LENGTH, len(self.keys) + 1, KEY_LENGTH)
        return (self.keys[end - KEY_LENGTH : end] for end in ends)


@attrs.frozen
class OpenStreamsRecord:
    """The streams that were under way in a part of the fleet."""

    groups: tuple[StreamGroup, ...]


@attrs.frozen
class VersionsRecord:
    """The versions that may have begun the streams of a service."""

    service: str
    versions: tuple[str, ...]


class OpenStreams:
    """The streams that this process began and that have not ended whole.

    One that broke off stays for `lifetime_s`, as its caller may take it up.
    """

    def __init__(self) -> None:
        self._streams = StreamOrigins(MAX_REPORTED)
        self._services: set[str] = set()

    @property
    def services(self) -> frozenset[str]:
        """The services that have begun a stream, also of ended ones."""
        return frozenset(self._services)

    def begin(
        self, key: str, origin: StreamOrigin, now_s: float, lifetime_s: float
    ) -> None:
        """Add a stream, before its caller has an event."""
        self._services.add(origin.service)
        self._streams.record(key, origin, now_s, lifetime_s)

    def end(self, key: str) -> None:
        """Drop a stream that has ended whole."""
        self._streams.forget(key)

    def groups(
        self, now_s: float, lifetime_s: float
    ) -> tuple[StreamGroup, ...]:
        """Return the streams by where they began."""
        self._streams.drop_older(now_s - lifetime_s)
        return _group(self._streams.all())


@attrs.frozen
class _Report:
    groups: tuple[StreamGroup, ...]
    taken_s: float


class StreamReports:
    """The open streams of other processes, by process.

    The last report of a process that is gone stays for `lifetime_s`.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def take(
        self, process: str, groups: tuple[StreamGroup, ...], now_s: float
    ) -> None:
        """Replace the report of a process."""
        if groups:
            self._reports[process] = _Report(groups, now_s)
        else:
            self._reports.pop(process, None)

    def groups(
        self, now_s: float, lifetime_s: float
    ) -> tuple[StreamGroup, ...]:
        """Return the groups of all reports that are young enough."""
        self._reports = {
            process: report
            for process, report in self._reports.items()
            if now_s - report.taken_s <= lifetime_s
        }
        reports = self._reports.values()
        return tuple(group for report in reports for group in report.groups)


def merge_groups(groups: Iterable[StreamGroup]) -> tuple[StreamGroup, ...]:
    """Return one group for each origin, with `MAX_SAVED` streams together."""
    streams = {
        key: group.origin for group in groups for key in group.split_keys()
    }
    latest = tuple(streams.items())[-MAX_SAVED:]
    return _group(latest)


class RecordedStreams:
    """What the records of the store tell of streams and versions."""

    def __init__(self) -> None:
        self._origins: dict[str, Mapping[str, StreamOrigin]] = {}
        self._versions: dict[str, VersionsRecord] = {}

    def take_open(self, name: str, record: OpenStreamsRecord) -> None:
        """Replace the streams of a record."""
        self._origins.pop(name, None)
        count = sum(map(len, self._origins.values()))
        streams = [
            (key, group.origin)
            for group in record.groups
            for key in group.split_keys()
        ]
        room = max(0, MAX_RECORDED - count)
        self._origins[name] = MappingProxyType(dict(streams[:room]))

    def take_versions(self, name: str, record: VersionsRecord) -> None:
        """Replace the versions of a service."""
        self._versions[name] = record

    def drop(self, name: str) -> None:
        """Drop a record that the store no longer has."""
        self._origins.pop(name, None)
        self._versions.pop(name, None)

    def clear(self) -> None:
        """Drop all records."""
        self._origins.clear()
        self._versions.clear()

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if no record has it."""
        found = (origins.get(key) for origins in self._origins.values())
        return next((origin for origin in found if origin), None)

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions that may have begun streams; empty: unknown."""
        return frozenset(
            version
            for record in self._versions.values()
            if record.service == service
            for version in record.versions
        )


def _group(
    streams: Iterable[tuple[str, StreamOrigin]],
) -> tuple[StreamGroup, ...]:
    keys: dict[StreamOrigin, list[str]] = {}
    for key, origin in streams:
        keys.setdefault(origin, []).append(key)
    return tuple(
        StreamGroup(origin, ''.join(group)) for origin, group in keys.items()
    )
