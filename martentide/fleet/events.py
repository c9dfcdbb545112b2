"""What a member of the fleet hears and asks for: events into its core, actions out of it."""

from __future__ import annotations

from dataclasses import dataclass

from martentide.fleet.wire import Datagram, MemberRecord, Name, State, StateEntry

Address = tuple[str, int]

# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Heard:
    """A datagram that passed ``Frame.read``."""

    said: Datagram


@dataclass(frozen=True, slots=True)
class Due:
    """The time ``due`` has come."""


@dataclass(frozen=True, slots=True)
class Publish:
    """An own facet from now on, until ``end`` ms of age; an empty body takes it back."""

    kind: int
    schema: int
    max_age: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Depart:
    """The process ends: the others are told."""


@dataclass(frozen=True, slots=True)
class Carry:
    """A word of another part for one member, whatever its state; lost where it is not known."""

    to: Name
    body: bytes


Event = Heard | Due | Publish | Depart | Carry

# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Changed:
    """What this member holds of another is another state now; ``old`` is None for one that is new.
    ``evidence`` says in words why, ``by`` who brought it."""

    record: MemberRecord
    old: State | None
    by: Name
    evidence: str


@dataclass(frozen=True, slots=True)
class Learned:
    """A newer facet of another member."""

    entry: StateEntry


@dataclass(frozen=True, slots=True)
class Displaced:
    """Another process bears this name by a newer right: this one is silent in the fleet from now on."""

    by: MemberRecord


@dataclass(frozen=True, slots=True)
class Stalled:
    """This process did not run for ``span`` ms: it doubts itself and accuses nobody for what came of that."""

    duration: float


@dataclass(frozen=True, slots=True)
class Carried:
    """A word for another part of this process."""

    sender: MemberRecord
    body: bytes


@dataclass(frozen=True, slots=True)
class TableFull:
    """Members beyond ``most`` are not taken up (``Terms.most_members``); said again after FULL_GAP."""

    limit: int


Action = Send | Changed | Learned | Displaced | Stalled | Carried | TableFull
