"""The event log of one play, on one clock, and the scripts that make it.

A script is a list of steps; as a KDL file:

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

# What a step can be, and its arguments. NAMES: names with commas between them.
VERBS: dict[str, tuple[str, ...]] = {
    "kill": ("NAMES",),  # -9
    "term": ("NAMES",),  # SIGTERM
    "start": ("NAMES",),  # one that was killed or has ended, under its own name
    "stop": ("NAMES",),  # SIGSTOP
    "continue": ("NAMES",),
    "split": ("NAMES", "NAMES"),  # cut both ways
    "cut": ("NAMES", "NAMES"),  # from the first to the second only
    "heal": (),
    "loss": ("SHARE",),  # on all links
    "delay": ("MS", "MS"),  # and jitter
    "duplicate": ("SHARE",),
    "damage": ("SHARE",),
    "server": ("NAMES", "WORD"),  # hung, mute (to set-ups only), well, full, error, gone, back
    "starve": ("NAMES",),  # kept from the processor nine tenths of the time
    "feed": ("NAMES",),
    "clock": ("NAMES", "S"),  # the wall clock is so many s ahead now
    "pace": ("NAMES", "SHARE"),  # the wall clock gains so much in a s since the start
    "surge": ("SHARE",),  # times the load
    "surge-at": ("NAMES", "SHARE"),  # at some members only
    "upgrade": ("NAMES",),  # a second process takes over
}
SERVER_STATES = ("hung", "mute", "well", "full", "error", "gone", "back")


class ScenarioError(Exception):
    """A script can't be played; the text is one line with place, found and expected."""


@dataclass(frozen=True, slots=True)
class Step:
    at: float  # ms from the begin
    verb: str
    arguments: tuple[Any, ...] = ()

    def __str__(self) -> str:
        return " ".join([f"at {self.at / 1000:g}", f'"{self.verb}"', *map(_quoted, self.arguments)])


def _quoted(value: Any) -> str:
    return f'"{value}"' if isinstance(value, str) else f"{value:g}"


@dataclass(frozen=True)
class Scenario:
    proxies: int = 4
    servers: int = 4
    zones: int = 3
    seconds: float = 30.0
    seed: int = 1
    rate: float = 20.0  # calls a second, all proxies together
    steps: tuple[Step, ...] = ()

    def names(self) -> list[str]:
        return [f"n{at}" for at in range(self.proxies)]

    def text(self) -> str:
        head = (
            f"fleet proxies={self.proxies} servers={self.servers} zones={self.zones} "
            f"seconds={self.seconds:g} seed={self.seed} rate={self.rate:g}"
        )
        return "\n".join([head, *map(str, self.steps)]) + "\n"


@dataclass(frozen=True, slots=True)
class Event:
    """``observer`` saw or did it; ``subject`` whom it concerns."""

    at: float
    kind: str
    observer: str
    subject: str = ""
    fields: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        more = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return (
            f"{self.at / 1000:8.3f}  {self.observer:<10} {self.kind:<14} {self.subject:<10} {more}".rstrip()
        )


def split_names(text: str) -> list[str]:
    return [name for name in text.split(",") if name]


def parse_scenario(text: str, path: str) -> Scenario:
    """Raises ScenarioError."""
    try:
        document = ckdl.parse(text)
    except ckdl.ParseError as error:
        raise ScenarioError(f"{path}: {error}") from None
    head: dict[str, Any] = {}
    steps: list[Step] = []
    for number, node in enumerate(document.nodes, 1):
        where = f"{path}: node {number} ({node.name})"
        if node.name == "fleet":
            for name, value in node.properties.items():
                known = {"proxies", "servers", "zones", "seconds", "seed", "rate"}
                if name not in known or type(value) not in (int, float) or value < 0:
                    raise ScenarioError(f"{where}: {name}={value!r}: expected a number for {sorted(known)}")
                head[name] = value if name in ("seconds", "rate") else int(value)
        elif node.name == "at":
            steps.append(_step(node.args, where))
        else:
            raise ScenarioError(f"{where}: expected fleet or at, found {node.name}")
    script = Scenario(**head, steps=tuple(sorted(steps, key=lambda step: step.at)))
    _check_names(script, path)
    return script


def _step(arguments: Sequence[Any], where: str) -> Step:
    if len(arguments) < 2 or type(arguments[0]) not in (int, float) or arguments[0] < 0:
        raise ScenarioError(f"{where}: expected seconds and a verb, found {list(arguments)!r}")
    at, verb, *rest = arguments
    if verb not in VERBS:
        raise ScenarioError(f"{where}: expected one of {', '.join(VERBS)}, found {verb!r}")
    wanted = VERBS[verb]
    if len(rest) != len(wanted):
        raise ScenarioError(f"{where}: {verb} takes {' '.join(wanted) or 'nothing'}, found {rest!r}")
    for kind, value in zip(wanted, rest, strict=True):
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
    return Step(at * 1000.0, verb, tuple(rest))


def _check_names(script: Scenario, path: str) -> None:
    known = {*script.names(), *(f"s{at}" for at in range(script.servers)), "board", "callers"}
    for step in script.steps:
        for kind, value in zip(VERBS[step.verb], step.arguments, strict=True):
            for name in split_names(value) if kind == "NAMES" else ():
                if name not in known:
                    raise ScenarioError(f"{path}: {step}: no such member or server: {name}")


def load_scenario(path: str) -> Scenario:
    try:
        return parse_scenario(Path(path).read_text(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
