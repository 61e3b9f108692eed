"""Command functions: each takes an invocation and returns a report."""

from dandelionyoke_operator.commands._change import (
    apply as apply,
    plan as plan,
    undo as undo,
)
from dandelionyoke_operator.commands._explain import (
    explain as explain,
)
from dandelionyoke_operator.commands._key import (
    issue_key as issue_key,
    withdraw_key as withdraw_key,
)
from dandelionyoke_operator.commands._read import (
    check as check,
    history as history,
    show as show,
    status as status,
)
