"""Run a stand-in: `python -m dandelionyoke_standins <kind>`."""

import os

# Addresses are numbers here. Without its own resolver eventlet starts in
# half the time.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402 its environment comes first

eventlet.monkey_patch()

from dandelionyoke_standins._command import run  # noqa: E402 patched first

run()
