"""The plug-in for known failures: which failures don't fail the run, what it prints, what fails the run."""

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


def run_pytest(folder: Path, listed: str | None, *arguments: str) -> tuple[int, str]:
    """Run pytest on SUITE with a list (None: no file); return its exit code and output."""
    (folder / "test_it.py").write_text(SUITE)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    completed = subprocess.run(
        [*command, f"--rootdir={folder}", *arguments],
        cwd=folder,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.returncode, completed.stdout + completed.stderr


RED_LINE = "test_it.py::test_red, a fault, 7\n"
OTHER_LINE = "test_it.py::test_other, another, with a comma, 8\n"
ERROR_LINE = "test_it.py::test_error, its ground is missing, 9\n"
GREEN_LINE = "test_it.py::test_green, was one, 9\n"


@pytest.mark.parametrize(
    ("listed", "words", "expected_code", "expected_output"),
    [
        (None, (), 1, "2 failed, 1 passed, 1 error"),
        (RED_LINE, (), 1, "known red: test_it.py::test_red (a fault, issue 7)"),
        (
            RED_LINE + OTHER_LINE + ERROR_LINE,
            (),
            0,
            "known red: test_it.py::test_other (another, with a comma, issue 8)",
        ),
        (
            RED_LINE + OTHER_LINE + ERROR_LINE,
            (),
            0,
            "known red: test_it.py::test_error (its ground is missing, issue 9)",
        ),
        (GREEN_LINE, ("-k", "green"), 0, "mended, take it off KNOWN-RED.txt: test_it.py::test_green"),
        (RED_LINE, ("-k", "green"), 0, "1 passed"),
        (RED_LINE, ("test_it.py::test_green",), 0, "1 passed"),
        ("test_it.py::test_no, a fault, 7\n", (), 4, "expected a test, found 'test_it.py::test_no'"),
        ("test_no.py::test_red, a fault, 7\n", (), 4, "expected a test, found 'test_no.py::test_red'"),
        (RED_LINE + "test_it.py::test_other, 8\n", (), 4, "KNOWN-RED.txt:2: expected 'path::test, cause"),
        (RED_LINE + "\n", (), 4, "KNOWN-RED.txt:2: expected 'path::test, cause"),
        ("test_it.py::test_red, a fault, soon\n", (), 4, "KNOWN-RED.txt:1: expected 'path::test, cause"),
        (RED_LINE + RED_LINE, (), 4, "KNOWN-RED.txt:2: expected each test once"),
        (
            RED_LINE + OTHER_LINE + ERROR_LINE + GREEN_LINE,
            (),
            0,
            "mended, take it off KNOWN-RED.txt: test_it.py::test_green",
        ),
    ],
)
def test_list_of_known_failures_sets_exit_code_and_output(
    tmp_path: Path, listed: str | None, words: tuple[str, ...], expected_code: int, expected_output: str
) -> None:
    code, output = run_pytest(tmp_path, listed, *words)
    assert (code, expected_output in output) == (expected_code, True), output
