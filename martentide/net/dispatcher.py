"""The actor around the decision module: it owns the Controller and the table of calls and their attempts.

It exchanges messages with front ends (which offer calls) and with the actors of the session servers, only
through mailboxes. A front end posts Offer, GiveUp and ReleaseIn, and is notified through the Caller protocol.
Nothing here depends on a front end's wire format, so that another one can use the same decisions and rules.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, ClassVar, Protocol

from martentide.attempt_messages import (
    Client,
    ClientLeft,
    Ended,
    InputProcessed,
    Order,
    Presence,
    Stood,
    Withdraw,
)
from martentide.codec.discovery import Listed, Notice
from martentide.interface import (
    Action,
    Admission,
    AttemptEnded,
    CallerGone,
    CancelAttempt,
    ColdShare,
    Ending,
    Event,
    Fail,
    ListKind,
    Note,
    PeerNews,
    Probe,
    ProbeEnded,
    Refuse,
    RepeatBudget,
    SendSetUp,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    SettingsChanged,
    SetUpOffered,
    Stands,
    TestDuty,
    TimerDue,
)
from martentide.net.address_reuse import mark_replaced, marked_gone
from martentide.net.close_reason import LOG, log_event, logged_name
from martentide.net.links import unix_ms
from martentide.rules import Controller

if TYPE_CHECKING:
    from martentide.agreement.overlay import AgreedRules

MAX_STANDING_CALLS = 50_000  # new calls are refused above this
MAX_REMEMBERED_IDS = 4096  # ids of recently answered calls; a set-up that repeats one is a duplicate
CLOCK_JUMP_THRESHOLD = 1_000.0  # ms; a larger difference of wall clock and monotonic clock counts as a jump
OVERDUE_MARGIN = 10.0  # ms after the deadline of the decision module until the call fails as overdue
ANSWER_MARGIN = 40.0  # ms before the caller's deadline by which a call must have its final answer
ANSWER_MARGIN_SHARE = 0.25  # of the time left, where that is less, so that short calls still get an attempt
MIN_ANSWER_MARGIN = 10.0  # ms, for a timer, a turn of the event loop and the delivery of the answer


# ---- front ends -----------------------------------------------------------------------------------------


class Caller(Protocol):
    """How the dispatcher notifies whoever offered a call: each gets one of answer, refuse and fail."""

    def answer(self, call: bytes, description: bytes) -> None:
        """The call stands; ``description`` comes from the server."""
        ...

    def refuse(self, call: bytes, hold_off: float) -> None:
        """The call is refused; the caller should wait ``hold_off`` ms before a redial."""
        ...

    def fail(self, call: bytes) -> None:
        """The call can't be set up."""
        ...

    def release(self, call: bytes, cut: bool) -> None:
        """A standing call is over; ``cut``: it did not end normally."""
        ...


@dataclass(frozen=True, slots=True)
class Offer:
    """A new call.

    Fields of type bytes are passed on unchanged; the others are input of the decision module. ``time_left``
    is in ms, ``received_at`` is the Unix time in ms at which the set-up was received. ``client`` is the
    connection on which it arrived, checked before each attempt, or None if it can't be checked. ``carrier``
    carries the call's attempts; with None the actors of the session servers do, over their own connections.
    """

    caller: Caller
    call: bytes
    call_class: bytes
    number: bytes
    description: bytes
    time_left: float
    first_choice: int
    received_at: float
    carrier: Carrier | None = None
    client: Client | None = None


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The caller no longer waits for the answer and gets none; ends only a call that ``caller`` offered."""

    call: bytes
    caller: Caller


@dataclass(frozen=True, slots=True)
class ReleaseIn:
    """The caller releases a standing call; ends only a call that ``caller`` offered."""

    call: bytes
    caller: Caller


# ---- session servers ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Probing:
    """Send a health check to a server, which also asks for its report."""


class Carrier(Protocol):
    """Carries attempts and posts their results: Stood if the attempt stands, and one Ended at its end."""

    def post(self, item: Order | Withdraw) -> None:
        """Put an item into the carrier's mailbox."""
        ...


class ServerActor(Carrier, Protocol):
    """The carrier over this process's own connections to one server."""

    def post(self, item: Order | Withdraw | InputProcessed | Probing | Listed | ApplySettings) -> None:
        """Put an item into the actor's mailbox."""
        ...


@dataclass(frozen=True, slots=True)
class Overdue:
    """The decisions should have answered a call by now."""

    ref: int


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """New settings apply from now on; ``connect_timeout`` in s."""

    LOG_NAME: ClassVar[str] = "Settle"

    settings: Settings
    max_open: int
    connect_timeout: float


Item = (
    Offer
    | GiveUp
    | ReleaseIn
    | Stood
    | Ended
    | InputProcessed
    | ClientLeft
    | ProbeEnded
    | TimerDue
    | Overdue
    | Notice
    | ApplySettings
    | ColdShare
    | TestDuty
    | PeerNews
    | Admission
    | RepeatBudget
)


@dataclass(slots=True)
class Call:
    """A call, from its offer until it is closed and has no outstanding attempt."""

    offer: Offer
    ref: int
    overdue_timer: asyncio.TimerHandle
    attempts: int = 0
    current_attempt: int | None = None  # number of the outstanding attempt
    current_carrier: Carrier | None = None
    stands: bool = False
    closed: bool = False  # the caller gets no further message


def time_for_answer(time_left: float) -> float:
    """Return the ms that the decision module may take for a call whose caller waits ``time_left`` ms more.

    A result of 0 or less means that no time is left. The margin keeps answers from crossing their caller's
    give-up: an attempt may run to the end of the time that the decision module knows. The handling of
    its timeout, the delivery of the answer, and the time for which the set-up lay unread while the process
    was busy are added to that, and callers on sockets wait no longer than the time they state.
    """
    return time_left - max(MIN_ANSWER_MARGIN, min(ANSWER_MARGIN, ANSWER_MARGIN_SHARE * time_left))


class WaitingCaller:
    """The caller of one call, checked before an attempt begins (implements attempt_messages.Client).

    It also counts a give-up that was read and still waits in the dispatcher's mailbox, so that no attempt
    begins before the give-up is handled.
    """

    def __init__(self, dispatcher: Dispatcher, call: Call) -> None:
        self.dispatcher, self.call = dispatcher, call

    def check_presence(self) -> Presence:
        """Return whether the caller still waits for the call."""
        offer = self.call.offer
        if self.call.closed or self.dispatcher.pending_departures[offer.caller, offer.call]:
            return Presence.LEFT
        return Presence.PRESENT if offer.client is None else offer.client.check_presence()

    def when_processed(self, callback: Callable[[], None]) -> None:
        """Pass the callback on to the call's connection, if it has one."""
        if self.call.offer.client is not None:
            self.call.offer.client.when_processed(callback)


class Dispatcher:
    """Feeds one Controller in the order of its mailbox and carries out the actions that it returns.

    ``max_open``: more unanswered calls than this are refused.
    """

    def __init__(
        self, controller: Controller, start_server: Callable[[Listed, Dispatcher], ServerActor], max_open: int
    ) -> None:
        self.controller, self.start_server, self.max_open = controller, start_server, max_open
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.loop = asyncio.get_running_loop()
        self.now = self.monotonic_at = 0.0  # ms (Unix, monotonic) at the last reading of the clocks
        self.call_being_decided: bytes | None = None  # id of the call that the decision module is asked about
        self.refs = itertools.count(1)
        self.calls: dict[int, Call] = {}
        self.by_id: dict[bytes, Call] = {}
        # By caller and call id: GiveUp and ReleaseIn items that wait in the mailbox.
        self.pending_departures: Counter[tuple[Caller, bytes]] = Counter()
        self.open_calls = 0  # offered and neither answered nor standing
        self.recently_answered: OrderedDict[bytes, int] = OrderedDict()  # call id to id() of its caller
        self.listed: dict[str, Listed] = {}
        self.servers: dict[str, ServerActor] = {}
        self.list_observers: list[Callable[[tuple[Listed, ...]], None]] = []
        # Called with each event after the decision module has handled it.
        self.event_observers: list[Callable[[float, Event], None]] = []
        self.local_settings = controller.settings  # without the rules that the fleet agreed on
        self.agreed_rules: AgreedRules | None = None  # None where the fleet agrees on no rules
        # Called before each item; checks whether the agreed rules still apply.
        self.before_each_item: Callable[[], None] | None = None
        # Merges a server list with those that other members received.
        self.merge_lists: Callable[[Notice], Notice] | None = None
        self.last_answer_at: dict[str, float] = {}  # loop time in s of each server's last answer
        self.closing = False
        self.idle = asyncio.Event()
        self.idle.set()

    def post(self, item: Item) -> None:
        """Put an item into the dispatcher's mailbox."""
        if isinstance(item, GiveUp | ReleaseIn):
            self.pending_departures[item.caller, item.call] += 1
        self.mailbox.put_nowait(item)

    async def run(self) -> None:
        """Handle the mailbox until cancelled."""
        left_in_turn = 0
        while True:
            if left_in_turn == 0:
                # Connections and timers get their turn after what had arrived by the last one. Less would let
                # the mailbox grow, as each item may bring about several others.
                await asyncio.sleep(0)
                left_in_turn = max(1, self.mailbox.qsize())
            item = await self.mailbox.get()
            left_in_turn -= 1
            try:
                self._handle(item)
            except Exception:
                # After an error in the decision module the affected call is failed, and all others continue.
                LOG.exception("internal-error", item=logged_name(item))
                self._fail_call_after_error(item)
            self.call_being_decided = None
            if self.calls:
                self.idle.clear()
            else:
                self.idle.set()

    def _handle(self, item: Item) -> None:
        if self.before_each_item is not None:
            self.before_each_item()
        match item:
            case Offer():
                self._offer(item)
            case GiveUp() | ReleaseIn():
                self._caller_left(item)
            case ClientLeft(ref):
                self._client_gone(ref)
            case InputProcessed():
                if (server := self.servers.get(item.server)) is not None:
                    server.post(item)
            case Stood():
                self._stood(item)
            case Ended():
                self._ended(item)
            case Notice():
                self.apply_list(item)
            case Overdue(ref):
                self._overdue(ref)
            case ApplySettings(settings, max_open):
                self.max_open = max_open
                for server in self.servers.values():
                    server.post(item)
                self.local_settings = settings
                self._feed(SettingsChanged(self._effective_settings(settings)))
            case _:
                self._feed(item)

    def handle_now(self, event: Event) -> None:
        """Pass an event to the decision module at once; used at the start, before the mailbox is read."""
        self._feed(event)

    def apply_agreed_rules(self, in_force: AgreedRules) -> None:
        """Apply the agreed rules to calls offered from now on; calls offered before keep their terms."""
        settings = self._effective_settings(self.local_settings)
        self.agreed_rules = in_force
        if (effective := self._effective_settings(self.local_settings)) != settings:
            self._feed(SettingsChanged(effective))
        self.refresh_listed_states()

    def refresh_listed_states(self) -> None:
        """Update the decision module's servers whose entries differ under the rules now in force."""
        held = self.controller.servers
        entries = self._effective_entries(tuple(listed.entry for listed in self.listed.values()))
        changed = tuple(entry for entry in entries if entry.name in held and held[entry.name].entry != entry)
        if changed:
            self._feed(ServerList(ListKind.CHANGES, changed))

    def _effective_settings(self, settings: Settings) -> Settings:
        return settings if self.agreed_rules is None else self.agreed_rules.restrict_settings(settings)

    def _effective_entries(self, entries: tuple[ServerEntry, ...]) -> tuple[ServerEntry, ...]:
        if self.agreed_rules is None:
            return entries
        from martentide.agreement.overlay import ANSWER_MAX_AGE

        now = self.loop.time()
        answered = {name for name, at in self.last_answer_at.items() if (now - at) * 1000.0 <= ANSWER_MAX_AGE}
        return self.agreed_rules.restrict_entries(entries, answered)

    def _clock(self) -> float:
        """Return the Unix time in ms for the decision module, which never runs backwards.

        It follows the wall clock as long as that agrees with the monotonic clock. After a jump of the wall
        clock it advances with the monotonic clock, so that it does not stand still until the wall clock has
        caught up.
        """
        monotonic_at, wall = self.loop.time() * 1000.0, unix_ms()
        expected = self.now + monotonic_at - self.monotonic_at
        self.monotonic_at = monotonic_at
        jumped = self.now > 0.0 and abs(wall - expected) > CLOCK_JUMP_THRESHOLD
        self.now = max(self.now, expected if jumped else wall)
        return self.now

    def _feed(self, event: Event) -> None:
        try:
            self.controller.handle(self._clock(), event)
        finally:
            # Carry out the actions even after an error: the decision module has recorded them as done.
            # Above all, without its next timer it would never check waiting calls again.
            actions = self.controller.actions
            LOG.debug("decide", now=self.now, heard=event, actions=actions)
            for action in actions:
                self._perform(action)
        for observer in tuple(self.event_observers):
            observer(self.now, event)

    # ---- actions of the decision module -----------------------------------------------------------------

    def _perform(self, action: Action) -> None:
        match action:
            case SendSetUp():
                self._send(action)
            case Refuse() | Fail():
                call = self.calls.get(action.ref)
                if call is not None and not call.closed:
                    self._close_call(call, answered=True)
                    if isinstance(action, Refuse):
                        call.offer.caller.refuse(call.offer.call, action.hold_off)
                    else:
                        call.offer.caller.fail(call.offer.call)
            case CancelAttempt():
                call = self.calls.get(action.ref)
                if (
                    call is not None
                    and call.current_attempt == action.attempt
                    and call.current_carrier is not None
                ):
                    call.current_carrier.post(
                        Withdraw(action.ref, action.attempt, call.offer.call, hang_up=False)
                    )
            case SetTimer():
                self.loop.call_later(max(0.0, action.delay) / 1000.0, self.post, TimerDue(action.token))
            case Probe():
                server = self.servers.get(action.server)
                if server is not None:
                    server.post(Probing())
                else:
                    self.post(ProbeEnded(action.server, Ending.UNREACHABLE, False, 0.0, None))
            case Note():
                log_event("note", text=repr(action.text))
            case _:  # the protocol has neither peers nor a server list that must be requested
                log_event("action-ignored", action=type(action).__name__)

    def _send(self, action: SendSetUp) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.closed or call.current_attempt is not None:
            raise RuntimeError(f"set-up for call {action.ref}, which is closed or has an outstanding attempt")
        attempt, call.attempts = call.attempts, call.attempts + 1
        offer = call.offer
        call.current_attempt, call.current_carrier = attempt, offer.carrier or self.servers.get(action.server)
        if call.current_carrier is None:
            self.post(Ended(call.ref, attempt, action.server, Ending.NOT_SENT, False, 0.0, None))
            return
        call.current_carrier.post(
            Order(
                ref=call.ref,
                attempt=attempt,
                call=offer.call,
                server=action.server,
                call_class=offer.call_class,
                number=offer.number,
                description=offer.description,
                patience=action.patience,
                client=WaitingCaller(self, call),
            )
        )

    # ---- items from front ends --------------------------------------------------------------------------

    def _offer(self, offer: Offer) -> None:
        known = self.by_id.get(offer.call)
        if known is not None or self.recently_answered.get(offer.call) == id(offer.caller):
            # Two calls must not share an id: it is in use, or this caller's call with it was answered
            # recently. Another caller may reuse an id that is no longer in use. A caller that repeats the id
            # of its open call gets no second answer.
            log_event("duplicate-call", call=offer.call.hex())
            if known is None or known.offer.caller is not offer.caller:
                offer.caller.refuse(offer.call, 0.0)
            return
        standing = len(self.by_id) - self.open_calls
        if self.closing or self.open_calls >= self.max_open or standing >= MAX_STANDING_CALLS:
            offer.caller.refuse(offer.call, 0.0)
            return
        name = offer.call_class.decode("utf-8", "replace")
        if name not in self.controller.classes:
            log_event("unknown-class", call=offer.call.hex(), name=repr(name))
            offer.caller.fail(offer.call)
            return
        time_left = time_for_answer(offer.time_left - max(0.0, unix_ms() - offer.received_at))
        if time_left <= 0:
            offer.caller.refuse(offer.call, 0.0)
            return
        ref = next(self.refs)
        timer = self.loop.call_later((time_left + OVERDUE_MARGIN) / 1000.0, self.post, Overdue(ref))
        call = self.calls[ref] = self.by_id[offer.call] = Call(offer, ref, timer)
        self.open_calls += 1
        number = offer.number.decode("utf-8", "replace") or None
        self.call_being_decided = offer.call
        self._feed(SetUpOffered(call.ref, name, None, number, time_left, offer.first_choice, False, False))

    def _caller_left(self, item: GiveUp | ReleaseIn) -> None:
        key = (item.caller, item.call)
        self.pending_departures[key] -= 1
        if not self.pending_departures[key]:
            del self.pending_departures[key]
        if (call := self._call_of(item)) is not None:
            self._end_by_caller(call)

    def _call_of(self, item: Offer | GiveUp | ReleaseIn) -> Call | None:
        """Return the call that the item's sender offered under the id and that is not closed.

        An id does not prove whose call it is: another caller may send the id of a call that is not its own.
        """
        call = self.by_id.get(item.call)
        return call if call is not None and call.offer.caller is item.caller else None

    def _client_gone(self, ref: int) -> None:
        if (call := self.calls.get(ref)) is not None:
            self._end_by_caller(call)

    def _end_by_caller(self, call: Call) -> None:
        if call.closed:
            return
        self._close_call(call)
        if call.current_attempt is not None and call.current_carrier is not None:
            call.current_carrier.post(Withdraw(call.ref, call.current_attempt, call.offer.call, hang_up=True))
        if not call.stands:
            self._feed(CallerGone(call.ref))

    def _overdue(self, ref: int) -> None:
        """Fail a call that the decision module has not answered in time, while its caller still waits."""
        call = self.calls.get(ref)
        if call is None or call.closed or call.stands:
            return
        log_event("overdue", call=call.offer.call.hex(), attempts=call.attempts)
        self._end_by_caller(call)
        call.offer.caller.fail(call.offer.call)

    def _close_call(self, call: Call, answered: bool = False) -> None:
        """Close a call whose caller has its final answer or has left; it is kept while an attempt is open."""
        call.closed = True
        self.open_calls -= not call.stands
        call.overdue_timer.cancel()
        self.by_id.pop(call.offer.call, None)
        if answered:  # a call that was given up may be offered again on a new connection and gets an answer
            self.recently_answered[call.offer.call] = id(call.offer.caller)
        if len(self.recently_answered) > MAX_REMEMBERED_IDS:
            self.recently_answered.popitem(last=False)
        if call.current_attempt is None:
            self.calls.pop(call.ref, None)

    def _fail_call_after_error(self, item: Item) -> None:
        ref = getattr(item, "ref", None)
        call = self._call_of(item) if isinstance(item, Offer | GiveUp | ReleaseIn) else None
        call = call or (self.calls.get(ref) if isinstance(ref, int) else None)
        if call is None or call.closed or call.stands:
            return
        self.controller.calls.pop(call.ref, None)
        self._close_call(call, answered=True)
        if call.current_attempt is not None and call.current_carrier is not None:
            call.current_carrier.post(Withdraw(call.ref, call.current_attempt, call.offer.call, hang_up=True))
        call.offer.caller.fail(call.offer.call)

    # ---- items from session servers ---------------------------------------------------------------------

    def _stood(self, item: Stood) -> None:
        call = self.calls.get(item.ref)
        if call is None or call.closed or call.stands or call.current_attempt != item.attempt:
            return  # the caller has left: the Withdraw on its way to the carrier ends the call at the server
        call.stands = True
        call.offer = replace(call.offer, number=b"", description=b"")  # no further attempt needs them
        self.open_calls -= 1
        call.overdue_timer.cancel()
        call.offer.caller.answer(call.offer.call, item.description)
        self._feed(Stands(item.ref, item.attempt, item.server, item.lag))

    def _ended(self, item: Ended) -> None:
        call = self.calls.get(item.ref)
        if call is None or call.current_attempt != item.attempt:
            raise RuntimeError(f"end of attempt {item.attempt} of call {item.ref}, which is not outstanding")
        call.current_attempt = call.current_carrier = None
        if call.stands and not call.closed:
            self._close_call(call, answered=True)
            call.offer.caller.release(call.offer.call, item.ending is not Ending.DELIVERED)
        settled = call.closed
        if settled:
            self.calls.pop(call.ref, None)
        self.call_being_decided = call.offer.call
        self._feed(
            AttemptEnded(
                ref=item.ref,
                attempt=item.attempt,
                server=item.server,
                ending=item.ending,
                settled=settled,
                lines_full=item.lines_full,
                lag=item.lag,
                report=item.report,
            )
        )

    # ---- server list ------------------------------------------------------------------------------------

    def apply_list(self, notice: Notice, kind: ListKind | None = None) -> None:
        """Apply a server list: first to the servers' actors, then to the decision module.

        Every attempt that the decision module orders after the list finds the actors up to date. ``kind``
        overrides the kind that the list states.
        """
        if self.merge_lists is not None:
            notice = self.merge_lists(notice)
        notice = mark_replaced(notice, self.listed)
        received = {listed.entry.name: listed for listed in notice.servers}
        changed = dict(received)
        if notice.whole:
            for name, listed in self.listed.items():
                if name not in received:
                    changed[name] = marked_gone(listed)
        for name, listed in changed.items():
            log_event("server-listed", server=name, state=listed.entry.state.value, number=notice.number)
            if listed.entry.state is ServerState.GONE:
                self.listed.pop(name, None)
                actor = self.servers.pop(name, None)
                if actor is not None:
                    actor.post(listed)
                continue
            self.listed[name] = listed
            if name in self.servers:
                self.servers[name].post(listed)
            else:
                self.servers[name] = self.start_server(listed, self)
        for observer in self.list_observers:
            observer(tuple(changed.values()))
        kind = kind or (ListKind.WHOLE if notice.whole else ListKind.CHANGES)
        self._feed(
            ServerList(kind, self._effective_entries(tuple(listed.entry for listed in notice.servers)))
        )
