"""Configuration of the demo, with two organisations and their keys."""

import secrets

import attrs

from dandelionyoke_core import hash_key
from dandelionyoke_operator import (
    ApiKey,
    Configuration,
    Model,
    Organisation,
    Service,
    ServiceKind,
)

KEY_BYTES = 24


@attrs.frozen
class DemoKeys:
    """Bearer keys of the demo's organisations."""

    routes: str = attrs.field(factory=lambda: secrets.token_urlsafe(KEY_BYTES))
    depot: str = attrs.field(factory=lambda: secrets.token_urlsafe(KEY_BYTES))


def demo_configuration(keys: DemoKeys) -> Configuration:
    """Return the demo's organisations, keys, services and models."""
    return Configuration.of(
        Organisation('duka-routes', priority=7, weight=2),
        Organisation('depot-clerks'),
        ApiKey(hash_key(keys.routes), 'duka-routes', 'drivers'),
        ApiKey(hash_key(keys.depot), 'depot-clerks', 'office'),
        Service('route-assistant', min_targets=3),
        Service('ledger-desk', min_targets=2),
        Service(
            'crate-ledger',
            ServiceKind.PLAIN,
            unrepeatable=('POST /confirm',),
        ),
        Model('crate-lm', 'route-assistant'),
        Model('ledger-lm', 'ledger-desk'),
    )
