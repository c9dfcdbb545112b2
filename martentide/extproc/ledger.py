"""Lifecycle of the requests of one front, from the first question to the close.

A pure state machine: ``handle(now, event)`` processes one event and returns effects in order. It has no
clock, timer or random numbers of its own. The decision module chooses the server and decides on retry and
refusal; the ledger decides which of these decisions may still be sent to the front, and enforces the rules
for attempts that a front carries out:

- each request gets one final verdict, and each question a verdict, before the caller's deadline;
- at most one attempt is in flight: the next route is sent after the end or the withdrawal of the previous
  one, on the same ordered stream, and not before the release wait is over;
- each ordered attempt has exactly one end, matched to it, whatever the front reports or omits;
- a withdrawal is sent before the module is notified of a timeout;
- a route is valid for a short time only, so that the front's first byte to a draining server keeps the drain
  rule even when the withdrawal is lost.

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

MAX_TIME_LEFT_MS = 600_000.0  # a longer time left is replaced by the class's give-up time
NOT_EXECUTED_ENDINGS = (Ending.FULL, Ending.UNREACHABLE, Ending.NOT_SENT)
RELEASE_WAIT_ENDINGS = (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED)


class FrontError(ValueError):
    """A message of the front violates the protocol; its stream is closed. The text states the violation."""


@dataclass(frozen=True, slots=True)
class LifecycleSettings:
    """Times of the lifecycle in ms, from the extras file; ``single_attempt``: one attempt per request."""

    verdict_margin: float = 20.0  # time before the caller's deadline at which the final verdict is sent
    margin_share: float = 0.2  # share of the time left that caps verdict_margin
    report_margin: float = 40.0  # time for the last attempt's outcome and its final verdict to be transmitted
    valid_for: float = 1_000.0  # time in which a route may be used; shorter than the grace of the drain rule
    lease_grace: float = 250.0  # time beyond an attempt's patience in which its outcome may still arrive
    standing_expiry: float = 8_000.0  # time for which the standing calls of a lost front stay counted
    release_wait: float = 200.0  # wait after a timed-out, cut or cancelled attempt
    max_attempts: int = 5
    single_attempt: bool = False


# ---- events of the dispatcher, the server list, the stream and the timers ---------------------------------


@dataclass(frozen=True, slots=True)
class Carry:
    """The decision module orders attempt ``attempt`` of the call at ``server``; ``patience`` is in ms."""

    key: int
    ref: int
    attempt: int
    server: str
    patience: float
    held: bool = False  # not decided in the event that brought the question


@dataclass(frozen=True, slots=True)
class TakeBack:
    """The decision module withdraws an attempt; ``hang_up``: even if the call stands."""

    key: int
    ref: int
    attempt: int
    hang_up: bool


@dataclass(frozen=True, slots=True)
class Decided:
    """The decision module's final verdict: refused with a hold-off in ms, or failed (None)."""

    key: int
    hold_off: float | None
    held: bool = False


@dataclass(frozen=True, slots=True)
class ListedServer:
    """An entry of the server list and the server's address."""

    entry: ServerEntry
    address: str


@dataclass(frozen=True, slots=True)
class ListChanged:
    """The server list changed; ``servers`` holds the changed entries."""

    servers: tuple[ListedServer, ...]


class Stream(Enum):
    """What happened to the front's stream."""

    BROKEN = "broken"  # the stream ended; the front may resume the session within its lease
    RESUMED = "resumed"
    EXPIRED = "expired"  # the lease ended without a new stream
    CLOSING = "closing"  # the proxy shuts down


@dataclass(frozen=True, slots=True)
class Due:
    """A timer set by ``SetTimer`` has expired."""

    key: int
    kind: str


Event = FromFront | Carry | TakeBack | Decided | ListChanged | Stream | Due


# ---- effects ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the front."""

    message: ToFront


@dataclass(frozen=True, slots=True)
class NewCall:
    """Offer a new call to the decision module; ``time_left`` (ms) counts from ``at``."""

    key: int
    call_class: str
    number: str
    time_left: float
    first_choice: int
    at: float


@dataclass(frozen=True, slots=True)
class CallClosed:
    """The request is closed; the decision module need not decide on it any more."""

    key: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``Due(key, kind)`` at ``at``; replaces an earlier timer with the same key and kind."""

    key: int
    kind: str
    at: float


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Cancel the timer with this key and kind."""

    key: int
    kind: str


Effect = Send | NewCall | CallClosed | Stood | Ended | SetTimer | CancelTimer


class State(Enum):
    """State of an open request."""

    PENDING = "pending"
    ROUTED = "routed"
    STANDS = "stands"


@dataclass(slots=True)
class Request:
    """One open request."""

    key: int  # unique in the process
    request_id: int  # number given by the front
    class_settings: CallClass
    settings: LifecycleSettings  # in force when the request was asked; kept until it is closed
    cutoff: float  # time at which the final verdict is sent at the latest
    asked_at: float
    state: State = State.PENDING
    ref: int = -1  # the decision module's reference of the call
    attempt: int = -1  # the last one routed
    attempts: int = 0
    server: str = ""
    routed_at: float = 0.0
    patience_ends_at: float = 0.0  # of the routed attempt
    not_before: float = 0.0  # end of the release wait: earliest time of the next route
    may_have_run: bool = False  # an ended attempt may have been executed
    deferred_order: Carry | None = None  # an order held until the release wait is over
    timers: set[str] = field(default_factory=set)


class Ledger:
    """The open requests of one front. ``keys`` yields numbers that no other ledger of the process uses."""

    def __init__(
        self,
        front: str,
        settings: LifecycleSettings,
        classes: Mapping[str, CallClass],
        admission: Admission,
        keys: Iterable[int],
    ) -> None:
        self.front, self.settings, self.classes, self.admission = front, settings, classes, admission
        self.keys = iter(keys)
        self.requests: dict[int, Request] = {}  # by key
        self.by_request_id: dict[int, Request] = {}
        self.servers: dict[str, ListedServer] = {}
        self.last_request = -1
        self.connected, self.closing = True, False
        self.counts: Counter[str] = Counter()
        self.effects: list[Effect] = []

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Process one event and return its effects.

        Raises FrontError; ``effects`` then holds the effects produced so far.
        """
        self.effects = []
        match event:
            case Ask():
                self._on_ask(now, event)
            case Outcome():
                self._on_outcome(now, event)
            case Cancel():
                self._on_cancel(now, event)
            case Over():
                self._on_over(now, event)
            case Carry():
                self._on_carry(now, event)
            case TakeBack():
                self._on_take_back(now, event)
            case Decided():
                self._on_decided(now, event)
            case Due():
                self._on_due(now, event)
            case ListChanged():
                self._on_list_changed(now, event)
            case Stream():
                self._on_stream(now, event)
        return self.effects

    # ---- questions ----------------------------------------------------------------------------------------

    def _on_ask(self, now: float, ask: Ask) -> None:
        if ask.request <= self.last_request:
            # Two verdicts under one number could not be distinguished.
            raise FrontError(f"request {ask.request} after request {self.last_request}: numbers must grow")
        self.last_request = ask.request
        self.counts["asked"] += 1
        class_settings = self.classes.get(ask.call_class)
        if class_settings is None:
            self._send(Failed(ask.request, Why.UNKNOWN_CLASS))
            return
        time_left = class_settings.deadline if ask.time_left is None else ask.time_left
        if not isfinite(time_left) or time_left < 0 or ask.first_choice < -1:
            self._send(Failed(ask.request, Why.BAD_REQUEST))
            return
        if time_left > MAX_TIME_LEFT_MS:
            time_left = class_settings.deadline
        cutoff = (
            ask.at + time_left - min(self.settings.verdict_margin, self.settings.margin_share * time_left)
        )
        if now >= cutoff:
            self.counts["refused_deadline"] += 1
            self._send(Refused(ask.request, 0.0, Why.DEADLINE))
            return
        if self.closing:
            self._send(Refused(ask.request, 0.0, Why.CLOSING))
            return
        rejection = self.admission.admit(self.front, class_settings.worth, now)
        if rejection is not None:
            self._send(Refused(ask.request, rejection.retry_after, rejection.why))
            return
        received_at = ask.at if ask.received_at is None else ask.received_at
        request = Request(next(self.keys), ask.request, class_settings, self.settings, cutoff, received_at)
        self.requests[request.key] = self.by_request_id[request.request_id] = request
        self._set_timer(request, "cutoff", cutoff)
        number = ask.number or ""
        self.effects.append(
            NewCall(request.key, class_settings.name, number, time_left, ask.first_choice, ask.at)
        )

    def _on_carry(self, now: float, order: Carry) -> None:
        request = self.requests.get(order.key)
        listed = self.servers.get(order.server)
        if request is None or request.state is not State.PENDING or listed is None:
            # The request was closed before the order arrived, or the server left the list.
            self._end_not_sent(order)
            return
        request.ref = order.ref
        if (
            request.attempts >= (1 if request.settings.single_attempt else request.settings.max_attempts)
            or not self.connected
        ):
            self._end_not_sent(order)
            return
        if now < request.not_before:
            request.deferred_order = order
            self._set_timer(request, "release", request.not_before)
            return
        # The attempt must end early enough for the final verdict to reach the caller in time.
        patience = min(order.patience, request.cutoff - self.settings.report_margin - now)
        if patience < 1.0 or listed.entry.state is not ServerState.OPEN:
            self._end_not_sent(order)
            return
        request.state, request.attempt, request.server, request.routed_at = (
            State.ROUTED,
            order.attempt,
            order.server,
            now,
        )
        request.attempts += 1
        request.patience_ends_at = now + patience
        self._record_verdict(request, now)
        self._set_timer(
            request, "lease", min(request.patience_ends_at + self.settings.lease_grace, request.cutoff)
        )
        self.counts["routed"] += 1
        self._send(self._build_route(request, listed, now, order.held))

    def _build_route(self, request: Request, listed: ListedServer, now: float, held: bool = False) -> Route:
        patience = request.patience_ends_at - now
        valid = min(self.settings.valid_for, patience, request.routed_at + self.settings.valid_for - now)
        return Route(
            request=request.request_id,
            attempt=request.attempt,
            server=request.server,
            address=listed.address,
            zone=listed.entry.zone,
            patience=patience,
            valid_for=max(0.0, valid),
            held=held,
            waited=max(0.0, request.routed_at - request.asked_at),
        )

    def _end_not_sent(self, order: Carry) -> None:
        self.counts["not_sent"] += 1
        self.effects.append(Ended(order.ref, order.attempt, order.server, Ending.NOT_SENT, False, 0.0, None))

    def _on_decided(self, now: float, decided: Decided) -> None:
        request = self.requests.get(decided.key)
        if request is None or request.state is not State.PENDING:
            return  # closed in the meantime, by the front or by a timer
        self._record_verdict(request, now)
        self._close(request)
        waited = max(0.0, now - request.asked_at)
        if decided.hold_off is None:
            self._send(Failed(request.request_id, Why.DECIDED, decided.held, waited))
        else:
            self._send(Refused(request.request_id, decided.hold_off, Why.DECIDED, decided.held, waited))

    def _record_verdict(self, request: Request, now: float) -> None:
        """Record the verdict on the pending question with the admission control."""
        self.admission.decided(self.front, now - request.asked_at)

    # ---- what the front reports ---------------------------------------------------------------------------

    def _on_outcome(self, now: float, outcome: Outcome) -> None:
        request = self.by_request_id.get(outcome.request)
        if request is None or request.attempt != outcome.attempt or request.state is State.PENDING:
            self._on_late_outcome(outcome, request)
            return
        if request.state is State.STANDS:
            if outcome.ending is None:
                self.counts["reported_twice"] += 1
            else:
                self._end_standing(request, outcome.ending, outcome.report)
            return
        lag = now - request.routed_at
        if isfinite(outcome.lag) and outcome.lag >= 0:
            lag = min(lag, outcome.lag)
        self._cancel_timer(request, "lease")
        if outcome.ending is None:
            request.state = State.STANDS
            self._cancel_timer(request, "cutoff")
            self.counts["stands"] += 1
            self.effects.append(Stood(request.ref, request.attempt, request.server, lag, b""))
            self._send(Standing(request.request_id))
            return
        self._end_attempt(request, now, outcome.ending, outcome, lag)

    def _end_attempt(
        self,
        request: Request,
        now: float,
        ending: Ending,
        outcome: Outcome | None = None,
        lag: float | None = None,
    ) -> None:
        """End a routed attempt that does not stand: notify the module and make the request pending again."""
        if ending is Ending.DELIVERED:  # the end came without a report that the call stands: count it as cut
            ending = Ending.CUT
        if ending in RELEASE_WAIT_ENDINGS:
            request.not_before = now + request.settings.release_wait
        request.may_have_run = request.may_have_run or ending not in NOT_EXECUTED_ENDINGS
        request.state, request.asked_at = State.PENDING, now
        self._cancel_timer(request, "lease")
        self.admission.reopened(self.front)
        ended = Ended(
            request.ref,
            request.attempt,
            request.server,
            ending,
            outcome.lines_full if outcome is not None else False,
            now - request.routed_at if lag is None else lag,
            outcome.report if outcome is not None else None,
        )
        if self.settings.single_attempt or not self.connected:
            # No further attempt is possible; the call is closed first, so that the module does not order one.
            self.effects.append(CallClosed(request.key))
            self.effects.append(ended)
            self._record_verdict(request, now)
            self._close(request)
            if request.may_have_run:
                self._send(Failed(request.request_id, Why.DECIDED))
            else:
                self._send(Refused(request.request_id, 0.0, Why.DECIDED))
            return
        self.effects.append(ended)

    def _on_late_outcome(self, outcome: Outcome, request: Request | None) -> None:
        """Count and ignore a report on an attempt that is not in flight.

        A call that stands by such a report is withdrawn, so that the front releases it.
        """
        if outcome.request > self.last_request:
            raise FrontError(f"outcome of request {outcome.request}, which was never asked")
        if request is not None and outcome.attempt > request.attempt:
            raise FrontError(
                f"outcome of attempt {outcome.attempt} of request {request.request_id}, never routed"
            )
        self.counts["late_reports"] += 1
        if outcome.ending is None:
            self._send(Withdrawn(outcome.request, outcome.attempt, False, Why.LATE))

    def _on_cancel(self, now: float, cancel: Cancel) -> None:
        request = self.by_request_id.get(cancel.request)
        if request is None:
            if cancel.request > self.last_request:
                raise FrontError(f"cancel of request {cancel.request}, which was never asked")
            self.counts["late_cancels"] += 1  # it crossed the final verdict, which remains the only one
            return
        if request.state is State.STANDS:
            self._end_standing(request, Ending.DELIVERED, None)
            return
        self.counts["cancelled"] += 1
        self._abandon(request, now, Ending.CANCELLED)
        self._send(Cancelled(request.request_id))

    def _on_over(self, now: float, over: Over) -> None:
        request = self.by_request_id.get(over.request)
        if request is None or request.state is not State.STANDS:
            if over.request > self.last_request or (request is not None and request.state is State.PENDING):
                raise FrontError(f"request {over.request} is over, but did not stand")
            self.counts["late_reports"] += 1
            if request is not None:
                self._on_outcome(
                    now, Outcome(over.request, request.attempt, Ending.CUT, -1.0, False, over.report)
                )
            return
        self._end_standing(request, Ending.CUT if over.cut else Ending.DELIVERED, over.report)

    def _end_standing(self, request: Request, ending: Ending, report: Report | None) -> None:
        self._close(request)
        self.counts["over"] += 1
        self.effects.append(Ended(request.ref, request.attempt, request.server, ending, False, 0.0, report))

    # ---- withdrawals, timeouts, the server list -----------------------------------------------------------

    def _on_take_back(self, now: float, withdrawal: TakeBack) -> None:
        request = self.requests.get(withdrawal.key)
        if request is None or request.attempt != withdrawal.attempt:
            if (
                request is not None
                and request.deferred_order is not None
                and request.deferred_order.attempt == withdrawal.attempt
            ):
                order, request.deferred_order = request.deferred_order, None
                self._end_not_sent(order)
            return
        if request.state is State.STANDS and withdrawal.hang_up:
            self._send(Release(request.request_id, Why.DECIDED))
            self._end_standing(request, Ending.CANCELLED, None)
        elif request.state is State.ROUTED and (withdrawal.hang_up or not self.settings.single_attempt):
            # A front limited to one attempt could not make another, so there the attempt runs to its end.
            self._send(Withdrawn(request.request_id, request.attempt, False, Why.DECIDED))
            self._end_attempt(request, now, Ending.CANCELLED)

    def _on_due(self, now: float, due: Due) -> None:
        request = self.requests.get(due.key)
        if request is None:
            return
        request.timers.discard(due.kind)
        match due.kind:
            case "cutoff" if request.state is not State.STANDS:
                self._on_cutoff(request, now)
            case "lease" if request.state is State.ROUTED:
                self.counts["lapsed"] += 1
                self._send(Withdrawn(request.request_id, request.attempt, False, Why.PATIENCE))
                self._end_attempt(request, now, Ending.TIMED_OUT)
            case "release" if request.deferred_order is not None:
                order, request.deferred_order = request.deferred_order, None
                self._on_carry(now, order)
            case "standing" if request.state is State.STANDS:
                self._end_standing(request, Ending.CUT, None)

    def _on_cutoff(self, request: Request, now: float) -> None:
        """Send the final verdict just before the caller's deadline, even if the module has not decided."""
        self.counts["refused_deadline"] += 1
        routed = request.state is State.ROUTED
        if routed:
            self._send(Withdrawn(request.request_id, request.attempt, False, Why.DEADLINE))
        self._abandon(request, now, Ending.TIMED_OUT)
        if routed or request.may_have_run:
            self._send(Failed(request.request_id, Why.DEADLINE))
        else:
            self._send(Refused(request.request_id, 0.0, Why.DEADLINE))

    def _abandon(self, request: Request, now: float, ending: Ending) -> None:
        """Close a request that does not stand; an attempt in flight ends with ``ending``."""
        self.effects.append(CallClosed(request.key))
        if request.state is State.ROUTED:
            lag = now - request.routed_at
            self.effects.append(Ended(request.ref, request.attempt, request.server, ending, False, lag, None))
        else:
            self.admission.decided(self.front)
            if request.deferred_order is not None:
                self._end_not_sent(request.deferred_order)
        self._close(request)

    def _close(self, request: Request) -> None:
        del self.requests[request.key]
        del self.by_request_id[request.request_id]
        self.admission.closed(self.front)
        for kind in tuple(request.timers):
            self._cancel_timer(request, kind)

    def _on_list_changed(self, now: float, event: ListChanged) -> None:
        """Withdraw the attempts that the changed list makes unusable, before the module routes again."""
        gone, drains, restarted = set(), set(), {}
        for listed in event.servers:
            name, entry = listed.entry.name, listed.entry
            known = self.servers.get(name)
            if entry.state is ServerState.GONE:
                self.servers.pop(name, None)
                gone.add(name)
                continue
            if entry.state is ServerState.DRAINING:
                drains.add(name)
            elif known is not None and (entry.started or 0.0) > (known.entry.started or 0.0):
                restarted[name] = entry.started or 0.0
            self.servers[name] = listed
        if not (gone or drains or restarted):
            return
        for request in list(self.requests.values()):
            lost = request.server in gone or request.routed_at < restarted.get(request.server, 0.0)
            if request.state is State.STANDS and lost:
                self._send(Release(request.request_id, Why.SERVER_GONE))
                self._end_standing(request, Ending.CUT, None)
            elif request.state is State.ROUTED and lost:
                self._send(Withdrawn(request.request_id, request.attempt, False, Why.SERVER_GONE))
                self._end_attempt(request, now, Ending.CUT)
            elif request.state is State.ROUTED and request.server in drains:
                # Only the front knows whether the route was used: it reports "not sent" if it was not.
                # An attempt that has begun continues.
                self.counts["withdrawn_drain"] += 1
                self._send(Withdrawn(request.request_id, request.attempt, True, Why.DRAINING))

    # ---- the stream ---------------------------------------------------------------------------------------

    def _on_stream(self, now: float, event: Stream) -> None:
        match event:
            case Stream.BROKEN:
                self.connected = False
                for request in [
                    request for request in self.requests.values() if request.state is State.PENDING
                ]:
                    self.counts["broken_pending"] += 1
                    self._abandon(request, now, Ending.CUT)
            case Stream.RESUMED:
                self.connected = True
                routed = sorted(
                    request.request_id for request in self.requests.values() if request.state is State.ROUTED
                )
                standing = sorted(
                    request.request_id for request in self.requests.values() if request.state is State.STANDS
                )
                self._send(Welcomed(tuple(routed), tuple(standing)))
                for request in self.requests.values():
                    listed = self.servers.get(request.server)
                    if request.state is not State.ROUTED or listed is None:
                        continue
                    if listed.entry.state is ServerState.OPEN:
                        # Sent again, because the first copy may have been lost.
                        self._send(self._build_route(request, listed, now))
                    else:
                        self._send(Withdrawn(request.request_id, request.attempt, True, Why.DRAINING))
            case Stream.EXPIRED:
                self.connected = False
                for request in list(self.requests.values()):
                    if request.state is State.STANDS:
                        self._set_timer(request, "standing", now + self.settings.standing_expiry)
                    else:
                        self.counts["expired_routes"] += request.state is State.ROUTED
                        self._abandon(request, now, Ending.CUT)
            case Stream.CLOSING:
                self.closing = True
                for request in [
                    request for request in self.requests.values() if request.state is State.STANDS
                ]:
                    # Standing calls do not depend on this process, which stops tracking them.
                    self._end_standing(request, Ending.DELIVERED, None)

    # ---- effects ------------------------------------------------------------------------------------------

    def _send(self, message: ToFront) -> None:
        if self.connected:
            self.effects.append(Send(message))
        else:
            self.counts["unsaid"] += 1

    def _set_timer(self, request: Request, kind: str, at: float) -> None:
        request.timers.add(kind)
        self.effects.append(SetTimer(request.key, kind, at))

    def _cancel_timer(self, request: Request, kind: str) -> None:
        if kind in request.timers:
            request.timers.remove(kind)
            self.effects.append(CancelTimer(request.key, kind))
