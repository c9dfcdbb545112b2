"""``python -m martentide``: see ``martentide/cli.py``."""

from martentide.cli import main

raise SystemExit(main())
