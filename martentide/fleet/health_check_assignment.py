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

DOUBTS, FINDINGS = 1, 2  # kinds of facet
SCHEMA = 1
HOLDERS = 2
TEST_GAP = 1_000.0  # ms between two tests of one server by one holder
STAND_INS = 4  # places behind them that test where the word is old, though they do not doubt the server
FRESH = 3_000.0  # ms up to which word of a test or a trial stands for an own one: a gap, two looks, the way
STEP = 250.0  # ms more for each place behind the holders
LATEST = 5_000.0  # ms of age from which everybody who doubts it tests for itself
DOUBTS_END, FINDINGS_END = 6_000, 5_000  # ms a facet counts
DOUBTS_REFRESH = 2_000.0
FINDINGS_GAP = 400.0  # ms between two publications
TELLER_GAP = 60.0  # ms more between them for each member that tells, where the own ones are no duty
TELLERS = 3  # members that tell of one doubt: more would add up with the fleet
QUICK = 100.0  # ms of wait up to which a call counts as served at once
RECENT = 1_000.0  # ms: a bad word of another as new as this makes an own one no news
MOST_SERVERS = 24  # named in one facet
MOST_SCORES = 32_768  # hashes kept
LINK_LAG = 50.0  # ms of a call's delay that are taken for the link, not for the server


class Doubts(msgspec.Struct, array_like=True, frozen=True):
    """Servers that the owner holds for failing or cold."""

    servers: list[str]


class Finding(msgspec.Struct, array_like=True, frozen=True):
    """What the owner saw of a server, ``ago`` ms before the facet was said. ``trial``: by a call, not a test.
    ``wait``: ms in line, -1 where it is not known."""

    server: str
    trial: bool
    good: bool
    ago: int
    wait: int = -1


class Findings(msgspec.Struct, array_like=True, frozen=True):
    findings: list[Finding]


_ENCODER = msgspec.msgpack.Encoder()
_DOUBTS, _FINDINGS = msgspec.msgpack.Decoder(Doubts), msgspec.msgpack.Decoder(Findings)


def read_doubts(body: bytes) -> list[str]:
    """Raises msgspec.DecodeError or ValidationError."""
    return _DOUBTS.decode(body).servers[:MOST_SERVERS]


def read_findings(body: bytes) -> list[Finding]:
    """Raises msgspec.DecodeError or ValidationError."""
    return _FINDINGS.decode(body).findings[: 2 * MOST_SERVERS]


class Doubtable(Protocol):
    """What the duty reads of a server in the books of the own decisions."""

    suspect: bool
    cold_from: float | None


@dataclass(frozen=True, slots=True)
class Known:
    """The freshest word on a server: when, by the own clock, and what."""

    at: float
    good: bool
    wait: int


@dataclass(frozen=True, slots=True)
class Outlook:
    """What comes of one look: servers to test now, events for the decisions, facets to publish."""

    tests: tuple[str, ...]
    events: tuple[TestDuty | PeerNews, ...]
    facets: tuple[tuple[int, int, bytes], ...]  # kind, end, body


@dataclass
class HealthCheckAssignment:
    """``name`` and ``zone`` are the own ones."""

    name: str
    zone: str
    scores: dict[tuple[str, str], int] = field(default_factory=dict)
    living: dict[str, str] = field(default_factory=dict)  # for whom the places are
    places: dict[str, int] = field(default_factory=dict)  # the own one, by server
    own: dict[tuple[str, bool], Known] = field(default_factory=dict)  # by server, and whether by a trial
    tested: dict[str, float] = field(default_factory=dict)
    told: dict[tuple[str, bool], float] = field(default_factory=dict)  # freshest word given to the decisions
    last_duty: TestDuty = field(default_factory=lambda: TestDuty(frozenset(), frozenset()))
    last_doubts: list[str] = field(default_factory=list)
    doubts_at: float = -1e9
    findings_at: float = -1e9
    untold: dict[str, int] = field(default_factory=dict)  # looks at which too few told of the doubt
    watched: frozenset[str] = frozenset()  # servers whose tests and calls matter here

    # ---- what the own decisions see ---------------------------------------------------------------------

    def observe(self, now: float, event: Event) -> None:
        """An event that the decisions were told, of a watched server."""
        match event:
            case ProbeEnded(server, ending, False, lag):
                self.own[(server, False)] = Known(now, ending is Ending.DELIVERED, -1)
                self.tested[server] = now - lag
            case Stands(_, _, server, delay):
                self.own[(server, True)] = Known(now, True, max(0, int(delay - LINK_LAG)))
            case AttemptEnded(server=server, ending=Ending.TIMED_OUT | Ending.UNREACHABLE):
                self.own[(server, True)] = Known(now, False, -1)

    # ---- who ---------------------------------------------------------------------------------------------

    def _score(self, member: str, server: str) -> int:
        key = (member, server)
        known = self.scores.get(key)
        if known is None:
            if len(self.scores) >= MOST_SCORES:
                self.scores.clear()
            digest = hashlib.blake2b(f"{member}\0{server}".encode(), digest_size=8).digest()
            known = self.scores[key] = int.from_bytes(digest, "big")
        return known

    def order(self, server: str, living: Mapping[str, str]) -> list[str]:
        """The living (their zones by name) by their right to test the server: the same for all who know the
        same living. The second is the first of another zone, where there is one."""
        ranked = sorted(living, key=lambda name: self._score(name, server), reverse=True)
        for at, name in enumerate(ranked[1:], 1):
            if living[name] != living[ranked[0]]:
                ranked.insert(1, ranked.pop(at))
                break
        return ranked

    def _place(self, server: str, living: Mapping[str, str]) -> int:
        """The own place in the order; kept while the same live."""
        if living != self.living:
            self.living = dict(living)
            self.places.clear()
        known = self.places.get(server)
        if known is None:
            if len(self.places) >= MOST_SCORES:
                self.places.clear()
            known = self.order(server, living).index(self.name) if self.name in living else 0
            self.places[server] = known
        return known

    # ---- one look -----------------------------------------------------------------------------------------

    def look(
        self,
        now: float,
        doubted: Iterable[str],
        living: Mapping[str, str],
        doubts: Iterable[list[str]],
        findings: Iterable[tuple[float, list[Finding]]],
    ) -> Outlook:
        """``doubted``: what the own decisions doubt; ``doubts`` and ``findings`` of others, the latter with
        the age of the facet; ``living`` the zones by name, with the own."""
        mine = sorted(doubted)[:MOST_SERVERS]
        doubts = list(doubts)
        watched = {*mine, *(server for one in doubts for server in one)}
        self._forget(now, watched)
        findings = list(findings)
        heard = self._freshest(now, watched, findings)
        words = dict(heard)
        for key, known in self.own.items():
            if key not in words or known.at > words[key].at:
                words[key] = known
        tests: list[str] = []
        no_tests, no_trials = set(), set()
        publish: list[Finding] = []
        tell: list[str] = []
        for server in sorted(watched):
            place = self._place(server, living)
            test, trial = words.get((server, False)), words.get((server, True))
            if place >= HOLDERS and self._fresh(test, now, place):
                no_tests.add(server)
            elif server not in mine and place < HOLDERS + STAND_INS and self._due(server, now):
                tests.append(server)  # where the own decisions doubt it, they test by themselves
                self.tested[server] = now
            # A server that answers tests is tried by everybody as without a fleet: where each has few calls
            # the holders' take too long to find it well, and all would miss what it can do.
            silent = test is not None and not test.good and self._fresh(test, now, place)
            if place >= HOLDERS and silent and trial is not None and not trial.good:
                no_trials.add(server)
            publish += self._own_findings(server, place, now, heard)
            if server in mine and self._tells(server, place, sum(server in one for one in doubts)):
                tell.append(server)
        events: list[TestDuty | PeerNews] = self._news(now, words)
        duty = TestDuty(frozenset(no_tests), frozenset(no_trials))
        if duty != self.last_duty:
            self.last_duty = duty
            events.append(duty)
        self.watched = frozenset(watched)
        holds = any(self._place(server, living) < HOLDERS for server in watched)
        word = self._findings(now, publish, len(findings), holds)
        return Outlook(tuple(tests), tuple(events), (*self._doubts(now, tell), *word))

    def _due(self, server: str, now: float) -> bool:
        return now - self.tested.get(server, -1e9) >= TEST_GAP

    @staticmethod
    def _fresh(word: Known | None, now: float, place: int) -> bool:
        limit = min(LATEST, FRESH + STEP * (place - HOLDERS))
        return word is not None and now - word.at < limit

    def _freshest(
        self, now: float, watched: set[str], findings: Iterable[tuple[float, list[Finding]]]
    ) -> dict[tuple[str, bool], Known]:
        words: dict[tuple[str, bool], Known] = {}
        for age, told in findings:
            for one in told:
                key = (one.server, one.trial)
                at = now - age - max(0, one.ago)
                known = words.get(key)
                if one.server in watched and (known is None or at > known.at):
                    words[key] = Known(at, one.good, one.wait)
        return words

    def _tells(self, server: str, place: int, tellers: int) -> bool:
        """Whether this member is one of the few that tell of the doubt: those who tell go on, and where they
        are too few the next in the order join them, twice as many with each look."""
        if server in self.last_doubts and tellers < 2 * TELLERS:
            return True
        if tellers >= TELLERS:
            self.untold.pop(server, None)
            return False
        looks = self.untold[server] = min(20, self.untold.get(server, 0) + 1)
        return place < TELLERS << looks

    def _own_findings(
        self, server: str, place: int, now: float, heard: Mapping[tuple[str, bool], Known]
    ) -> list[Finding]:
        """A holder's word is told; another's only where it is news: good after bad, or nobody's of late."""
        told = []
        for trial in (False, True):
            own = self.own.get((server, trial))
            if own is None or now - own.at > FINDINGS_END:
                continue
            best = heard.get((server, trial))
            newest = best is None or own.at > best.at
            recent = best is not None and own.at - best.at < RECENT and best.good == own.good
            if place < HOLDERS or (newest and not recent):
                told.append(Finding(server, trial, own.good, int(now - own.at), own.wait))
        return told

    def _news(self, now: float, words: Mapping[tuple[str, bool], Known]) -> list[TestDuty | PeerNews]:
        """Good word of others that is newer than what the decisions had."""
        events: list[TestDuty | PeerNews] = []
        for key, known in words.items():
            if known.good and known is not self.own.get(key) and known.at > self.told.get(key, -1e9) + 50.0:
                self.told[key] = known.at
                # Hearsay of a wait makes no image: only that there was none is passed on.
                wait = 0.0 if 0 <= known.wait < QUICK else None
                events.append(PeerNews(key[0], now - known.at, wait))
        return events

    def _doubts(self, now: float, mine: list[str]) -> list[tuple[int, int, bytes]]:
        changed = mine != self.last_doubts and now - self.doubts_at >= FINDINGS_GAP
        if not changed and not (mine and now - self.doubts_at >= DOUBTS_REFRESH):
            return []
        self.last_doubts, self.doubts_at = mine, now
        return [(DOUBTS, DOUBTS_END, _ENCODER.encode(Doubts(mine)))]

    def _findings(
        self, now: float, publish: list[Finding], tellers: int, holds: bool
    ) -> list[tuple[int, int, bytes]]:
        # Where many find something out at once, those with no duty tell of it the less often.
        if now - self.findings_at < (FINDINGS_GAP if holds else max(FINDINGS_GAP, TELLER_GAP * tellers)):
            return []
        new = [one for one in publish if now - one.ago > self.findings_at]
        if not new:
            return []
        self.findings_at = now
        newest = sorted(publish, key=lambda one: one.ago)[:MOST_SERVERS]
        return [(FINDINGS, FINDINGS_END, _ENCODER.encode(Findings(newest)))]

    def _forget(self, now: float, watched: set[str]) -> None:
        """What is about servers that nobody doubts any more."""
        for table in (self.own, self.told):
            for key in [key for key in table if key[0] not in watched]:
                del table[key]
        for old in (self.tested, self.untold):
            for server in [server for server in old if server not in watched]:
                del old[server]


def look(
    core: Membership, duty: HealthCheckAssignment, now: float, servers: Mapping[str, Doubtable]
) -> tuple[Outlook, int]:
    """One look with what the member holds of others; and how many facets could not be read. A member that is
    displaced, or has nobody, is alone: it tests as without a fleet."""
    doubted = [name for name, one in servers.items() if one.suspect or one.cold_from is not None]
    if core.silent:
        return duty.look(now, doubted, {duty.name: duty.zone}, [], []), 0
    doubts: list[list[str]] = []
    findings: list[tuple[float, list[Finding]]] = []
    bad = 0
    for _, facet, _ in core.state_entries_of(DOUBTS, now):
        try:
            doubts.append([name for name in read_doubts(facet.body) if name in servers])
        except (msgspec.DecodeError, msgspec.ValidationError):
            bad += 1
    for _, facet, age in core.state_entries_of(FINDINGS, now):
        try:
            findings.append((age, read_findings(facet.body)))
        except (msgspec.DecodeError, msgspec.ValidationError):
            bad += 1
    if not (doubted or doubts or duty.watched):
        return NOTHING, bad
    living = {word.name: word.zone for word in core.living()}
    return duty.look(now, doubted, living, doubts, findings), bad


NOTHING = Outlook((), (), ())
