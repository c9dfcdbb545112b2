"""What passes between the decisions' actor and whoever carries an attempt: types only.

An ``Order`` is owed ``Stood`` if the attempt stands, and exactly one ``Ended`` at its end. The session
servers' own actors carry attempts, and so do fronts that bring their own carrier. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from martentide.interface import Ending, Report


@dataclass(frozen=True, slots=True)
class Order:
    """Set a call up at a server and wait ``patience`` ms for what it says; one Ended is owed for it."""

    ref: int
    attempt: int
    call: bytes
    server: str
    call_class: bytes
    number: bytes
    description: bytes
    patience: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Take an attempt back; ``hang_up``: also when it stands by now."""

    ref: int
    attempt: int
    call: bytes
    hang_up: bool


@dataclass(frozen=True, slots=True)
class Stood:
    ref: int
    attempt: int
    server: str
    lag: float
    description: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The one end of an ordered attempt, also of one that stood."""

    ref: int
    attempt: int
    server: str
    ending: Ending
    lines_full: bool
    lag: float
    report: Report | None
