"""Gateway settings for tests that open no connections."""

import attrs

from dandelionyoke_gateway import GatewaySettings
from dandelionyoke_gateway._settings import Endpoint

UNUSED_ENDPOINT = Endpoint('127.0.0.1', 0)


def new_settings(instance_id: str = 'n-1') -> GatewaySettings:
    """Return gateway settings for an instance ID."""
    return attrs.evolve(_SETTINGS, instance_id=instance_id)


def planned_by_need() -> GatewaySettings:
    """Return settings that ask to plan engines by what callers use."""
    return attrs.evolve(_SETTINGS, plans_by_need=True)


_SETTINGS = GatewaySettings(
    instance_id='n-1',
    domain='a',
    callers=UNUSED_ENDPOINT,
    health=UNUSED_ENDPOINT,
    metrics=UNUSED_ENDPOINT,
    peers=UNUSED_ENDPOINT,
    store_address='127.0.0.1:1',
    duty_address=None,
    revocation_s=5.0,
    drain_s=2.0,
    apply_s=2.0,
    grace_s=8.0,
    retry_share=0.2,
    retry_extra=100,
    retry_window_s=10.0,
    duty_turn_s=3.0,
    usage_window_s=5.0,
    usage_late_s=10.0,
)
