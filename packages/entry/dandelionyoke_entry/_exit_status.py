"""How the process ends, for scripts that start it."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Exit statuses of `dandelionyoke-entry`.

    CUT means that a second signal ended the process with requests open.
    """

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2
    CUT = 3
