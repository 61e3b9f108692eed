"""Exit statuses of the gateway process."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Exit statuses of the gateway process.

    `CUT` means that calls in progress were cut off at shutdown.
    """

    OK = 0
    BAD_SETTINGS = 2
    CUT = 3
