"""Fleet-wide overload control at one member: events and messages in, decision events and one message out.

Performs no I/O. An isolated member, one in a minority and one that just started decide from their own
observations, beginning with the last admitted share. It is a share of the offered calls, not a rate, so a
wrong estimate of the fleet size cannot make the members together admit too much. After the process was
suspended, the member keeps its share, gets no recovery for the suspended time, and discards its tokens.
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
from martentide.overload.admission_threshold import admitted_shares
from martentide.overload.escrow import Escrow
from martentide.overload.level import (
    PRESSURE_THRESHOLD,
    PROPORTIONAL_GAIN,
    PROPORTIONAL_GAIN_LARGE,
    STORM_REDIAL_RATIO,
    STORM_STANDING_SHARE,
    Level,
    Phase,
    fleet_pressure,
    size_factor,
)
from martentide.overload.messages import (
    LOAD_EXPIRY,
    LOAD_KIND,
    MAX_CLASSES,
    MAX_SERVERS,
    MAX_TRANSFERS,
    SCHEMA,
    Load,
    ServerPressure,
    read_load,
    write_load,
)
from martentide.rules import FULL_HOLD_BACK, HOLD_BACK_LEVELS, MAX_NETWORK_LAG, NETWORK_JITTER

ACTIVE_MESSAGES_PER_S = 10.0  # messages/s of all members together under pressure
IDLE_MESSAGES_PER_S = 0.5  # messages/s of all members together without pressure
MIN_MESSAGE_GAP = 400.0  # ms between two messages of one member
URGENT_GAP = 200.0  # ms within which a member reports new pressure, unless another member has done so
# ms in which the share requested by a server halves, in small and in large fleets
PRESSURE_HALF_LIFE, PRESSURE_HALF_LIFE_LARGE = 1_500.0, 4_000.0
# A claim is one member's observation of the share that a server requests to be held back.
MAX_CLAIM_AGE = 2_500.0  # ms after which a claim is ignored
MAX_CLAIM_DEVIATION = 0.25  # share by which the newest claim may differ from the next member's
MAX_CLAIMS = 4  # claims kept per server, each from another member
RATE_WINDOW = 4_000.0  # ms in which the weight of an event decays to a quarter
MIX_WEIGHT = 0.1  # weight of one message in the average mix of classes
TURN_LENGTH = 5_000.0  # ms; the verdict on a number holds for TURNS_PER_VERDICT turns
MAX_TURN_OFFSET = 700.0  # ms by which the own turns may differ from the median of those received
MIN_SHARE_CHANGE = 0.01  # smaller changes of a class's share are not passed to the decision module
RETRY_RATIO = 0.15  # retry tokens earned per first try
ALLOTMENT = 3  # retry tokens up to which the decision module is supplied
ALLOTMENT_LIFETIME = 1_500.0  # ms after which unspent tokens of the allotment expire
MAX_BALANCE = 6.0  # tokens that an account holds
TRANSFER_THRESHOLD = 3.0  # tokens; an account above it transfers to members short of tokens
MAX_NUMBERS = 4_096  # called numbers remembered to recognise redials
REDIAL_WINDOW = 10_000.0  # ms in which a number called again is a redial: about the deadline of a class
MAX_SENDERS = 4_096  # members whose last message is remembered
ISOLATION_TIMEOUT = 10_000.0  # ms without any message; long, because idle members seldom send one
MAX_POLL_GAP = 2_000.0  # ms between two polls beyond which the process must have been suspended
MIN_RETURN_SHARE = 0.2  # of the longest hold-off: shed callers return at random between it and the whole


@dataclass(frozen=True, slots=True)
class PollResult:
    """Result of one poll: events for the decision module and the encoded message to publish, if due."""

    events: tuple[Admission | RepeatBudget, ...]
    message: bytes | None


MIN_ANSWERS = 8  # answers of a server from which on the shortest one counts as its lag without a queue
# Mechanisms that a benchmark can disable: "cut" sheds calls, "budget" shares the retry budget, "late" refuses
# late redials, "word" applies received messages.
ABLATION_PARTS = ("cut", "budget", "late", "word")


class Rate:
    """An exponentially decaying rate of events."""

    __slots__ = ("count", "updated_at")

    def __init__(self) -> None:
        self.count, self.updated_at = 0.0, 0.0

    def add(self, now: float) -> None:
        """Count one event at ``now`` (ms)."""
        self.count = self._decayed(now) + 1.0
        self.updated_at = now

    def _decayed(self, now: float) -> float:
        return float(self.count * 0.5 ** ((now - self.updated_at) / RATE_WINDOW * 2.0)) if self.count else 0.0

    def per_second(self, now: float) -> float:
        """Return the rate at ``now`` (ms) in events per second."""
        # The integral of an event's decaying weight is RATE_WINDOW / 2 / ln 2, hence the factor.
        return self._decayed(now) * 2.0 * 0.6931 / RATE_WINDOW * 1_000.0


class Overload:
    """Overload control of one member.

    ``worths`` is by class; ``max_hold_off`` in ms is the longest hold-off for a refused caller, 0 for none;
    ``tolerable_wait`` in ms is the wait at a server that the level table refers to.
    """

    def __init__(
        self,
        name: str,
        process_id: int,
        worths: Mapping[str, float],
        max_hold_off: float,
        tolerable_wait: float,
        seed: int,
    ) -> None:
        self.name, self.worths, self.max_hold_off, self.tolerable_wait = (
            name,
            dict(worths),
            max_hold_off,
            tolerable_wait,
        )
        self.disabled: frozenset[str] = frozenset()  # of ABLATION_PARTS, to measure their effect
        self.own_claims: dict[str, tuple[float, float]] = {}  # as ``hold_backs``, by own observation only
        self.shortest_answers: dict[str, tuple[float, int]] = {}  # by server: shortest lag, number of answers
        self.rng = random.Random(seed)
        self.level = Level()
        self.escrow = Escrow(name, process_id, MAX_BALANCE)
        self.offered_rates = {kind: Rate() for kind in self.worths}
        self.redial_rate, self.first_try_rate, self.standing_rate = Rate(), Rate(), Rate()
        self.recent_numbers: OrderedDict[str, float] = OrderedDict()
        self.class_mix: dict[str, float] = {}
        self.hold_backs: dict[str, tuple[float, float]] = {}  # by server: requested share, local time
        self.claims: dict[str, dict[str, tuple[float, float]]] = {}  # by server and observing member
        self.last_messages: dict[str, tuple[int, int, float]] = {}  # by member: process id, counter, time
        self.turn_0_at: float | None = None  # local time at which turn 0 began
        self.polled_at: float | None = None
        self.message_due = 0.0
        self.pressure_reported_at = -1e9  # when any member last reported pressure
        self.last_admission: Admission | None = None
        self.tokens_wanted = 0
        self.pressure, self.pressure_half_life = 0.0, PRESSURE_HALF_LIFE
        self.active = False  # whether messages are sent at ACTIVE_MESSAGES_PER_S
        self.last_received_at: float | None = None

    def apply_settings(self, worths: Mapping[str, float], max_hold_off: float, tolerable_wait: float) -> None:
        """Apply changed settings; rates of classes that remain are kept."""
        self.worths, self.max_hold_off, self.tolerable_wait = dict(worths), max_hold_off, tolerable_wait
        self.offered_rates = {kind: self.offered_rates.get(kind, Rate()) for kind in self.worths}

    # ---- own observations -------------------------------------------------------------------------------

    def observe(self, now: float, event: Event) -> None:
        """Record an event that the local decision module received at ``now`` (ms)."""
        match event:
            case SetUpOffered(call_class=kind, number=number, redial=redial):
                again = redial or (
                    number is not None and now - self.recent_numbers.get(number, -1e18) <= REDIAL_WINDOW
                )
                if number is not None:
                    self.recent_numbers[number] = now
                    self.recent_numbers.move_to_end(number)
                    if len(self.recent_numbers) > MAX_NUMBERS:
                        self.recent_numbers.popitem(last=False)
                if again:
                    self.redial_rate.add(now)
                    return
                self.first_try_rate.add(now)
                if kind in self.offered_rates:
                    self.offered_rates[kind].add(now)
                self.escrow.earn(RETRY_RATIO)
            case Stands(server=server, delay=delay):
                self.standing_rate.add(now)
                least, seen = self.shortest_answers.get(server, (delay, 0))
                self.shortest_answers[server] = (min(delay, least), seen + 1)
                wait = max(0.0, delay - self._unloaded_lag(server) * (1.0 + NETWORK_JITTER))
                # A finished wait is evidence from the time at which it began.
                self._record_claim(server, self._hold_back_for(wait), now - wait)
            case AttemptEnded(server=server, ending=Ending.TIMED_OUT, lag=lag):
                self._record_claim(server, self._hold_back_for(lag), now - lag)
            case AttemptEnded(server=server, ending=ending, lines_full=lines, report=report):
                if ending is Ending.FULL and not lines:
                    self._record_claim(server, FULL_HOLD_BACK, now)
                else:
                    self._apply_report(server, report, now)
            case ProbeEnded(server=server, report=report):
                self._apply_report(server, report, now)

    def _apply_report(self, server: str, report: Report | None, now: float) -> None:
        if report is not None and report.hold_back is not None:
            self._record_claim(server, min(1.0, max(0.0, report.hold_back)), now)
        elif report is not None and report.wait is not None:
            self._record_claim(server, self._hold_back_for(report.wait), now)

    def _record_claim(self, server: str, share: float, at: float) -> None:
        if at > self.own_claims.get(server, (0.0, -1e18))[1]:
            self.own_claims[server] = (share, at)

    def _unloaded_lag(self, server: str) -> float:
        """Return a server's lag without a queue, in ms: the shortest lag observed there.

        With few answers of the server, the shortest lag at any server is used as well: otherwise the first
        answer out of a queue would be mistaken for the lag without one.
        """
        least, seen = self.shortest_answers.get(server, (MAX_NETWORK_LAG, 0))
        return (
            least
            if seen >= MIN_ANSWERS
            else min(one for one, _ in [(least, 0), *self.shortest_answers.values()])
        )

    def _hold_back_for(self, wait: float) -> float:
        return max(
            (share for bound, share in HOLD_BACK_LEVELS if wait >= bound * self.tolerable_wait), default=0.0
        )

    # ---- polling ------------------------------------------------------------------------------------------

    def poll(
        self,
        now: float,
        servers: Collection[str],
        received: Iterable[tuple[str, int, int, Load, float]],
        living: Mapping[str, int],
        allotment: float,
    ) -> PollResult:
        """Update the admitted share and return events for the decision module and the message to publish.

        ``received`` holds owner, its process id, counter, message and age in ms; ``living`` the process id of
        each living member by name, including this one; ``allotment`` the tokens that the decision
        module still holds.
        """
        stalled = self.polled_at is not None and now - self.polled_at > MAX_POLL_GAP
        self.polled_at = now
        if self.turn_0_at is None:
            self.turn_0_at = now
        if stalled:
            self.escrow.tokens = 0.0
        for by_server in (self.own_claims, self.shortest_answers):
            for name in [name for name in by_server if name not in servers]:
                del by_server[name]
        for name, seen in self.own_claims.items():
            self.claims.setdefault(name, {})[self.name] = seen
        messages = list(received)
        events: list[Admission | RepeatBudget] = []
        turns = []
        for owner, process_id, counter, load, age in messages:
            turns.append(load.turn * TURN_LENGTH + load.turn_age + age)
            ignored = owner == self.name or "word" in self.disabled
            if not ignored and owner in living and self._is_new_message(owner, process_id, counter, now):
                self._apply_message(now, owner, load, age, servers)
        self._synchronise_turns(now, turns)
        self._update_hold_backs(now, servers)
        # In a large fleet messages arrive late and queues grow meanwhile: react more strongly and for longer.
        large = size_factor(len(living))
        self.level.gain = PROPORTIONAL_GAIN + (PROPORTIONAL_GAIN_LARGE - PROPORTIONAL_GAIN) * large
        self.pressure_half_life = PRESSURE_HALF_LIFE + (PRESSURE_HALF_LIFE_LARGE - PRESSURE_HALF_LIFE) * large
        self.pressure = fleet_pressure(
            hold * 0.5 ** ((now - at) / self.pressure_half_life) for hold, at in self.hold_backs.values()
        )
        self.level.update(now, self.pressure, self._is_storm(now))
        if "budget" not in self.disabled:
            self._update_budget(now, messages, living, allotment, events)
        admission = None if "cut" in self.disabled else self._next_admission(now)
        if admission is not None:
            events.append(admission)
        return PollResult(tuple(events), self._next_message(now, living))

    def _update_hold_backs(self, now: float, servers: Collection[str]) -> None:
        """Choose the requested share of each server: the newest claim, limited by the next member's claim.

        A false claim can therefore shift it by at most MAX_CLAIM_DEVIATION, and since only own observations
        are published, no other member repeats it.
        """
        self.hold_backs.clear()
        for name, claims in list(self.claims.items()):
            recent_claims = sorted(
                ((at, hold, owner) for owner, (hold, at) in claims.items() if now - at <= MAX_CLAIM_AGE),
                reverse=True,
            )[:MAX_CLAIMS]
            if not recent_claims or name not in servers:
                del self.claims[name]
                continue
            self.claims[name] = {owner: (hold, at) for at, hold, owner in recent_claims}
            at, hold, owner = recent_claims[0]
            if len(recent_claims) > 1 and owner != self.name:
                hold = max(
                    recent_claims[1][1] - MAX_CLAIM_DEVIATION,
                    min(recent_claims[1][1] + MAX_CLAIM_DEVIATION, hold),
                )
            self.hold_backs[name] = (hold, at)

    def _is_new_message(self, owner: str, process_id: int, counter: int, now: float) -> bool:
        """Return whether the message is new; messages above an owner's rate limit are ignored."""
        last = self.last_messages.get(owner)
        if last is not None and last[:2] == (process_id, counter):
            return False
        if last is not None and now - last[2] < MIN_MESSAGE_GAP / 2:
            return False
        self.last_messages[owner] = (process_id, counter, now)
        if len(self.last_messages) > MAX_SENDERS:
            self.last_messages.pop(next(iter(self.last_messages)))
        return True

    def _apply_message(
        self, now: float, owner: str, load: Load, age: float, servers: Collection[str]
    ) -> None:
        self.last_received_at = now
        for one in load.pressed:
            at = now - age - one.age
            if one.server in servers and now - at <= MAX_CLAIM_AGE:
                self.claims.setdefault(one.server, {})[owner] = (one.hold_back / 1_000.0, at)
        if age < MAX_CLAIM_AGE:
            self.level.merge(load.baseline / 1_000.0)
            if load.baseline < 1_000 or any(
                one.hold_back >= PRESSURE_THRESHOLD * 1_000 for one in load.pressed
            ):
                self.pressure_reported_at = now
        self._update_class_mix(
            {kind: rate / 100.0 for kind, rate in load.offered.items() if kind in self.worths}
        )

    def _update_class_mix(self, offered: Mapping[str, float]) -> None:
        total = sum(offered.values())
        if total > 0.0:
            for kind in self.worths:
                share, known = offered.get(kind, 0.0) / total, self.class_mix.get(kind)
                self.class_mix[kind] = share if known is None else known + MIX_WEIGHT * (share - known)

    def _synchronise_turns(self, now: float, turns: list[float]) -> None:
        """Follow the median of the received turns, so that a single faulty member cannot shift it."""
        assert self.turn_0_at is not None
        if turns:
            median = sorted([*turns, now - self.turn_0_at])[(len(turns) + 1) // 2]
            if abs(median - (now - self.turn_0_at)) > MAX_TURN_OFFSET:
                self.turn_0_at = now - median

    def is_isolated(self, now: float) -> bool:
        """Return whether no message has arrived for so long that this member decides on its own."""
        return self.last_received_at is None or now - self.last_received_at > ISOLATION_TIMEOUT

    def status(self, now: float) -> dict[str, object]:
        """Return the state for operators: shares from 0 to 1, ages in ms."""
        shares = (
            {}
            if self.last_admission is None
            else {kind: round(share, 3) for kind, share in self.last_admission.shares}
        )
        return {
            "phase": self.level.phase.name.lower(), "admitted": round(self.level.admitted, 3),
            "lasting": round(self.level.baseline, 3), "pressure": round(self.level.pressure, 3),
            "storms": self.level.storms, "alone": self.is_isolated(now), "shares": shares,
            "pressed": {
                name: [round(hold, 3), round(now - at)] for name, (hold, at) in self.hold_backs.items()
            },
            "tokens": round(self.escrow.tokens, 2), "wants": self.tokens_wanted,
        }  # fmt: skip

    def _is_storm(self, now: float) -> bool:
        """Return whether the overload sustains itself: many redials per first try, few calls that stand."""
        firsts = self.first_try_rate.per_second(now)
        offered = firsts + self.redial_rate.per_second(now)
        if offered * RATE_WINDOW / 1_000.0 < 4.0 or self.pressure < 2.0 * PRESSURE_THRESHOLD:
            return False
        standing = self.standing_rate.per_second(now) / max(1e-9, offered * self.level.admitted)
        return (
            standing < STORM_STANDING_SHARE and self.redial_rate.per_second(now) > STORM_REDIAL_RATIO * firsts
        )

    # ---- retry budget -------------------------------------------------------------------------------------

    def _update_budget(
        self,
        now: float,
        messages: list[tuple[str, int, int, Load, float]],
        living: Mapping[str, int],
        allotment: float,
        events: list[Admission | RepeatBudget],
    ) -> None:
        escrow = self.escrow
        for owner, process_id, _, load, age in messages:
            if owner == self.name:
                continue
            for transfer in load.transfers:
                escrow.receive(owner, process_id, transfer, age)
            for sender, sender_process_id, last in load.received_transfers:
                if sender == self.name and sender_process_id == escrow.process_id:
                    escrow.settle(now, owner, process_id, age, last)
        escrow.expire(now, set(living))
        allotment = min(allotment, float(ALLOTMENT))  # it is infinite before the first budget
        withdrawn = escrow.withdraw(ALLOTMENT - allotment)
        events.append(RepeatBudget(float(withdrawn), ALLOTMENT_LIFETIME))
        self.tokens_wanted = max(0, min(99, int(ALLOTMENT - allotment - withdrawn)))
        short_members = [
            (owner, process_id, load.tokens_wanted)
            for owner, process_id, _, load, _ in messages
            if load.tokens_wanted > 0
        ]
        if short_members and escrow.tokens >= TRANSFER_THRESHOLD:
            owner, process_id, wanted = self.rng.choice(short_members)
            if living.get(owner) == process_id and not any(
                one.transfer.to == owner for one in escrow.outgoing.values()
            ):
                escrow.send(now, owner, process_id, min(wanted, int(escrow.tokens - TRANSFER_THRESHOLD) + 1))

    # ---- output -------------------------------------------------------------------------------------------

    def _next_admission(self, now: float) -> Admission | None:
        assert self.turn_0_at is not None
        turn = int((now - self.turn_0_at) / TURN_LENGTH)
        shares = admitted_shares(
            self.level.admitted, self.worths, self.class_mix or dict.fromkeys(self.worths, 1.0)
        )
        floor = 0.0
        if self.level.refuses_late_redials(now) and "late" not in self.disabled:
            floor = min((self.worths[kind] for kind, share in shares.items() if share > 0.0), default=0.0)
        last = self.last_admission
        all_admitted = min(shares.values(), default=1.0) >= 1.0
        if last is not None and last.floor == floor and (all_admitted or turn == last.turn):
            last_shares = dict(last.shares)
            reaches_or_leaves_limit = any(
                (last_shares.get(kind) in (0.0, 1.0)) != (share in (0.0, 1.0))
                for kind, share in shares.items()
            )
            if not reaches_or_leaves_limit and all(
                abs(share - last_shares.get(kind, 2.0)) < MIN_SHARE_CHANGE for kind, share in shares.items()
            ):
                return None
        return_range = (MIN_RETURN_SHARE * self.max_hold_off, self.max_hold_off)
        self.last_admission = Admission(
            tuple(shares.items()), self.level.admitted, floor, turn, *return_range
        )
        return self.last_admission

    def _next_message(self, now: float, living: Mapping[str, int]) -> bytes | None:
        """Return the own message if one is due: the fleet sends a few per second, whatever its size."""
        active = self.level.phase is not Phase.NORMAL or self.pressure >= PRESSURE_THRESHOLD / 2
        interval = max(
            MIN_MESSAGE_GAP,
            1_000.0 * len(living) / (ACTIVE_MESSAGES_PER_S if active else IDLE_MESSAGES_PER_S),
        )
        if active and now - self.pressure_reported_at > 2.0 * URGENT_GAP:
            self.message_due = min(self.message_due, now + self.rng.random() * URGENT_GAP)
        transferring = any(now - one.sent_at < MIN_MESSAGE_GAP for one in self.escrow.outgoing.values())
        if active and not self.active:
            self.message_due = min(self.message_due, now + self.rng.random() * interval)
        self.active = active
        if now < self.message_due and not transferring:
            return None
        self.message_due = now + interval * self.rng.uniform(0.7, 1.3)
        offered = {kind: rate.per_second(now) for kind, rate in self.offered_rates.items()}
        self._update_class_mix(offered)
        if active:
            self.pressure_reported_at = now
        assert self.turn_0_at is not None
        recent_claims = [
            (name, one) for name, one in self.own_claims.items() if now - one[1] <= MAX_CLAIM_AGE
        ]
        newest = sorted(recent_claims, key=lambda one: -one[1][1])[:MAX_SERVERS]
        pressed = [
            ServerPressure(name, round(1_000 * min(1.0, hold)), int(now - at) + 1)
            for name, (hold, at) in newest
        ]
        received_transfers = [
            (sender, process_id, number) for sender, (process_id, number) in self.escrow.last_received.items()
        ]
        elapsed = now - self.turn_0_at
        while True:
            message = write_load(
                Load(
                    round(1_000 * self.level.baseline), int(elapsed / TURN_LENGTH),
                    int(elapsed % TURN_LENGTH), int(self.level.phase),
                    {kind: int(100 * rate) for kind, rate in list(offered.items())[:MAX_CLASSES]}, pressed,
                    self.tokens_wanted, self.escrow.pending_transfers(now)[:MAX_TRANSFERS],
                    received_transfers[-MAX_TRANSFERS:],
                )
            )  # fmt: skip
            if len(message) <= 480 or not pressed:
                return message
            pressed = pressed[:-2]


def poll(
    membership: Membership, overload: Overload, now: float, servers: Collection[str], allotment: float
) -> tuple[PollResult, int]:
    """Poll ``overload`` with the member's state entries; also return how many of them were unreadable."""
    received: list[tuple[str, int, int, Load, float]] = []
    unreadable = 0
    living = {overload.name: membership.me.process_id}
    if not membership.displaced:
        for member, entry, age in membership.state_entries_of(LOAD_KIND, now):
            try:
                received.append((member.name, entry.process_id, entry.counter, read_load(entry.body), age))
            except (msgspec.DecodeError, msgspec.ValidationError):
                unreadable += 1
        living |= {other.name: other.process_id for other in membership.living()}
    return overload.poll(now, servers, received, living, allotment), unreadable


__all__ = ["ABLATION_PARTS", "LOAD_EXPIRY", "LOAD_KIND", "SCHEMA", "Overload", "poll"]
