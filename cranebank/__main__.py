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
        # A proxy speaks no TLS. asyncio and aiohttp do without ssl where it can't be imported; with it, aiohttp reads
        # all certificates of the machine at its import: 1.6 MB of a small memory, and a tenth of the time to the start.
        sys.modules["ssl"] = None  # type: ignore[assignment]
        from cranebank.daemon import Started, serve

        sys.exit(serve(Started(os.environ)))
