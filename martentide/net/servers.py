"""One actor for each session server: its connections, the set-ups and calls there, and its tests.

The actor hears everything through its mailbox, in order: the dispatcher's orders, what links read, its
timers.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from martentide.attempt_messages import ClientLeft, Ended, Heard, Order, Presence, Stood, Withdraw
from martentide.codec import CodecError
from martentide.codec.discovery import Listed
from martentide.codec.figures import read_report
from martentide.codec.messages import Cause, Code, Message, Type, write_message, write_release
from martentide.interface import Ending, ProbeEnded, Report, ServerState
from martentide.net.call_trace import CALL_TRACE, CallStep
from martentide.net.close_reason import LOG, CloseReason, log_connection_closed
from martentide.net.dispatcher import Probing, Settle
from martentide.net.links import Link, LinkEnded, Received, unix_ms

MAX_CONNECTIONS = 4  # to one server: so many get its group state
HEALTH_CHECK_TIMEOUT = 0.25  # s a test may take
RECONNECT_DELAY = (0.5, 1.0)  # s, drawn between the two, after a dial that failed or a link that ended
# s without a byte from a server that holds calls, after which it is tested: with LOST_AFTER still under the
# 8 s in which callers must hear that their calls are over. Sooner, the tests of all proxies add up.
KEEPALIVE_IDLE = 3.5
KEEPALIVE_INTERVAL = 0.5  # s between such tests
MESSAGE_TIMEOUT = (
    0.06  # s in which a message begun by a server must be whole: its set-up can still go elsewhere in time
)
SUSPECT_AFTER = 0.12  # s without a word on a link since a set-up, after which another is opened beside it
MIN_CONNECTION_LIFETIME = (
    0.5  # s: a link that has ended sooner is not replaced at once, so that no server is dialled in a loop
)
KEEPALIVE_TIMEOUT = 2.5  # s without a byte since something was sent: the machine is taken for cut off
INPUT_CHECK_VALIDITY = 0.05  # s that what a client had said counts as all it has said: then it is heard anew
MAX_ABANDONED_IDS = 1024  # ids remembered for each link
NO_LINES_NOTE = "all_trunks_busy"
ENDING_BY_CAUSE = {int(Cause.NO_CIRCUIT): Ending.FULL, int(Cause.TIMER_EXPIRY): Ending.NOT_SENT}


@dataclass(slots=True)
class Attempt:
    """A set-up that was ordered here, until its end; it stands once the server has answered."""

    order: Order
    timer: asyncio.TimerHandle
    ordered_at: float
    sent_at: float | None = None
    link: Link | None = None
    stands: bool = False
    suspect_timer: asyncio.TimerHandle | None = None
    input_checked_at: float | None = (
        None  # when the client was found to have said something that was not taken yet
    )
    awaiting_input: bool = False  # that is awaited


@dataclass(slots=True)
class ServerConnection:
    """A link and the calls given up on it: a late word about one must not count for its next attempt."""

    link: Link
    suspect: bool = False  # a set-up's whole time went by on it without a word: new ones go over another
    abandoned: OrderedDict[bytes, None] = field(default_factory=OrderedDict)

    def abandon(self, call: bytes) -> None:
        self.abandoned[call] = None
        if len(self.abandoned) > MAX_ABANDONED_IDS:
            self.abandoned.popitem(last=False)


@dataclass(frozen=True, slots=True)
class Dialled:
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
    reason: CloseReason | None


@dataclass(frozen=True, slots=True)
class PatienceOver:
    order: Order


@dataclass(frozen=True, slots=True)
class DoubtDue:
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class TestOver:
    check_id: bytes


@dataclass(frozen=True, slots=True)
class RedialDue:
    pass


@dataclass(frozen=True, slots=True)
class QuietDue:
    pass


Timer = PatienceOver | DoubtDue | TestOver | RedialDue | QuietDue
DispatcherItem = Stood | Ended | ProbeEnded | Heard | ClientLeft
Item = Order | Withdraw | Heard | Probing | Listed | Settle | Received | LinkEnded | Dialled | Timer


class Server:
    """The actor of one session server; ``tell`` is the dispatcher's mailbox."""

    def __init__(
        self,
        listed: Listed,
        connect_timeout: float,
        notify_dispatcher: Callable[[DispatcherItem], None],
        on_dial_error: Callable[[OSError], object] = lambda error: None,
    ) -> None:
        self.listed, self.connect_timeout, self.notify_dispatcher = listed, connect_timeout, notify_dispatcher
        self.on_dial_error = (
            on_dial_error  # told of an error of a dial, which may be for want of a descriptor
        )
        self.name = listed.entry.name
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.connections: list[ServerConnection] = []  # the latest is used first
        self.attempts: dict[bytes, Attempt] = {}
        self.health_checks: dict[bytes, tuple[float, asyncio.TimerHandle, Link | None]] = {}
        self.check_numbers = itertools.count(1)
        self.pending_releases: dict[bytes, bytes] = {}  # releases to write on the next link
        self.dial_task: asyncio.Task[None] | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.last_received_at = self.loop.time()
        self.awaiting_since: float | None = (
            None  # when the first thing was sent that is not followed by a byte yet
        )
        self.keepalive_timer = self.loop.call_later(KEEPALIVE_IDLE, self.post, QuietDue())
        self.task = self.loop.create_task(self._run(), name=f"server {self.name}")

    def post(self, item: Item) -> None:
        self.mailbox.put_nowait(item)

    async def _run(self) -> None:
        self._dial()
        while not self._finished():
            item = await self.mailbox.get()
            try:
                self._handle(item)
            except Exception:
                LOG.exception("internal-error", server=self.name, item=type(item).__name__)
            if isinstance(item, Received):
                item.link.message_processed()
        self.keepalive_timer.cancel()
        while not self.mailbox.empty():  # what crossed the word that the server is gone still gets its end
            late = self.mailbox.get_nowait()
            if isinstance(late, Order):
                self.notify_dispatcher(
                    Ended(late.ref, late.attempt, self.name, Ending.NOT_SENT, False, 0.0, None)
                )

    def _finished(self) -> bool:
        gone = self.listed.entry.state is ServerState.GONE
        return gone and not self.connections and not self.attempts and self.dial_task is None

    def _handle(self, item: Item) -> None:
        match item:
            case Order():
                self._start_attempt(item)
            case Withdraw():
                self._withdraw(item)
            case Heard():
                self._input_processed(item)
            case Received():
                self._received(item.link, item.message)
            case Dialled():
                self._dialled(item)
            case LinkEnded():
                self._link_ended(item.link, item.reason)
            case Probing():
                self._send_health_check()
            case Listed() | Settle():
                self._update(item)
            case _:
                self._handle_timer(item)

    def _handle_timer(self, item: Timer) -> None:
        match item:
            case PatienceOver():
                self._attempt_timed_out(item.order)
            case DoubtDue(held):
                self._suspect_due(held)
            case TestOver():
                self._end_health_check(item.check_id, Ending.TIMED_OUT, None)
            case QuietDue():
                self._keepalive_due()
            case RedialDue():
                self.reconnect_timer = None
                self._dial()

    # ---- set-ups ----------------------------------------------------------------------------------------

    def _start_attempt(self, order: Order) -> None:
        now = self.loop.time()
        timer = self.loop.call_later(max(0.0, order.patience) / 1000.0, self.post, PatienceOver(order))
        held = self.attempts[order.call] = Attempt(order, timer, now)
        self._send_set_up(held)

    def _send_set_up(self, held: Attempt) -> None:
        """Write the set-up now, or leave it to wait for the dial; it may wait for nothing else."""
        order = held.order
        if self.listed.entry.state is not ServerState.OPEN:
            # Checked here, as the first byte is written: what waited for a dial may not outlast a drain.
            self._end_attempt(held, Ending.NOT_SENT)
            return
        fit = [
            way for way in reversed(self.connections) if way.link.alive and order.call not in way.abandoned
        ]
        way = next((way for way in fit if not way.suspect), fit[0] if fit else None)
        if way is None:
            if len(self.connections) >= MAX_CONNECTIONS:
                self._end_attempt(held, Ending.NOT_SENT)
            else:
                self._dial()
            return
        if way.link.blocked:
            self._end_attempt(held, Ending.UNREACHABLE)
            return
        if not self._client_waits(held):
            return
        held.sent_at, held.link = self.loop.time(), way.link
        held.suspect_timer = self.loop.call_later(SUSPECT_AFTER, self.post, DoubtDue(held))
        self._mark_awaiting()
        left = order.patience - (held.sent_at - held.ordered_at) * 1000.0
        CALL_TRACE.step(order.call, CallStep.SENT, server=self.name, attempt=order.attempt, left=round(left))
        way.link.write(
            write_message(
                Type.SET_UP,
                order.call,
                {
                    Code.CLASS: order.call_class,
                    Code.TIME_LEFT: str(max(1, round(left))).encode("ascii"),
                    Code.NUMBER: order.number,
                    Code.DESCRIPTION: order.description,
                },
            )
        )

    def _client_waits(self, held: Attempt) -> bool:
        """Whether the caller is there, looked at as the first byte is about to be written.

        Guards against attempts for callers that have gone, wherever the order waited: a release wait, a
        queue, a dial, a process that stood still. What the caller has said and nobody has taken is heard
        first; the word of that comes the way a give-up does, behind it.
        """
        order = held.order
        presence = Presence.PRESENT if order.client is None else order.client.check_presence()
        if presence is Presence.LEFT:
            self.notify_dispatcher(ClientLeft(order.ref))
            self._end_attempt(held, Ending.NOT_SENT)
            return False
        now = self.loop.time()
        if order.client is None or presence is Presence.PRESENT:
            return True
        if (
            held.input_checked_at is not None
            and not held.awaiting_input
            and now - held.input_checked_at <= INPUT_CHECK_VALIDITY
        ):
            return True  # what is unheard came since
        if not held.awaiting_input:
            held.input_checked_at, held.awaiting_input = now, True
            heard = Heard(order.ref, order.attempt, order.call, self.name)
            order.client.when_processed(lambda: self.notify_dispatcher(heard))
        return False

    def _input_processed(self, item: Heard) -> None:
        held = self.attempts.get(item.call)
        if held is not None and (held.order.ref, held.order.attempt) == (item.ref, item.attempt):
            held.awaiting_input = False
            if held.sent_at is None:
                self._send_set_up(held)

    def _attempt_timed_out(self, order: Order) -> None:
        held = self.attempts.get(order.call)
        if held is None or held.order is not order or held.stands:
            return
        if held.sent_at is None:
            self._end_attempt(held, Ending.NOT_SENT if held.awaiting_input else Ending.UNREACHABLE)
            return
        self._give_up(held)
        self._mark_suspect(held.link, held.sent_at)
        silent = any(
            way.link is held.link and way.link.last_received_at <= held.sent_at for way in self.connections
        )
        elsewhere = any(
            way.link.last_received_at > max(held.sent_at, way.link.opened_at) for way in self.connections
        )
        # The server spoke on another link meanwhile: the time-out is the silent link's, not the server's.
        self._end_attempt(held, Ending.CUT if silent and elsewhere else Ending.TIMED_OUT)

    def _suspect_due(self, held: Attempt) -> None:
        if held.sent_at is not None and self.attempts.get(held.order.call) is held and not held.stands:
            self._mark_suspect(held.link, held.sent_at)

    def _mark_suspect(self, silent: Link | None, since: float) -> None:
        """Open another link beside one on which nothing came since then.

        Guards against a link that stays open and is of no further use, which must cost neither the set-ups to
        come nor the calls that stand, as would taking the whole server for lost. Harm: one dial to a server
        that only stood still.
        """
        for way in self.connections:
            if way.link is silent and way.link.last_received_at <= since:
                way.suspect = True
        if self.connections and all(way.suspect for way in self.connections):
            if len(self.connections) >= MAX_CONNECTIONS:
                self.connections[0].link.close(CloseReason.SILENT)
            self._dial()

    def _withdraw(self, item: Withdraw) -> None:
        held = self.attempts.get(item.call)
        if held is None or (held.order.ref, held.order.attempt) != (item.ref, item.attempt):
            return
        if held.stands:
            if item.hang_up:
                self._release(held)
                self._end_attempt(held, Ending.CANCELLED)
            return
        if held.sent_at is not None:
            self._give_up(held)
        self._end_attempt(held, Ending.CANCELLED)

    def _give_up(self, held: Attempt) -> None:
        """Written before the dispatcher hears of the end, and remembered against late words on that link."""
        if held.link is not None:
            held.link.write(write_release(held.order.call, Cause.NORMAL))
            for way in self.connections:
                if way.link is held.link:
                    way.abandon(held.order.call)

    def _release(self, held: Attempt) -> None:
        """End a call that stands: on its set-up's link, any other, or the next that opens."""
        release = write_release(held.order.call, Cause.NORMAL)
        link = self._link_for(held)
        if link is not None:
            link.write(release)
        else:
            self.pending_releases[held.order.call] = release
            self._dial()

    def _link_for(self, held: Attempt) -> Link | None:
        if held.link is not None and held.link.alive:
            return held.link
        return next((way.link for way in reversed(self.connections) if way.link.alive), None)

    def _end_attempt(
        self, held: Attempt, ending: Ending, lines_full: bool = False, report: Report | None = None
    ) -> None:
        held.timer.cancel()
        if held.suspect_timer is not None:
            held.suspect_timer.cancel()
        del self.attempts[held.order.call]
        since = held.ordered_at if held.sent_at is None else held.sent_at
        lag = (self.loop.time() - since) * 1000.0
        order = held.order
        CALL_TRACE.step(order.call, CallStep.ENDED, server=self.name, attempt=order.attempt, by=ending.value)
        self.notify_dispatcher(Ended(order.ref, order.attempt, self.name, ending, lines_full, lag, report))

    # ---- what the server says ---------------------------------------------------------------------------

    def _received(self, link: Link, message: Message) -> None:
        self.last_received_at, self.awaiting_since = max(self.last_received_at, link.last_received_at), None
        for way in self.connections:
            if way.link is link:
                way.suspect = False
        match message.type:
            case Type.ANSWER:
                self._answered(link, message)
            case Type.RELEASE:
                self._released(link, message)
            case Type.GROUP_STATE | Type.TEST_RESULT:
                self._state_received(message)

    def _answered(self, link: Link, message: Message) -> None:
        held = self.attempts.get(message.call)
        if held is None or held.stands or held.link is not link:
            return  # of an attempt given up: the give-up, which the server reads next, ends it there
        description = message.parameters.get(Code.DESCRIPTION)
        if description is None:
            self._release(held)
            self._end_attempt(held, Ending.CUT)
            return
        held.stands = True
        held.timer.cancel()
        if held.suspect_timer is not None:
            held.suspect_timer.cancel()
        lag = (self.loop.time() - (held.sent_at or held.ordered_at)) * 1000.0
        CALL_TRACE.step(message.call, CallStep.STOOD, server=self.name, lag=round(lag))
        self.notify_dispatcher(Stood(held.order.ref, held.order.attempt, self.name, lag, description))

    def _released(self, link: Link, message: Message) -> None:
        held = self.attempts.get(message.call)
        if held is None or (not held.stands and held.link is not link):
            return
        cause = message.cause()
        report = self._report(message)
        if held.stands:
            self._end_attempt(held, Ending.DELIVERED if cause == Cause.NORMAL else Ending.CUT, report=report)
        elif cause == Cause.TEMPORARY_FAILURE:
            self._end_attempt(held, Ending.CUT, report=report)
        else:
            ending = ENDING_BY_CAUSE.get(cause or 0, Ending.ERROR)
            full = ending is Ending.FULL and message.text(Code.NOTE) == NO_LINES_NOTE
            self._end_attempt(held, ending, full, report)

    def _state_received(self, message: Message) -> None:
        report = self._report(message)
        if message.call in self.health_checks:
            passed = message.type == Type.GROUP_STATE or message.cause() == 1
            self._end_health_check(message.call, Ending.DELIVERED if passed else Ending.ERROR, report)
        elif message.type == Type.GROUP_STATE:
            self.notify_dispatcher(ProbeEnded(self.name, Ending.DELIVERED, True, 0.0, report))

    def _report(self, message: Message) -> Report | None:
        text = message.text(Code.REPORT)
        try:
            return None if text is None else read_report(text)
        except CodecError as error:  # the rest of the message stands without it
            LOG.warning("bad-report", server=self.name, detail=repr(str(error)))
            return None

    # ---- tests ------------------------------------------------------------------------------------------

    def _send_health_check(self) -> None:
        number = next(self.check_numbers).to_bytes(8, "big")
        timer = self.loop.call_later(HEALTH_CHECK_TIMEOUT, self.post, TestOver(number))
        link = next((way.link for way in reversed(self.connections) if not way.suspect), None)
        self.health_checks[number] = (self.loop.time(), timer, link)
        if link is not None:
            link.write(write_message(Type.TEST, number, {Code.CAUSE: b"\x01"}))
        else:
            self._dial()

    def _end_health_check(self, number: bytes, ending: Ending, report: Report | None) -> None:
        test = self.health_checks.pop(number, None)
        if test is None:
            return
        test[1].cancel()
        self.notify_dispatcher(
            ProbeEnded(self.name, ending, False, (self.loop.time() - test[0]) * 1000.0, report)
        )

    # ---- links ------------------------------------------------------------------------------------------

    def _dial(self) -> None:
        gone = self.listed.entry.state is ServerState.GONE
        if gone or self.dial_task is not None or len(self.connections) >= MAX_CONNECTIONS:
            return
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        self.dial_task = self.loop.create_task(self._dial_once(), name=f"dial {self.name}")

    async def _dial_once(self) -> None:
        """One dial, within the settings' limit: a machine that is cut off gives no sign."""
        detail = ""
        try:
            async with asyncio.timeout(self.connect_timeout):
                streams = await asyncio.open_connection(self.listed.host, self.listed.port)
            self.post(Dialled(streams, None))
            return
        except TimeoutError:
            reason = CloseReason.DIAL_TIMEOUT
        except ConnectionRefusedError:
            reason = CloseReason.DIAL_REFUSED
        except OSError as error:
            self.on_dial_error(error)
            reason, detail = CloseReason.DIAL_ERROR, str(error)
        log_connection_closed("server", self.name, reason, detail)
        self.post(Dialled(None, reason))

    def _dialled(self, item: Dialled) -> None:
        self.dial_task = None
        if item.streams is not None:
            link = Link("server", self.name, item.streams, self.post, MESSAGE_TIMEOUT)
            if not self.connections:  # beside a silent link only a word proves that the server is there
                self.last_received_at, self.awaiting_since = self.loop.time(), None
            if self.listed.entry.state is ServerState.GONE:
                link.close(CloseReason.SERVER_GONE)
            self.connections.append(ServerConnection(link))
            for release in self.pending_releases.values():
                link.write(release)
            self.pending_releases.clear()
            for held in [held for held in self.attempts.values() if held.sent_at is None]:
                self._send_set_up(held)
            return
        for held in [held for held in self.attempts.values() if held.sent_at is None]:
            self._end_attempt(held, Ending.UNREACHABLE)
        for number, test in list(self.health_checks.items()):
            if test[2] is None:
                self._end_health_check(number, Ending.UNREACHABLE, None)
        if item.reason is CloseReason.DIAL_REFUSED and not self.connections:
            self._cut_standing()  # no process listens there: the one that held them is no more
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self.reconnect_timer is None and self.listed.entry.state is not ServerState.GONE:
            self.reconnect_timer = self.loop.call_later(
                random.uniform(*RECONNECT_DELAY), self.post, RedialDue()
            )

    def _link_ended(self, link: Link, reason: CloseReason) -> None:
        self.connections = [way for way in self.connections if way.link is not link]
        given_up = reason in (CloseReason.BLOCKED, CloseReason.SILENT)
        for held in [h for h in self.attempts.values() if h.link is link and not h.stands]:
            if reason not in (CloseReason.SERVER_GONE, CloseReason.REPLACED):
                # The server may have answered and hold the call: what could not be read may have said so.
                self._release(held)
            self._end_attempt(held, Ending.TIMED_OUT if given_up else Ending.CUT)
        for number, test in list(self.health_checks.items()):
            if test[2] is link:
                self._end_health_check(number, Ending.CUT, None)
        # The end of a link, also by a reset, cuts no call that stands: that the process is dead shows when it
        # is dialled and nobody listens, or by word of the list that it has started anew.
        if any(held.stands and held.link is link for held in self.attempts.values()):
            # Guards against a release that was lost with the link, half read or unread: the server says it
            # again on the next connection that is opened, whatever others there are.
            self._dial()
        if not self.connections:
            waits = self.pending_releases or any(held.stands for held in self.attempts.values())
            if waits or self.loop.time() - link.opened_at > MIN_CONNECTION_LIFETIME:
                self._dial()  # releases come on the next link that opens, and they have limits
            else:
                self._schedule_reconnect()

    def _cut_standing(self, before: float = math.inf) -> None:
        """The process that held the calls sent by then is dead; their callers must hear of it in time."""
        for held in [
            held for held in self.attempts.values() if held.stands and (held.sent_at or 0.0) < before
        ]:
            self._end_attempt(held, Ending.CUT)
        self.pending_releases.clear()

    def _keepalive_due(self) -> None:
        """Guards against machines that vanish or are cut off: they give no sign, and their calls, which end
        there unheard, would stand here for ever. Silence is tested, and at its limit taken for the end."""
        now = self.loop.time()
        again = KEEPALIVE_IDLE - (now - self.last_received_at)
        if self.awaiting_since is not None and now - self.awaiting_since >= KEEPALIVE_TIMEOUT:
            self.awaiting_since = None
            for held in [held for held in self.attempts.values() if held.stands]:
                self.pending_releases[held.order.call] = write_release(held.order.call, Cause.NORMAL)
                self._end_attempt(held, Ending.CUT)
            for way in self.connections:
                way.link.close(CloseReason.SILENT)
        elif again <= 0 and self.attempts:
            if asked := self.awaiting_since is not None:
                for way in self.connections:
                    self._mark_suspect(way.link, self.awaiting_since)
            self._mark_awaiting()
            # On one link, the first time: any byte on any shows that the server is there.
            for way in self.connections if asked else self.connections[-1:]:
                test = next(self.check_numbers).to_bytes(8, "big")
                way.link.write(write_message(Type.TEST, test, {Code.CAUSE: b"\0"}))
        if any(
            way.link.last_received_at > way.link.opened_at and not way.suspect for way in self.connections
        ):
            for way in self.connections:  # the server is there: what stays silent is of no use
                if way.suspect and now - way.link.last_received_at >= KEEPALIVE_TIMEOUT:
                    way.link.close(CloseReason.SILENT)
        self.keepalive_timer = self.loop.call_later(max(KEEPALIVE_INTERVAL, again), self.post, QuietDue())

    def _mark_awaiting(self) -> None:
        """Something is sent, or would be if a link were up, that a server in reach answers with some byte."""
        if self.awaiting_since is None:
            self.awaiting_since = self.loop.time()

    def _update(self, listed: Listed | Settle) -> None:
        if isinstance(listed, Settle):
            self.connect_timeout = listed.connect_timeout
            return
        restarted = (listed.entry.started or 0.0) > (self.listed.entry.started or 0.0)
        self.listed = listed
        if listed.entry.state is ServerState.GONE:
            if self.reconnect_timer is not None:
                self.reconnect_timer.cancel()
            for held in list(self.attempts.values()):
                self._end_attempt(held, Ending.UNREACHABLE if held.sent_at is None else Ending.CUT)
            for number in list(self.health_checks):
                self._end_health_check(number, Ending.UNREACHABLE, None)
            for way in self.connections:
                way.link.close(CloseReason.SERVER_GONE)
        elif restarted and listed.entry.started is not None:
            # The word comes late: links and calls of the new process may be here already, and they stay.
            start = self.loop.time() - (unix_ms() - listed.entry.started) / 1000.0
            for way in self.connections:
                if way.link.opened_at < start:
                    way.link.close(CloseReason.REPLACED)
            self._cut_standing(before=start)
