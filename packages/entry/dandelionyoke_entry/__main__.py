"""Entry point of the `dandelionyoke-entry` command."""

import eventlet

# Before any other import, so that all libraries use eventlet's sockets.
eventlet.monkey_patch()

from dandelionyoke_links import install_event_loop  # noqa: E402 - see above

install_event_loop()

import sys  # noqa: E402 - see above

from dandelionyoke_entry._command import run_from_shell  # noqa: E402 - see above


def main() -> None:
    """Run the program and exit with its status."""
    sys.exit(run_from_shell())


if __name__ == '__main__':
    main()
