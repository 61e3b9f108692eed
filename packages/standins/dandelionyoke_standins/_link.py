"""A TCP relay that is controlled over HTTP."""

import attrs

from dandelionyoke_standins._http import (
    Request,
    Response,
    Route,
    Server,
    print_line,
)
from dandelionyoke_standins._relay import Relay


@attrs.frozen
class LinkSettings:
    """The address to relay to, and the ports to listen on (0: any)."""

    to_host: str
    to_port: int
    port: int = 0
    control_port: int = 0


class Link:
    """A relay and its control server.

    `POST /cut` resets open connections and refuses new ones. `POST /silence`
    permanently drops all bytes on open connections; new ones work. `POST
    /blackhole` drops the bytes on open and new connections. `POST /hang` drops
    the bytes on open connections and establishes no new ones. `POST /refuse`
    refuses new connections; open ones live on. `POST /hold` keeps all bytes
    back, and `POST /release` delivers them. `POST /restore` relays new
    connections again. `GET /state` returns the relay's state.
    """

    def __init__(self, settings: LinkSettings) -> None:
        self._relay = Relay(settings.to_host, settings.to_port, settings.port)
        self.address = f'http://{self._relay.address}'
        self._control = Server(
            [
                Route('POST', '/cut', self._cut),
                Route('POST', '/silence', self._silence),
                Route('POST', '/blackhole', self._blackhole),
                Route('POST', '/hang', self._hang),
                Route('POST', '/refuse', self._refuse),
                Route('POST', '/hold', self._hold),
                Route('POST', '/release', self._release),
                Route('POST', '/restore', self._restore),
                Route('GET', '/state', self._state),
            ],
            settings.control_port,
        )

    def start(self) -> None:
        """Start the relay and its control server."""
        self._control.start()
        self._relay.start()

    def announce_control(self) -> None:
        """Print the address of the control server."""
        print_line(f'CONTROL {self._control.address}')

    def _cut(self, request: Request) -> Response:
        self._relay.cut()
        return self._state(request)

    def _silence(self, request: Request) -> Response:
        self._relay.silence()
        return self._state(request)

    def _blackhole(self, request: Request) -> Response:
        self._relay.blackhole()
        return self._state(request)

    def _hang(self, request: Request) -> Response:
        self._relay.hang()
        return self._state(request)

    def _refuse(self, request: Request) -> Response:
        self._relay.refuse()
        return self._state(request)

    def _hold(self, request: Request) -> Response:
        self._relay.hold()
        return self._state(request)

    def _release(self, request: Request) -> Response:
        self._relay.release()
        return self._state(request)

    def _restore(self, request: Request) -> Response:
        self._relay.restore()
        return self._state(request)

    def _state(self, request: Request) -> Response:
        return Response(
            {
                'state': self._relay.state.value,
                'connections': self._relay.connections,
                'silent': self._relay.silent,
            }
        )
