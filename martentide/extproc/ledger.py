"""The lifecycle of the requests that one front asks about, from offered to closed.

A pure state machine: ``handle(now, event)`` takes one event, returns effects in their order, and has no
clock, timer or random number of its own. The decision module decides server, repeat and refusal; the ledger
decides what of that may still reach the front, and sees to the rules where a front carries the attempts:

- each request gets one final, and each question its verdict, before the caller's time is over;
- one attempt out at most: the next route goes out behind the end, or the withdrawal, of the last, on one
  ordered stream, and not before the release wait is over;
- one end for each attempt that was ordered, matched to it, whatever the front reports or leaves out;
- the withdrawal is said before the module hears of a time-out;
- a route is of use for a short time only, so that the front's first byte to a server that drains keeps the
  drain rule even when the withdrawal is lost.

    PENDING --route--> ROUTED --stands--> STANDS --over--> closed
       ^  \\               |  \\
       |   refused,        |   withdrawn, cancelled, cut-off -> closed
       |   failed          |
       +---other outcome---+
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import isfinite

from martentide.attempt_messages import Ended, Stood
from martentide.extproc.limits import Admission
from martentide.extproc.messages import (
    Ask,
    Cancel,
    Cancelled,
    Failed,
    FromFront,
    Outcome,
    Over,
    Refused,
    Release,
    Route,
    Standing,
    ToFront,
    Welcomed,
    Why,
    Withdrawn,
)
from martentide.interface import CallClass, Ending, Report, ServerEntry, ServerState

MOST_LEFT = 600_000.0  # ms: a time left beyond it is taken for the class's give-up time
NEVER_RAN = (Ending.FULL, Ending.UNREACHABLE, Ending.NOT_SENT)
RELEASE_AFTER = (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED)


class FrontError(ValueError):
    """What a front said breaks the protocol: its stream is closed. The text says what was found."""


@dataclass(frozen=True, slots=True)
class Terms:
    """Times of the lifecycle in ms, from the extras file; ``single``: one attempt for each request."""

    verdict_margin: float = 20.0  # before the caller's time is over, the last final goes out
    margin_share: float = 0.2  # of the time left, where that is less
    report_margin: float = 40.0  # for the last attempt's outcome and its final to travel
    valid_for: float = 1_000.0  # a route may be begun so long; below the drain rule's grace
    lease_grace: float = 250.0  # beyond its patience, for an attempt's outcome to come
    standing_end: float = 8_000.0  # after a front is lost, its standing calls are counted so long
    release: float = 200.0  # after a timed-out, cut or cancelled attempt
    most_attempts: int = 5
    single: bool = False


# ---- from the dispatcher, the list, the stream and the timers ---------------------------------------------


@dataclass(frozen=True, slots=True)
class Carry:
    """The module sends the call's set-up: attempt ``attempt`` at ``server``."""

    key: int
    ref: int
    attempt: int
    server: str
    patience: float
    held: bool = False  # not the first word of the module on the question


@dataclass(frozen=True, slots=True)
class TakeBack:
    """An attempt is withdrawn; ``hang_up``: also if it stands."""

    key: int
    ref: int
    attempt: int
    hang_up: bool


@dataclass(frozen=True, slots=True)
class Decided:
    """The final answer of the module: refused with a hold-off in ms, or failed (None)."""

    key: int
    hold_off: float | None
    held: bool = False


@dataclass(frozen=True, slots=True)
class Place:
    """A server of the list and its address."""

    entry: ServerEntry
    address: str


@dataclass(frozen=True, slots=True)
class ListChanged:
    places: tuple[Place, ...]


class Stream(Enum):
    BROKEN = "broken"  # the stream ended; the front may come back within its lease
    RESUMED = "resumed"
    EXPIRED = "expired"  # it did not
    CLOSING = "closing"  # the proxy ends


@dataclass(frozen=True, slots=True)
class Due:
    """A timer that ``Wake`` asked for."""

    key: int
    kind: str


Event = FromFront | Carry | TakeBack | Decided | ListChanged | Stream | Due


# ---- effects ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Say:
    message: ToFront


@dataclass(frozen=True, slots=True)
class Offered:
    """A new call for the module; ``time_left`` counts from ``at``."""

    key: int
    call_class: str
    number: str
    time_left: float
    first_choice: int
    at: float


@dataclass(frozen=True, slots=True)
class Left:
    """The call is closed here: nothing more is owed for it."""

    key: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Feed ``Due(key, kind)`` at ``at``; it takes the place of an earlier one of that key and kind."""

    key: int
    kind: str
    at: float


@dataclass(frozen=True, slots=True)
class Unwake:
    key: int
    kind: str


Effect = Say | Offered | Left | Stood | Ended | Wake | Unwake


class State(Enum):
    PENDING = "pending"
    ROUTED = "routed"
    STANDS = "stands"


@dataclass(slots=True)
class Request:
    """One request that is not closed."""

    key: int  # unique in the program
    request: int  # the front's own number
    kind: CallClass
    terms: Terms  # those it was asked under: they hold to its end
    cutoff: float  # the last final goes out by then
    asked_at: float
    state: State = State.PENDING
    ref: int = -1
    attempt: int = -1  # the last one that was ordered
    attempts: int = 0
    server: str = ""
    routed_at: float = 0.0
    lease: float = 0.0
    not_before: float = 0.0
    may_have_run: bool = False
    deferred: Carry | None = None  # a route that waits for the release
    timers: set[str] = field(default_factory=set)


class Ledger:
    """All requests of one front. ``keys`` hands out numbers that no other ledger of the program uses."""

    def __init__(
        self,
        front: str,
        terms: Terms,
        classes: Mapping[str, CallClass],
        admission: Admission,
        keys: Iterable[int],
    ) -> None:
        self.front, self.terms, self.classes, self.admission = front, terms, classes, admission
        self.keys = iter(keys)
        self.open: dict[int, Request] = {}  # by key
        self.by_request: dict[int, Request] = {}
        self.places: dict[str, Place] = {}
        self.last_request = -1
        self.connected, self.closing = True, False
        self.counts: Counter[str] = Counter()
        self.effects: list[Effect] = []

    def handle(self, now: float, event: Event) -> list[Effect]:
        """What one event leads to. Raises FrontError; the effects so far are then in ``effects``."""
        self.effects = []
        match event:
            case Ask():
                self._ask(now, event)
            case Outcome():
                self._outcome(now, event)
            case Cancel():
                self._cancel(now, event)
            case Over():
                self._over(now, event)
            case Carry():
                self._carry(now, event)
            case TakeBack():
                self._take_back(now, event)
            case Decided():
                self._decided(now, event)
            case Due():
                self._due(now, event)
            case ListChanged():
                self._list(now, event)
            case Stream():
                self._stream(now, event)
        return self.effects

    # ---- questions ----------------------------------------------------------------------------------------

    def _ask(self, now: float, ask: Ask) -> None:
        if ask.request <= self.last_request:
            # Guards against two verdicts under one number: which is whose could not be told.
            raise FrontError(f"request {ask.request} after request {self.last_request}: numbers must grow")
        self.last_request = ask.request
        self.counts["asked"] += 1
        kind = self.classes.get(ask.call_class)
        if kind is None:
            self._say(Failed(ask.request, Why.UNKNOWN_CLASS))
            return
        left = kind.deadline if ask.time_left is None else ask.time_left
        if not isfinite(left) or left < 0 or ask.first_choice < -1:
            self._say(Failed(ask.request, Why.BAD_REQUEST))
            return
        if left > MOST_LEFT:
            left = kind.deadline
        cutoff = ask.at + left - min(self.terms.verdict_margin, self.terms.margin_share * left)
        if now >= cutoff:
            self.counts["refused_deadline"] += 1
            self._say(Refused(ask.request, 0.0, Why.DEADLINE))
            return
        if self.closing:
            self._say(Refused(ask.request, 0.0, Why.CLOSING))
            return
        denied = self.admission.ask(self.front, kind.worth, now)
        if denied is not None:
            self._say(Refused(ask.request, denied.retry_after, denied.why))
            return
        came = ask.at if ask.came is None else ask.came
        one = Request(next(self.keys), ask.request, kind, self.terms, cutoff, came)
        self.open[one.key] = self.by_request[one.request] = one
        self._wake(one, "cutoff", cutoff)
        number = ask.number or ""
        self.effects.append(Offered(one.key, kind.name, number, left, ask.first_choice, ask.at))

    def _carry(self, now: float, order: Carry) -> None:
        one = self.open.get(order.key)
        place = self.places.get(order.server)
        if one is None or one.state is not State.PENDING or place is None:
            self._not_sent(order)  # it was closed as the order was on its way, or the server left the list
            return
        one.ref = order.ref
        if one.attempts >= (1 if one.terms.single else one.terms.most_attempts) or not self.connected:
            self._not_sent(order)
            return
        if now < one.not_before:
            one.deferred = order
            self._wake(one, "release", one.not_before)
            return
        # Reported as given up so early that the final still reaches the caller in time.
        patience = min(order.patience, one.cutoff - self.terms.report_margin - now)
        if patience < 1.0 or place.entry.state is not ServerState.OPEN:
            self._not_sent(order)
            return
        one.state, one.attempt, one.server, one.routed_at = State.ROUTED, order.attempt, order.server, now
        one.attempts += 1
        one.lease = now + patience
        self._verdict(one, now)
        self._wake(one, "lease", min(one.lease + self.terms.lease_grace, one.cutoff))
        self.counts["routed"] += 1
        self._say(self._route(one, place, now, order.held))

    def _route(self, one: Request, place: Place, now: float, held: bool = False) -> Route:
        patience = one.lease - now
        valid = min(self.terms.valid_for, patience, one.routed_at + self.terms.valid_for - now)
        return Route(
            request=one.request,
            attempt=one.attempt,
            server=one.server,
            address=place.address,
            zone=place.entry.zone,
            patience=patience,
            valid_for=max(0.0, valid),
            held=held,
            waited=max(0.0, one.routed_at - one.asked_at),
        )

    def _not_sent(self, order: Carry) -> None:
        self.counts["not_sent"] += 1
        self.effects.append(Ended(order.ref, order.attempt, order.server, Ending.NOT_SENT, False, 0.0, None))

    def _decided(self, now: float, decided: Decided) -> None:
        one = self.open.get(decided.key)
        if one is None or one.state is not State.PENDING:
            return  # closed meanwhile, by word of the front or by the clock
        self._verdict(one, now)
        self._close(one)
        waited = max(0.0, now - one.asked_at)
        if decided.hold_off is None:
            self._say(Failed(one.request, Why.DECIDED, decided.held, waited))
        else:
            self._say(Refused(one.request, decided.hold_off, Why.DECIDED, decided.held, waited))

    def _verdict(self, one: Request, now: float) -> None:
        """The open question is answered."""
        self.admission.decided(self.front, now - one.asked_at)

    # ---- what the front reports ---------------------------------------------------------------------------

    def _outcome(self, now: float, outcome: Outcome) -> None:
        one = self.by_request.get(outcome.request)
        if one is None or one.attempt != outcome.attempt or one.state is State.PENDING:
            self._late(outcome, one)
            return
        if one.state is State.STANDS:
            if outcome.ending is None:
                self.counts["reported_twice"] += 1
            else:
                self._end_standing(one, outcome.ending, outcome.report)
            return
        lag = now - one.routed_at
        if isfinite(outcome.lag) and outcome.lag >= 0:
            lag = min(lag, outcome.lag)
        self._unwake(one, "lease")
        if outcome.ending is None:
            one.state = State.STANDS
            self._unwake(one, "cutoff")
            self.counts["stands"] += 1
            self.effects.append(Stood(one.ref, one.attempt, one.server, lag, b""))
            self._say(Standing(one.request))
            return
        self._attempt_over(one, now, outcome.ending, outcome, lag)

    def _attempt_over(
        self, one: Request, now: float, ending: Ending, said: Outcome | None = None, lag: float | None = None
    ) -> None:
        """The routed attempt ended without standing: the module hears, and the question is open anew."""
        if ending is Ending.DELIVERED:  # over before it was said to stand: nothing shows that it stood
            ending = Ending.CUT
        if ending in RELEASE_AFTER:
            one.not_before = now + one.terms.release
        one.may_have_run = one.may_have_run or ending not in NEVER_RAN
        one.state, one.asked_at = State.PENDING, now
        self._unwake(one, "lease")
        self.admission.asked_again(self.front)
        over = Ended(
            one.ref,
            one.attempt,
            one.server,
            ending,
            said.lines_full if said is not None else False,
            now - one.routed_at if lag is None else lag,
            said.report if said is not None else None,
        )
        if self.terms.single or not self.connected:
            # No second attempt can be made: the call is closed first, so that the module orders none.
            self.effects.append(Left(one.key))
            self.effects.append(over)
            self._verdict(one, now)
            self._close(one)
            if one.may_have_run:
                self._say(Failed(one.request, Why.DECIDED))
            else:
                self._say(Refused(one.request, 0.0, Why.DECIDED))
            return
        self.effects.append(over)

    def _late(self, outcome: Outcome, one: Request | None) -> None:
        """A report of an attempt that is not out: counted, and passed over. What stands must be released."""
        if outcome.request > self.last_request:
            raise FrontError(f"outcome of request {outcome.request}, which was never asked")
        if one is not None and outcome.attempt > one.attempt:
            raise FrontError(f"outcome of attempt {outcome.attempt} of request {one.request}, never routed")
        self.counts["late_reports"] += 1
        if outcome.ending is None:
            self._say(Withdrawn(outcome.request, outcome.attempt, False, Why.LATE))

    def _cancel(self, now: float, cancel: Cancel) -> None:
        one = self.by_request.get(cancel.request)
        if one is None:
            if cancel.request > self.last_request:
                raise FrontError(f"cancel of request {cancel.request}, which was never asked")
            self.counts["late_cancels"] += 1  # it crossed the final, which stays the only one
            return
        if one.state is State.STANDS:
            self._end_standing(one, Ending.DELIVERED, None)
            return
        self.counts["cancelled"] += 1
        self._give_up(one, now, Ending.CANCELLED)
        self._say(Cancelled(one.request))

    def _over(self, now: float, over: Over) -> None:
        one = self.by_request.get(over.request)
        if one is None or one.state is not State.STANDS:
            if over.request > self.last_request or (one is not None and one.state is State.PENDING):
                raise FrontError(f"request {over.request} is over, but did not stand")
            self.counts["late_reports"] += 1
            if one is not None:
                self._outcome(now, Outcome(over.request, one.attempt, Ending.CUT, -1.0, False, over.report))
            return
        self._end_standing(one, Ending.CUT if over.cut else Ending.DELIVERED, over.report)

    def _end_standing(self, one: Request, ending: Ending, report: Report | None) -> None:
        self._close(one)
        self.counts["over"] += 1
        self.effects.append(Ended(one.ref, one.attempt, one.server, ending, False, 0.0, report))

    # ---- withdrawals, time-outs, the list -----------------------------------------------------------------

    def _take_back(self, now: float, item: TakeBack) -> None:
        one = self.open.get(item.key)
        if one is None or one.attempt != item.attempt:
            if one is not None and one.deferred is not None and one.deferred.attempt == item.attempt:
                order, one.deferred = one.deferred, None
                self._not_sent(order)
            return
        if one.state is State.STANDS and item.hang_up:
            self._say(Release(one.request, Why.DECIDED))
            self._end_standing(one, Ending.CANCELLED, None)
        elif one.state is State.ROUTED and (item.hang_up or not self.terms.single):
            # (A front of one attempt could not make another: there the attempt goes on to its own end.)
            self._say(Withdrawn(one.request, one.attempt, False, Why.DECIDED))
            self._attempt_over(one, now, Ending.CANCELLED)

    def _due(self, now: float, due: Due) -> None:
        one = self.open.get(due.key)
        if one is None:
            return
        one.timers.discard(due.kind)
        match due.kind:
            case "cutoff" if one.state is not State.STANDS:
                self._cut_off(one, now)
            case "lease" if one.state is State.ROUTED:
                self.counts["lapsed"] += 1
                self._say(Withdrawn(one.request, one.attempt, False, Why.PATIENCE))
                self._attempt_over(one, now, Ending.TIMED_OUT)
            case "release" if one.deferred is not None:
                order, one.deferred = one.deferred, None
                self._carry(now, order)
            case "standing" if one.state is State.STANDS:
                self._end_standing(one, Ending.CUT, None)

    def _cut_off(self, one: Request, now: float) -> None:
        """The caller's time is nearly over: the final goes out, whatever the module still ponders."""
        self.counts["refused_deadline"] += 1
        routed = one.state is State.ROUTED
        if routed:
            self._say(Withdrawn(one.request, one.attempt, False, Why.DEADLINE))
        self._give_up(one, now, Ending.TIMED_OUT)
        if routed or one.may_have_run:
            self._say(Failed(one.request, Why.DEADLINE))
        else:
            self._say(Refused(one.request, 0.0, Why.DEADLINE))

    def _give_up(self, one: Request, now: float, ending: Ending) -> None:
        """Close a request that does not stand; the attempt that is out, if any, ends so."""
        self.effects.append(Left(one.key))
        if one.state is State.ROUTED:
            lag = now - one.routed_at
            self.effects.append(Ended(one.ref, one.attempt, one.server, ending, False, lag, None))
        else:
            self.admission.decided(self.front)
            if one.deferred is not None:
                self._not_sent(one.deferred)
        self._close(one)

    def _close(self, one: Request) -> None:
        del self.open[one.key]
        del self.by_request[one.request]
        self.admission.closed(self.front)
        for kind in tuple(one.timers):
            self._unwake(one, kind)

    def _list(self, now: float, event: ListChanged) -> None:
        """Withdraw what the list's word makes unusable, before the module routes anew."""
        gone, drains, restarted = set(), set(), {}
        for place in event.places:
            name, entry = place.entry.name, place.entry
            known = self.places.get(name)
            if entry.state is ServerState.GONE:
                self.places.pop(name, None)
                gone.add(name)
                continue
            if entry.state is ServerState.DRAINING:
                drains.add(name)
            elif known is not None and (entry.started or 0.0) > (known.entry.started or 0.0):
                restarted[name] = entry.started or 0.0
            self.places[name] = place
        if not (gone or drains or restarted):
            return
        for one in list(self.open.values()):
            lost = one.server in gone or one.routed_at < restarted.get(one.server, 0.0)
            if one.state is State.STANDS and lost:
                self._say(Release(one.request, Why.SERVER_GONE))
                self._end_standing(one, Ending.CUT, None)
            elif one.state is State.ROUTED and lost:
                self._say(Withdrawn(one.request, one.attempt, False, Why.SERVER_GONE))
                self._attempt_over(one, now, Ending.CUT)
            elif one.state is State.ROUTED and one.server in drains:
                # Used or not, only the front can tell; it answers "not sent" if not, and the rest goes on.
                self.counts["withdrawn_drain"] += 1
                self._say(Withdrawn(one.request, one.attempt, True, Why.DRAINING))

    # ---- the stream ---------------------------------------------------------------------------------------

    def _stream(self, now: float, event: Stream) -> None:
        match event:
            case Stream.BROKEN:
                self.connected = False
                for one in [one for one in self.open.values() if one.state is State.PENDING]:
                    self.counts["broken_pending"] += 1
                    self._give_up(one, now, Ending.CUT)
            case Stream.RESUMED:
                self.connected = True
                routed = sorted(one.request for one in self.open.values() if one.state is State.ROUTED)
                stand = sorted(one.request for one in self.open.values() if one.state is State.STANDS)
                self._say(Welcomed(tuple(routed), tuple(stand)))
                for one in self.open.values():
                    place = self.places.get(one.server)
                    if one.state is not State.ROUTED or place is None:
                        continue
                    if place.entry.state is ServerState.OPEN:
                        self._say(self._route(one, place, now))  # once more, as its first copy may be lost
                    else:
                        self._say(Withdrawn(one.request, one.attempt, True, Why.DRAINING))
            case Stream.EXPIRED:
                self.connected = False
                for one in list(self.open.values()):
                    if one.state is State.STANDS:
                        self._wake(one, "standing", now + self.terms.standing_end)
                    else:
                        self.counts["expired_routes"] += one.state is State.ROUTED
                        self._give_up(one, now, Ending.CUT)
            case Stream.CLOSING:
                self.closing = True
                for one in [one for one in self.open.values() if one.state is State.STANDS]:
                    # They stand without this program, which follows them no longer.
                    self._end_standing(one, Ending.DELIVERED, None)

    # ---- effects ------------------------------------------------------------------------------------------

    def _say(self, message: ToFront) -> None:
        if self.connected:
            self.effects.append(Say(message))
        else:
            self.counts["unsaid"] += 1

    def _wake(self, one: Request, kind: str, at: float) -> None:
        one.timers.add(kind)
        self.effects.append(Wake(one.key, kind, at))

    def _unwake(self, one: Request, kind: str) -> None:
        if kind in one.timers:
            one.timers.remove(kind)
            self.effects.append(Unwake(one.key, kind))
