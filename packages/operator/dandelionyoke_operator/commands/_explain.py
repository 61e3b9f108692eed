"""Command that explains the handling of a request from the logs."""

from dandelionyoke_operator._decision_log import find_decisions
from dandelionyoke_operator._invocation import Invocation
from dandelionyoke_operator._reports import ExplainReport


def explain(invocation: Invocation) -> ExplainReport:
    """List the decisions about a request, sorted by time."""
    request_id = invocation.argument('request')
    decisions = find_decisions(invocation.log_lines(), request_id)
    return ExplainReport(request_id, tuple(decisions))
