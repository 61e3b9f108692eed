"""What commands report; the output modules write it as text or JSON."""

from typing import ClassVar

import attrs

from dandelionyoke_core import Entity, InstanceId
from dandelionyoke_operator._decision_log import DecisionLine
from dandelionyoke_operator._exit_status import ExitStatus


@attrs.frozen
class Report:
    """Base of what a command reports."""

    status: ClassVar[ExitStatus] = ExitStatus.SUCCESS

    @property
    def exit_status(self) -> ExitStatus:
        """How the program ends after this report."""
        return self.status


@attrs.frozen
class CheckReport(Report):
    """A configuration is right; how much it holds."""

    organisations: int
    keys: int
    services: int
    models: int


@attrs.frozen
class ShowReport(Report):
    """The configuration in the store."""

    revision: int
    text: str
    entities: tuple[Entity, ...]


@attrs.frozen
class OptionDifference:
    """An option's printed value before and after; None: there is none."""

    option: str
    before: str | None
    after: str | None


@attrs.frozen
class SectionDifference:
    """A section that a change adds, changes or removes."""

    action: str
    section: str
    options: tuple[OptionDifference, ...] = ()


@attrs.frozen
class PlanReport(Report):
    """What a file would change in the configuration in force.

    `file_revision` is the revision that the file was written against.
    """

    base_revision: int
    differences: tuple[SectionDifference, ...]
    file_revision: int | None = None


@attrs.frozen
class InstanceRevision:
    """How far an entry instance is; revision None: it did not answer."""

    instance_id: InstanceId
    domain: str
    revision: int | None
    leaving: bool = False
    knowledge_age_s: float | None = None
    in_progress: int | None = None
    usable_targets: int | None = None
    duties: tuple[str, ...] = ()


@attrs.frozen
class RolloutReport(Report):
    """Where a revision is in force.

    `revision` is None where the store does not tell it. `listed` is False where the platform gave no list of instances, so that
    nobody can be asked.
    """

    revision: int | None
    instances: tuple[InstanceRevision, ...] = ()
    listed: bool = True

    @property
    def is_complete(self) -> bool:
        """Tell whether each entry that stays has the revision in force."""
        return self.listed and self.revision is not None and not self.lagging

    @property
    def lagging(self) -> tuple[InstanceRevision, ...]:
        """Entries that stay and are behind, or have not answered."""
        return tuple(
            each
            for each in self.instances
            if not each.leaving and not self.is_in_force(each)
        )

    def is_in_force(self, instance: InstanceRevision) -> bool:
        """Tell whether an entry has this revision in force."""
        if self.revision is None or instance.revision is None:
            return False
        return instance.revision >= self.revision

    @property
    def exit_status(self) -> ExitStatus:
        """Success only when it is in force everywhere."""
        if self.is_complete:
            return ExitStatus.SUCCESS
        return ExitStatus.NOT_EVERYWHERE


@attrs.frozen
class CommitReport(Report):
    """A change was committed; None as rollout: nothing had to change."""

    revision: int
    differences: tuple[SectionDifference, ...]
    rollout: RolloutReport | None
    change_id: str = ''

    @property
    def exit_status(self) -> ExitStatus:
        """How far the change has spread."""
        if self.rollout is None:
            return ExitStatus.SUCCESS
        return self.rollout.exit_status


@attrs.frozen
class KeyReport(Report):
    """A key was issued; this is the only time that it is seen."""

    key: str
    key_hash: str
    commit: CommitReport

    @property
    def exit_status(self) -> ExitStatus:
        """How far the key has spread."""
        return self.commit.exit_status


@attrs.frozen
class ChangeRecord:
    """A change of the audit trail."""

    revision: int
    change_id: str
    author: str
    reason: str
    committed_wall_s: float
    differences: tuple[SectionDifference, ...]


@attrs.frozen
class ConflictReport(Report):
    """Another change came first; nothing was done."""

    status: ClassVar[ExitStatus] = ExitStatus.CONFLICT

    base_revision: int
    present_revision: int
    changes_since: tuple[ChangeRecord, ...]


@attrs.frozen
class HistoryReport(Report):
    """Changes of the audit trail, newest first."""

    changes: tuple[ChangeRecord, ...]


@attrs.frozen
class StatusReport(Report):
    """The configuration's revision, and each entry's."""

    rollout: RolloutReport

    @property
    def exit_status(self) -> ExitStatus:
        """Success only when all entries are up to date."""
        if self.rollout.revision is None:
            return ExitStatus.UNAVAILABLE
        return self.rollout.exit_status


@attrs.frozen
class ExplainReport(Report):
    """The decisions about a request, in the order of events."""

    request_id: str
    lines: tuple[DecisionLine, ...]

    @property
    def exit_status(self) -> ExitStatus:
        """Whether the logs hold anything about the request."""
        return ExitStatus.SUCCESS if self.lines else ExitStatus.INVALID
