"""A relay between two ends that takes its commands over HTTP."""

import attrs

from dandelionyoke_standins._http import (
    Call,
    Reply,
    Route,
    Server,
    announce,
)
from dandelionyoke_standins._relay import Relay


@attrs.frozen
class LinkSettings:
    """Where the link leads, and the ports that it listens on."""

    to_host: str
    to_port: int
    port: int = 0
    control_port: int = 0


class Link:
    """A relay and the server that takes its commands.

    `POST /cut` resets what is open and refuses what is new. `POST /silence`
    swallows the bytes of what is open, for good; what is new works.
    `POST /blackhole` does so with what is open and what is new. `POST
    /restore` lets new connections through again. `GET /state` tells.
    """

    def __init__(self, settings: LinkSettings) -> None:
        self._relay = Relay(settings.to_host, settings.to_port, settings.port)
        self.address = f'http://{self._relay.address}'
        self._control = Server(
            [
                Route('POST', '/cut', self._cut),
                Route('POST', '/silence', self._silence),
                Route('POST', '/blackhole', self._blackhole),
                Route('POST', '/restore', self._restore),
                Route('GET', '/state', self._tell),
            ],
            settings.control_port,
        )

    def start(self) -> None:
        """Relay, and take commands."""
        self._control.start()
        self._relay.start()

    def announce_control(self) -> None:
        """Print the address that takes commands."""
        announce(f'CONTROL {self._control.address}')

    def _cut(self, call: Call) -> Reply:
        self._relay.cut()
        return self._tell(call)

    def _silence(self, call: Call) -> Reply:
        self._relay.silence()
        return self._tell(call)

    def _blackhole(self, call: Call) -> Reply:
        self._relay.blackhole()
        return self._tell(call)

    def _restore(self, call: Call) -> Reply:
        self._relay.restore()
        return self._tell(call)

    def _tell(self, call: Call) -> Reply:
        return Reply(
            {
                'state': self._relay.state.value,
                'connections': self._relay.connections,
                'silent': self._relay.silent,
            }
        )
