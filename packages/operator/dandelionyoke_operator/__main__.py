"""Entry point of the `dandelionyoke` command."""

import sys
import warnings

# eventlet emits a deprecation warning on import, which an operator would see
# with each command. docs/DESIGN.md gives the reason for using eventlet.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402 - see above

eventlet.monkey_patch()

from dandelionyoke_operator._application import run  # noqa: E402 - see above
from dandelionyoke_operator._environment import Environment  # noqa: E402 - see above


def main() -> None:
    """Run the command line program and exit with its status."""
    sys.exit(run(Environment(tuple(sys.argv[1:]))))


if __name__ == '__main__':
    main()
