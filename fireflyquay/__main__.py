"""Entry point of the command line, `python -m fireflyquay`."""

import sys

from fireflyquay.daemons import main

if __name__ == "__main__":
    sys.exit(main())
