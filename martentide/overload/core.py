"""One member's part in the fleet's handling of overload: events and words in, events and one word out.

Pure. Alone, in a minority and from nothing it decides by what it sees itself, from the share it had last: a
share of what is offered to whoever holds it, so that it can't add up to harm by a wrong guess at the fleet's
size. On waking it keeps its share, takes no credit for the time it stood, and empties its purse.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import msgspec

from martentide.fleet.core import Membership
from martentide.interface import (
    Admission,
    AttemptEnded,
    Ending,
    Event,
    ProbeEnded,
    RepeatBudget,
    Report,
    SetUpOffered,
    Stands,
)
from martentide.overload.admission_threshold import shares
from martentide.overload.escrow import Escrow
from martentide.overload.level import (
    PRESSED,
    STORM_REDIALS,
    STORM_STOOD,
    SWIFT,
    SWIFT_MOST,
    Level,
    Phase,
    largeness,
    pressure_of,
)
from martentide.overload.messages import (
    END,
    LOAD,
    MOST_CLASSES,
    MOST_GIFTS,
    MOST_SERVERS,
    SCHEMA,
    Load,
    Pressed,
    read_load,
    write_load,
)
from martentide.rules import FULL_HOLD_BACK, HOLD_BACK_LEVELS, MAX_NETWORK_LAG, NETWORK_JITTER

WORDS_S = 10.0  # words a second that all members together say while there is pressure
QUIET_WORDS_S = 0.5  # and in calm
LEAST_GAP = 400.0  # ms between two words of one member
URGENT_GAP = 200.0  # ms within which a member tells of new pressure, if nobody else did
FADE, FADE_MOST = 1_500.0, 4_000.0  # ms in which the share that a server asked for halves; in large fleets
OLD = 2_500.0  # ms after which word of a server counts no more
APART = 0.25  # share by which the newest claim may differ from the next member's
CLAIMANTS = 4  # whose claims on one server are kept
WINDOW = 4_000.0  # ms over which rates fade
MIX_STEP = 0.1  # weight of one word in the mix of classes
TURN = 5_000.0  # ms; a number's verdict holds for TURNS of them
TURN_OFF = 700.0  # ms by which the own turn may differ from the median of what is heard
SHARE_STEP = 0.01  # change of a class's share that the decisions are told of
REPEAT_SHARE = 0.15  # further attempts to first ones
PURSE = 3  # tokens that the decisions hold
PURSE_LIFE = 1_500.0  # ms for which they may spend them
DEPTH = 6.0  # tokens an account keeps
SPARE = 3.0  # tokens above which it gives
MOST_NUMBERS = 4_096
REDIAL = 10_000.0  # ms within which a number that is dialled again is a redial: about a class's deadline
MOST_HEARD = 4_096  # members whose last word is remembered
ALONE = 10_000.0  # ms without anybody's word: in calm each member says one only now and then
WOKEN = 2_000.0  # ms between two looks that show that the process stood still
RETURN_FROM = 0.2  # of the longest advice: callers come back between it and the whole, at random


@dataclass(frozen=True, slots=True)
class Outcome:
    events: tuple[Admission | RepeatBudget, ...]
    word: bytes | None


SEEN_ENOUGH = 8  # answers of a server, after which the shortest tells how long one takes without a line
PARTS = ("cut", "budget", "late", "word")  # "late": late redials stay out; "word": others' is heard


class Rate:
    """Events a second, fading."""

    __slots__ = ("at", "count")

    def __init__(self) -> None:
        self.count, self.at = 0.0, 0.0

    def add(self, now: float) -> None:
        self.count = self._faded(now) + 1.0
        self.at = now

    def _faded(self, now: float) -> float:
        return float(self.count * 0.5 ** ((now - self.at) / WINDOW * 2.0)) if self.count else 0.0

    def read(self, now: float) -> float:
        # An event's weight has the integral WINDOW / 2 / ln 2.
        return self._faded(now) * 2.0 * 0.6931 / WINDOW * 1_000.0


class Overload:
    """``worths`` by class; ``longest`` ms of advice to a refused caller, 0 for none; ``tolerable`` ms of wait
    at a server that the table of levels is a share of."""

    def __init__(
        self, name: str, life: int, worths: Mapping[str, float], longest: float, tolerable: float, seed: int
    ) -> None:
        self.name, self.worths, self.longest, self.tolerable = name, dict(worths), longest, tolerable
        self.without: frozenset[str] = frozenset()  # of PARTS, to measure what each brings
        self.own: dict[str, tuple[float, float]] = {}  # as ``known``, by what this proxy saw itself
        self.least: dict[str, tuple[float, int]] = {}  # shortest time to an answer, and answers, by server
        self.random = random.Random(seed)
        self.level = Level()
        self.escrow = Escrow(name, life, DEPTH)
        self.offered = {kind: Rate() for kind in self.worths}
        self.redials, self.firsts, self.stood = Rate(), Rate(), Rate()
        self.numbers: OrderedDict[str, float] = OrderedDict()
        self.mix: dict[str, float] = {}
        self.known: dict[str, tuple[float, float]] = {}  # by server: share asked, when by the own clock
        self.claims: dict[str, dict[str, tuple[float, float]]] = {}  # by server and who saw it so
        self.counters: dict[str, tuple[int, int, float]] = {}  # last word of each: life, counter, when
        self.began: float | None = None  # own time at which turn 0 began
        self.looked: float | None = None
        self.word_due = 0.0
        self.word_of_pressure = -1e9  # when anybody told of pressure last
        self.said: Admission | None = None
        self.wants = 0
        self.pressure, self.fade = 0.0, FADE
        self.active = False  # whether words are said as often as under pressure
        self.heard_at: float | None = None

    def settle(self, worths: Mapping[str, float], longest: float, tolerable: float) -> None:
        """Other settings."""
        self.worths, self.longest, self.tolerable = dict(worths), longest, tolerable
        self.offered = {kind: self.offered.get(kind, Rate()) for kind in self.worths}

    # ---- what the own decisions see ---------------------------------------------------------------------

    def observe(self, now: float, event: Event) -> None:
        match event:
            case SetUpOffered(call_class=kind, number=number, redial=redial):
                again = redial or (number is not None and now - self.numbers.get(number, -1e18) <= REDIAL)
                if number is not None:
                    self.numbers[number] = now
                    self.numbers.move_to_end(number)
                    if len(self.numbers) > MOST_NUMBERS:
                        self.numbers.popitem(last=False)
                if again:
                    self.redials.add(now)
                    return
                self.firsts.add(now)
                if kind in self.offered:
                    self.offered[kind].add(now)
                self.escrow.earn(REPEAT_SHARE)
            case Stands(server=server, delay=delay):
                self.stood.add(now)
                least, seen = self.least.get(server, (delay, 0))
                self.least[server] = (min(delay, least), seen + 1)
                wait = max(0.0, delay - self._unpressed(server) * (1.0 + NETWORK_JITTER))
                self._saw(server, self._level(wait), now - wait)  # a wait that is over tells of its begin
            case AttemptEnded(server=server, ending=Ending.TIMED_OUT, lag=lag):
                self._saw(server, self._level(lag), now - lag)
            case AttemptEnded(server=server, ending=ending, lines_full=lines, report=report):
                if ending is Ending.FULL and not lines:
                    self._saw(server, FULL_HOLD_BACK, now)
                else:
                    self._reported(server, report, now)
            case ProbeEnded(server=server, report=report):
                self._reported(server, report, now)

    def _reported(self, server: str, report: Report | None, now: float) -> None:
        if report is not None and report.hold_back is not None:
            self._saw(server, min(1.0, max(0.0, report.hold_back)), now)
        elif report is not None and report.wait is not None:
            self._saw(server, self._level(report.wait), now)

    def _saw(self, server: str, share: float, at: float) -> None:
        if at > self.own.get(server, (0.0, -1e18))[1]:
            self.own[server] = (share, at)

    def _unpressed(self, server: str) -> float:
        """ms to an answer without a line: the least seen there, or of a server of which little was seen, the
        least seen anywhere. Else the first answer of a line would be taken for one without."""
        least, seen = self.least.get(server, (MAX_NETWORK_LAG, 0))
        return least if seen >= SEEN_ENOUGH else min(one for one, _ in [(least, 0), *self.least.values()])

    def _level(self, wait: float) -> float:
        return max((share for bound, share in HOLD_BACK_LEVELS if wait >= bound * self.tolerable), default=0.0)

    # ---- one look -----------------------------------------------------------------------------------------

    def look(
        self,
        now: float,
        servers: Collection[str],
        heard: Iterable[tuple[str, int, int, Load, float]],
        living: Mapping[str, int],
        purse: float,
    ) -> Outcome:
        """``heard``: owner, its life, counter, word and age; ``living``: life by name, with the own;
        ``purse``: tokens that the decisions still hold."""
        woken = self.looked is not None and now - self.looked > WOKEN
        self.looked = now
        if self.began is None:
            self.began = now
        if woken:
            self.escrow.tokens = 0.0
        for table in (self.own, self.least):
            for name in [name for name in table if name not in servers]:
                del table[name]
        for name, seen in self.own.items():
            self.claims.setdefault(name, {})[self.name] = seen
        words = list(heard)
        events: list[Admission | RepeatBudget] = []
        turns = []
        for owner, life, counter, load, age in words:
            turns.append(load.turn * TURN + load.turn_age + age)
            mine = owner == self.name or "word" in self.without
            if not mine and owner in living and self._newer(owner, life, counter, now):
                self._hear(now, owner, load, age, servers)
        self._turn(now, turns)
        self._weigh(now, servers)
        # Where word is old by the time it comes, it is taken for more, and for longer: lines grow meanwhile.
        large = largeness(len(living))
        self.level.swift = SWIFT + (SWIFT_MOST - SWIFT) * large
        self.fade = FADE + (FADE_MOST - FADE) * large
        self.pressure = pressure_of(
            hold * 0.5 ** ((now - at) / self.fade) for hold, at in self.known.values()
        )
        self.level.look(now, self.pressure, self._storm(now))
        if "budget" not in self.without:
            self._budget(now, words, living, purse, events)
        admission = None if "cut" in self.without else self._admission(now)
        if admission is not None:
            events.append(admission)
        return Outcome(tuple(events), self._word(now, living))

    def _weigh(self, now: float, servers: Collection[str]) -> None:
        """What is held of each server: the newest claim, as far as somebody else's bears it out. So one that
        claims what is not so moves it by ``APART`` at most, and its word is not passed on as another's."""
        self.known.clear()
        for name, claims in list(self.claims.items()):
            fresh = sorted(
                ((at, hold, owner) for owner, (hold, at) in claims.items() if now - at <= OLD), reverse=True
            )[:CLAIMANTS]
            if not fresh or name not in servers:
                del self.claims[name]
                continue
            self.claims[name] = {owner: (hold, at) for at, hold, owner in fresh}
            at, hold, owner = fresh[0]
            if len(fresh) > 1 and owner != self.name:
                hold = max(fresh[1][1] - APART, min(fresh[1][1] + APART, hold))
            self.known[name] = (hold, at)

    def _newer(self, owner: str, life: int, counter: int, now: float) -> bool:
        """Whether the word is a new one; of an owner that says too many, not all are heard."""
        last = self.counters.get(owner)
        if last is not None and last[:2] == (life, counter):
            return False
        if last is not None and now - last[2] < LEAST_GAP / 2:
            return False
        self.counters[owner] = (life, counter, now)
        if len(self.counters) > MOST_HEARD:
            self.counters.pop(next(iter(self.counters)))
        return True

    def _hear(self, now: float, owner: str, load: Load, age: float, servers: Collection[str]) -> None:
        self.heard_at = now
        for one in load.pressed:
            at = now - age - one.ago
            if one.server in servers and now - at <= OLD:
                self.claims.setdefault(one.server, {})[owner] = (one.hold / 1_000.0, at)
        if age < OLD:
            self.level.hear(load.lasting / 1_000.0)
            if load.lasting < 1_000 or any(one.hold >= PRESSED * 1_000 for one in load.pressed):
                self.word_of_pressure = now
        self._blend({kind: rate / 100.0 for kind, rate in load.offered.items() if kind in self.worths})

    def _blend(self, offered: Mapping[str, float]) -> None:
        total = sum(offered.values())
        if total > 0.0:
            for kind in self.worths:
                part, known = offered.get(kind, 0.0) / total, self.mix.get(kind)
                self.mix[kind] = part if known is None else known + MIX_STEP * (part - known)

    def _turn(self, now: float, turns: list[float]) -> None:
        """The epoch in common: the median of what is heard, so that one liar does not move it."""
        assert self.began is not None
        if turns:
            middle = sorted([*turns, now - self.began])[(len(turns) + 1) // 2]
            if abs(middle - (now - self.began)) > TURN_OFF:
                self.began = now - middle

    def alone(self, now: float) -> bool:
        """Whether no other member's word was heard for so long that this one decides by itself."""
        return self.heard_at is None or now - self.heard_at > ALONE

    def status(self, now: float) -> dict[str, object]:
        """For people: shares in parts of 1, ages in ms."""
        cut = {} if self.said is None else {kind: round(share, 3) for kind, share in self.said.shares}
        return {
            "phase": self.level.phase.name.lower(), "admitted": round(self.level.admitted, 3),
            "lasting": round(self.level.lasting, 3), "pressure": round(self.level.pressure, 3),
            "storms": self.level.storms, "alone": self.alone(now), "shares": cut,
            "pressed": {name: [round(hold, 3), round(now - at)] for name, (hold, at) in self.known.items()},
            "tokens": round(self.escrow.tokens, 2), "wants": self.wants,
        }  # fmt: skip

    def _storm(self, now: float) -> bool:
        """Redials against first tries, and set-ups that stand against those let in: fed by itself."""
        firsts = self.firsts.read(now)
        coming = firsts + self.redials.read(now)
        if coming * WINDOW / 1_000.0 < 4.0 or self.pressure < 2.0 * PRESSED:
            return False
        stood = self.stood.read(now) / max(1e-9, coming * self.level.admitted)
        return stood < STORM_STOOD and self.redials.read(now) > STORM_REDIALS * firsts

    # ---- the budget ---------------------------------------------------------------------------------------

    def _budget(
        self,
        now: float,
        words: list[tuple[str, int, int, Load, float]],
        living: Mapping[str, int],
        purse: float,
        events: list[Admission | RepeatBudget],
    ) -> None:
        escrow = self.escrow
        for owner, life, _, load, age in words:
            if owner == self.name:
                continue
            for gift in load.gifts:
                escrow.take(owner, life, gift, age)
            for giver, giver_life, last in load.taken:
                if giver == self.name and giver_life == escrow.life:
                    escrow.settle(now, owner, life, age, last)
        escrow.forget(now, set(living))
        purse = min(purse, float(PURSE))  # before the first budget there is no end to it
        drawn = escrow.draw(PURSE - purse)
        events.append(RepeatBudget(float(drawn), PURSE_LIFE))
        self.wants = max(0, min(99, int(PURSE - purse - drawn)))
        needy = [(owner, life, load.wants) for owner, life, _, load, _ in words if load.wants > 0]
        if needy and escrow.tokens >= SPARE:
            owner, life, wants = self.random.choice(needy)
            if living.get(owner) == life and not any(one.gift.to == owner for one in escrow.given.values()):
                escrow.give(now, owner, life, min(wants, int(escrow.tokens - SPARE) + 1))

    # ---- what the decisions get ---------------------------------------------------------------------------

    def _admission(self, now: float) -> Admission | None:
        assert self.began is not None
        turn = int((now - self.began) / TURN)
        cut = shares(self.level.admitted, self.worths, self.mix or dict.fromkeys(self.worths, 1.0))
        floor = 0.0
        if self.level.refrains(now) and "late" not in self.without:
            floor = min((self.worths[kind] for kind, share in cut.items() if share > 0.0), default=0.0)
        last = self.said
        whole = min(cut.values(), default=1.0) >= 1.0
        if last is not None and last.floor == floor and (whole or turn == last.turn):
            told = dict(last.shares)
            ends = any((told.get(kind) in (0.0, 1.0)) != (share in (0.0, 1.0)) for kind, share in cut.items())
            if not ends and all(abs(share - told.get(kind, 2.0)) < SHARE_STEP for kind, share in cut.items()):
                return None
        returns = (RETURN_FROM * self.longest, self.longest)
        self.said = Admission(tuple(cut.items()), self.level.admitted, floor, turn, *returns)
        return self.said

    def _word(self, now: float, living: Mapping[str, int]) -> bytes | None:
        """The own facet, if it is time: all members together say a few words a second, however many."""
        active = self.level.phase is not Phase.NORMAL or self.pressure >= PRESSED / 2
        gap = max(LEAST_GAP, 1_000.0 * len(living) / (WORDS_S if active else QUIET_WORDS_S))
        if active and now - self.word_of_pressure > 2.0 * URGENT_GAP:
            self.word_due = min(self.word_due, now + self.random.random() * URGENT_GAP)
        giving = any(now - one.at < LEAST_GAP for one in self.escrow.given.values())
        if active and not self.active:
            self.word_due = min(self.word_due, now + self.random.random() * gap)
        self.active = active
        if now < self.word_due and not giving:
            return None
        self.word_due = now + gap * self.random.uniform(0.7, 1.3)
        offered = {kind: rate.read(now) for kind, rate in self.offered.items()}
        self._blend(offered)
        if active:
            self.word_of_pressure = now
        assert self.began is not None
        seen = [(name, one) for name, one in self.own.items() if now - one[1] <= OLD]
        newest = sorted(seen, key=lambda one: -one[1][1])[:MOST_SERVERS]
        pressed = [
            Pressed(name, round(1_000 * min(1.0, hold)), int(now - at) + 1) for name, (hold, at) in newest
        ]
        taken = [(giver, life, number) for giver, (life, number) in self.escrow.taken.items()]
        passed = now - self.began
        while True:
            word = write_load(
                Load(
                    round(1_000 * self.level.lasting), int(passed / TURN), int(passed % TURN),
                    int(self.level.phase),
                    {kind: int(100 * rate) for kind, rate in list(offered.items())[:MOST_CLASSES]}, pressed,
                    self.wants, self.escrow.gifts(now)[:MOST_GIFTS], taken[-MOST_GIFTS:],
                )
            )  # fmt: skip
            if len(word) <= 480 or not pressed:
                return word
            pressed = pressed[:-2]


def look(
    core: Membership, part: Overload, now: float, servers: Collection[str], purse: float
) -> tuple[Outcome, int]:
    """One look with what the member holds of others; and how many facets could not be read."""
    heard: list[tuple[str, int, int, Load, float]] = []
    bad = 0
    living = {part.name: core.me.life}
    if not core.silent:
        for word, facet, age in core.state_entries_of(LOAD, now):
            try:
                heard.append((word.name, facet.life, facet.counter, read_load(facet.body), age))
            except (msgspec.DecodeError, msgspec.ValidationError):
                bad += 1
        living |= {word.name: word.life for word in core.living()}
    return part.look(now, servers, heard, living, purse), bad


__all__ = ["END", "LOAD", "PARTS", "SCHEMA", "Overload", "look"]
