"""Commands that do not change the configuration."""

import contextlib
import datetime
import re
from types import MappingProxyType

from dandelionyoke_operator._audit_filter import affects_organisation
from dandelionyoke_operator._audit_trail import replay_changes
from dandelionyoke_operator._configuration import Configuration
from dandelionyoke_operator._errors import UnavailableError, UsageError
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._reports import (
    CheckReport,
    HistoryReport,
    ShowReport,
    StatusReport,
)
from dandelionyoke_operator._rollout import read_rollout

_UNITS_S = MappingProxyType({'m': 60, 'h': 3600, 'd': 86_400})
_RELATIVE_TIME = re.compile(r'(\d+)([mhd])')


def check(invocation: Invocation) -> CheckReport:
    """Validate a file without connecting to the platform."""
    snapshot = invocation.configuration().snapshot
    return CheckReport(
        organisations=len(snapshot.organisations),
        keys=len(snapshot.keys),
        services=len(snapshot.services),
        models=len(snapshot.models),
    )


def show(invocation: Invocation) -> ShowReport:
    """Print the configuration in the store as INI."""
    loaded = invocation.repository(invocation.platform()).load()
    configuration = Configuration.from_snapshot(loaded.snapshot)
    return ShowReport(
        revision=loaded.snapshot.revision,
        text=str(configuration),
        entities=configuration.entities,
    )


def history(invocation: Invocation) -> HistoryReport:
    """List the audit trail, newest first."""
    repository = invocation.repository(invocation.platform())
    loaded = repository.load(invocation.limit)
    since_s = _parse_time(invocation, 'since')
    until_s = _parse_time(invocation, 'until')
    organisation = invocation.option('organisation')
    changes = loaded.changes
    matching = [
        record
        for change, record in zip(changes, replay_changes(changes), strict=True)
        if (since_s is None or change.committed_wall_s >= since_s)
        and (until_s is None or change.committed_wall_s <= until_s)
        and (
            organisation is None
            or affects_organisation(change, organisation, changes)
        )
    ]
    return HistoryReport(tuple(reversed(matching)))


def status(invocation: Invocation) -> StatusReport:
    """Report the status of each entry, also during an outage of the store.

    Entries continue to serve during an outage of the store, and the operator
    then needs to know how stale their configuration is.
    """
    platform = invocation.platform()
    revision = None
    with contextlib.suppress(UnavailableError):
        loaded = invocation.repository(platform).load()
        revision = loaded.snapshot.revision
    return StatusReport(read_rollout(platform, revision))


def _parse_time(invocation: Invocation, name: str) -> float | None:
    text = invocation.option(name)
    if text is None:
        return None
    relative = _RELATIVE_TIME.fullmatch(text)
    if relative:
        elapsed_s = int(relative.group(1)) * _UNITS_S[relative.group(2)]
        return invocation.environment.wall_clock_s() - elapsed_s
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise UsageError(
            f'--{name} is {text!r}',
            'Write a time such as 2026-12-03T18:30, or an age: 90m, 2h, 3d',
        ) from None
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.timestamp()
