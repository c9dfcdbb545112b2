"""``python -m martentide``: see ``martentide/cli.py``."""

import os
import sys

from martentide.paced_start import PacedImports, predecessor_may_serve

# asyncio takes in the standard library's TLS wherever it is found. Nothing here speaks it, and a proxy on a
# small machine has better use for 4 MB. (gRPC, where the operator turns it on, brings its own.)
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

pacing = PacedImports() if predecessor_may_serve(os.environ) else None
if pacing is not None:
    pacing.install()

from martentide.cli import main  # noqa: E402

if pacing is not None:
    pacing.uninstall()
main()
