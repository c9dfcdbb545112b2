"""What a front proxy says and is told, whatever service carries it: types only.

A *front* asks about requests. It is told a *route* (an attempt to carry out) or one of the four finals:
refused, failed, cancelled, stands. Each request gets exactly one final while its front is in reach, and at
most one of its attempts is out. Times and durations are milliseconds; ``now`` and ``at`` are Unix time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martentide.interface import Ending, Report


class Why(Enum):
    """Reason codes of refusals, failures and withdrawals (docs/EXTERNAL-PROCESSOR.md has a row for each)."""

    DECIDED = "decided"  # the decision module refused or failed it
    DEADLINE = "deadline"  # no decision, or no outcome, in time
    UNKNOWN_CLASS = "unknown-class"
    BAD_REQUEST = "bad-request"  # a field is out of its range
    FRONT_RATE = "front-rate"  # over this front's rate
    FRONT_BUSY = "front-busy"  # over this front's open requests
    BUSY = "busy"  # over what all fronts together may have open
    CLOSING = "closing"  # the proxy ends
    DRAINING = "draining"  # the server drains: an unused route is taken back
    SERVER_GONE = "server-gone"
    PATIENCE = "patience"  # the attempt's time is over and no outcome came
    LATE = "late"  # the report concerns an attempt that is over


# ---- from a front ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Ask:
    """What to do about a request? ``time_left`` None: the class's give-up time; ``first_choice`` -1: none."""

    request: int
    call_class: str
    number: str | None
    time_left: float | None
    first_choice: int
    at: float  # the time left counts from then
    received_at: float | None = None  # when it was read here; None: at ``at``


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of an attempt. ``ending`` None: it stands. ``lag`` ms from its first byte."""

    request: int
    attempt: int
    ending: Ending | None
    lag: float
    lines_full: bool = False
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """The front's caller has left; an attempt that is out has been given up by the front."""

    request: int


@dataclass(frozen=True, slots=True)
class Over:
    """A request that stood is over; ``cut``: not by its own end."""

    request: int
    cut: bool
    report: Report | None = None


FromFront = Ask | Outcome | Cancel | Over


# ---- to a front -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Route:
    """Set up at ``server`` now: first byte within ``valid_for``, given up ``patience`` after this came."""

    request: int
    attempt: int
    server: str
    address: str
    zone: str
    patience: float
    valid_for: float
    held: bool = False  # the decision module had it wait on purpose
    waited: float = 0.0  # ms from the question to this


@dataclass(frozen=True, slots=True)
class Refused:
    """Final: nothing of it may have run. ``retry_after`` 0: no advice."""

    request: int
    retry_after: float
    why: Why
    held: bool = False
    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Final: it is not tried again, and an earlier attempt may have run."""

    request: int
    why: Why
    held: bool = False
    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Final: the cancel was heard before any other final."""

    request: int


@dataclass(frozen=True, slots=True)
class Standing:
    """Final: the outcome 'stands' was heard in time."""

    request: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Give an attempt up. ``if_unused``: only if nothing of it was sent yet, and then report it as not sent;
    otherwise nothing need be reported, and should it stand, it must be released."""

    request: int
    attempt: int
    if_unused: bool
    why: Why


@dataclass(frozen=True, slots=True)
class Release:
    """A request that stood is over at its server."""

    request: int
    why: Why


@dataclass(frozen=True, slots=True)
class Welcomed:
    """First on each stream: the requests that are routed, and that stand; any other is closed."""

    routed: tuple[int, ...]
    standing: tuple[int, ...]


Final = Refused | Failed | Cancelled | Standing
ToFront = Route | Final | Withdrawn | Release | Welcomed
