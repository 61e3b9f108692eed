"""Reports of the commands; the output modules write them as text or JSON."""

from typing import ClassVar

import attrs

from dandelionyoke_core import Entity, InstanceId
from dandelionyoke_operator._decision_log import DecisionLine
from dandelionyoke_operator._exit_status import ExitStatus


@attrs.frozen
class Report:
    """Base of the reports of all commands."""

    status: ClassVar[ExitStatus] = ExitStatus.SUCCESS

    @property
    def exit_status(self) -> ExitStatus:
        """Exit status of the program after this report."""
        return self.status


@attrs.frozen
class CheckReport(Report):
    """Numbers of entities in a valid configuration."""

    organisations: int
    keys: int
    services: int
    models: int


@attrs.frozen
class ShowReport(Report):
    """Configuration in the store."""

    revision: int
    text: str
    entities: tuple[Entity, ...]


@attrs.frozen
class OptionDifference:
    """Formatted value of an option before and after; None if absent."""

    option: str
    before: str | None
    after: str | None


@attrs.frozen
class SectionDifference:
    """Section that a change adds, changes or removes."""

    action: str
    section: str
    options: tuple[OptionDifference, ...] = ()


@attrs.frozen
class PlanReport(Report):
    """Differences between a file and the configuration in force.

    `file_revision` is the base revision of the file.
    """

    base_revision: int
    differences: tuple[SectionDifference, ...]
    file_revision: int | None = None


@attrs.frozen
class InstanceRevision:
    """Status of an entry instance; `revision` is None if it did not answer."""

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
    """Entry instances and the revisions that they have in force.

    `revision` is the expected one, or None if the store did not answer.
    `listed` is False if the platform returned no list of instances, so that
    none could be queried.
    """

    revision: int | None
    instances: tuple[InstanceRevision, ...] = ()
    listed: bool = True

    @property
    def is_complete(self) -> bool:
        """Whether all entries but leaving ones have the revision in force."""
        return self.listed and self.revision is not None and not self.lagging

    @property
    def lagging(self) -> tuple[InstanceRevision, ...]:
        """Entries that are behind or did not answer, except leaving ones."""
        return tuple(
            each
            for each in self.instances
            if not each.leaving and not self.is_in_force(each)
        )

    def is_in_force(self, instance: InstanceRevision) -> bool:
        """Return whether an entry has this revision in force."""
        if self.revision is None or instance.revision is None:
            return False
        return instance.revision >= self.revision

    @property
    def exit_status(self) -> ExitStatus:
        """Success only if the revision is in force everywhere."""
        if self.is_complete:
            return ExitStatus.SUCCESS
        return ExitStatus.NOT_EVERYWHERE


@attrs.frozen
class CommitReport(Report):
    """Result of a commit; `rollout` is None if there was nothing to change."""

    revision: int
    differences: tuple[SectionDifference, ...]
    rollout: RolloutReport | None
    change_id: str = ''

    @property
    def exit_status(self) -> ExitStatus:
        """Exit status of the rollout."""
        if self.rollout is None:
            return ExitStatus.SUCCESS
        return self.rollout.exit_status


@attrs.frozen
class KeyReport(Report):
    """Issued key; this report is the only place where it is shown."""

    key: str
    key_hash: str
    commit: CommitReport

    @property
    def exit_status(self) -> ExitStatus:
        """Exit status of the rollout of the key."""
        return self.commit.exit_status


@attrs.frozen
class ChangeRecord:
    """Change in the audit trail."""

    revision: int
    change_id: str
    author: str
    reason: str
    committed_wall_s: float
    differences: tuple[SectionDifference, ...]


@attrs.frozen
class ConflictReport(Report):
    """Conflict with a change committed earlier; nothing was changed."""

    status: ClassVar[ExitStatus] = ExitStatus.CONFLICT

    base_revision: int
    present_revision: int
    changes_since: tuple[ChangeRecord, ...]


@attrs.frozen
class HistoryReport(Report):
    """Changes in the audit trail, newest first."""

    changes: tuple[ChangeRecord, ...]


@attrs.frozen
class StatusReport(Report):
    """Revision in the store and that of each entry."""

    rollout: RolloutReport

    @property
    def exit_status(self) -> ExitStatus:
        """Success only if the store answers and all entries are up to date."""
        if self.rollout.revision is None:
            return ExitStatus.UNAVAILABLE
        return self.rollout.exit_status


@attrs.frozen
class ExplainReport(Report):
    """Decisions about a request, sorted by time."""

    request_id: str
    lines: tuple[DecisionLine, ...]

    @property
    def exit_status(self) -> ExitStatus:
        """Success only if the logs contain the request."""
        return ExitStatus.SUCCESS if self.lines else ExitStatus.INVALID
