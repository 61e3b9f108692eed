"""Runs stand-ins as child processes, for tests that need sockets."""

import json
import signal
import subprocess
import sys
from typing import Any

import attrs
import testtools
import urllib3

TIMEOUT_S = 20


@attrs.frozen
class Answer:
    status: int
    body: Any


class Standin:
    """A stand-in process and a client for it."""

    def __init__(self, *arguments: str) -> None:
        self.process = subprocess.Popen(
            (
                sys.executable,
                '-W',
                'ignore',
                '-m',
                'dandelionyoke_standins',
                *arguments,
            ),
            stdout=subprocess.PIPE,
            text=True,
        )
        self.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self.address = self.read_address('READY')

    def read_address(self, word: str) -> str:
        """Read the next output line, `WORD ADDRESS`, and return the address."""
        line = self.process.stdout.readline().split()
        if line[:1] != [word]:
            raise AssertionError(f'{word} expected, got {line}')
        return line[1]

    def call(self, method: str, path: str, body: Any = None) -> Answer:
        answer = self.http.request(
            method, self.address + path, body=json.dumps(body or {})
        )
        return Answer(answer.status, json.loads(answer.data))

    def stream(self, path: str, body: Any) -> urllib3.BaseHTTPResponse:
        return self.http.request(
            'POST', self.address + path, json=body, preload_content=False
        )

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit status."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        status = self.process.wait(TIMEOUT_S)
        self.process.stdout.close()
        self.http.clear()
        return status


class ProcessTestCase(testtools.TestCase):
    def standin(self, *arguments: str) -> Standin:
        standin = Standin(*arguments)
        self.addCleanup(standin.stop)
        return standin
