"""What passes between the decisions' actor and whoever carries an attempt: types only.

An ``Order`` is owed ``Stood`` if the attempt stands, and exactly one ``Ended`` at its end. The session
servers' own actors carry attempts, and so do fronts that bring their own carrier. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from martentide.interface import Ending, Report


class Presence(Enum):
    """Whether who offered a call still waits for it, as far as can be told without waiting."""

    PRESENT = "here"
    LEFT = "left"  # its connection is over, though that may not have been read yet
    UNPROCESSED_INPUT = "unheard"  # it has said something that was not taken yet; a give-up may be in it


class Client(Protocol):
    """The connection on which a call was offered, as whoever is about to begin an attempt may ask it."""

    def check_presence(self) -> Presence: ...

    def when_processed(self, callback: Callable[[], None]) -> None:
        """Call ``then`` once what the client has said by now was taken, and any give-up in it passed on. It
        is not called where the connection ends before: the call is given up then."""


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
    client: Client | None = None  # None: whoever offered the call can't be looked at, only heard


@dataclass(frozen=True, slots=True)
class Heard:
    """What the client had said when it was looked at has been taken: the attempt may begin now."""

    ref: int
    attempt: int
    call: bytes
    server: str


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """Found as an attempt was about to begin: it does not begin, and no other one will."""

    ref: int


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
