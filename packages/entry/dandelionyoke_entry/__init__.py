"""The entry process: settings, wiring, logs, metrics and shutdown.

Importing this package imports no socket library, so that `__main__` can
apply eventlet's monkey patching first.
"""

from dandelionyoke_entry._exit_status import ExitStatus as ExitStatus
from dandelionyoke_entry._settings import (
    EntrySettings as EntrySettings,
    read_settings as read_settings,
)
