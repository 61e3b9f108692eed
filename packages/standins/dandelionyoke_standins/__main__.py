"""Run a stand-in: `python -m dandelionyoke_standins <kind>`."""

import os

# All addresses are numeric, so eventlet's own DNS resolver isn't needed.
# Without it eventlet starts in half the time.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402 reads the environment on import

eventlet.monkey_patch()

from dandelionyoke_standins._command import run  # noqa: E402 needs the patched modules

run()
