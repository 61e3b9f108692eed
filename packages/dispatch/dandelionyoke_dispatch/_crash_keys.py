"""What a call that crashes engines has in common with others like it."""

import hashlib

import attrs

from dandelionyoke_dispatch._calls import Call, Prompt

DIGEST_BYTES = 12
# Longer lists of parts are the caller's own doing.
MAX_PARTS = 16


@attrs.frozen
class CrashKeys:
    """The keys of a call: its fingerprint, and the parts of its prompt.

    The last part of a prompt is private to the call and is none of them.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """All keys."""
        return (self.fingerprint, *self.parts)


def crash_keys(
    call: Call, organisation: str | None, service: str, body: bytes
) -> CrashKeys:
    """Return the keys of a call to a service."""
    return CrashKeys(
        fingerprint(organisation, call.path, body),
        () if call.prompt is None else _part_keys(service, call.prompt),
    )


def fingerprint(organisation: str | None, path: str, body: bytes) -> str:
    """Return a one-way hash of the organisation, path and body of a call."""
    return _digest((organisation or '').encode(), path.encode(), body)


def _part_keys(service: str, prompt: Prompt) -> tuple[str, ...]:
    return tuple(
        _digest(service.encode(), prompt.model.encode(), part.part_id.encode())
        for part in prompt.parts[: min(MAX_PARTS, len(prompt.parts) - 1)]
    )


def _digest(*fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, 'big'))
        digest.update(field)
    return digest.hexdigest()
