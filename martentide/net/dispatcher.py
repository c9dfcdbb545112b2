"""The actor of the decision module: it owns the Controller, the table of calls and their attempts.

It speaks with fronts (who offer calls) and with the actors of the session servers, through mailboxes only.
A front hands in Offer, GiveUp and ReleaseIn, and is told through the Caller protocol; nothing here knows how
a front's messages look, so that another front can go through the same decisions and rules.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from martentide.attempt_messages import Client, ClientLeft, Ended, Heard, Order, Presence, Stood, Withdraw
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
from martentide.net.close_reason import LOG, log_event
from martentide.net.links import unix_ms
from martentide.rules import Controller

if TYPE_CHECKING:
    from martentide.agreement.overlay import InForce

MAX_STANDING_CALLS = 50_000  # calls that stand at once, before new ones are refused
MAX_REMEMBERED_IDS = 4096  # ids answered lately: one that comes again is no new call
ITEMS_PER_TURN = 64  # items taken before the rest of the program has its turn
CLOCK_JUMP_THRESHOLD = (
    1_000.0  # ms by which the wall clock may differ from the steady one without being taken for a jump
)
OVERDUE_MARGIN = 10.0  # ms after the time for its answer in which the decisions should have answered a call
ANSWER_MARGIN = 40.0  # ms before its caller's time is up at which a call has its final answer, at the latest
ANSWER_MARGIN_SHARE = 0.25  # of the time left, where that is less: a short call still gets its attempt
MIN_ANSWER_MARGIN = 10.0  # ms, however short the call: a timer, a turn of the loop and the way back take some


# ---- the front's side -----------------------------------------------------------------------------------


class Caller(Protocol):
    """What the dispatcher tells the party that offered a call; each call gets one of the first three."""

    def answer(self, call: bytes, description: bytes) -> None: ...

    def refuse(self, call: bytes, hold_off: float) -> None: ...

    def fail(self, call: bytes) -> None: ...

    def release(self, call: bytes, cut: bool) -> None: ...


@dataclass(frozen=True, slots=True)
class Offer:
    """A new call. What goes on unchanged is bytes; the rest is for the decisions. ``at`` is Unix ms.

    ``client``: the connection that it came on, looked at before each attempt; None: it can only be heard.
    ``carrier``: who carries the call's attempts; None: the actors of the session servers, over their links.
    """

    caller: Caller
    call: bytes
    call_class: bytes
    number: bytes
    description: bytes
    time_left: float
    first_choice: int
    at: float
    carrier: Carrier | None = None
    client: Client | None = None


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The caller waits no longer for the answer; nothing is owed."""

    call: bytes


@dataclass(frozen=True, slots=True)
class ReleaseIn:
    """The caller ends a call that stands."""

    call: bytes


# ---- the session servers' side --------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Probing:
    """Ask a server for a sign of life and its report."""


class Carrier(Protocol):
    """Carries attempts and posts what comes of each: Stood if it stands, and one Ended at its end."""

    def post(self, item: Order | Withdraw) -> None: ...


class ServerActor(Carrier, Protocol):
    """The carrier over the program's own links to one server."""

    def post(self, item: Order | Withdraw | Heard | Probing | Listed | Settle) -> None: ...


@dataclass(frozen=True, slots=True)
class Overdue:
    ref: int


@dataclass(frozen=True, slots=True)
class Settle:
    """Other settings hold for what comes from now on; ``connect_timeout`` in s."""

    settings: Settings
    max_open: int
    connect_timeout: float


Item = (
    Offer
    | GiveUp
    | ReleaseIn
    | Stood
    | Ended
    | Heard
    | ClientLeft
    | ProbeEnded
    | TimerDue
    | Overdue
    | Notice
    | Settle
    | ColdShare
    | TestDuty
    | PeerNews
    | Admission
    | RepeatBudget
)


@dataclass(slots=True)
class Call:
    offer: Offer
    ref: int
    overdue_timer: asyncio.TimerHandle
    attempts: int = 0
    current_attempt: int | None = None  # number of the attempt that is out
    current_carrier: Carrier | None = None
    stands: bool = False
    closed: bool = False  # nothing is owed to the caller any more


def time_for_answer(time_left: float) -> float:
    """The ms that the decisions may take for a call whose caller waits ``time_left`` ms more; none below 0.

    Guards against answers that meet their caller's give-up: an attempt may run to the end of the time that
    the decisions are told of. Its time-out, the answer's way back, and what the set-up lay unread while the
    process was busy come on top, and callers on sockets allow no time beyond what they told.
    """
    return time_left - max(MIN_ANSWER_MARGIN, min(ANSWER_MARGIN, ANSWER_MARGIN_SHARE * time_left))


class WaitingCaller:
    """The caller of one call, as whoever is about to begin an attempt for it may ask
    (attempt_messages.Client).

    Guards against an attempt that begins ahead of a give-up which has been read, and waits in a mailbox.
    """

    def __init__(self, dispatcher: Dispatcher, call: Call) -> None:
        self.dispatcher, self.call = dispatcher, call

    def check_presence(self) -> Presence:
        offer = self.call.offer
        if self.call.closed or self.dispatcher.pending_departures[offer.call]:
            return Presence.LEFT
        return Presence.PRESENT if offer.client is None else offer.client.check_presence()

    def when_processed(self, then: Callable[[], None]) -> None:
        if self.call.offer.client is not None:
            self.call.offer.client.when_processed(then)


class Dispatcher:
    """One Controller, fed in the order of the mailbox."""

    def __init__(
        self, controller: Controller, start_server: Callable[[Listed, Dispatcher], ServerActor], max_open: int
    ) -> None:
        self.controller, self.start_server, self.max_open = controller, start_server, max_open
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.loop = asyncio.get_running_loop()
        self.now = self.monotonic_at = 0.0  # as of the last look at the clocks, Unix and monotonic
        self.asking: bytes | None = None  # the call whose question the decisions are being asked
        self.refs = itertools.count(1)
        self.calls: dict[int, Call] = {}
        self.by_id: dict[bytes, Call] = {}
        self.pending_departures: Counter[bytes] = (
            Counter()
        )  # calls whose end by the caller waits in the mailbox
        self.open_calls = 0  # offered and neither answered nor standing
        self.recently_answered: OrderedDict[bytes, int] = OrderedDict()  # and the caller
        self.listed: dict[str, Listed] = {}
        self.servers: dict[str, ServerActor] = {}
        self.list_observers: list[Callable[[tuple[Listed, ...]], None]] = []
        self.event_observers: list[
            Callable[[float, Event], None]
        ] = []  # told of each event once it was decided on
        self.local_settings = controller.settings  # without what the fleet agreed on
        self.agreed_rules: InForce | None = None  # what the fleet agreed on, where it agrees on anything
        self.before_each_item: Callable[[], None] | None = (
            None  # called before each item: whether that still holds
        )
        self.merge_lists: Callable[[Notice], Notice] | None = None  # with what other members heard
        self.last_answer_at: dict[str, float] = {}  # server's last answer, by the loop's clock in s
        self.closing = False
        self.idle = asyncio.Event()
        self.idle.set()

    def post(self, item: Item) -> None:
        if isinstance(item, GiveUp | ReleaseIn):
            self.pending_departures[item.call] += 1
        self.mailbox.put_nowait(item)

    async def run(self) -> None:
        for taken in itertools.count():
            if taken % ITEMS_PER_TURN == 0:
                await asyncio.sleep(0)  # a full mailbox must not keep timers and links from their turn
            item = await self.mailbox.get()
            try:
                self._handle(item)
            except Exception:
                # Guards against an error in the decisions: the call it hit is answered, the rest goes on.
                LOG.exception("internal-error", item=type(item).__name__)
                self._settle_after_error(item)
            self.asking = None
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
            case GiveUp(call_id) | ReleaseIn(call_id):
                self._caller_left(call_id)
            case ClientLeft(ref):
                self._client_gone(ref)
            case Heard():
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
            case Settle(settings, max_open):
                self.max_open = max_open
                for server in self.servers.values():
                    server.post(item)
                self.local_settings = settings
                self._feed(SettingsChanged(self._effective_settings(settings)))
            case _:
                self._feed(item)

    def handle_now(self, event: Event) -> None:
        """Tell the decisions at once: for the start, before the mailbox is read."""
        self._feed(event)

    def apply_agreed_rules(self, in_force: InForce) -> None:
        """From now on, at once: what is offered is decided under it; calls offered before keep their
        terms."""
        settings = self._effective_settings(self.local_settings)
        self.agreed_rules = in_force
        if (under := self._effective_settings(self.local_settings)) != settings:
            self._feed(SettingsChanged(under))
        self.refresh_listed_states()

    def refresh_listed_states(self) -> None:
        """Tell the decisions of servers that are another way than what they hold, by what is in force."""
        held = self.controller.servers
        entries = self._effective_entries(tuple(listed.entry for listed in self.listed.values()))
        changed = tuple(one for one in entries if one.name in held and held[one.name].entry != one)
        if changed:
            self._feed(ServerList(ListKind.CHANGES, changed))

    def _effective_settings(self, settings: Settings) -> Settings:
        return settings if self.agreed_rules is None else self.agreed_rules.settings(settings)

    def _effective_entries(self, entries: tuple[ServerEntry, ...]) -> tuple[ServerEntry, ...]:
        if self.agreed_rules is None:
            return entries
        from martentide.agreement.overlay import ANSWERED

        now = self.loop.time()
        answered = {name for name, at in self.last_answer_at.items() if (now - at) * 1000.0 <= ANSWERED}
        return self.agreed_rules.entries(entries, answered)

    def _clock(self) -> float:
        """Unix time in ms for the decisions. It follows the wall clock while that runs like the monotonic
        one; where it jumped, time goes on at the steady pace: neither backwards, nor still until the old
        time is reached again."""
        steady_at, wall = self.loop.time() * 1000.0, unix_ms()
        steady = self.now + steady_at - self.monotonic_at
        self.monotonic_at = steady_at
        jumped = self.now > 0.0 and abs(wall - steady) > CLOCK_JUMP_THRESHOLD
        self.now = max(self.now, steady if jumped else wall)
        return self.now

    def _feed(self, event: Event) -> None:
        try:
            self.controller.handle(self._clock(), event)
        finally:
            # Also after an error in the decisions: what they had asked for by then, above all their next
            # timer, is in their books as done, and without it they would not look at held calls again.
            actions = self.controller.actions
            LOG.debug("decide", now=self.now, heard=event, actions=actions)
            for action in actions:
                self._perform(action)
        for follower in tuple(self.event_observers):
            follower(self.now, event)

    # ---- what the decisions ask -------------------------------------------------------------------------

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
            case _:  # peers and a list that must be asked for are not part of today's protocol
                log_event("action-ignored", action=type(action).__name__)

    def _send(self, action: SendSetUp) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.closed or call.current_attempt is not None:
            raise RuntimeError(f"set-up of call {action.ref}, which is closed or has an attempt out")
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

    # ---- what fronts say --------------------------------------------------------------------------------

    def _offer(self, offer: Offer) -> None:
        known = self.by_id.get(offer.call)
        if known is not None or self.recently_answered.get(offer.call) == id(offer.caller):
            # Guards against two calls under one id: it is in use, or this caller had its answer lately. It is
            # not another caller's fault to come by it later. The answer of an open call stays the only one.
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
        left = time_for_answer(offer.time_left - max(0.0, unix_ms() - offer.at))
        if left <= 0:
            offer.caller.refuse(offer.call, 0.0)
            return
        ref = next(self.refs)
        timer = self.loop.call_later((left + OVERDUE_MARGIN) / 1000.0, self.post, Overdue(ref))
        call = self.calls[ref] = self.by_id[offer.call] = Call(offer, ref, timer)
        self.open_calls += 1
        number = offer.number.decode("utf-8", "replace") or None
        self.asking = offer.call
        self._feed(SetUpOffered(call.ref, name, None, number, left, offer.first_choice, False, False))

    def _caller_left(self, call_id: bytes) -> None:
        self.pending_departures[call_id] -= 1
        if not self.pending_departures[call_id]:
            del self.pending_departures[call_id]
        self._end_by_caller(call_id)

    def _client_gone(self, ref: int) -> None:
        if (call := self.calls.get(ref)) is not None and not call.closed:
            self._end_by_caller(call.offer.call)

    def _end_by_caller(self, call_id: bytes) -> None:
        call = self.by_id.get(call_id)
        if call is None or call.closed:
            return
        self._close_call(call)
        if call.current_attempt is not None and call.current_carrier is not None:
            call.current_carrier.post(Withdraw(call.ref, call.current_attempt, call_id, hang_up=True))
        if not call.stands:
            self._feed(CallerGone(call.ref))

    def _overdue(self, ref: int) -> None:
        """The time for the answer is up and the decisions gave none: the call fails, in its caller's time."""
        call = self.calls.get(ref)
        if call is None or call.closed or call.stands:
            return
        log_event("overdue", call=call.offer.call.hex(), attempts=call.attempts)
        self._end_by_caller(call.offer.call)
        call.offer.caller.fail(call.offer.call)

    def _close_call(self, call: Call, answered: bool = False) -> None:
        """The caller has its final answer or has left; the entry stays while an attempt is out."""
        call.closed = True
        self.open_calls -= not call.stands
        call.overdue_timer.cancel()
        self.by_id.pop(call.offer.call, None)
        if answered:  # one that was given up may come again, over a new connection, and is owed an answer
            self.recently_answered[call.offer.call] = id(call.offer.caller)
        if len(self.recently_answered) > MAX_REMEMBERED_IDS:
            self.recently_answered.popitem(last=False)
        if call.current_attempt is None:
            self.calls.pop(call.ref, None)

    def _settle_after_error(self, item: Item) -> None:
        ref = getattr(item, "ref", None)
        call = self.by_id.get(item.call) if isinstance(item, Offer | GiveUp | ReleaseIn) else None
        call = call or (self.calls.get(ref) if isinstance(ref, int) else None)
        if call is None or call.closed or call.stands:
            return
        self.controller.calls.pop(call.ref, None)
        self._close_call(call, answered=True)
        if call.current_attempt is not None and call.current_carrier is not None:
            call.current_carrier.post(Withdraw(call.ref, call.current_attempt, call.offer.call, hang_up=True))
        call.offer.caller.fail(call.offer.call)

    # ---- what session servers say -----------------------------------------------------------------------

    def _stood(self, item: Stood) -> None:
        call = self.calls.get(item.ref)
        if call is None or call.closed or call.stands or call.current_attempt != item.attempt:
            return  # the caller left meanwhile: the withdrawal on its way to the server ends the call there
        call.stands = True
        self.open_calls -= 1
        call.overdue_timer.cancel()
        call.offer.caller.answer(call.offer.call, item.description)
        self._feed(Stands(item.ref, item.attempt, item.server, item.lag))

    def _ended(self, item: Ended) -> None:
        call = self.calls.get(item.ref)
        if call is None or call.current_attempt != item.attempt:
            raise RuntimeError(f"the end of attempt {item.attempt} of call {item.ref}, which is not out")
        call.current_attempt = call.current_carrier = None
        if call.stands and not call.closed:
            self._close_call(call, answered=True)
            call.offer.caller.release(call.offer.call, item.ending is not Ending.DELIVERED)
        settled = call.closed
        if settled:
            self.calls.pop(call.ref, None)
        self.asking = call.offer.call
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

    # ---- the list ---------------------------------------------------------------------------------------

    def apply_list(self, notice: Notice, kind: ListKind | None = None) -> None:
        """Tell the servers' actors first, so that no later order finds an old state, then the decisions."""
        if self.merge_lists is not None:
            notice = self.merge_lists(notice)
        told = {listed.entry.name: listed for listed in notice.servers}
        changed = dict(told)
        if notice.whole:
            for name, listed in self.listed.items():
                if name not in told:
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
        for watcher in self.list_observers:
            watcher(tuple(changed.values()))
        kind = kind or (ListKind.WHOLE if notice.whole else ListKind.CHANGES)
        self._feed(
            ServerList(kind, self._effective_entries(tuple(listed.entry for listed in notice.servers)))
        )


def marked_gone(listed: Listed) -> Listed:
    """The same server, gone: a whole list that leaves it out says so."""
    entry = listed.entry
    left = type(entry)(entry.name, entry.place, entry.zone, ServerState.GONE, entry.started, entry.size)
    return Listed(left, listed.host, listed.port)
