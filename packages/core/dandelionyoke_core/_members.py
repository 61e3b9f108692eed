"""Membership table: the platform's list, corrected by member records."""

from collections.abc import Iterable
from types import MappingProxyType

import attrs

from dandelionyoke_core._membership_messages import MemberRecord, MemberState
from dandelionyoke_core._names import InstanceId
from dandelionyoke_core._records import Instance, Presence

_STATE_OF_PRESENCE = MappingProxyType(
    {
        Presence.LIVE: MemberState.LIVE,
        Presence.LEAVING: MemberState.LEAVING,
        Presence.RECLAIMED: MemberState.LEAVING,
    }
)


@attrs.define
class Member:
    """Known state of one instance.

    `version` is that of its last member record, 0 if it is known only from
    the platform's list.
    """

    instance: Instance
    state: MemberState
    version: int = 0
    suspicion_expires_s: float = 0


class MemberTable:
    """Table of known instances; member records override the platform's list.

    A suspected instance counts as live until its suspicion times out, so
    that it can refute the suspicion first.
    """

    def __init__(
        self, own: Instance, suspicion_timeout_s: float, max_members: int
    ) -> None:
        self._own = own
        self._suspicion_timeout_s = suspicion_timeout_s
        self._max_members = max_members
        self._listed: dict[InstanceId, Instance] = {}
        self._members: dict[InstanceId, Member] = {
            own.instance_id: Member(own, MemberState.LIVE)
        }
        self.live: tuple[InstanceId, ...] = (own.instance_id,)
        self.live_in_domain: tuple[InstanceId, ...] = (own.instance_id,)
        self.leaving: tuple[InstanceId, ...] = ()

    def find(self, instance_id: InstanceId) -> Member | None:
        """Return the member with this id, or None."""
        return self._members.get(instance_id)

    def live_instances(self) -> list[Instance]:
        """Return the live instances with their addresses."""
        return [self._members[name].instance for name in self.live]

    def apply_list(self, instances: Iterable[Instance]) -> list[InstanceId]:
        """Apply the platform's list, which lags; return the added ids."""
        self._listed = {
            instance.instance_id: instance for instance in instances
        }
        added: list[InstanceId] = []
        for instance_id, instance in self._listed.items():
            member = self._members.get(instance_id)
            if member is None:
                self._add(instance)
                added.append(instance_id)
            elif member.version == 0 and instance_id != self._own.instance_id:
                member.instance = instance
                member.state = _STATE_OF_PRESENCE[instance.state]
        self._drop_unlisted()
        return added

    def apply_record(self, record: MemberRecord, now_s: float) -> None:
        """Apply a record from an instance, or from a peer that suspects it."""
        instance_id = record.instance.instance_id
        member = self._members.get(instance_id)
        if instance_id == self._own.instance_id:
            if member is not None and record.said_by == instance_id:
                member.state = record.state
            return
        if member is None:
            member = self._add(record.instance)
        if member is None:
            return
        was_suspected = member.state is MemberState.SUSPECTED
        member.instance = record.instance
        member.state = record.state
        member.version = record.version
        if record.state is MemberState.SUSPECTED and not was_suspected:
            member.suspicion_expires_s = now_s + self._suspicion_timeout_s

    def refresh(self, now_s: float) -> bool:
        """Recompute the live lists; return whether they changed."""
        own_id = self._own.instance_id
        live = sorted(
            name
            for name, member in self._members.items()
            if name == own_id or _is_live(member, now_s)
        )
        self.leaving = tuple(
            name
            for name, member in sorted(self._members.items())
            if member.state is MemberState.LEAVING
        )
        if self.live == tuple(live):
            return False
        self.live = tuple(live)
        self.live_in_domain = tuple(
            name
            for name in live
            if self._members[name].instance.domain == self._own.domain
        )
        return True

    def next_suspicion_expiry_s(self, now_s: float) -> float | None:
        """Return when the next suspected instance stops counting as live."""
        expiries = (
            member.suspicion_expires_s
            for member in self._members.values()
            if member.state is MemberState.SUSPECTED
        )
        return min(
            (expires_s for expires_s in expiries if expires_s > now_s),
            default=None,
        )

    def suspected_but_listed(self) -> list[Instance]:
        """Return the suspected instances that the platform still lists."""
        return [
            member.instance
            for name, member in sorted(self._members.items())
            if member.state is MemberState.SUSPECTED and name in self._listed
        ]

    def _add(self, instance: Instance) -> Member | None:
        if len(self._members) >= self._max_members:
            return None
        member = Member(instance, _STATE_OF_PRESENCE[instance.state])
        self._members[instance.instance_id] = member
        return member

    def _drop_unlisted(self) -> None:
        dropped = [
            name
            for name, member in self._members.items()
            if self._is_obsolete(name, member)
        ]
        for name in dropped:
            self._members.pop(name)

    def _is_obsolete(self, name: InstanceId, member: Member) -> bool:
        if name in self._listed or name == self._own.instance_id:
            return False
        return member.version == 0 or member.state is not MemberState.LIVE


def _is_live(member: Member, now_s: float) -> bool:
    if member.state is MemberState.SUSPECTED:
        return now_s < member.suspicion_expires_s
    return member.state is MemberState.LIVE
