"""Health-check assignment: which members check a suspected server, and what the others accept from them.

Pure. Health checks and half-open probes that are harmless from one proxy could overload a server when all
proxies send them. So two members are assigned to each suspected server, by rendezvous hashing over the live
members (Thaler, Ravishankar, 1998), in different zones where possible. The other members send neither while
the assignees' results are fresh. Once these are stale, they take over one after the other, in order of rank,
and all of them within ``MAX_FRESHNESS_MS``. So an assignee that is dead, stalled or isolated is replaced, and
each side of a network partition has assignees of its own.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from martentide.fleet.core import Membership
from martentide.interface import AttemptEnded, Ending, Event, PeerNews, ProbeEnded, Stands, TestDuty

SUSPECTS_KIND, OBSERVATIONS_KIND = 1, 2  # kinds of state entry
SCHEMA = 1
ASSIGNEES = 2  # members per suspected server
CHECK_INTERVAL_MS = 1_000.0  # between two health checks of a server by one assignee
STAND_BY_RANKS = 4  # ranks after the assignees that check on stale results without suspecting the server
FRESHNESS_MS = 3_000.0  # age limit of a peer's result: covers a check interval, two evaluations and transit
FRESHNESS_STEP_MS = 250.0  # added for each rank after the assignees
MAX_FRESHNESS_MS = 5_000.0  # age from which every member that suspects the server checks for itself
SUSPECTS_MAX_AGE_MS, OBSERVATIONS_MAX_AGE_MS = 6_000, 5_000  # validity of the state entries
SUSPECTS_REFRESH_MS = 2_000.0  # between two publications of an unchanged list of suspects
PUBLISH_INTERVAL_MS = 400.0  # between two publications
INTERVAL_PER_PUBLISHER_MS = 60.0  # the least interval per publishing peer, for members not assigned
SUSPICION_REPORTERS = 3  # members that report one suspicion; without a limit, traffic grows with the fleet
PROMPT_WAIT_MS = 100.0  # wait up to which a call counts as served without a queue
REDUNDANCY_WINDOW_MS = 1_000.0  # an own observation that follows a peer's equal one by less is redundant
MAX_SERVERS = 24  # in one state entry
MAX_SCORES = 32_768  # cached hashes
LINK_DELAY_MS = 50.0  # part of a call's delay that is attributed to the network, not to the server


class SuspectedServers(msgspec.Struct, array_like=True, frozen=True):
    """Servers that the owner considers failing or cold."""

    servers: list[str]


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """What the owner observed of a server, ``age`` ms before it published the state entry.

    ``from_call``: by a call, not a health check. ``wait``: queueing time in ms, -1 if unknown.
    """

    server: str
    from_call: bool
    good: bool
    age: int
    wait: int = -1


class Observations(msgspec.Struct, array_like=True, frozen=True):
    """The owner's observations of servers that are suspected somewhere in the fleet."""

    observations: list[Observation]


_ENCODER = msgspec.msgpack.Encoder()
_SUSPECTS_DECODER, _OBSERVATIONS_DECODER = (
    msgspec.msgpack.Decoder(SuspectedServers),
    msgspec.msgpack.Decoder(Observations),
)


def decode_suspects(body: bytes) -> list[str]:
    """Servers listed in the body of a ``SUSPECTS_KIND`` entry.

    Raises msgspec.DecodeError or ValidationError.
    """
    return _SUSPECTS_DECODER.decode(body).servers[:MAX_SERVERS]


def decode_observations(body: bytes) -> list[Observation]:
    """Observations in the body of an ``OBSERVATIONS_KIND`` entry.

    Raises msgspec.DecodeError or ValidationError.
    """
    return _OBSERVATIONS_DECODER.decode(body).observations[: 2 * MAX_SERVERS]


class ServerHealth(Protocol):
    """What the assignment reads of a server in this proxy's decision state."""

    suspect: bool
    cold_from: float | None


@dataclass(frozen=True, slots=True)
class Observed:
    """The latest observation of a server; ``observed_at`` is on this process's clock."""

    observed_at: float
    good: bool
    wait: int


@dataclass(frozen=True, slots=True)
class AssignmentResult:
    """Result of an evaluation: servers to check now, events for the dispatcher, state entries to publish."""

    health_checks: tuple[str, ...]
    events: tuple[TestDuty | PeerNews, ...]
    entries: tuple[tuple[int, int, bytes], ...]  # kind, maximum age in ms, body


@dataclass
class HealthCheckAssignment:
    """Assignment state of one member; ``name`` and ``zone`` are its own."""

    name: str
    zone: str
    scores: dict[tuple[str, str], int] = field(default_factory=dict)
    ranked_members: dict[str, str] = field(default_factory=dict)  # live members that ``own_ranks`` is for
    own_ranks: dict[str, int] = field(default_factory=dict)  # by server
    # By server, and whether from a call:
    own_observations: dict[tuple[str, bool], Observed] = field(default_factory=dict)
    checked_at: dict[str, float] = field(default_factory=dict)
    # Time of the latest peer observation passed to the dispatcher:
    delivered_at: dict[tuple[str, bool], float] = field(default_factory=dict)
    last_assignment: TestDuty = field(default_factory=lambda: TestDuty(frozenset(), frozenset()))
    last_suspects: list[str] = field(default_factory=list)
    suspects_published_at: float = -1e9
    observations_published_at: float = -1e9
    under_reported: dict[str, int] = field(default_factory=dict)  # evaluations with too few reporters
    watched: frozenset[str] = frozenset()  # servers suspected anywhere in the fleet

    # ---- own observations -------------------------------------------------------------------------------

    def observe(self, now: float, event: Event) -> None:
        """Record an event about a watched server that this proxy's dispatcher received."""
        match event:
            case ProbeEnded(server, ending, False, lag):
                self.own_observations[(server, False)] = Observed(now, ending is Ending.DELIVERED, -1)
                self.checked_at[server] = now - lag
            case Stands(_, _, server, delay):
                self.own_observations[(server, True)] = Observed(
                    now, True, max(0, int(delay - LINK_DELAY_MS))
                )
            case AttemptEnded(server=server, ending=Ending.TIMED_OUT | Ending.UNREACHABLE):
                self.own_observations[(server, True)] = Observed(now, False, -1)

    # ---- ranking -----------------------------------------------------------------------------------------

    def _score(self, member: str, server: str) -> int:
        key = (member, server)
        score = self.scores.get(key)
        if score is None:
            if len(self.scores) >= MAX_SCORES:
                self.scores.clear()
            digest = hashlib.blake2b(f"{member}\0{server}".encode(), digest_size=8).digest()
            score = self.scores[key] = int.from_bytes(digest, "big")
        return score

    def rank_members(self, server: str, live_members: Mapping[str, str]) -> list[str]:
        """Rank the live members (zones by name) for checking a server.

        All processes that see the same live members get the same order. The second is the highest ranked one
        of another zone than the first, if there is one.
        """
        ranked = sorted(live_members, key=lambda name: self._score(name, server), reverse=True)
        for index, name in enumerate(ranked[1:], 1):
            if live_members[name] != live_members[ranked[0]]:
                ranked.insert(1, ranked.pop(index))
                break
        return ranked

    def _own_rank(self, server: str, live_members: Mapping[str, str]) -> int:
        """This member's own rank, cached while the set of live members is unchanged."""
        if live_members != self.ranked_members:
            self.ranked_members = dict(live_members)
            self.own_ranks.clear()
        rank = self.own_ranks.get(server)
        if rank is None:
            if len(self.own_ranks) >= MAX_SCORES:
                self.own_ranks.clear()
            rank = (
                self.rank_members(server, live_members).index(self.name) if self.name in live_members else 0
            )
            self.own_ranks[server] = rank
        return rank

    # ---- evaluation -------------------------------------------------------------------------------------

    def evaluate(
        self,
        now: float,
        suspected: Iterable[str],
        live_members: Mapping[str, str],
        peer_suspects: Iterable[list[str]],
        peer_observations: Iterable[tuple[float, list[Observation]]],
    ) -> AssignmentResult:
        """Decide what to check, publish and pass on now.

        ``suspected``: servers this proxy suspects; ``peer_suspects`` and ``peer_observations``: what other
        members published, the latter with the age of the state entry in ms; ``live_members``: zones by name,
        this member included.
        """
        own_suspects = sorted(suspected)[:MAX_SERVERS]
        peer_suspects = list(peer_suspects)
        watched = {*own_suspects, *(server for one in peer_suspects for server in one)}
        self._drop_unwatched(now, watched)
        peer_observations = list(peer_observations)
        peer_latest = self._latest_observations(now, watched, peer_observations)
        latest = dict(peer_latest)
        for key, observed in self.own_observations.items():
            if key not in latest or observed.observed_at > latest[key].observed_at:
                latest[key] = observed
        to_check: list[str] = []
        # Servers whose health checks and whose half-open probes are left to other members:
        no_tests, no_trials = set(), set()
        to_publish: list[Observation] = []
        to_report: list[str] = []
        for server in sorted(watched):
            rank = self._own_rank(server, live_members)
            check, call = latest.get((server, False)), latest.get((server, True))
            if rank >= ASSIGNEES and self._is_fresh(check, now, rank):
                no_tests.add(server)
            elif (
                server not in own_suspects
                and rank < ASSIGNEES + STAND_BY_RANKS
                and self._is_check_due(server, now)
            ):
                to_check.append(server)  # servers that this proxy suspects are checked by its dispatcher
                self.checked_at[server] = now
            # If a server passes health checks, every member sends it half-open probes, as without a fleet:
            # where each has few calls, the assignees' alone take too long to find that it has recovered, and
            # its capacity would stay unused.
            check_failed = check is not None and not check.good and self._is_fresh(check, now, rank)
            if rank >= ASSIGNEES and check_failed and call is not None and not call.good:
                no_trials.add(server)
            to_publish += self._observations_to_publish(server, rank, now, peer_latest)
            if server in own_suspects and self._reports_suspicion(
                server, rank, sum(server in one for one in peer_suspects)
            ):
                to_report.append(server)
        events: list[TestDuty | PeerNews] = self._peer_news(now, latest)
        duty = TestDuty(frozenset(no_tests), frozenset(no_trials))
        if duty != self.last_assignment:
            self.last_assignment = duty
            events.append(duty)
        self.watched = frozenset(watched)
        is_assignee = any(self._own_rank(server, live_members) < ASSIGNEES for server in watched)
        observation_entries = self._observations_entry(now, to_publish, len(peer_observations), is_assignee)
        return AssignmentResult(
            tuple(to_check), tuple(events), (*self._suspects_entry(now, to_report), *observation_entries)
        )

    def _is_check_due(self, server: str, now: float) -> bool:
        return now - self.checked_at.get(server, -1e9) >= CHECK_INTERVAL_MS

    @staticmethod
    def _is_fresh(observed: Observed | None, now: float, rank: int) -> bool:
        limit = min(MAX_FRESHNESS_MS, FRESHNESS_MS + FRESHNESS_STEP_MS * (rank - ASSIGNEES))
        return observed is not None and now - observed.observed_at < limit

    def _latest_observations(
        self, now: float, watched: set[str], peer_observations: Iterable[tuple[float, list[Observation]]]
    ) -> dict[tuple[str, bool], Observed]:
        latest: dict[tuple[str, bool], Observed] = {}
        for age, observations in peer_observations:
            for one in observations:
                key = (one.server, one.from_call)
                observed_at = now - age - max(0, one.age)
                known = latest.get(key)
                if one.server in watched and (known is None or observed_at > known.observed_at):
                    latest[key] = Observed(observed_at, one.good, one.wait)
        return latest

    def _reports_suspicion(self, server: str, rank: int, reporters: int) -> bool:
        """Whether this member is one of the few that report the suspicion of a server.

        Members that report it continue to. While they are too few, members of the next ranks join them, twice
        as many with each evaluation.
        """
        if server in self.last_suspects and reporters < 2 * SUSPICION_REPORTERS:
            return True
        if reporters >= SUSPICION_REPORTERS:
            self.under_reported.pop(server, None)
            return False
        evaluations = self.under_reported[server] = min(20, self.under_reported.get(server, 0) + 1)
        return rank < SUSPICION_REPORTERS << evaluations

    def _observations_to_publish(
        self, server: str, rank: int, now: float, peer_latest: Mapping[tuple[str, bool], Observed]
    ) -> list[Observation]:
        """Own observations of a server that are worth publishing.

        An assignee publishes all; another member only one newer than all peers' observations, unless a peer
        observed the same less than ``REDUNDANCY_WINDOW_MS`` before.
        """
        selected = []
        for from_call in (False, True):
            own = self.own_observations.get((server, from_call))
            if own is None or now - own.observed_at > OBSERVATIONS_MAX_AGE_MS:
                continue
            latest = peer_latest.get((server, from_call))
            newest = latest is None or own.observed_at > latest.observed_at
            redundant = (
                latest is not None
                and own.observed_at - latest.observed_at < REDUNDANCY_WINDOW_MS
                and latest.good == own.good
            )
            if rank < ASSIGNEES or (newest and not redundant):
                selected.append(
                    Observation(server, from_call, own.good, int(now - own.observed_at), own.wait)
                )
        return selected

    def _peer_news(
        self, now: float, latest: Mapping[tuple[str, bool], Observed]
    ) -> list[TestDuty | PeerNews]:
        """Successful observations of peers that are newer than what the dispatcher has."""
        events: list[TestDuty | PeerNews] = []
        for key, observed in latest.items():
            if (
                observed.good
                and observed is not self.own_observations.get(key)
                and observed.observed_at > self.delivered_at.get(key, -1e9) + 50.0
            ):
                self.delivered_at[key] = observed.observed_at
                # A wait measured by a peer is no basis for a gap image here; only its absence is passed on.
                wait = 0.0 if 0 <= observed.wait < PROMPT_WAIT_MS else None
                events.append(PeerNews(key[0], now - observed.observed_at, wait))
        return events

    def _suspects_entry(self, now: float, suspects: list[str]) -> list[tuple[int, int, bytes]]:
        changed = suspects != self.last_suspects and now - self.suspects_published_at >= PUBLISH_INTERVAL_MS
        if not changed and not (suspects and now - self.suspects_published_at >= SUSPECTS_REFRESH_MS):
            return []
        self.last_suspects, self.suspects_published_at = suspects, now
        return [(SUSPECTS_KIND, SUSPECTS_MAX_AGE_MS, _ENCODER.encode(SuspectedServers(suspects)))]

    def _observations_entry(
        self, now: float, observations: list[Observation], publishers: int, is_assignee: bool
    ) -> list[tuple[int, int, bytes]]:
        # When many members observe the same at once, those that aren't assignees publish less often.
        if now - self.observations_published_at < (
            PUBLISH_INTERVAL_MS
            if is_assignee
            else max(PUBLISH_INTERVAL_MS, INTERVAL_PER_PUBLISHER_MS * publishers)
        ):
            return []
        new = [one for one in observations if now - one.age > self.observations_published_at]
        if not new:
            return []
        self.observations_published_at = now
        newest = sorted(observations, key=lambda one: one.age)[:MAX_SERVERS]
        return [(OBSERVATIONS_KIND, OBSERVATIONS_MAX_AGE_MS, _ENCODER.encode(Observations(newest)))]

    def _drop_unwatched(self, now: float, watched: set[str]) -> None:
        """Drop state about servers that no member suspects any more."""
        for table_by_key in (self.own_observations, self.delivered_at):
            for key in [key for key in table_by_key if key[0] not in watched]:
                del table_by_key[key]
        for table_by_server in (self.checked_at, self.under_reported):
            for server in [server for server in table_by_server if server not in watched]:
                del table_by_server[server]


def evaluate_assignment(
    core: Membership, assignment: HealthCheckAssignment, now: float, servers: Mapping[str, ServerHealth]
) -> tuple[AssignmentResult, int]:
    """Evaluate with the state entries that the member holds; return also how many couldn't be decoded.

    A member that is displaced, or knows no live members, checks as without a fleet.
    """
    suspected = [name for name, one in servers.items() if one.suspect or one.cold_from is not None]
    if core.displaced:
        return assignment.evaluate(now, suspected, {assignment.name: assignment.zone}, [], []), 0
    peer_suspects: list[list[str]] = []
    peer_observations: list[tuple[float, list[Observation]]] = []
    undecodable = 0
    for _, entry, _ in core.state_entries_of(SUSPECTS_KIND, now):
        try:
            peer_suspects.append([name for name in decode_suspects(entry.body) if name in servers])
        except (msgspec.DecodeError, msgspec.ValidationError):
            undecodable += 1
    for _, entry, age in core.state_entries_of(OBSERVATIONS_KIND, now):
        try:
            peer_observations.append((age, decode_observations(entry.body)))
        except (msgspec.DecodeError, msgspec.ValidationError):
            undecodable += 1
    if not (suspected or peer_suspects or assignment.watched):
        return EMPTY_RESULT, undecodable
    live_members = {record.name: record.zone for record in core.living()}
    return assignment.evaluate(now, suspected, live_members, peer_suspects, peer_observations), undecodable


EMPTY_RESULT = AssignmentResult((), (), ())
