"""The proxy as a program: ``python -m cranebank``."""

import os
import sys

from cranebank.daemon import main

if __name__ == "__main__":
    sys.exit(main(os.environ))
