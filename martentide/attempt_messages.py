"""Messages between the dispatcher and whoever carries an attempt; types only.

The carrier responds to an ``Order`` with ``Stood`` if the attempt stands, and with exactly one ``Ended`` at
its end. Attempts are carried by the actors of the session servers, or by a front end that brings its own
carrier. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, Protocol

from martentide.interface import Ending, Report


class Presence(Enum):
    """Whether the caller of a call still waits for it, as far as can be determined without blocking."""

    PRESENT = "here"
    LEFT = "left"  # its connection has ended, although the end may not have been read yet
    UNPROCESSED_INPUT = "unheard"  # it has sent data that was not processed yet and may contain a give-up


class Client(Protocol):
    """The connection on which a call was offered, for checks before an attempt begins."""

    def check_presence(self) -> Presence:
        """Return whether the caller still waits for the call."""
        ...

    def when_processed(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once all input sent by now was processed and any give-up in it passed on.

        It is not called if the connection ends before that; the call is then given up.
        """


@dataclass(frozen=True, slots=True)
class Order:
    """Set a call up at a server and wait ``patience`` ms for its response; results in one Ended."""

    ref: int
    attempt: int
    call: bytes
    server: str
    call_class: bytes
    number: bytes
    description: bytes
    patience: float
    client: Client | None = None  # None: the caller's presence can't be checked; it only sends a give-up


@dataclass(frozen=True, slots=True)
class InputProcessed:
    """The input that the client had sent when it was checked has been processed: the attempt may begin."""

    LOG_NAME: ClassVar[str] = "Heard"

    ref: int
    attempt: int
    call: bytes
    server: str


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client was found gone right before an attempt: neither this attempt nor a later one begins."""

    ref: int


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Withdraw an attempt; ``hang_up``: also if it stands by now."""

    ref: int
    attempt: int
    call: bytes
    hang_up: bool


@dataclass(frozen=True, slots=True)
class Stood:
    """The server answered the attempt ``lag`` ms after its set-up was sent; the call stands."""

    ref: int
    attempt: int
    server: str
    lag: float
    description: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of an ordered attempt, sent exactly once, also for one that stood; ``lag`` in ms."""

    ref: int
    attempt: int
    server: str
    ending: Ending
    lines_full: bool
    lag: float
    report: Report | None
