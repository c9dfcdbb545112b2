"""The command line: version, configuration check and errors."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from martentide import __version__
from tests.net.support import ROOT, Program


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the program."""
    command = [sys.executable, "-B", "-m", "martentide", *arguments]
    return subprocess.run(command, cwd=ROOT, env={}, capture_output=True, text=True, timeout=30)


def test_version() -> None:
    assert run("version").stdout == f"martentide {__version__}\n"


def test_check_config(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        done = run("check-config", "--config", str(program.config))
    assert done.returncode == 0
    assert done.stdout.startswith("n0: listens on 127.0.0.1:0, board 127.0.0.1:")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (None, "No such file or directory"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ("{}", "settings: missing"),
        (json.dumps({"settings": {}}), "settings: classes: expected a list of classes"),
    ],
)
@pytest.mark.parametrize("command", ["serve", "check-config"])
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, command: str, text: str | None, message: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = run(command, "--config", str(path))
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and message in done.stderr


def test_missing_configuration_path() -> None:
    assert run("serve").stderr == "martentide: PROXY_CONFIG: not set, and no --config given\n"
