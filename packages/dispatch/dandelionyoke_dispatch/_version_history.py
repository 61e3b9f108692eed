"""The versions of their software that targets had lately."""

from collections.abc import Iterable

import attrs

# Far longer than a stream lasts.
KEPT_S = 3600.0
# Without a listing for this long, a version may have come and gone unseen: an
# entry outlives its engine by three reports, 3.6 s.
MAX_GAP_S = 3.0


@attrs.frozen
class StreamOrigin:
    """The service and the version of its software that began a stream."""

    service: str
    version: str


class VersionHistory:
    """When targets of each version of a service were last listed.

    The times are those at which the listings were asked for: what came to be
    listed while an answer was under way may be missing from it.
    """

    def __init__(self) -> None:
        # Listings came without a gap from the first to the second of these.
        self._since_s: float | None = None
        self._until_s = 0.0
        self._last_s: dict[StreamOrigin, float] = {}

    def observe(
        self, listed: Iterable[StreamOrigin], confirmed_s: float
    ) -> None:
        """Record the versions of all targets that were listed then."""
        if self._since_s is None or confirmed_s - self._until_s > MAX_GAP_S:
            self._since_s = confirmed_s
        self._until_s = max(self._until_s, confirmed_s)
        self._last_s.update(dict.fromkeys(listed, self._until_s))
        for origin, last_s in tuple(self._last_s.items()):
            if confirmed_s - last_s > KEPT_S:
                self._last_s.pop(origin)

    def only_version(self, service: str, since_s: float) -> str | None:
        """Return the version that a service has had all the time since then.

        None if it had several or none, or that is not known.
        """
        if self._since_s is None or self._since_s > since_s - MAX_GAP_S:
            return None
        versions = self.versions(service, since_s)
        return next(iter(versions)) if len(versions) == 1 else None

    def versions(self, service: str, since_s: float) -> frozenset[str]:
        """Return the versions of a service that were listed since then.

        Others may have come and gone in a gap of the listings.
        """
        # A version may go as late as the listing after the last one with it.
        since_s -= MAX_GAP_S
        return frozenset(
            origin.version
            for origin, last_s in self._last_s.items()
            if origin.service == service and last_s >= since_s
        )
