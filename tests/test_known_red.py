"""The list of tests that are known to fail: what is passed over, what is printed, what fails the run."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SUITE = """
import pytest

@pytest.fixture
def broken():
    raise OSError("no such thing")

def test_red(): assert False
def test_other(): assert False
def test_green(): pass
def test_error(broken): pass
"""


def run(folder: Path, listed: str | None, *words: str) -> tuple[int, str]:
    (folder / "test_it.py").write_text(SUITE)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    done = subprocess.run(
        [*command, f"--rootdir={folder}", *words],
        cwd=folder,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


RED = "test_it.py::test_red, a fault, 7\n"
OTHER = "test_it.py::test_other, another, with a comma, 8\n"
ERROR = "test_it.py::test_error, its ground is missing, 9\n"
GREEN = "test_it.py::test_green, was one, 9\n"


@pytest.mark.parametrize(
    ("listed", "words", "code", "said"),
    [
        (None, (), 1, "2 failed, 1 passed, 1 error"),
        (RED, (), 1, "known red: test_it.py::test_red (a fault, issue 7)"),
        (RED + OTHER + ERROR, (), 0, "known red: test_it.py::test_other (another, with a comma, issue 8)"),
        (RED + OTHER + ERROR, (), 0, "known red: test_it.py::test_error (its ground is missing, issue 9)"),
        (GREEN, ("-k", "green"), 0, "mended, take it off KNOWN-RED.txt: test_it.py::test_green"),
        (RED, ("-k", "green"), 0, "1 passed"),
        (RED, ("test_it.py::test_green",), 0, "1 passed"),
        ("test_it.py::test_no, a fault, 7\n", (), 4, "expected a test, found 'test_it.py::test_no'"),
        ("test_no.py::test_red, a fault, 7\n", (), 4, "expected a test, found 'test_no.py::test_red'"),
        (RED + "test_it.py::test_other, 8\n", (), 4, "KNOWN-RED.txt:2: expected 'path::test, cause"),
        (RED + "\n", (), 4, "KNOWN-RED.txt:2: expected 'path::test, cause"),
        ("test_it.py::test_red, a fault, soon\n", (), 4, "KNOWN-RED.txt:1: expected 'path::test, cause"),
        (RED + RED, (), 4, "KNOWN-RED.txt:2: expected each test once"),
        (RED + OTHER + ERROR + GREEN, (), 4, "KNOWN-RED.txt:4: expected 3 lines at most, found 4"),
    ],
)
def test_the_list_of_known_failures(
    tmp_path: Path, listed: str | None, words: tuple[str, ...], code: int, said: str
) -> None:
    found, output = run(tmp_path, listed, *words)
    assert (found, said in output) == (code, True), output
