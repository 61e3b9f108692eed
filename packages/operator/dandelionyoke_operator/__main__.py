"""The binary `dandelionyoke`."""

import sys
import warnings

# eventlet announces on import that it is only maintained; docs/DESIGN.md
# says why it is used. An operator would get that notice with each command.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402

eventlet.monkey_patch()

from dandelionyoke_operator._application import run  # noqa: E402
from dandelionyoke_operator._environment import Environment  # noqa: E402


def main() -> None:
    """Run the program in this process."""
    sys.exit(run(Environment(tuple(sys.argv[1:]))))


if __name__ == '__main__':
    main()
