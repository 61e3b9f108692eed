"""Exit statuses, for scripts that start the process."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Exit statuses of `dandelionyoke-entry`.

    CUT means that a second signal ended the process with requests in progress.
    """

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2
    CUT = 3
