"""Events into the core of a fleet member, and actions out of it."""

from __future__ import annotations

from dataclasses import dataclass

from martentide.fleet.wire import Datagram, MemberRecord, Name, State, StateEntry

Address = tuple[str, int]

# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram was received and passed ``Frame.read``."""

    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Due:
    """The time ``Membership.due`` has been reached."""


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish an own state entry, valid for ``max_age`` ms; an empty body withdraws it."""

    kind: int
    schema: int
    max_age: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Depart:
    """The process shuts down: notify the other members."""


@dataclass(frozen=True, slots=True)
class SendPayload:
    """Send a message of another component to a member, whatever its state; dropped if it is unknown."""

    to: Name
    body: bytes


Event = DatagramReceived | Due | Publish | Depart | SendPayload

# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's recorded state changed; ``old`` is None for a new member.

    ``evidence`` is the reason as text for people, ``by`` the member that reported it.
    """

    record: MemberRecord
    old: State | None
    by: Name
    evidence: str


@dataclass(frozen=True, slots=True)
class Learned:
    """A newer state entry of another member was stored."""

    entry: StateEntry


@dataclass(frozen=True, slots=True)
class Displaced:
    """A newer process uses this member's name: this one stops taking part in the fleet."""

    by: MemberRecord


@dataclass(frozen=True, slots=True)
class Stalled:
    """This process didn't run for ``duration`` ms.

    It raises its health multiplier and accuses no member of timeouts in that time.
    """

    duration: float


@dataclass(frozen=True, slots=True)
class PayloadReceived:
    """A message for another component of this process was received."""

    sender: MemberRecord
    body: bytes


@dataclass(frozen=True, slots=True)
class TableFull:
    """New members were ignored, as the table holds ``limit`` (``Terms.max_members``).

    Repeated at most every ``TABLE_FULL_INTERVAL_MS``.
    """

    limit: int


Action = Send | Changed | Learned | Displaced | Stalled | PayloadReceived | TableFull
