"""What one member believes of each zone, from what it sees of single servers and members.

    up         most of the zone answers
    doubtful   most of it is silent, for too short a time to act on
    lost       it has been for long enough; ``cause`` says what the evidence is for
    returning  most of it answers again; it is up once that has held for long enough

Hysteresis: a zone is doubted from ``silent`` of its servers on and well again below ``well`` only. Two losses
within FLAP_SPAN earn a longer return each, doubling, forgiven one by one with time. One member's belief
decides nothing; it is told to others with its age. Pure: a census in, beliefs out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum

FLAP_SPAN = 20_000.0  # ms after a return within which another loss is a flap
FORGIVEN = 60_000.0  # ms that forgive one flap
MOST_FLAPS = 4  # doublings of the time to return
MOST_ZONES = 256


class State(IntEnum):
    UP = 0
    DOUBTFUL = 1
    LOST = 2
    RETURNING = 3


class Cause(Enum):
    """What the evidence is for; only the first two are a reason to send its calls elsewhere."""

    CUT_OFF = "neither its servers nor its members answer here"
    SERVERS = "its servers are silent, its members speak"
    MEMBERS = "its members are silent, its servers answer"
    SELF = "no other zone answers: it is this one that is cut off"
    NONE = "it answers"


@dataclass(frozen=True, slots=True)
class Census:
    """One zone at one time, as one member sees it. Servers and members without any word are not counted."""

    servers: int
    silent_servers: int
    members: int
    silent_members: int

    @property
    def servers_silent(self) -> float:
        return self.silent_servers / self.servers if self.servers else 0.0

    @property
    def members_silent(self) -> float:
        return self.silent_members / self.members if self.members else 0.0


@dataclass(frozen=True, slots=True)
class Terms:
    """Shares 0 to 1; ms."""

    silent: float = 0.7  # of a zone's servers, or members, from which it is doubted
    well: float = 0.4  # below which it is well again
    lost_after: float = 1_500.0
    back_after: float = 3_000.0  # doubles with each flap


@dataclass(slots=True)
class Belief:
    """Of one zone. ``since``: when the state began; ``flaps`` in a row, as of ``flapped``."""

    state: State = State.UP
    cause: Cause = Cause.NONE
    since: float = 0.0
    flaps: int = 0
    flapped: float = -1e18
    returned: float = -1e18
    well_since: float | None = None


@dataclass
class Evidence:
    """``own`` is the member's zone."""

    own: str
    terms: Terms = field(default_factory=Terms)
    zones: dict[str, Belief] = field(default_factory=dict)

    def look(self, now: float, census: Mapping[str, Census]) -> list[tuple[str, State, Cause]]:
        """What changed, by a census of all zones that have servers or members."""
        for name in [name for name in self.zones if name not in census]:
            del self.zones[name]
        alone = self._alone(census)
        changed = []
        for name, one in list(census.items())[:MOST_ZONES]:
            belief = self.zones.setdefault(name, Belief(since=now))
            before = (belief.state, belief.cause)
            self._judge(now, belief, one, alone and name != self.own)
            if (belief.state, belief.cause) != before:
                changed.append((name, belief.state, belief.cause))
        return changed

    def back_after(self, belief: Belief) -> float:
        """ms that it has to answer before it is up again."""
        return self.terms.back_after * 2.0 ** min(MOST_FLAPS, belief.flaps)

    def _alone(self, census: Mapping[str, Census]) -> bool:
        """Whether all other zones are silent at once: then the fault is nearer than any of them. With one
        other zone that can't be told."""
        others = [one for name, one in census.items() if name != self.own and (one.servers or one.members)]
        return len(others) > 1 and all(self._cause(one) is Cause.CUT_OFF for one in others)

    def _cause(self, one: Census) -> Cause:
        servers = one.servers_silent >= self.terms.silent
        members = one.members_silent >= self.terms.silent
        if servers and (members or not one.members):
            return Cause.CUT_OFF
        if servers:
            return Cause.SERVERS
        return Cause.MEMBERS if members else Cause.NONE

    def _judge(self, now: float, belief: Belief, one: Census, alone: bool) -> None:
        cause = self._cause(one)
        if alone and cause is not Cause.NONE:
            cause = Cause.SELF
        gone = cause in (Cause.CUT_OFF, Cause.SERVERS)
        well = one.servers_silent < self.terms.well
        if belief.flaps and now - max(belief.flapped, belief.returned) >= FORGIVEN:
            belief.flaps, belief.flapped = belief.flaps - 1, now
        belief.well_since = (belief.well_since if belief.well_since is not None else now) if well else None
        match belief.state:
            case State.UP:
                if cause is not Cause.NONE:
                    self._enter(now, belief, State.DOUBTFUL)
            case State.DOUBTFUL:
                if well and cause is Cause.NONE:
                    self._enter(now, belief, State.UP)
                elif gone and now - belief.since >= self.terms.lost_after:
                    self._lose(now, belief)
            case State.LOST:
                if well and not alone:
                    self._enter(now, belief, State.RETURNING)
            case State.RETURNING:
                if gone:
                    self._lose(now, belief)
                elif belief.well_since is not None and now - belief.well_since >= self.back_after(belief):
                    belief.returned = now
                    self._enter(now, belief, State.UP)
        belief.cause = cause

    def _lose(self, now: float, belief: Belief) -> None:
        if belief.state is State.RETURNING or now - belief.returned < FLAP_SPAN:
            belief.flaps, belief.flapped = belief.flaps + 1, now
        self._enter(now, belief, State.LOST)

    @staticmethod
    def _enter(now: float, belief: Belief, state: State) -> None:
        belief.state, belief.since = state, now
