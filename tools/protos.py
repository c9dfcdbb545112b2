"""Generates the code under ``martentide/decisions/`` from ``proto/``: ``python -m tools.protos [--check]``.

``--check`` writes nothing and exits with 1 where what is there is not current; CI runs it.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).parent.parent
PROTO = "martentide/decisions/v1/decisions.proto"
MADE = ("martentide/decisions/v1/decisions_pb2.py", "martentide/decisions/v1/decisions_pb2.pyi")


def generate(folder: Path) -> None:
    out = [f"--python_out={folder}", f"--pyi_out={folder}"]
    if protoc.main(["protoc", f"-I{ROOT / 'proto'}", *out, PROTO]) != 0:
        raise SystemExit(f"{PROTO} does not compile")


def main() -> int:
    if sys.argv[1:] != ["--check"]:
        generate(ROOT)
        return 0
    with tempfile.TemporaryDirectory() as name:
        generate(Path(name))
        old = [path for path in MADE if (Path(name) / path).read_text() != (ROOT / path).read_text()]
    for path in old:
        print(f"{path} is not current: run python -m tools.protos", file=sys.stderr)
    return 1 if old else 0


if __name__ == "__main__":
    raise SystemExit(main())
