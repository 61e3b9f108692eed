"""Exit statuses, for scripts that call the program."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Exit statuses; docs/COMMANDS.md describes how to react to each."""

    SUCCESS = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNSETTLED = 6
    NOT_EVERYWHERE = 7
    INTERRUPTED = 130
