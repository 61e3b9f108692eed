"""Parsing of the load that targets report in a header."""

from dandelionyoke_dispatch import LoadReport, LoadReportError
from dandelionyoke_gateway._messages import parse_whole_numbers

# Running and waiting calls, slots, and at some targets the time that work
# takes in percent of the usual time.
REPORT_LENGTHS = (3, 4)
PERCENT = 100
MAX_LOGGED_TEXT = 80


def parse_load(text: str | None) -> tuple[LoadReport | None, str]:
    """Parse a load report.

    The second result says what is wrong with a report that is left out.
    """
    if text is None:
        return None, ''
    numbers = parse_whole_numbers(text)
    if len(numbers) not in REPORT_LENGTHS:
        return None, f'{text[:MAX_LOGGED_TEXT]!r} is no load report'
    slowness = numbers[3] / PERCENT if len(numbers) > 3 else None
    load = LoadReport(numbers[0], numbers[1], numbers[2], slowness)
    try:
        load.validate()
    except LoadReportError as error:
        return None, f'{text!r}: {error}'
    return load, ''
