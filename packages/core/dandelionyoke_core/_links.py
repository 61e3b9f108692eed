"""Connection state of the links from one node to its peers."""

from collections.abc import Mapping

import attrs

from dandelionyoke_core._actions import Action, ConnectPeer, DisconnectPeer
from dandelionyoke_core._names import InstanceId


@attrs.frozen
class LinkSettings:
    """Timeouts and limits of links.

    A link without a message for `silence_timeout_s` is closed, and a wanted
    peer that was silent for `suspect_after_s` is reported as silent. The
    side with the higher instance id delays its dial by `dial_delay_s`. A
    link that is no longer wanted is closed after `max_unwanted_s`.
    """

    silence_timeout_s: float = 3.0
    suspect_after_s: float = 5.0
    dial_delay_s: float = 0.7
    dial_timeout_s: float = 2.0
    min_redial_s: float = 0.5
    max_redial_s: float = 4.0
    max_unwanted_s: float = 10.0
    max_links: int = 64


@attrs.define
class _Link:
    address: str
    wanted: bool
    last_heard_s: float
    dial_due_s: float
    dialing: bool = False
    is_up: bool = False
    is_dialed: bool = False
    unwanted_since_s: float = 0
    failures: int = 0


class Links:
    """Opens links to the wanted peers and tracks those that peers opened."""

    def __init__(self, own_id: InstanceId, settings: LinkSettings) -> None:
        self._own_id = own_id
        self._settings = settings
        self._links: dict[InstanceId, _Link] = {}

    def connected_peers(self) -> list[InstanceId]:
        """Return the peers with an open link."""
        return [name for name, link in self._links.items() if link.is_up]

    def set_wanted(
        self, addresses: Mapping[InstanceId, str], now_s: float
    ) -> list[Action]:
        """Set the peers to link to; return the dials to start."""
        for name, link in self._links.items():
            if link.wanted and name not in addresses:
                link.unwanted_since_s = now_s
            link.wanted = name in addresses
        for name, address in addresses.items():
            existing = self._links.get(name)
            if existing is None:
                self._links[name] = self._new_link(name, address, now_s)
            else:
                existing.address = address
        self._remove_unused()
        return self._dial_due(now_s)

    def probe(
        self, name: InstanceId, address: str, now_s: float
    ) -> list[Action]:
        """Dial an instance that is presumed dead."""
        if name in self._links:
            return []
        link = _Link(address, False, now_s, now_s, unwanted_since_s=now_s)
        self._links[name] = link
        return [self._dial(name, link, now_s)]

    def on_connected(self, name: InstanceId, now_s: float) -> list[Action]:
        """Register a new link; close it if there are too many."""
        link = self._links.get(name)
        if link is None:
            if len(self._links) >= self._settings.max_links:
                return [DisconnectPeer(name)]
            link = _Link('', False, now_s, now_s)
            self._links[name] = link
        link.is_dialed = link.dialing
        link.dialing = False
        link.is_up = True
        link.last_heard_s = now_s
        link.failures = 0
        return []

    def on_disconnected(self, name: InstanceId, now_s: float) -> None:
        """Handle the end of a link or the failure of a dial."""
        link = self._links.get(name)
        if link is None or not (link.is_up or link.dialing):
            return
        link.is_up = False
        self._schedule_redial(link, now_s)
        self._remove_unused()

    def record_activity(self, name: InstanceId, now_s: float) -> None:
        """Record that a message arrived from a peer."""
        link = self._links.get(name)
        if link is not None:
            link.last_heard_s = now_s

    def maintain(self, now_s: float) -> list[Action]:
        """Close silent and unwanted links, and start the dials that are due."""
        actions: list[Action] = []
        for name, link in self._links.items():
            if link.is_up and self._should_close(link, now_s):
                link.is_up = False
                self._schedule_redial(link, now_s)
                actions.append(DisconnectPeer(name))
            elif link.dialing and now_s >= link.dial_due_s:
                self._schedule_redial(link, now_s)
                actions.append(DisconnectPeer(name))
        self._remove_unused()
        return actions + self._dial_due(now_s)

    def silent_peers(self, now_s: float) -> list[InstanceId]:
        """Return the wanted peers that were silent for `suspect_after_s`."""
        silent_since_s = now_s - self._settings.suspect_after_s
        return [
            name
            for name, link in self._links.items()
            if link.wanted and link.last_heard_s <= silent_since_s
        ]

    def reset_silence(self, now_s: float) -> None:
        """Restart the silence timeout of every peer.

        After a pause of this process all peers appear to have been silent
        during the pause, and would all be suspected at once.
        """
        for link in self._links.values():
            link.last_heard_s = now_s

    def extend_silence(self, stalled_s: float, now_s: float) -> None:
        """Allow every peer to be silent for longer."""
        for link in self._links.values():
            link.last_heard_s = min(now_s, link.last_heard_s + stalled_s)

    def _new_link(self, name: InstanceId, address: str, now_s: float) -> _Link:
        # Two peers that want each other would open two links, so the one
        # with the higher instance id waits for the other to dial.
        delay_s = 0.0 if self._own_id < name else self._settings.dial_delay_s
        return _Link(address, True, now_s, now_s + delay_s)

    def _should_close(self, link: _Link, now_s: float) -> bool:
        silent_s = now_s - link.last_heard_s
        if silent_s > self._settings.silence_timeout_s:
            return True
        if link.wanted or not link.is_dialed:
            return False
        return now_s - link.unwanted_since_s >= self._settings.max_unwanted_s

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

    def _schedule_redial(self, link: _Link, now_s: float) -> None:
        delay_s = self._settings.min_redial_s * 2**link.failures
        link.dial_due_s = now_s + min(delay_s, self._settings.max_redial_s)
        link.failures = min(link.failures + 1, 8)
        link.dialing = False

    def _remove_unused(self) -> None:
        unused = [
            name
            for name, link in self._links.items()
            if not (link.wanted or link.is_up or link.dialing)
        ]
        for name in unused:
            self._links.pop(name)
