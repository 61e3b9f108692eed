"""An entry of the product's own beside clients that don't behave."""

import contextlib
import socket
from typing import ClassVar
from urllib.parse import urlsplit

import urllib3
from testtools.content import text_content

from scripts.demo_configuration import DemoKeys, demo_configuration
from scripts.fleet import Deployment, Fleet
from tests.crowds.crowd_case import BodyCrowds, CrowdCase, MeasuredProcess

# The machine of an entry whose settings name none.
MEMORY_MB = 256
MAX_BODY_BYTES = 4 * 1024 * 1024
# Each crowd sends more than the machine holds.
CLIENTS = 100
MAX_CALLS = 32
TIMEOUT_S = 15.0
SERVICE_PATH = '/services/crate-ledger/look'


class EntryCrowdCase(CrowdCase):
    more_settings: ClassVar[str] = ''

    def setUp(self) -> None:
        super().setUp()
        fleet = Fleet()
        self.addCleanup(fleet.close)
        self.keys = DemoKeys()
        deployment = Deployment(
            domains=('kurasini',),
            engines={},
            entries=1,
            more_settings=self.more_settings,
        )
        fleet.deploy(deployment)
        fleet.configure(str(demo_configuration(self.keys)))
        self.entry = fleet.entries[0]
        self.port = urlsplit(self.entry.address).port or 0
        self.measured = MeasuredProcess(self.entry.process.pid)
        self.check_answered(self.is_served, 'before the crowd')

    def is_served(self) -> bool:
        """Whether one ordinary request is answered."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            response = urllib3.request(
                'POST',
                f'{self.entry.address}{SERVICE_PATH}',
                body=b'{}',
                headers={'Authorization': f'Bearer {self.keys.routes}'},
                timeout=TIMEOUT_S,
                retries=False,
            )
            return response.status == 200
        return False

    def check_crowd(self, kind: str, path: str = SERVICE_PATH) -> None:
        """Check the bounds beside a crowd and after it."""
        crowd = self.start_crowd(
            kind,
            self.port,
            CLIENTS,
            MAX_BODY_BYTES,
            path,
            f'Authorization: Bearer {self.keys.routes}',
        )
        self.addDetail(
            'measured', text_content(f'{self.measured.peak_mb:.0f} MiB\n')
        )
        self.check_answered(self.is_served, 'beside the crowd')
        crowd.kill()
        self.check_answered(self.is_served, 'after the crowd')
        self.assertIsNone(self.entry.process.poll())
        self.assertLess(self.measured.peak_mb, MEMORY_MB)


class EntryCrowdTest(EntryCrowdCase, BodyCrowds):
    def test_whole_bodies(self) -> None:
        """Guards against bodies of requests in progress that nothing bounds."""
        self.check_crowd('whole_bodies')

    def test_answers_that_nobody_reads(self) -> None:
        """Guards against requests without a pause from one connection."""
        self.check_crowd('unread_answers')

    def test_a_refusal_reaches_a_client_that_sends_on(self) -> None:
        """Guards against a reset that destroys a refusal."""
        length = MAX_BODY_BYTES + 1
        with socket.create_connection(('127.0.0.1', self.port)) as sock:
            sock.settimeout(TIMEOUT_S)
            content = b''
            with contextlib.suppress(OSError):
                sock.sendall(
                    b'POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
                    % (SERVICE_PATH.encode(), length)
                    + b'x' * length
                )
                content = sock.recv(65536)
        self.assertEqual(b'HTTP/1.1 413', content[:12])


class FewCallsTest(EntryCrowdCase):
    """An entry that serves fewer calls at once than a crowd has clients."""

    more_settings = f'\n[limits]\nmax_calls = {MAX_CALLS}\n'

    def test_connections_that_send_nothing(self) -> None:
        """Guards against connections that keep all others waiting."""
        self.check_crowd('nothing')
