"""The configuration of a run and its changes."""

import json
from collections.abc import Sequence
from typing import Any

import attrs

from tests.platform.node_harness import API_KEY, HOST
from tests.silence.record import (
    ASK,
    CONFIRM,
    LOOK,
    PLAIN_SERVICES,
    RESUME,
    STREAM_SERVICE,
)

CHANGES = ('idle', 'timeout', 'route', 'weights', 'tenant')
TIMEOUTS_MS = (10_000, 9_000)
# Callers pause for less than either.
IDLE_TIMEOUTS_MS = (3_000, 1_000)
WEIGHTS = ((3, 1), (1, 3))
ROUTES = {
    CONFIRM: ('non_idempotent', PLAIN_SERVICES),
    LOOK: ('idempotent', PLAIN_SERVICES),
    ASK: ('streaming', (STREAM_SERVICE,)),
    RESUME: ('streaming', (STREAM_SERVICE,)),
}
# A route and an organisation that no caller uses.
EXTRA_PATH = '/extra/'
EXTRA_ORGANISATION = 'gamma'
ENGINE = {
    'slots': 16,
    'kv_capacity_tokens': 200_000,
    'kv_hold_s': 5,
    'role_switch_s': 1,
}


@attrs.define
class SilenceConfiguration:
    """The configuration in force.

    A change of a kind takes the previous change of that kind back.
    """

    version: int = 0
    changes: set[str] = attrs.field(factory=set)

    def change(self, kind: str) -> None:
        """Change one of `CHANGES`."""
        self.changes ^= {kind}

    def next_version(self) -> str:
        """Return the next version as text."""
        self.version += 1
        return json.dumps(
            {
                'version': self.version,
                'routes': self._routes(),
                'services': [
                    *(
                        {'name': name, 'max_connections': 99}
                        for name in PLAIN_SERVICES
                    ),
                    {
                        'name': STREAM_SERVICE,
                        'max_connections': 99,
                        'engine': ENGINE,
                    },
                ],
                'tenants': self._organisations(),
                'limits': {
                    'idle_timeout_ms': IDLE_TIMEOUTS_MS['idle' in self.changes]
                },
            }
        )

    def _routes(self) -> list[dict[str, Any]]:
        routes = [
            self._route(path, kind, services)
            for path, (kind, services) in ROUTES.items()
        ]
        if 'route' in self.changes:
            routes.append(self._route(EXTRA_PATH, 'idempotent', PLAIN_SERVICES))
        return routes

    def _route(
        self, path: str, kind: str, services: Sequence[str]
    ) -> dict[str, Any]:
        weights = WEIGHTS['weights' in self.changes]
        return {
            'name': path,
            'host': HOST,
            'path_prefix': path,
            'kind': kind,
            'timeout_ms': TIMEOUTS_MS['timeout' in self.changes],
            'target_latency_ms': 500,
            'max_attempts': 3,
            'allow_resume': path == RESUME,
            'traffic_split': [
                {'service': name, 'weight': weight}
                for name, weight in zip(services, weights, strict=False)
            ],
        }

    def _organisations(self) -> list[dict[str, Any]]:
        organisations = [{'name': 'acme', 'api_keys': [API_KEY]}]
        if 'tenant' in self.changes:
            organisations.append(
                {
                    'name': EXTRA_ORGANISATION,
                    'api_keys': [f'key-{EXTRA_ORGANISATION}'],
                }
            )
        return organisations
