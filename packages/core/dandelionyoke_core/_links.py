"""The links of one node: opened, kept alive, and given up on."""

from collections.abc import Mapping

import attrs

from dandelionyoke_core._actions import Action, ConnectPeer, DisconnectPeer
from dandelionyoke_core._names import InstanceId


@attrs.frozen
class LinkSettings:
    """How long a link may be silent, and how often it is tried again."""

    quiet_s: float = 3.0
    suspect_s: float = 5.0
    yield_s: float = 0.7
    dial_timeout_s: float = 2.0
    redial_min_s: float = 0.5
    redial_max_s: float = 4.0
    linger_s: float = 10.0
    max_links: int = 64


@attrs.define
class _Link:
    address: str
    wanted: bool
    heard_s: float
    dial_due_s: float
    dialing: bool = False
    is_up: bool = False
    is_dialed: bool = False
    unwanted_s: float = 0
    failures: int = 0


class Links:
    """Opens the wanted links, and holds those that peers opened."""

    def __init__(self, own_id: InstanceId, settings: LinkSettings) -> None:
        self._own_id = own_id
        self._settings = settings
        self._links: dict[InstanceId, _Link] = {}

    def connected_peers(self) -> list[InstanceId]:
        """Give the peers that a message can go to."""
        return [name for name, link in self._links.items() if link.is_up]

    def set_wanted(
        self, addresses: Mapping[InstanceId, str], now_s: float
    ) -> list[Action]:
        """Take the peers to be linked to; return the dials that begin."""
        for name, link in self._links.items():
            if link.wanted and name not in addresses:
                link.unwanted_s = now_s
            link.wanted = name in addresses
        for name, address in addresses.items():
            known = self._links.get(name)
            if known is None:
                self._links[name] = self._new(name, address, now_s)
            else:
                known.address = address
        self._forget()
        return self._dial_due(now_s)

    def probe(
        self, name: InstanceId, address: str, now_s: float
    ) -> list[Action]:
        """Try an instance that is taken for dead."""
        if name in self._links:
            return []
        link = _Link(address, False, now_s, now_s, unwanted_s=now_s)
        self._links[name] = link
        return [self._dial(name, link, now_s)]

    def on_connected(self, name: InstanceId, now_s: float) -> list[Action]:
        """Take a new link; one too many is closed again."""
        link = self._links.get(name)
        if link is None:
            if len(self._links) >= self._settings.max_links:
                return [DisconnectPeer(name)]
            link = _Link('', False, now_s, now_s)
            self._links[name] = link
        link.is_dialed = link.dialing
        link.dialing = False
        link.is_up = True
        link.heard_s = now_s
        link.failures = 0
        return []

    def on_disconnected(self, name: InstanceId, now_s: float) -> None:
        """Take the end of a link, or of a dial."""
        link = self._links.get(name)
        if link is None or not (link.is_up or link.dialing):
            return
        link.is_up = False
        self._put_off(link, now_s)
        self._forget()

    def record_activity(self, name: InstanceId, now_s: float) -> None:
        """Note a sign of life."""
        link = self._links.get(name)
        if link is not None:
            link.heard_s = now_s

    def maintain(self, now_s: float) -> list[Action]:
        """Close silent and unwanted links; dial those that are due."""
        actions: list[Action] = []
        for name, link in self._links.items():
            if link.is_up and self._is_over(link, now_s):
                link.is_up = False
                self._put_off(link, now_s)
                actions.append(DisconnectPeer(name))
            elif link.dialing and now_s >= link.dial_due_s:
                self._put_off(link, now_s)
                actions.append(DisconnectPeer(name))
        self._forget()
        return actions + self._dial_due(now_s)

    def silent_peers(self, now_s: float) -> list[InstanceId]:
        """Give the wanted peers that were silent for too long."""
        silent_since_s = now_s - self._settings.suspect_s
        return [
            name
            for name, link in self._links.items()
            if link.wanted and link.heard_s <= silent_since_s
        ]

    def reset_silence(self, now_s: float) -> None:
        """Start all peers' silence anew.

        After a pause of this process everyone seems to have been silent for
        as long as it lasted; it would suspect all its peers at once.
        """
        for link in self._links.values():
            link.heard_s = now_s

    def _new(self, name: InstanceId, address: str, now_s: float) -> _Link:
        # Two that want each other would open two links; the one with the
        # higher name waits for the other's.
        pause_s = 0.0 if self._own_id < name else self._settings.yield_s
        return _Link(address, True, now_s, now_s + pause_s)

    def _is_over(self, link: _Link, now_s: float) -> bool:
        silent_s = now_s - link.heard_s
        if silent_s > self._settings.quiet_s:
            return True
        if link.wanted or not link.is_dialed:
            return False
        return now_s - link.unwanted_s >= self._settings.linger_s

    def _dial_due(self, now_s: float) -> list[Action]:
        return [
            self._dial(name, link, now_s)
            for name, link in self._links.items()
            if link.wanted
            and not link.is_up
            and not link.dialing
            and now_s >= link.dial_due_s
        ]

    def _dial(self, name: InstanceId, link: _Link, now_s: float) -> Action:
        link.dialing = True
        link.dial_due_s = now_s + self._settings.dial_timeout_s
        return ConnectPeer(name, link.address)

    def _put_off(self, link: _Link, now_s: float) -> None:
        pause_s = self._settings.redial_min_s * 2**link.failures
        link.dial_due_s = now_s + min(pause_s, self._settings.redial_max_s)
        link.failures = min(link.failures + 1, 8)
        link.dialing = False

    def _forget(self) -> None:
        gone = [
            name
            for name, link in self._links.items()
            if not (link.wanted or link.is_up or link.dialing)
        ]
        for name in gone:
            self._links.pop(name)
