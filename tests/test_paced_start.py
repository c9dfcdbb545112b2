"""Imports at a limited rate, in a process that starts while its predecessor is in service."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from martentide.net.config import Address
from martentide.net.handover import handover_socket_path
from martentide.paced_start import CPU_SLICE, PacedImports, predecessor_may_serve


def test_imports_pause_for_the_processor_time_used() -> None:
    processor_time = [0.0]
    pauses: list[float] = []
    imports = PacedImports(lambda: processor_time[0], pauses.append)
    for used in (CPU_SLICE / 2, CPU_SLICE * 0.9, CPU_SLICE * 4, CPU_SLICE * 4.1):
        processor_time[0] = used
        assert imports.find_spec("anything") is None
    assert pauses == [pytest.approx(CPU_SLICE * 4)]


def test_install_and_uninstall() -> None:
    imports = PacedImports()
    imports.install()
    assert sys.meta_path[0] is imports
    imports.uninstall()
    imports.uninstall()
    assert imports not in sys.meta_path


def test_handover_socket_indicates_a_predecessor(tmp_path: Path) -> None:
    assert not predecessor_may_serve({})
    assert not predecessor_may_serve({"TMPDIR": str(tmp_path / "none")})
    environment = {"TMPDIR": str(tmp_path)}
    assert not predecessor_may_serve(environment)
    socket_path = handover_socket_path(environment, Address("127.0.0.1", 5080))
    assert socket_path is not None
    Path(socket_path).touch()
    assert predecessor_may_serve(environment)
