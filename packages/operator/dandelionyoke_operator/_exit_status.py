"""How the program ends, for scripts that call it."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """The exit statuses; docs/COMMANDS.md tells what to do after each."""

    SUCCESS = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNSETTLED = 6
    NOT_EVERYWHERE = 7
    INTERRUPTED = 130
