"""Entry point of ``python -m martentide``; the commands are in ``martentide/cli.py``."""

import os
import sys

from martentide.paced_start import PacedImports, predecessor_may_serve

# asyncio imports the ssl module if it is available. The proxy does not use TLS, and leaving it out saves 4 MB
# on small machines. (gRPC, if the operator enables it, has its own TLS.)
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

pacing = PacedImports() if predecessor_may_serve(os.environ) else None
if pacing is not None:
    pacing.install()

from martentide.cli import main  # noqa: E402

if pacing is not None:
    pacing.uninstall()
main()
