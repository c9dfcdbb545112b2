"""Pytest plug-in for tests that fail by a known fault, which KNOWN-RED.txt at the repository root lists.

Each line is ``test, cause, issue``. A listed test that fails is printed and doesn't
fail the run; one that passes is printed too, so that its line gets removed. An unknown test, a malformed
line or a test listed twice fails the run. Without the file the plug-in does nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list."""

    test: str  # pytest's node id: path::name
    cause: str
    issue: str  # number of the issue


def parse_list(text: str) -> list[KnownFailure]:
    """Parse the list; raises ValueError, which gives the line, what was expected and what was found."""
    failures: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        failure = KnownFailure(test.strip(), cause.strip(), issue.strip())
        where = f"{LIST_NAME}:{number}"
        if "::" not in failure.test or not failure.cause or not failure.issue.isdecimal():
            raise ValueError(f"{where}: expected 'path::test, cause, number of the issue', found {line!r}")
        if any(failure.test == other.test for other in failures):
            raise ValueError(f"{where}: expected each test once, found {failure.test} again")
        failures.append(failure)
    return failures


class KnownFailures:
    """The plug-in as registered for one run: marks the listed tests and prints their results."""

    def __init__(self, failures: list[KnownFailure]) -> None:
        self.listed = {failure.test: failure for failure in failures}
        self.failed: list[KnownFailure] = []
        self.passed: list[KnownFailure] = []

    @pytest.hookimpl(tryfirst=True)  # before tests are deselected by name
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Mark listed tests as expected failures; raises UsageError for one that doesn't exist."""
        tests = {item.nodeid for item in items}
        for test, failure in self.listed.items():
            path = test.partition("::")[0]
            selected_by_name = any(path in argument and "::" in argument for argument in config.args)
            whole_file = any(one.startswith(f"{path}::") for one in tests) and not selected_by_name
            if test not in tests and (whole_file or not (config.rootpath / path).is_file()):
                raise pytest.UsageError(f"{LIST_NAME}: expected a test, found {test!r}, which does not exist")
            for item in items:
                if item.nodeid == test:
                    item.add_marker(
                        pytest.mark.xfail(reason=f"{failure.cause}, issue {failure.issue}", strict=False)
                    )

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record whether a listed test failed or passed."""
        failure = self.listed.get(report.nodeid)
        if failure is None or not hasattr(report, "wasxfail"):
            return
        if report.skipped and failure not in self.failed:
            self.failed.append(failure)
        elif report.passed and report.when == "call":
            self.passed.append(failure)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the results of the listed tests."""
        for failure in self.failed:
            terminalreporter.write_line(f"known red: {failure.test} ({failure.cause}, issue {failure.issue})")
        for failure in self.passed:
            terminalreporter.write_line(f"mended, take it off {LIST_NAME}: {failure.test}")


def pytest_configure(config: pytest.Config) -> None:
    """Register the plug-in if there is a list; raises UsageError for a malformed one."""
    path = Path(config.rootpath) / LIST_NAME
    if not path.exists():
        return
    try:
        failures = parse_list(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.pluginmanager.register(KnownFailures(failures), "known-red-list")
