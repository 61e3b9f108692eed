"""The configuration of a soak and its changes."""

import json
from typing import Any

import attrs

from tests.platform.node_harness import HOST
from tests.soak.record import CALL_PATHS, PLAIN_SERVICES, SERVICES

ROUTE_KINDS = ('non_idempotent', 'idempotent', 'streaming', 'streaming')
TIMEOUTS_MS = (4000, 3600)
# Weights of the services of a plain route.
WEIGHTS = ((3, 1), (1, 3))
# A route and an organisation that no caller uses.
EXTRA_PATH = '/extra/'
EXTRA_ORGANISATION = 'gamma'
CHANGES = ('timeout', 'route', 'weights', 'keys')
ENGINE = {
    'slots': 8,
    'kv_capacity_tokens': 90000,
    'kv_hold_s': 5,
    'role_switch_s': 1,
}


@attrs.define
class SoakConfiguration:
    """The configuration in force; each change gives another one.

    A change of a kind takes its next change of that kind back.
    """

    keys: dict[str, str] = attrs.field(factory=dict)
    revoked: set[str] = attrs.field(factory=set)
    version: int = 0
    changes: set[str] = attrs.field(factory=set)

    def change(self, kind: str) -> None:
        """Change the time limits, the routes, their weights, or the keys."""
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
                    {'name': 'lm', 'max_connections': 99, 'engine': ENGINE},
                ],
                'tenants': self._organisations(),
            }
        )

    def _routes(self) -> list[dict[str, Any]]:
        kinds = dict(zip(CALL_PATHS, ROUTE_KINDS, strict=True))
        if 'route' in self.changes:
            kinds[EXTRA_PATH] = 'idempotent'
        weights = WEIGHTS['weights' in self.changes]
        routes = []
        for path, kind in kinds.items():
            services = SERVICES.get(path, PLAIN_SERVICES)
            route = {
                'name': path,
                'host': HOST,
                'path_prefix': path,
                'kind': kind,
                'timeout_ms': TIMEOUTS_MS['timeout' in self.changes],
                'target_latency_ms': 500,
                'max_attempts': 3,
                'allow_resume': path == '/resume/',
            }
            if len(services) == 1:
                route['service'] = services[0]
            else:
                route['traffic_split'] = [
                    {'service': name, 'weight': weight}
                    for name, weight in zip(services, weights, strict=True)
                ]
            routes.append(route)
        return routes

    def _organisations(self) -> list[dict[str, Any]]:
        keys = dict(self.keys)
        if 'keys' in self.changes:
            keys[EXTRA_ORGANISATION] = f'key-{EXTRA_ORGANISATION}'
        return [
            {'name': name, 'api_keys': [] if name in self.revoked else [key]}
            for name, key in keys.items()
        ]
