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

MOST_LINKS = 4  # to one server: so many get its group state
TEST_LIMIT = 0.25  # s a test may take
REDIAL_AFTER = (0.5, 1.0)  # s, drawn between the two, after a dial that failed or a link that ended
# s without a byte from a server that holds calls, after which it is tested: with LOST_AFTER still under the
# 8 s in which callers must hear that their calls are over. Sooner, the tests of all proxies add up.
TEST_AFTER = 3.5
TEST_AGAIN = 0.5  # s between such tests
STALL = (
    0.06  # s in which a message begun by a server must be whole: its set-up can still go elsewhere in time
)
DOUBT_AFTER = 0.12  # s without a word on a link since a set-up, after which another is opened beside it
LIVED = 0.5  # s: a link that has ended sooner is not replaced at once, so that no server is dialled in a loop
LOST_AFTER = 2.5  # s without a byte since something was sent: the machine is taken for cut off
HEARD_FOR = 0.05  # s that what a client had said counts as all it has said: then it is heard anew
MOST_ABANDONED = 1024  # ids remembered for each link
NO_LINE = "all_trunks_busy"
REFUSALS = {int(Cause.NO_CIRCUIT): Ending.FULL, int(Cause.TIMER_EXPIRY): Ending.NOT_SENT}


@dataclass(slots=True)
class Held:
    """A set-up that was ordered here, until its end; it stands once the server has answered."""

    order: Order
    timer: asyncio.TimerHandle
    ordered: float
    sent: float | None = None
    link: Link | None = None
    stands: bool = False
    doubt: asyncio.TimerHandle | None = None
    asked: float | None = None  # when the client was found to have said something that was not taken yet
    hearing: bool = False  # that is awaited


@dataclass(slots=True)
class Way:
    """A link and the calls given up on it: a late word about one must not count for its next attempt."""

    link: Link
    doubted: bool = False  # a set-up's whole time went by on it without a word: new ones go over another
    abandoned: OrderedDict[bytes, None] = field(default_factory=OrderedDict)

    def abandon(self, call: bytes) -> None:
        self.abandoned[call] = None
        if len(self.abandoned) > MOST_ABANDONED:
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
    held: Held


@dataclass(frozen=True, slots=True)
class TestOver:
    test: bytes


@dataclass(frozen=True, slots=True)
class RedialDue:
    pass


@dataclass(frozen=True, slots=True)
class QuietDue:
    pass


Timer = PatienceOver | DoubtDue | TestOver | RedialDue | QuietDue
Told = Stood | Ended | ProbeEnded | Heard | ClientLeft
Item = Order | Withdraw | Heard | Probing | Listed | Settle | Received | LinkEnded | Dialled | Timer


class Server:
    """The actor of one session server; ``tell`` is the dispatcher's mailbox."""

    def __init__(
        self,
        listed: Listed,
        connect_timeout: float,
        tell: Callable[[Told], None],
        short: Callable[[OSError], object] = lambda error: None,
    ) -> None:
        self.listed, self.connect_timeout, self.tell = listed, connect_timeout, tell
        self.short = short  # told of an error of a dial, which may be for want of a descriptor
        self.name = listed.entry.name
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.ways: list[Way] = []  # the latest is used first
        self.held: dict[bytes, Held] = {}
        self.tests: dict[bytes, tuple[float, asyncio.TimerHandle, Link | None]] = {}
        self.test_numbers = itertools.count(1)
        self.owed: dict[bytes, bytes] = {}  # releases to write on the next link
        self.dialling: asyncio.Task[None] | None = None
        self.redial: asyncio.TimerHandle | None = None
        self.heard_at = self.loop.time()
        self.asked_at: float | None = None  # when the first thing was sent that is not followed by a byte yet
        self.quiet = self.loop.call_later(TEST_AFTER, self.post, QuietDue())
        self.task = self.loop.create_task(self._run(), name=f"server {self.name}")

    def post(self, item: Item) -> None:
        self.mailbox.put_nowait(item)

    async def _run(self) -> None:
        self._dial()
        while not self._over():
            item = await self.mailbox.get()
            try:
                self._take(item)
            except Exception:
                LOG.exception("internal-error", server=self.name, item=type(item).__name__)
            if isinstance(item, Received):
                item.link.taken()
        self.quiet.cancel()
        while not self.mailbox.empty():  # what crossed the word that the server is gone still gets its end
            late = self.mailbox.get_nowait()
            if isinstance(late, Order):
                self.tell(Ended(late.ref, late.attempt, self.name, Ending.NOT_SENT, False, 0.0, None))

    def _over(self) -> bool:
        gone = self.listed.entry.state is ServerState.GONE
        return gone and not self.ways and not self.held and self.dialling is None

    def _take(self, item: Item) -> None:
        match item:
            case Order():
                self._order(item)
            case Withdraw():
                self._withdraw(item)
            case Heard():
                self._heard(item)
            case Received():
                self._received(item.link, item.message)
            case Dialled():
                self._dialled(item)
            case LinkEnded():
                self._link_ended(item.link, item.reason)
            case Probing():
                self._test()
            case Listed() | Settle():
                self._told(item)
            case _:
                self._due(item)

    def _due(self, item: Timer) -> None:
        match item:
            case PatienceOver():
                self._patience_over(item.order)
            case DoubtDue(held):
                self._doubt_due(held)
            case TestOver():
                self._end_test(item.test, Ending.TIMED_OUT, None)
            case QuietDue():
                self._quiet_due()
            case RedialDue():
                self.redial = None
                self._dial()

    # ---- set-ups ----------------------------------------------------------------------------------------

    def _order(self, order: Order) -> None:
        now = self.loop.time()
        timer = self.loop.call_later(max(0.0, order.patience) / 1000.0, self.post, PatienceOver(order))
        held = self.held[order.call] = Held(order, timer, now)
        self._send(held)

    def _send(self, held: Held) -> None:
        """Write the set-up now, or leave it to wait for the dial; it may wait for nothing else."""
        order = held.order
        if self.listed.entry.state is not ServerState.OPEN:
            # Checked here, as the first byte is written: what waited for a dial may not outlast a drain.
            self._end(held, Ending.NOT_SENT)
            return
        fit = [way for way in reversed(self.ways) if way.link.alive and order.call not in way.abandoned]
        way = next((way for way in fit if not way.doubted), fit[0] if fit else None)
        if way is None:
            if len(self.ways) >= MOST_LINKS:
                self._end(held, Ending.NOT_SENT)
            else:
                self._dial()
            return
        if way.link.blocked:
            self._end(held, Ending.UNREACHABLE)
            return
        if not self._client_waits(held):
            return
        held.sent, held.link = self.loop.time(), way.link
        held.doubt = self.loop.call_later(DOUBT_AFTER, self.post, DoubtDue(held))
        self._ask()
        left = order.patience - (held.sent - held.ordered) * 1000.0
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

    def _client_waits(self, held: Held) -> bool:
        """Whether the caller is there, looked at as the first byte is about to be written.

        Guards against attempts for callers that have gone, wherever the order waited: a release wait, a
        queue, a dial, a process that stood still. What the caller has said and nobody has taken is heard
        first; the word of that comes the way a give-up does, behind it.
        """
        order = held.order
        presence = Presence.HERE if order.client is None else order.client.look()
        if presence is Presence.LEFT:
            self.tell(ClientLeft(order.ref))
            self._end(held, Ending.NOT_SENT)
            return False
        now = self.loop.time()
        if order.client is None or presence is Presence.HERE:
            return True
        if held.asked is not None and not held.hearing and now - held.asked <= HEARD_FOR:
            return True  # what is unheard came since
        if not held.hearing:
            held.asked, held.hearing = now, True
            heard = Heard(order.ref, order.attempt, order.call, self.name)
            order.client.when_heard(lambda: self.tell(heard))
        return False

    def _heard(self, item: Heard) -> None:
        held = self.held.get(item.call)
        if held is not None and (held.order.ref, held.order.attempt) == (item.ref, item.attempt):
            held.hearing = False
            if held.sent is None:
                self._send(held)

    def _patience_over(self, order: Order) -> None:
        held = self.held.get(order.call)
        if held is None or held.order is not order or held.stands:
            return
        if held.sent is None:
            self._end(held, Ending.NOT_SENT if held.hearing else Ending.UNREACHABLE)
            return
        self._give_up(held)
        self._doubt(held.link, held.sent)
        silent = any(way.link is held.link and way.link.heard_at <= held.sent for way in self.ways)
        elsewhere = any(way.link.heard_at > max(held.sent, way.link.opened_at) for way in self.ways)
        # The server spoke on another link meanwhile: the time-out is the silent link's, not the server's.
        self._end(held, Ending.CUT if silent and elsewhere else Ending.TIMED_OUT)

    def _doubt_due(self, held: Held) -> None:
        if held.sent is not None and self.held.get(held.order.call) is held and not held.stands:
            self._doubt(held.link, held.sent)

    def _doubt(self, silent: Link | None, since: float) -> None:
        """Open another link beside one on which nothing came since then.

        Guards against a link that stays open and is of no further use, which must cost neither the set-ups to
        come nor the calls that stand, as would taking the whole server for lost. Harm: one dial to a server
        that only stood still.
        """
        for way in self.ways:
            if way.link is silent and way.link.heard_at <= since:
                way.doubted = True
        if self.ways and all(way.doubted for way in self.ways):
            if len(self.ways) >= MOST_LINKS:
                self.ways[0].link.close(CloseReason.SILENT)
            self._dial()

    def _withdraw(self, item: Withdraw) -> None:
        held = self.held.get(item.call)
        if held is None or (held.order.ref, held.order.attempt) != (item.ref, item.attempt):
            return
        if held.stands:
            if item.hang_up:
                self._release(held)
                self._end(held, Ending.CANCELLED)
            return
        if held.sent is not None:
            self._give_up(held)
        self._end(held, Ending.CANCELLED)

    def _give_up(self, held: Held) -> None:
        """Written before the dispatcher hears of the end, and remembered against late words on that link."""
        if held.link is not None:
            held.link.write(write_release(held.order.call, Cause.NORMAL))
            for way in self.ways:
                if way.link is held.link:
                    way.abandon(held.order.call)

    def _release(self, held: Held) -> None:
        """End a call that stands: on its set-up's link, any other, or the next that opens."""
        release = write_release(held.order.call, Cause.NORMAL)
        link = self._link_for(held)
        if link is not None:
            link.write(release)
        else:
            self.owed[held.order.call] = release
            self._dial()

    def _link_for(self, held: Held) -> Link | None:
        if held.link is not None and held.link.alive:
            return held.link
        return next((way.link for way in reversed(self.ways) if way.link.alive), None)

    def _end(
        self, held: Held, ending: Ending, lines_full: bool = False, report: Report | None = None
    ) -> None:
        held.timer.cancel()
        if held.doubt is not None:
            held.doubt.cancel()
        del self.held[held.order.call]
        since = held.ordered if held.sent is None else held.sent
        lag = (self.loop.time() - since) * 1000.0
        order = held.order
        CALL_TRACE.step(order.call, CallStep.ENDED, server=self.name, attempt=order.attempt, by=ending.value)
        self.tell(Ended(order.ref, order.attempt, self.name, ending, lines_full, lag, report))

    # ---- what the server says ---------------------------------------------------------------------------

    def _received(self, link: Link, message: Message) -> None:
        self.heard_at, self.asked_at = max(self.heard_at, link.heard_at), None
        for way in self.ways:
            if way.link is link:
                way.doubted = False
        match message.type:
            case Type.ANSWER:
                self._answered(link, message)
            case Type.RELEASE:
                self._released(link, message)
            case Type.GROUP_STATE | Type.TEST_RESULT:
                self._state(message)

    def _answered(self, link: Link, message: Message) -> None:
        held = self.held.get(message.call)
        if held is None or held.stands or held.link is not link:
            return  # of an attempt given up: the give-up, which the server reads next, ends it there
        description = message.parameters.get(Code.DESCRIPTION)
        if description is None:
            self._release(held)
            self._end(held, Ending.CUT)
            return
        held.stands = True
        held.timer.cancel()
        if held.doubt is not None:
            held.doubt.cancel()
        lag = (self.loop.time() - (held.sent or held.ordered)) * 1000.0
        CALL_TRACE.step(message.call, CallStep.STOOD, server=self.name, lag=round(lag))
        self.tell(Stood(held.order.ref, held.order.attempt, self.name, lag, description))

    def _released(self, link: Link, message: Message) -> None:
        held = self.held.get(message.call)
        if held is None or (not held.stands and held.link is not link):
            return
        cause = message.cause()
        report = self._report(message)
        if held.stands:
            self._end(held, Ending.DELIVERED if cause == Cause.NORMAL else Ending.CUT, report=report)
        elif cause == Cause.TEMPORARY_FAILURE:
            self._end(held, Ending.CUT, report=report)
        else:
            ending = REFUSALS.get(cause or 0, Ending.ERROR)
            full = ending is Ending.FULL and message.text(Code.NOTE) == NO_LINE
            self._end(held, ending, full, report)

    def _state(self, message: Message) -> None:
        report = self._report(message)
        if message.call in self.tests:
            passed = message.type == Type.GROUP_STATE or message.cause() == 1
            self._end_test(message.call, Ending.DELIVERED if passed else Ending.ERROR, report)
        elif message.type == Type.GROUP_STATE:
            self.tell(ProbeEnded(self.name, Ending.DELIVERED, True, 0.0, report))

    def _report(self, message: Message) -> Report | None:
        text = message.text(Code.REPORT)
        try:
            return None if text is None else read_report(text)
        except CodecError as error:  # the rest of the message stands without it
            LOG.warning("bad-report", server=self.name, detail=repr(str(error)))
            return None

    # ---- tests ------------------------------------------------------------------------------------------

    def _test(self) -> None:
        number = next(self.test_numbers).to_bytes(8, "big")
        timer = self.loop.call_later(TEST_LIMIT, self.post, TestOver(number))
        link = next((way.link for way in reversed(self.ways) if not way.doubted), None)
        self.tests[number] = (self.loop.time(), timer, link)
        if link is not None:
            link.write(write_message(Type.TEST, number, {Code.CAUSE: b"\x01"}))
        else:
            self._dial()

    def _end_test(self, number: bytes, ending: Ending, report: Report | None) -> None:
        test = self.tests.pop(number, None)
        if test is None:
            return
        test[1].cancel()
        self.tell(ProbeEnded(self.name, ending, False, (self.loop.time() - test[0]) * 1000.0, report))

    # ---- links ------------------------------------------------------------------------------------------

    def _dial(self) -> None:
        gone = self.listed.entry.state is ServerState.GONE
        if gone or self.dialling is not None or len(self.ways) >= MOST_LINKS:
            return
        if self.redial is not None:
            self.redial.cancel()
            self.redial = None
        self.dialling = self.loop.create_task(self._dial_once(), name=f"dial {self.name}")

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
            self.short(error)
            reason, detail = CloseReason.DIAL_ERROR, str(error)
        log_connection_closed("server", self.name, reason, detail)
        self.post(Dialled(None, reason))

    def _dialled(self, item: Dialled) -> None:
        self.dialling = None
        if item.streams is not None:
            link = Link("server", self.name, item.streams, self.post, STALL)
            if not self.ways:  # beside a silent link only a word proves that the server is there
                self.heard_at, self.asked_at = self.loop.time(), None
            if self.listed.entry.state is ServerState.GONE:
                link.close(CloseReason.SERVER_GONE)
            self.ways.append(Way(link))
            for release in self.owed.values():
                link.write(release)
            self.owed.clear()
            for held in [held for held in self.held.values() if held.sent is None]:
                self._send(held)
            return
        for held in [held for held in self.held.values() if held.sent is None]:
            self._end(held, Ending.UNREACHABLE)
        for number, test in list(self.tests.items()):
            if test[2] is None:
                self._end_test(number, Ending.UNREACHABLE, None)
        if item.reason is CloseReason.DIAL_REFUSED and not self.ways:
            self._cut_standing()  # no process listens there: the one that held them is no more
        self._redial_later()

    def _redial_later(self) -> None:
        if self.redial is None and self.listed.entry.state is not ServerState.GONE:
            self.redial = self.loop.call_later(random.uniform(*REDIAL_AFTER), self.post, RedialDue())

    def _link_ended(self, link: Link, reason: CloseReason) -> None:
        self.ways = [way for way in self.ways if way.link is not link]
        given_up = reason in (CloseReason.BLOCKED, CloseReason.SILENT)
        for held in [h for h in self.held.values() if h.link is link and not h.stands]:
            if reason not in (CloseReason.SERVER_GONE, CloseReason.REPLACED):
                # The server may have answered and hold the call: what could not be read may have said so.
                self._release(held)
            self._end(held, Ending.TIMED_OUT if given_up else Ending.CUT)
        for number, test in list(self.tests.items()):
            if test[2] is link:
                self._end_test(number, Ending.CUT, None)
        # The end of a link, also by a reset, cuts no call that stands: that the process is dead shows when it
        # is dialled and nobody listens, or by word of the list that it has started anew.
        if any(held.stands and held.link is link for held in self.held.values()):
            # Guards against a release that was lost with the link, half read or unread: the server says it
            # again on the next connection that is opened, whatever others there are.
            self._dial()
        if not self.ways:
            waits = self.owed or any(held.stands for held in self.held.values())
            if waits or self.loop.time() - link.opened_at > LIVED:
                self._dial()  # releases come on the next link that opens, and they have limits
            else:
                self._redial_later()

    def _cut_standing(self, before: float = math.inf) -> None:
        """The process that held the calls sent by then is dead; their callers must hear of it in time."""
        for held in [held for held in self.held.values() if held.stands and (held.sent or 0.0) < before]:
            self._end(held, Ending.CUT)
        self.owed.clear()

    def _quiet_due(self) -> None:
        """Guards against machines that vanish or are cut off: they give no sign, and their calls, which end
        there unheard, would stand here for ever. Silence is tested, and at its limit taken for the end."""
        now = self.loop.time()
        again = TEST_AFTER - (now - self.heard_at)
        if self.asked_at is not None and now - self.asked_at >= LOST_AFTER:
            self.asked_at = None
            for held in [held for held in self.held.values() if held.stands]:
                self.owed[held.order.call] = write_release(held.order.call, Cause.NORMAL)
                self._end(held, Ending.CUT)
            for way in self.ways:
                way.link.close(CloseReason.SILENT)
        elif again <= 0 and self.held:
            if asked := self.asked_at is not None:
                for way in self.ways:
                    self._doubt(way.link, self.asked_at)
            self._ask()
            # On one link, the first time: any byte on any shows that the server is there.
            for way in self.ways if asked else self.ways[-1:]:
                test = next(self.test_numbers).to_bytes(8, "big")
                way.link.write(write_message(Type.TEST, test, {Code.CAUSE: b"\0"}))
        if any(way.link.heard_at > way.link.opened_at and not way.doubted for way in self.ways):
            for way in self.ways:  # the server is there: what stays silent is of no use
                if way.doubted and now - way.link.heard_at >= LOST_AFTER:
                    way.link.close(CloseReason.SILENT)
        self.quiet = self.loop.call_later(max(TEST_AGAIN, again), self.post, QuietDue())

    def _ask(self) -> None:
        """Something is sent, or would be if a link were up, that a server in reach answers with some byte."""
        if self.asked_at is None:
            self.asked_at = self.loop.time()

    def _told(self, listed: Listed | Settle) -> None:
        if isinstance(listed, Settle):
            self.connect_timeout = listed.connect_timeout
            return
        restarted = (listed.entry.started or 0.0) > (self.listed.entry.started or 0.0)
        self.listed = listed
        if listed.entry.state is ServerState.GONE:
            if self.redial is not None:
                self.redial.cancel()
            for held in list(self.held.values()):
                self._end(held, Ending.UNREACHABLE if held.sent is None else Ending.CUT)
            for number in list(self.tests):
                self._end_test(number, Ending.UNREACHABLE, None)
            for way in self.ways:
                way.link.close(CloseReason.SERVER_GONE)
        elif restarted and listed.entry.started is not None:
            # The word comes late: links and calls of the new process may be here already, and they stay.
            start = self.loop.time() - (unix_ms() - listed.entry.started) / 1000.0
            for way in self.ways:
                if way.link.opened_at < start:
                    way.link.close(CloseReason.REPLACED)
            self._cut_standing(before=start)
