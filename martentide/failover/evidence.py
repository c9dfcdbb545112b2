"""One member's assessment of each zone, from its own observations of single servers and members.

    up         most of the zone answers
    suspect    most of it is silent, but not yet long enough to act on
    lost       most of it has been silent long enough; ``cause`` is the conclusion from the evidence
    returning  most of it answers again; it is up once that has lasted long enough

With hysteresis: a zone becomes suspect from ``silent_threshold`` on and recovers only below
``recovered_threshold``. Repeated losses within FLAP_WINDOW double the return delay each time; flaps expire
one by one. A single member's assessment triggers nothing; it is sent to others with its age. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum

FLAP_WINDOW = 20_000.0  # ms after a return in which another loss counts as a flap
FLAP_EXPIRY = 60_000.0  # ms after which one flap expires
MAX_DOUBLINGS = 4  # doublings of the return delay
MAX_ZONES = 256  # zones assessed per update


class State(IntEnum):
    """State of a zone."""

    UP = 0
    SUSPECT = 1
    LOST = 2
    RETURNING = 3


class Cause(Enum):
    """Conclusion from the evidence; only the first two are reasons to send the zone's calls elsewhere."""

    CUT_OFF = "neither its servers nor its members answer here"
    SERVERS = "its servers are silent, its members speak"
    MEMBERS = "its members are silent, its servers answer"
    SELF = "no other zone answers: it is this one that is cut off"
    NONE = "it answers"


@dataclass(frozen=True, slots=True)
class ZoneCensus:
    """One member's counts for a zone, without servers and members it never received anything from."""

    servers: int
    silent_servers: int
    members: int
    silent_members: int

    @property
    def silent_server_share(self) -> float:
        """Share of silent servers, 0 to 1."""
        return self.silent_servers / self.servers if self.servers else 0.0

    @property
    def silent_member_share(self) -> float:
        """Share of silent members, 0 to 1."""
        return self.silent_members / self.members if self.members else 0.0


@dataclass(frozen=True, slots=True)
class Thresholds:
    """Thresholds as shares from 0 to 1, delays in ms."""

    silent_threshold: float = 0.7  # of a zone's servers or members; from this silent share on it is suspect
    recovered_threshold: float = 0.4  # of a zone's servers; below this silent share it has recovered
    lost_after: float = 1_500.0  # from suspect to lost
    back_after: float = 3_000.0  # for which a returning zone must answer; doubles with each flap


@dataclass(slots=True)
class ZoneHealth:
    """Assessment of a zone: its state since ``since`` and ``flaps`` in a row as of ``last_flap_at`` (ms)."""

    state: State = State.UP
    cause: Cause = Cause.NONE
    since: float = 0.0
    flaps: int = 0
    last_flap_at: float = -1e18
    returned_at: float = -1e18
    recovered_since: float | None = None


@dataclass
class ZoneFailureDetector:
    """Assesses all zones for a member in ``own_zone``."""

    own_zone: str
    thresholds: Thresholds = field(default_factory=Thresholds)
    zones: dict[str, ZoneHealth] = field(default_factory=dict)

    def update(self, now: float, census: Mapping[str, ZoneCensus]) -> list[tuple[str, State, Cause]]:
        """Apply a census of all zones with servers or members; return the zones that changed."""
        for name in [name for name in self.zones if name not in census]:
            del self.zones[name]
        isolated = self._is_isolated(census)
        changed = []
        for name, zone_census in list(census.items())[:MAX_ZONES]:
            health = self.zones.setdefault(name, ZoneHealth(since=now))
            before = (health.state, health.cause)
            self._update_zone(now, health, zone_census, isolated and name != self.own_zone)
            if (health.state, health.cause) != before:
                changed.append((name, health.state, health.cause))
        return changed

    def return_delay(self, health: ZoneHealth) -> float:
        """Return the ms for which a returning zone must answer before it is up."""
        return self.thresholds.back_after * 2.0 ** min(MAX_DOUBLINGS, health.flaps)

    def _is_isolated(self, census: Mapping[str, ZoneCensus]) -> bool:
        """Return whether all other zones are silent at once: then this zone is cut off.

        With only one other zone this cannot be decided.
        """
        others = [
            one for name, one in census.items() if name != self.own_zone and (one.servers or one.members)
        ]
        return len(others) > 1 and all(self._cause(one) is Cause.CUT_OFF for one in others)

    def _cause(self, census: ZoneCensus) -> Cause:
        servers_silent = census.silent_server_share >= self.thresholds.silent_threshold
        members_silent = census.silent_member_share >= self.thresholds.silent_threshold
        if servers_silent and (members_silent or not census.members):
            return Cause.CUT_OFF
        if servers_silent:
            return Cause.SERVERS
        return Cause.MEMBERS if members_silent else Cause.NONE

    def _update_zone(self, now: float, health: ZoneHealth, zone_census: ZoneCensus, isolated: bool) -> None:
        cause = self._cause(zone_census)
        if isolated and cause is not Cause.NONE:
            cause = Cause.SELF
        servers_silent = cause in (Cause.CUT_OFF, Cause.SERVERS)
        recovered = zone_census.silent_server_share < self.thresholds.recovered_threshold
        if health.flaps and now - max(health.last_flap_at, health.returned_at) >= FLAP_EXPIRY:
            health.flaps, health.last_flap_at = health.flaps - 1, now
        health.recovered_since = (
            (health.recovered_since if health.recovered_since is not None else now) if recovered else None
        )
        match health.state:
            case State.UP:
                if cause is not Cause.NONE:
                    self._enter(now, health, State.SUSPECT)
            case State.SUSPECT:
                if recovered and cause is Cause.NONE:
                    self._enter(now, health, State.UP)
                elif servers_silent and now - health.since >= self.thresholds.lost_after:
                    self._mark_lost(now, health)
            case State.LOST:
                if recovered and not isolated:
                    self._enter(now, health, State.RETURNING)
            case State.RETURNING:
                if servers_silent:
                    self._mark_lost(now, health)
                elif health.recovered_since is not None and now - health.recovered_since >= self.return_delay(
                    health
                ):
                    health.returned_at = now
                    self._enter(now, health, State.UP)
        health.cause = cause

    def _mark_lost(self, now: float, health: ZoneHealth) -> None:
        if health.state is State.RETURNING or now - health.returned_at < FLAP_WINDOW:
            health.flaps, health.last_flap_at = health.flaps + 1, now
        self._enter(now, health, State.LOST)

    @staticmethod
    def _enter(now: float, health: ZoneHealth, state: State) -> None:
        health.state, health.since = state, now
