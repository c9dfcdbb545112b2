"""Generates the code under ``martentide/decisions/`` from ``proto/``: ``python -m tools.protos [--check]``.

``--check`` writes nothing and exits with 1 if the generated files are out of date; CI runs it.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).parent.parent
PROTO = "martentide/decisions/v1/decisions.proto"
GENERATED = ("martentide/decisions/v1/decisions_pb2.py", "martentide/decisions/v1/decisions_pb2.pyi")


def generate(folder: Path) -> None:
    """Generate the code into the folder; raises SystemExit if the proto file doesn't compile."""
    out = [f"--python_out={folder}", f"--pyi_out={folder}"]
    if protoc.main(["protoc", f"-I{ROOT / 'proto'}", *out, PROTO]) != 0:
        raise SystemExit(f"{PROTO} does not compile")


def main() -> int:
    """Run the command; return its exit code."""
    if sys.argv[1:] != ["--check"]:
        generate(ROOT)
        return 0
    with tempfile.TemporaryDirectory() as temporary:
        generate(Path(temporary))
        outdated = [
            path for path in GENERATED if (Path(temporary) / path).read_text() != (ROOT / path).read_text()
        ]
    for path in outdated:
        print(f"{path} is out of date: run python -m tools.protos", file=sys.stderr)
    return 1 if outdated else 0


if __name__ == "__main__":
    raise SystemExit(main())
