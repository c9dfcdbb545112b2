"""Messages between a front proxy and the decision service, independent of the transport; types only.

A *front* asks about requests. The answer is a *route* (an attempt to carry out) or one of the four final
verdicts: refused, failed, cancelled, stands. Each request gets exactly one final while its front is
connected, and at most one of its attempts is in flight. Times and durations are in milliseconds; ``now`` and
``at`` are Unix times.
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
    CLOSING = "closing"  # the proxy shuts down
    DRAINING = "draining"  # the server drains: an unused route is withdrawn
    SERVER_GONE = "server-gone"
    PATIENCE = "patience"  # the attempt timed out without an outcome
    LATE = "late"  # the report concerns an attempt that has ended


# ---- from a front ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Ask:
    """A question about a request. ``time_left`` None: the class's give-up time; ``first_choice`` -1: none."""

    request: int
    call_class: str
    number: str | None
    time_left: float | None
    first_choice: int
    at: float  # time from which ``time_left`` counts
    received_at: float | None = None  # None: the same as ``at``


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an attempt. ``ending`` None: the call stands. ``lag``: ms since its first byte."""

    request: int
    attempt: int
    ending: Ending | None
    lag: float
    lines_full: bool = False
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """The front's caller has left; the front has given up the attempt in flight, if any."""

    request: int


@dataclass(frozen=True, slots=True)
class Over:
    """A standing call has ended; ``cut``: it was cut off."""

    request: int
    cut: bool
    report: Report | None = None


FromFront = Ask | Outcome | Cancel | Over


# ---- to a front -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Route:
    """Attempt the set-up at ``server``: first byte within ``valid_for`` ms, give-up after ``patience`` ms.

    Both times count from the receipt of this message.
    """

    request: int
    attempt: int
    server: str
    address: str
    zone: str
    patience: float
    valid_for: float
    held: bool = False  # the decision module delayed the verdict on purpose
    waited: float = 0.0  # ms from the question to this verdict


@dataclass(frozen=True, slots=True)
class Refused:
    """Final: no attempt can have been executed. ``retry_after`` in ms; 0: no advice."""

    request: int
    retry_after: float
    why: Why
    held: bool = False
    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Final: no further attempt is made, and an earlier attempt may have been executed."""

    request: int
    why: Why
    held: bool = False
    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Final: the cancel was received before any other final was sent."""

    request: int


@dataclass(frozen=True, slots=True)
class Standing:
    """Final: the outcome 'stands' was received in time."""

    request: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Give up an attempt.

    With ``if_unused``, only if nothing of it has been sent; the front then reports it as not sent. Without
    it, nothing has to be reported, and a call that stands must be released.
    """

    request: int
    attempt: int
    if_unused: bool
    why: Why


@dataclass(frozen=True, slots=True)
class Release:
    """A standing call has ended at its server."""

    request: int
    why: Why


@dataclass(frozen=True, slots=True)
class Welcomed:
    """First message on each stream: the routed and the standing requests; all others are closed."""

    routed: tuple[int, ...]
    standing: tuple[int, ...]


Final = Refused | Failed | Cancelled | Standing
ToFront = Route | Final | Withdrawn | Release | Welcomed
