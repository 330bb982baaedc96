"""Entry point of `python -m pepperstep.cli`."""

import sys

from pepperstep.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
