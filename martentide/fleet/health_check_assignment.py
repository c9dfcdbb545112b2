"""Duty of testing: who tests a server that somebody doubts, and what the others may take from its word.

Pure. Guards against tests and trial calls that are harmless from one proxy and add up from all: for each
server two members hold the duty, by rendezvous hashing over the living (Thaler, Ravishankar, 1998), in
different zones where there are such. The others neither test nor try while there is fresh word; without it
they step in one after the other, by their place in the same order, and all of them within ``LATEST``. So a
duty holder that died, stalls or is cut off is stood in for, and each side of a split has its own.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from martentide.fleet.core import Membership
from martentide.interface import AttemptEnded, Ending, Event, PeerNews, ProbeEnded, Stands, TestDuty

SUSPECTS_KIND, OBSERVATIONS_KIND = 1, 2  # kinds of facet
SCHEMA = 1
ASSIGNEES = 2
CHECK_INTERVAL_MS = 1_000.0  # ms between two tests of one server by one holder
STAND_BY_RANKS = 4  # places behind them that test where the word is old, though they do not doubt the server
FRESHNESS_MS = (
    3_000.0  # ms up to which word of a test or a trial stands for an own one: a gap, two looks, the way
)
FRESHNESS_STEP_MS = 250.0  # ms more for each place behind the holders
MAX_FRESHNESS_MS = 5_000.0  # ms of age from which everybody who doubts it tests for itself
SUSPECTS_MAX_AGE_MS, OBSERVATIONS_MAX_AGE_MS = 6_000, 5_000  # ms a facet counts
SUSPECTS_REFRESH_MS = 2_000.0
PUBLISH_INTERVAL_MS = 400.0  # ms between two publications
INTERVAL_PER_PUBLISHER_MS = (
    60.0  # ms more between them for each member that tells, where the own ones are no duty
)
SUSPICION_REPORTERS = 3  # members that tell of one doubt: more would add up with the fleet
PROMPT_WAIT_MS = 100.0  # ms of wait up to which a call counts as served at once
RECENT_MS = 1_000.0  # ms: a bad word of another as new as this makes an own one no news
MAX_SERVERS = 24  # named in one facet
MAX_SCORES = 32_768  # hashes kept
LINK_DELAY_MS = 50.0  # ms of a call's delay that are taken for the link, not for the server


class SuspectedServers(msgspec.Struct, array_like=True, frozen=True):
    """Servers that the owner holds for failing or cold."""

    servers: list[str]


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """What the owner saw of a server, ``ago`` ms before the facet was said. ``trial``: by a call, not a test.
    ``wait``: ms in line, -1 where it is not known."""

    server: str
    from_call: bool
    good: bool
    age: int
    wait: int = -1


class Observations(msgspec.Struct, array_like=True, frozen=True):
    observations: list[Observation]


_ENCODER = msgspec.msgpack.Encoder()
_SUSPECTS_DECODER, _OBSERVATIONS_DECODER = (
    msgspec.msgpack.Decoder(SuspectedServers),
    msgspec.msgpack.Decoder(Observations),
)


def decode_suspects(body: bytes) -> list[str]:
    """Raises msgspec.DecodeError or ValidationError."""
    return _SUSPECTS_DECODER.decode(body).servers[:MAX_SERVERS]


def decode_observations(body: bytes) -> list[Observation]:
    """Raises msgspec.DecodeError or ValidationError."""
    return _OBSERVATIONS_DECODER.decode(body).observations[: 2 * MAX_SERVERS]


class ServerHealth(Protocol):
    """What the duty reads of a server in the books of the own decisions."""

    suspect: bool
    cold_from: float | None


@dataclass(frozen=True, slots=True)
class Observed:
    """The freshest word on a server: when, by the own clock, and what."""

    observed_at: float
    good: bool
    wait: int


@dataclass(frozen=True, slots=True)
class AssignmentResult:
    """What comes of one look: servers to test now, events for the decisions, facets to publish."""

    health_checks: tuple[str, ...]
    events: tuple[TestDuty | PeerNews, ...]
    entries: tuple[tuple[int, int, bytes], ...]  # kind, end, body


@dataclass
class HealthCheckAssignment:
    """``name`` and ``zone`` are the own ones."""

    name: str
    zone: str
    scores: dict[tuple[str, str], int] = field(default_factory=dict)
    ranked_members: dict[str, str] = field(default_factory=dict)  # for whom the places are
    own_ranks: dict[str, int] = field(default_factory=dict)  # the own one, by server
    own_observations: dict[tuple[str, bool], Observed] = field(
        default_factory=dict
    )  # by server, and whether by a trial
    checked_at: dict[str, float] = field(default_factory=dict)
    delivered_at: dict[tuple[str, bool], float] = field(
        default_factory=dict
    )  # freshest word given to the decisions
    last_assignment: TestDuty = field(default_factory=lambda: TestDuty(frozenset(), frozenset()))
    last_suspects: list[str] = field(default_factory=list)
    suspects_published_at: float = -1e9
    observations_published_at: float = -1e9
    under_reported: dict[str, int] = field(default_factory=dict)  # looks at which too few told of the doubt
    watched: frozenset[str] = frozenset()  # servers whose tests and calls matter here

    # ---- what the own decisions see ---------------------------------------------------------------------

    def observe(self, now: float, event: Event) -> None:
        """An event that the decisions were told, of a watched server."""
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

    # ---- who ---------------------------------------------------------------------------------------------

    def _score(self, member: str, server: str) -> int:
        key = (member, server)
        known = self.scores.get(key)
        if known is None:
            if len(self.scores) >= MAX_SCORES:
                self.scores.clear()
            digest = hashlib.blake2b(f"{member}\0{server}".encode(), digest_size=8).digest()
            known = self.scores[key] = int.from_bytes(digest, "big")
        return known

    def rank_members(self, server: str, living: Mapping[str, str]) -> list[str]:
        """The living (their zones by name) by their right to test the server: the same for all who know the
        same living. The second is the first of another zone, where there is one."""
        ranked = sorted(living, key=lambda name: self._score(name, server), reverse=True)
        for at, name in enumerate(ranked[1:], 1):
            if living[name] != living[ranked[0]]:
                ranked.insert(1, ranked.pop(at))
                break
        return ranked

    def _own_rank(self, server: str, living: Mapping[str, str]) -> int:
        """The own place in the order; kept while the same live."""
        if living != self.ranked_members:
            self.ranked_members = dict(living)
            self.own_ranks.clear()
        known = self.own_ranks.get(server)
        if known is None:
            if len(self.own_ranks) >= MAX_SCORES:
                self.own_ranks.clear()
            known = self.rank_members(server, living).index(self.name) if self.name in living else 0
            self.own_ranks[server] = known
        return known

    # ---- one look -----------------------------------------------------------------------------------------

    def evaluate(
        self,
        now: float,
        suspected: Iterable[str],
        living: Mapping[str, str],
        peer_suspects: Iterable[list[str]],
        peer_observations: Iterable[tuple[float, list[Observation]]],
    ) -> AssignmentResult:
        """``doubted``: what the own decisions doubt; ``doubts`` and ``findings`` of others, the latter with
        the age of the facet; ``living`` the zones by name, with the own."""
        mine = sorted(suspected)[:MAX_SERVERS]
        peer_suspects = list(peer_suspects)
        watched = {*mine, *(server for one in peer_suspects for server in one)}
        self._drop_unwatched(now, watched)
        peer_observations = list(peer_observations)
        heard = self._latest_observations(now, watched, peer_observations)
        words = dict(heard)
        for key, known in self.own_observations.items():
            if key not in words or known.observed_at > words[key].observed_at:
                words[key] = known
        tests: list[str] = []
        no_tests, no_trials = set(), set()
        publish: list[Observation] = []
        tell: list[str] = []
        for server in sorted(watched):
            place = self._own_rank(server, living)
            test, trial = words.get((server, False)), words.get((server, True))
            if place >= ASSIGNEES and self._is_fresh(test, now, place):
                no_tests.add(server)
            elif (
                server not in mine and place < ASSIGNEES + STAND_BY_RANKS and self._is_check_due(server, now)
            ):
                tests.append(server)  # where the own decisions doubt it, they test by themselves
                self.checked_at[server] = now
            # A server that answers tests is tried by everybody as without a fleet: where each has few calls
            # the holders' take too long to find it well, and all would miss what it can do.
            silent = test is not None and not test.good and self._is_fresh(test, now, place)
            if place >= ASSIGNEES and silent and trial is not None and not trial.good:
                no_trials.add(server)
            publish += self._observations_to_publish(server, place, now, heard)
            if server in mine and self._reports_suspicion(
                server, place, sum(server in one for one in peer_suspects)
            ):
                tell.append(server)
        events: list[TestDuty | PeerNews] = self._peer_news(now, words)
        duty = TestDuty(frozenset(no_tests), frozenset(no_trials))
        if duty != self.last_assignment:
            self.last_assignment = duty
            events.append(duty)
        self.watched = frozenset(watched)
        holds = any(self._own_rank(server, living) < ASSIGNEES for server in watched)
        word = self._observations_entry(now, publish, len(peer_observations), holds)
        return AssignmentResult(tuple(tests), tuple(events), (*self._suspects_entry(now, tell), *word))

    def _is_check_due(self, server: str, now: float) -> bool:
        return now - self.checked_at.get(server, -1e9) >= CHECK_INTERVAL_MS

    @staticmethod
    def _is_fresh(word: Observed | None, now: float, place: int) -> bool:
        limit = min(MAX_FRESHNESS_MS, FRESHNESS_MS + FRESHNESS_STEP_MS * (place - ASSIGNEES))
        return word is not None and now - word.observed_at < limit

    def _latest_observations(
        self, now: float, watched: set[str], findings: Iterable[tuple[float, list[Observation]]]
    ) -> dict[tuple[str, bool], Observed]:
        words: dict[tuple[str, bool], Observed] = {}
        for age, told in findings:
            for one in told:
                key = (one.server, one.from_call)
                at = now - age - max(0, one.age)
                known = words.get(key)
                if one.server in watched and (known is None or at > known.observed_at):
                    words[key] = Observed(at, one.good, one.wait)
        return words

    def _reports_suspicion(self, server: str, place: int, tellers: int) -> bool:
        """Whether this member is one of the few that tell of the doubt: those who tell go on, and where they
        are too few the next in the order join them, twice as many with each look."""
        if server in self.last_suspects and tellers < 2 * SUSPICION_REPORTERS:
            return True
        if tellers >= SUSPICION_REPORTERS:
            self.under_reported.pop(server, None)
            return False
        looks = self.under_reported[server] = min(20, self.under_reported.get(server, 0) + 1)
        return place < SUSPICION_REPORTERS << looks

    def _observations_to_publish(
        self, server: str, place: int, now: float, heard: Mapping[tuple[str, bool], Observed]
    ) -> list[Observation]:
        """A holder's word is told; another's only where it is news: good after bad, or nobody's of late."""
        told = []
        for trial in (False, True):
            own = self.own_observations.get((server, trial))
            if own is None or now - own.observed_at > OBSERVATIONS_MAX_AGE_MS:
                continue
            best = heard.get((server, trial))
            newest = best is None or own.observed_at > best.observed_at
            recent = (
                best is not None and own.observed_at - best.observed_at < RECENT_MS and best.good == own.good
            )
            if place < ASSIGNEES or (newest and not recent):
                told.append(Observation(server, trial, own.good, int(now - own.observed_at), own.wait))
        return told

    def _peer_news(self, now: float, words: Mapping[tuple[str, bool], Observed]) -> list[TestDuty | PeerNews]:
        """Good word of others that is newer than what the decisions had."""
        events: list[TestDuty | PeerNews] = []
        for key, known in words.items():
            if (
                known.good
                and known is not self.own_observations.get(key)
                and known.observed_at > self.delivered_at.get(key, -1e9) + 50.0
            ):
                self.delivered_at[key] = known.observed_at
                # Hearsay of a wait makes no image: only that there was none is passed on.
                wait = 0.0 if 0 <= known.wait < PROMPT_WAIT_MS else None
                events.append(PeerNews(key[0], now - known.observed_at, wait))
        return events

    def _suspects_entry(self, now: float, mine: list[str]) -> list[tuple[int, int, bytes]]:
        changed = mine != self.last_suspects and now - self.suspects_published_at >= PUBLISH_INTERVAL_MS
        if not changed and not (mine and now - self.suspects_published_at >= SUSPECTS_REFRESH_MS):
            return []
        self.last_suspects, self.suspects_published_at = mine, now
        return [(SUSPECTS_KIND, SUSPECTS_MAX_AGE_MS, _ENCODER.encode(SuspectedServers(mine)))]

    def _observations_entry(
        self, now: float, publish: list[Observation], tellers: int, holds: bool
    ) -> list[tuple[int, int, bytes]]:
        # Where many find something out at once, those with no duty tell of it the less often.
        if now - self.observations_published_at < (
            PUBLISH_INTERVAL_MS if holds else max(PUBLISH_INTERVAL_MS, INTERVAL_PER_PUBLISHER_MS * tellers)
        ):
            return []
        new = [one for one in publish if now - one.age > self.observations_published_at]
        if not new:
            return []
        self.observations_published_at = now
        newest = sorted(publish, key=lambda one: one.age)[:MAX_SERVERS]
        return [(OBSERVATIONS_KIND, OBSERVATIONS_MAX_AGE_MS, _ENCODER.encode(Observations(newest)))]

    def _drop_unwatched(self, now: float, watched: set[str]) -> None:
        """What is about servers that nobody doubts any more."""
        for table in (self.own_observations, self.delivered_at):
            for key in [key for key in table if key[0] not in watched]:
                del table[key]
        for old in (self.checked_at, self.under_reported):
            for server in [server for server in old if server not in watched]:
                del old[server]


def evaluate_assignment(
    core: Membership, duty: HealthCheckAssignment, now: float, servers: Mapping[str, ServerHealth]
) -> tuple[AssignmentResult, int]:
    """One look with what the member holds of others; and how many facets could not be read. A member that is
    displaced, or has nobody, is alone: it tests as without a fleet."""
    doubted = [name for name, one in servers.items() if one.suspect or one.cold_from is not None]
    if core.silent:
        return duty.evaluate(now, doubted, {duty.name: duty.zone}, [], []), 0
    doubts: list[list[str]] = []
    findings: list[tuple[float, list[Observation]]] = []
    bad = 0
    for _, facet, _ in core.state_entries_of(SUSPECTS_KIND, now):
        try:
            doubts.append([name for name in decode_suspects(facet.body) if name in servers])
        except (msgspec.DecodeError, msgspec.ValidationError):
            bad += 1
    for _, facet, age in core.state_entries_of(OBSERVATIONS_KIND, now):
        try:
            findings.append((age, decode_observations(facet.body)))
        except (msgspec.DecodeError, msgspec.ValidationError):
            bad += 1
    if not (doubted or doubts or duty.watched):
        return EMPTY_RESULT, bad
    living = {word.name: word.zone for word in core.living()}
    return duty.evaluate(now, doubted, living, doubts, findings), bad


EMPTY_RESULT = AssignmentResult((), (), ())
