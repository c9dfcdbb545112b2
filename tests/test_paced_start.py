"""Throttled imports of a process that starts beside one in service."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from martentide.net.config import Address
from martentide.net.handover import handover_socket_path
from martentide.paced_start import CPU_SLICE, PacedImports, predecessor_may_serve


def test_imports_pause_for_the_processor_time_used() -> None:
    clock = [0.0]
    pauses: list[float] = []
    pacing = PacedImports(lambda: clock[0], pauses.append)
    for used in (CPU_SLICE / 2, CPU_SLICE * 0.9, CPU_SLICE * 4, CPU_SLICE * 4.1):
        clock[0] = used
        assert pacing.find_spec("anything") is None
    assert pauses == [pytest.approx(CPU_SLICE * 4)]


def test_install_and_uninstall() -> None:
    pacing = PacedImports()
    pacing.install()
    assert sys.meta_path[0] is pacing
    pacing.uninstall()
    pacing.uninstall()
    assert pacing not in sys.meta_path


def test_handover_socket_indicates_a_predecessor(tmp_path: Path) -> None:
    assert not predecessor_may_serve({})
    assert not predecessor_may_serve({"TMPDIR": str(tmp_path / "none")})
    environment = {"TMPDIR": str(tmp_path)}
    assert not predecessor_may_serve(environment)
    place = handover_socket_path(environment, Address("127.0.0.1", 5080))
    assert place is not None
    Path(place).touch()
    assert predecessor_may_serve(environment)
