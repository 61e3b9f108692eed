"""The entry process: settings, wiring, logs, metrics and its end.

Importing this package opens no socket library, so that `__main__` can make
the sockets green first.
"""

from dandelionyoke_entry._exit_status import ExitStatus as ExitStatus
from dandelionyoke_entry._settings import (
    EntrySettings as EntrySettings,
    read_settings as read_settings,
)
