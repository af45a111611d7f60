"""The program: ``python -m cranebank``.

Without arguments, as the platform starts it with GW_CONFIG, it runs one proxy and imports nothing else; with arguments
it is the command line.
"""

import os
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from cranebank.cli.main import main

        sys.exit(main())
    else:
        # A proxy uses no TLS, and asyncio and aiohttp work without the ssl module. With it, aiohttp loads all
        # certificates of the machine at import: 1.6 MB of a small memory and a tenth of the start-up time.
        sys.modules["ssl"] = None  # type: ignore[assignment]
        from cranebank.daemon import StartOptions, serve

        sys.exit(serve(StartOptions(os.environ)))
