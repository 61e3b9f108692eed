"""One node's membership and configuration, and what they cost."""

import random as random_module
import time
from collections import Counter
from collections.abc import Callable
from typing import ClassVar

import attrs
import cbor2

from dandelionyoke_core import (
    Action,
    Composition,
    ConfigurationInForce,
    ConfigurationPart,
    ConfigurationSettings,
    Event,
    Instance,
    KeyWithdrawn,
    MembershipPart,
    MembershipSettings,
    Output,
    PeerMessage,
    PeersKnown,
    RecordLearned,
    WriteLog,
    message_from_mapping,
    message_to_mapping,
)


class Recorder:
    """Remembers what a node's parts told each other, and when."""

    handles: ClassVar[tuple[type[Event], ...]] = (
        ConfigurationInForce,
        KeyWithdrawn,
        PeersKnown,
        RecordLearned,
    )

    def __init__(self) -> None:
        self.in_force: list[tuple[float, int]] = []
        self.withdrawn: dict[str, float] = {}
        self.peers: list[tuple[float, PeersKnown]] = []
        self.learned: list[RecordLearned] = []

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Remember a notice."""
        match event:
            case ConfigurationInForce(snapshot=snapshot):
                self.in_force.append((now_s, snapshot.revision))
            case KeyWithdrawn(key_hash=key_hash):
                self.withdrawn[key_hash] = now_s
            case PeersKnown():
                self.peers.append((now_s, event))
            case RecordLearned():
                self.learned.append(event)
        return []

    def next_wakeup_s(self) -> float | None:
        """Tell that it is never woken."""


class VirtualNode:
    """One node and what it cost so far."""

    def __init__(
        self,
        instance: Instance,
        incarnation: int,
        seed: str,
        settings: 'WorldSettings',
    ) -> None:
        random = random_module.Random(seed)
        self.instance = instance
        self.membership = MembershipPart(
            settings.membership, instance, incarnation, random
        )
        self.configuration = ConfigurationPart(
            settings.configuration,
            self.membership,
            random,
            instance.instance_id,
            instance.domain,
        )
        self.recorder = Recorder()
        self.logs: list[WriteLog] = []
        self.is_alive = True
        self.is_paused = False
        self.backlog: list[Event] = []
        self.waiting: list[Callable[[], object]] = []
        self.wakeup_s: float | None = None
        self.handling_s = 0.0
        self.coding_s = 0.0
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._composition = Composition(
            (self.membership, self.configuration, self.recorder)
        )

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.snapshot.revision

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event, and count what it costs."""
        begun_s = time.thread_time()
        actions = self._composition.handle(event, now_s)
        self.handling_s += time.thread_time() - begun_s
        return actions

    def code(self, message: PeerMessage) -> PeerMessage:
        """Write a message as on the wire, and read it back.

        The reader's time is counted here too; over all nodes it evens out.
        """
        begun_s = time.thread_time()
        frame = cbor2.dumps(message_to_mapping(message))
        read = message_from_mapping(cbor2.loads(frame))
        self.coding_s += time.thread_time() - begun_s
        self.sent_bytes[type(message).__name__] += len(frame)
        return read

    def next_wakeup_s(self) -> float | None:
        """Tell when the node has to be woken."""
        return self._composition.next_wakeup_s()


@attrs.frozen
class WorldSettings:
    """What a world consists of."""

    domains: tuple[tuple[str, int], ...]
    listing_lag_s: float = 30.0
    checks_codec: bool = True
    membership: MembershipSettings = attrs.field(factory=MembershipSettings)
    configuration: ConfigurationSettings = attrs.field(
        factory=ConfigurationSettings
    )
