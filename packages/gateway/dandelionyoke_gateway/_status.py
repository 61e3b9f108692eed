"""How the process ends, for those who start it."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Exit statuses of the gateway."""

    OK = 0
    BAD_SETTINGS = 2
    CUT = 3
