"""Which engine is at fault if one refuses to import a KV cache.

Load: the handles of some prefill engines lapse at once. A decode engine refuses
an import in the same way when it is full, when it changes its phase, and when
it cannot get the cache. If the decode engine were suspected each time, a few
engines without handles would take all decode engines out of use, and the
repeats of their calls would use up the retry budget.
"""

import attrs

from dandelionyoke_dispatch._load_report import LoadReport


@attrs.frozen
class ImportRefusal:
    """A decode engine refused a call whose KV cache it should import."""

    source_id: str
    decode_id: str
    load: LoadReport
    refused_s: float

    def suspect_id(self, *, is_refused_without: bool) -> str:
        """Return the engine at fault.

        The decode engine shows it by the same call without a cache: if it
        refuses that as well, the cache is not the cause.
        """
        return self.decode_id if is_refused_without else self.source_id


def is_full(load: LoadReport | None) -> bool:
    """Whether a target refused a call for want of room, by its own report.

    One that says nothing of its load is taken for full.
    """
    return load is None or load.queued > 0 or load.running >= load.slots
