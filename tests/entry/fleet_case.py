"""Base of the tests that run against real processes on loopback."""

from typing import Any, ClassVar

import testtools
import urllib3

from scripts.demo_configuration import DemoKeys, demo_configuration
from scripts.fleet import Deployment, Fleet

TIMEOUT_S = 20.0


class FleetCase(testtools.TestCase):
    """Test case with one deployment for all tests of the class."""

    deployment: ClassVar[Deployment] = Deployment(
        engines={'route-assistant': 2, 'ledger-desk': 1}
    )
    balancer_notice_s: ClassVar[float] = 0.2
    fleet: ClassVar[Fleet]
    keys: ClassVar[DemoKeys]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = Fleet(cls.balancer_notice_s)
        cls.addClassCleanup(cls.fleet.close)
        cls.keys = DemoKeys()
        cls.fleet.deploy(cls.deployment)
        cls.fleet.configure(str(demo_configuration(cls.keys)))
        cls.fleet.await_targets()

    def setUp(self) -> None:
        super().setUp()
        self.http = urllib3.PoolManager(
            maxsize=40, timeout=TIMEOUT_S, retries=False
        )
        self.addCleanup(self.http.clear)

    def call(
        self,
        path: str,
        body: Any = None,
        *,
        entry: int = 0,
        method: str = 'POST',
        key: str | None = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to an entry, by default with a valid key."""
        address = self.fleet.entries[entry].address
        authorization = {'Authorization': f'Bearer {key or self.keys.routes}'}
        extra_headers = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        return self.http.request(
            method,
            f'{address}{path}',
            json=body,
            headers=authorization | extra_headers,
        )

    def target_address(self, target_id: str) -> str:
        """Return the address of a target."""
        matching = [
            target
            for target in self.fleet.targets
            if target['target_id'] == target_id
        ]
        return str(matching[0]['address'])
