"""Fault scenarios, and the events of the log that a run of one writes.

A scenario is a list of steps; as a KDL file:

    fleet proxies=4 servers=4 zones=3 seconds=30 seed=1
    at 5 "kill" "n1"
    at 9 "split" "n0,n1" "n2,n3"
    at 15 "heal"
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ckdl

# Verbs of the steps, and the kinds of their arguments. NAMES: comma-separated names.
VERBS: dict[str, tuple[str, ...]] = {
    "kill": ("NAMES",),  # SIGKILL
    "term": ("NAMES",),  # SIGTERM
    "start": ("NAMES",),  # start an ended process again under its own name
    "stop": ("NAMES",),  # SIGSTOP
    "continue": ("NAMES",),
    "split": ("NAMES", "NAMES"),  # cut in both directions
    "cut": ("NAMES", "NAMES"),  # cut from the first to the second only
    "heal": (),
    "loss": ("SHARE",),  # on all links
    "delay": ("MS", "MS"),  # delay and jitter
    "duplicate": ("SHARE",),
    "damage": ("SHARE",),
    "server": ("NAMES", "WORD"),  # hung, mute (to set-ups only), well, full, error, gone, back
    "starve": ("NAMES",),  # suspended for nine tenths of the time
    "feed": ("NAMES",),
    "clock": ("NAMES", "S"),  # sets the offset of the wall clock
    "pace": ("NAMES", "SHARE"),  # s that the wall clock gains per s since the process started
    "surge": ("SHARE",),  # factor of the call rate
    "surge-at": ("NAMES", "SHARE"),  # as surge, at some members only
    "upgrade": ("NAMES",),  # a successor process takes over
}
SERVER_STATES = ("hung", "mute", "well", "full", "error", "gone", "back")


class ScenarioError(Exception):
    """A scenario is invalid; the text is one line with the place, what was found and what is expected."""


@dataclass(frozen=True, slots=True)
class Step:
    """One action of a scenario."""

    at: float  # ms from the start of the scenario
    verb: str
    arguments: tuple[Any, ...] = ()

    def __str__(self) -> str:
        return " ".join([f"at {self.at / 1000:g}", f'"{self.verb}"', *map(_format_argument, self.arguments)])


def _format_argument(value: Any) -> str:
    return f'"{value}"' if isinstance(value, str) else f"{value:g}"


@dataclass(frozen=True)
class Scenario:
    """Size and load of a fleet, and the steps of a run."""

    proxies: int = 4
    servers: int = 4
    zones: int = 3
    seconds: float = 30.0
    seed: int = 1
    rate: float = 20.0  # calls per s, all proxies together
    steps: tuple[Step, ...] = ()

    def names(self) -> list[str]:
        """Names of the proxies."""
        return [f"n{number}" for number in range(self.proxies)]

    def text(self) -> str:
        """The scenario as a KDL document."""
        header = (
            f"fleet proxies={self.proxies} servers={self.servers} zones={self.zones} "
            f"seconds={self.seconds:g} seed={self.seed} rate={self.rate:g}"
        )
        return "\n".join([header, *map(str, self.steps)]) + "\n"


@dataclass(frozen=True, slots=True)
class Event:
    """One entry of the log: ``observer`` saw or did something that concerns ``subject``."""

    at: float  # ms from the start of the log
    kind: str
    observer: str
    subject: str = ""
    fields: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return (
            f"{self.at / 1000:8.3f}  {self.observer:<10} {self.kind:<14} {self.subject:<10} {fields}".rstrip()
        )


def split_names(text: str) -> list[str]:
    """Split a NAMES argument."""
    return [name for name in text.split(",") if name]


def parse_scenario(text: str, path: str) -> Scenario:
    """Parse a KDL document; ``path`` is for messages. Raises ScenarioError."""
    try:
        document = ckdl.parse(text)
    except ckdl.ParseError as error:
        raise ScenarioError(f"{path}: {error}") from None
    settings: dict[str, Any] = {}
    steps: list[Step] = []
    for number, node in enumerate(document.nodes, 1):
        where = f"{path}: node {number} ({node.name})"
        if node.name == "fleet":
            for name, value in node.properties.items():
                known = {"proxies", "servers", "zones", "seconds", "seed", "rate"}
                if name not in known or type(value) not in (int, float) or value < 0:
                    raise ScenarioError(f"{where}: {name}={value!r}: expected a number for {sorted(known)}")
                settings[name] = value if name in ("seconds", "rate") else int(value)
        elif node.name == "at":
            steps.append(_parse_step(node.args, where))
        else:
            raise ScenarioError(f"{where}: expected fleet or at, found {node.name}")
    scenario = Scenario(**settings, steps=tuple(sorted(steps, key=lambda step: step.at)))
    _check_names(scenario, path)
    return scenario


def _parse_step(arguments: Sequence[Any], where: str) -> Step:
    if len(arguments) < 2 or type(arguments[0]) not in (int, float) or arguments[0] < 0:
        raise ScenarioError(f"{where}: expected seconds and a verb, found {list(arguments)!r}")
    at, verb, *step_arguments = arguments
    if verb not in VERBS:
        raise ScenarioError(f"{where}: expected one of {', '.join(VERBS)}, found {verb!r}")
    parameters = VERBS[verb]
    if len(step_arguments) != len(parameters):
        raise ScenarioError(
            f"{where}: {verb} takes {' '.join(parameters) or 'nothing'}, found {step_arguments!r}"
        )
    for kind, value in zip(parameters, step_arguments, strict=True):
        if kind in ("NAMES", "WORD") and not isinstance(value, str):
            raise ScenarioError(f"{where}: expected {kind}, found {value!r}")
        if kind == "SHARE" and (type(value) not in (int, float) or not 0 <= value <= 10):
            raise ScenarioError(f"{where}: expected a share, found {value!r}")
        if kind == "MS" and (type(value) not in (int, float) or not 0 <= value <= 60_000):
            raise ScenarioError(f"{where}: expected milliseconds, found {value!r}")
        if kind == "S" and (type(value) not in (int, float) or abs(value) > 1e7):
            raise ScenarioError(f"{where}: expected seconds, found {value!r}")
        if kind == "WORD" and value not in SERVER_STATES:
            raise ScenarioError(f"{where}: expected one of {', '.join(SERVER_STATES)}, found {value!r}")
    return Step(at * 1000.0, verb, tuple(step_arguments))


def _check_names(scenario: Scenario, path: str) -> None:
    known = {*scenario.names(), *(f"s{number}" for number in range(scenario.servers)), "board", "callers"}
    for step in scenario.steps:
        for kind, value in zip(VERBS[step.verb], step.arguments, strict=True):
            for name in split_names(value) if kind == "NAMES" else ():
                if name not in known:
                    raise ScenarioError(f"{path}: {step}: no such member or server: {name}")


def load_scenario(path: str) -> Scenario:
    """Read a scenario file. Raises ScenarioError, also where the file can't be read."""
    try:
        return parse_scenario(Path(path).read_text(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
