"""``python -m martentide``: see ``martentide/cli.py``."""

import sys

# asyncio takes in the standard library's TLS wherever it is found. Nothing here speaks it, and a proxy on a
# small machine has better use for 4 MB. (gRPC, where the operator turns it on, brings its own.)
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from martentide.cli import main  # noqa: E402

main()
