"""A simulated node of membership and configuration that counts its costs."""

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
    KeyRevoked,
    LivePeersChanged,
    MembershipPart,
    MembershipSettings,
    Output,
    PeerMessage,
    RecordReceived,
    WriteLog,
    message_from_mapping,
    message_to_mapping,
)


class EventRecorder:
    """Recorder of the events that the parts of a node send each other.

    Configurations in force, withdrawn keys and peers have the time in seconds.
    """

    handles: ClassVar[tuple[type[Event], ...]] = (
        ConfigurationInForce,
        KeyRevoked,
        LivePeersChanged,
        RecordReceived,
    )

    def __init__(self) -> None:
        self.in_force: list[tuple[float, int]] = []
        self.withdrawn: dict[str, float] = {}
        self.peers: list[tuple[float, LivePeersChanged]] = []
        self.learned: list[RecordReceived] = []

    def handle(self, event: Event, now_s: float) -> list[Output]:
        """Record an event."""
        match event:
            case ConfigurationInForce(snapshot=snapshot):
                self.in_force.append((now_s, snapshot.revision))
            case KeyRevoked(key_hash=key_hash):
                self.withdrawn[key_hash] = now_s
            case LivePeersChanged():
                self.peers.append((now_s, event))
            case RecordReceived():
                self.learned.append(event)
        return []

    def next_wakeup_s(self) -> float | None:
        """Return None: the recorder needs no wakeup."""


class VirtualNode:
    """One node with its state in the simulation and its costs so far."""

    def __init__(
        self,
        instance: Instance,
        incarnation: int,
        seed: str,
        settings: 'PropagationSettings',
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
        self.recorder = EventRecorder()
        self.logs: list[WriteLog] = []
        self.is_alive = True
        self.is_paused = False
        self.pending_events: list[Event] = []
        self.pending_callbacks: list[Callable[[], object]] = []
        self.scheduled_wakeup_s: float | None = None
        self.handling_time_s = 0.0
        self.codec_time_s = 0.0
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._composition = Composition(
            (self.membership, self.configuration, self.recorder)
        )

    @property
    def revision(self) -> int:
        """Configuration revision in force."""
        return self.configuration.snapshot.revision

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Handle an event and add the processor time."""
        started_s = time.thread_time()
        actions = self._composition.handle(event, now_s)
        self.handling_time_s += time.thread_time() - started_s
        return actions

    def encode_and_decode(self, message: PeerMessage) -> PeerMessage:
        """Encode a message as on the wire, and decode it again.

        The sender is charged for the receiver's decoding too; the average
        over all nodes is the same.
        """
        started_s = time.thread_time()
        frame = cbor2.dumps(message_to_mapping(message))
        decoded = message_from_mapping(cbor2.loads(frame))
        self.codec_time_s += time.thread_time() - started_s
        self.sent_bytes[type(message).__name__] += len(frame)
        return decoded

    def next_wakeup_s(self) -> float | None:
        """Return when the node has to be woken, or None."""
        return self._composition.next_wakeup_s()


@attrs.frozen
class PropagationSettings:
    """The domains, their numbers of nodes, and the settings of the nodes.

    `listing_lag_s` is the delay until the platform lists a started instance
    or drops a killed one.
    """

    domains: tuple[tuple[str, int], ...]
    listing_lag_s: float = 30.0
    uses_codec: bool = True
    membership: MembershipSettings = attrs.field(factory=MembershipSettings)
    configuration: ConfigurationSettings = attrs.field(
        factory=ConfigurationSettings
    )
