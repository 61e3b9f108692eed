"""Run a stand-in: `python -m dandelionyoke_standins <kind>`."""

import eventlet

eventlet.monkey_patch()

from dandelionyoke_standins._command import run  # noqa: E402 patched first

run()
