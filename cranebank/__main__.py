"""The program: ``python -m cranebank``.

With GW_CONFIG and no arguments, as the platform starts it, this is one proxy and nothing else is imported;
with arguments it is the command line.
"""

import os
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from cranebank.cli.main import main

        sys.exit(main())
    else:
        from cranebank.daemon import Started, serve

        sys.exit(serve(Started(os.environ)))
