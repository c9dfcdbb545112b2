"""One actor for each session server: its connections, its set-ups and calls, and its health checks.

The actor receives everything through its mailbox, in order: the dispatcher's orders, messages and ends of its
connections, and its timers.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import ClassVar

from martentide.attempt_messages import ClientLeft, Ended, InputProcessed, Order, Presence, Stood, Withdraw
from martentide.codec import CodecError
from martentide.codec.discovery import Listed
from martentide.codec.figures import read_report
from martentide.codec.messages import Cause, Code, Message, Type, write_message, write_release
from martentide.interface import Ending, ProbeEnded, Report, ServerState
from martentide.net.call_trace import CALL_TRACE, CallStep
from martentide.net.close_reason import LOG, CloseReason, log_connection_closed, logged_name
from martentide.net.dispatcher import ApplySettings, Probing
from martentide.net.links import Link, LinkEnded, Received, Stalled, unix_ms
from martentide.net.message_timeout import MessageTimeout
from martentide.net.release_recovery import ReleaseRecovery
from martentide.net.server_connection import KEEPALIVE_IDLE, KEEPALIVE_TIMEOUT, ServerConnection

MAX_CONNECTIONS = 4  # to one server, which sends its group state on at most this many
HEALTH_CHECK_TIMEOUT = 0.25  # s
RECONNECT_DELAY = (0.5, 1.0)  # s; uniform range of the delay after a failed dial or a short-lived connection
# s in which a message must be complete once its first byte was received from a server, before the open
# set-ups of the connection are ended; short enough that they can still be retried elsewhere in time. A server
# that stalls again and again is given longer.
MIN_MESSAGE_TIMEOUT = 0.06
# s without a byte in the middle of a message before its connection is closed; longer than a processor may
# stand still, and below the 1 s in which callers have to learn of a release that was sent.
MIN_PROGRESS_TIMEOUT = 0.8
# s without a byte on a connection since a set-up was sent on it; after that the connection is suspect, and
# another one is opened if all are.
SUSPECT_AFTER = 0.12
# s; a connection that closed sooner is not replaced at once, so that no server is dialled in a tight loop.
MIN_CONNECTION_LIFETIME = 0.5
REFRESH_RETRY_DELAY = 1.0  # s before another connection is opened only to ask for releases
MIN_CHECK_INTERVAL = 0.01  # s between liveness checks of the connections
# s by which a liveness check may be late; after a longer pause of this process, input that arrived meanwhile
# is processed first.
MAX_CHECK_LATENESS = 0.25
INPUT_CHECK_VALIDITY = 0.05  # s for which a client's processed input counts as complete before a new check
NO_LINES_NOTE = "all_trunks_busy"  # note in a server's refusal
ENDING_BY_CAUSE = {int(Cause.NO_CIRCUIT): Ending.FULL, int(Cause.TIMER_EXPIRY): Ending.NOT_SENT}


@dataclass(slots=True)
class Attempt:
    """An ordered set-up until its end; it stands once the server has answered. Times are loop times."""

    order: Order
    timer: asyncio.TimerHandle
    ordered_at: float
    sent_at: float | None = None
    link: Link | None = None
    stands: bool = False
    suspect_timer: asyncio.TimerHandle | None = None
    input_checked_at: float | None = None  # when unprocessed input was last found on the client's connection
    awaiting_input: bool = False  # whether the set-up waits for that input to be processed


@dataclass(frozen=True, slots=True)
class Dialled:
    """The result of a dial: streams, or the reason why it failed."""

    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
    reason: CloseReason | None


@dataclass(frozen=True, slots=True)
class AttemptTimedOut:
    """The time of an attempt has run out."""

    LOG_NAME: ClassVar[str] = "PatienceOver"

    order: Order


@dataclass(frozen=True, slots=True)
class SuspectTimerExpired:
    """``SUSPECT_AFTER`` has passed since the attempt's set-up was sent."""

    LOG_NAME: ClassVar[str] = "DoubtDue"

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class HealthCheckTimedOut:
    """A health check has timed out."""

    LOG_NAME: ClassVar[str] = "TestOver"

    check_id: bytes


@dataclass(frozen=True, slots=True)
class ReconnectTimerExpired:
    """The reconnect delay is over."""

    LOG_NAME: ClassVar[str] = "RedialDue"


@dataclass(frozen=True, slots=True)
class LivenessCheckDue:
    """The connections' liveness has to be checked."""

    LOG_NAME: ClassVar[str] = "QuietDue"


Timer = AttemptTimedOut | SuspectTimerExpired | HealthCheckTimedOut | ReconnectTimerExpired | LivenessCheckDue
DispatcherItem = Stood | Ended | ProbeEnded | InputProcessed | ClientLeft
Item = (
    Order
    | Withdraw
    | InputProcessed
    | Probing
    | Listed
    | ApplySettings
    | Received
    | Stalled
    | LinkEnded
    | Dialled
    | Timer
)


class Server:
    """The actor of one session server; ``notify_dispatcher`` posts to the dispatcher's mailbox.

    ``connect_timeout`` is in s. ``on_dial_error`` is called with the error of a failed dial, which may be
    due to a lack of descriptors.
    """

    def __init__(
        self,
        listed: Listed,
        connect_timeout: float,
        notify_dispatcher: Callable[[DispatcherItem], None],
        on_dial_error: Callable[[OSError], object] = lambda error: None,
    ) -> None:
        self.listed, self.connect_timeout, self.notify_dispatcher = listed, connect_timeout, notify_dispatcher
        self.on_dial_error = on_dial_error
        self.name = listed.entry.name
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.connections: list[ServerConnection] = []  # the newest is used first
        self.attempts: dict[bytes, Attempt] = {}
        # By id: loop time of the start, timeout timer, and connection (None while waiting for a dial).
        self.health_checks: dict[bytes, tuple[float, asyncio.TimerHandle, Link | None]] = {}
        self.check_numbers = itertools.count(1)  # for ids of health checks and keepalives
        self.pending_releases: dict[bytes, bytes] = {}  # release messages to write on the next connection
        self.dial_task: asyncio.Task[None] | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.message_timeout = MessageTimeout(MIN_MESSAGE_TIMEOUT, KEEPALIVE_TIMEOUT)
        self.progress_timeout = MessageTimeout(MIN_PROGRESS_TIMEOUT, KEEPALIVE_TIMEOUT)
        self.recovery = ReleaseRecovery()
        self.check_due_at = self.loop.time() + KEEPALIVE_IDLE
        self.check_timer = self.loop.call_at(self.check_due_at, self.post, LivenessCheckDue())
        self.refresh_at = 0.0  # loop time before which no connection is opened only to ask for releases
        self.check_postponed = False  # whether the last check was put off, because it came late
        self.task = self.loop.create_task(self._run(), name=f"server {self.name}")

    def post(self, item: Item) -> None:
        """Put an item into the actor's mailbox."""
        self.mailbox.put_nowait(item)

    async def _run(self) -> None:
        self._dial()
        while not self._finished():
            item = await self.mailbox.get()
            try:
                self._handle(item)
            except Exception:
                LOG.exception("internal-error", server=self.name, item=logged_name(item))
            if isinstance(item, Received):
                item.link.message_processed()
        self.check_timer.cancel()
        while not self.mailbox.empty():  # each order that arrived meanwhile must still get its Ended
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
            case InputProcessed():
                self._input_processed(item)
            case Received():
                self.message_timeout.message_completed(item.duration)
                self.progress_timeout.message_completed(item.duration)
                self._apply_message_timeout()
                self._received(item.link, item.message)
            case Dialled():
                self._dialled(item)
            case Stalled(link):
                self._message_stalled(link)
            case LinkEnded():
                self._link_ended(item.link, item.reason)
            case Probing():
                self._send_health_check()
            case Listed() | ApplySettings():
                self._update(item)
            case _:
                self._handle_timer(item)

    def _handle_timer(self, item: Timer) -> None:
        match item:
            case AttemptTimedOut():
                self._attempt_timed_out(item.order)
            case SuspectTimerExpired(attempt):
                self._suspect_due(attempt)
            case HealthCheckTimedOut():
                self._end_health_check(item.check_id, Ending.TIMED_OUT, None)
            case LivenessCheckDue():
                self._liveness_check_due()
            case ReconnectTimerExpired():
                self.reconnect_timer = None
                self._dial()

    # ---- set-ups ----------------------------------------------------------------------------------------

    def _start_attempt(self, order: Order) -> None:
        now = self.loop.time()
        timer = self.loop.call_later(max(0.0, order.patience) / 1000.0, self.post, AttemptTimedOut(order))
        attempt = self.attempts[order.call] = Attempt(order, timer, now)
        self._send_set_up(attempt)

    def _send_set_up(self, attempt: Attempt) -> None:
        """Write the set-up now, or leave it waiting for a dial or for its client's input to be processed."""
        order = attempt.order
        if self.listed.entry.state is not ServerState.OPEN:
            # Checked right before the first byte is written: a set-up that waited for a dial must not go to
            # a server that has begun to drain meanwhile.
            self._end_attempt(attempt, Ending.NOT_SENT)
            return
        usable = [
            connection
            for connection in reversed(self.connections)
            if connection.link.alive and order.call not in connection.ended_calls
        ]
        connection = next(
            (connection for connection in usable if not connection.suspect), usable[0] if usable else None
        )
        if connection is None:
            if len(self.connections) >= MAX_CONNECTIONS:
                self._end_attempt(attempt, Ending.NOT_SENT)
            else:
                self._dial()
            return
        if connection.link.blocked:
            self._end_attempt(attempt, Ending.UNREACHABLE)
            return
        if not self._client_waits(attempt):
            return
        attempt.sent_at, attempt.link = self.loop.time(), connection.link
        attempt.suspect_timer = self.loop.call_later(SUSPECT_AFTER, self.post, SuspectTimerExpired(attempt))
        time_left = order.patience - (attempt.sent_at - attempt.ordered_at) * 1000.0
        CALL_TRACE.step(
            order.call, CallStep.SENT, server=self.name, attempt=order.attempt, left=round(time_left)
        )
        connection.link.write(
            write_message(
                Type.SET_UP,
                order.call,
                {
                    Code.CLASS: order.call_class,
                    Code.TIME_LEFT: str(max(1, round(time_left))).encode("ascii"),
                    Code.NUMBER: order.number,
                    Code.DESCRIPTION: order.description,
                },
            )
        )

    def _client_waits(self, attempt: Attempt) -> bool:
        """Return whether the caller still waits, checked right before the first byte is written.

        Prevents attempts for callers that have gone, wherever the order waited: a release wait, a queue, a
        dial, or a paused process. Input of the caller that has not been processed yet is processed first; the
        ``InputProcessed`` item that reports this takes the same route as a give-up and so arrives after it.
        """
        order = attempt.order
        presence = Presence.PRESENT if order.client is None else order.client.check_presence()
        if presence is Presence.LEFT:
            self.notify_dispatcher(ClientLeft(order.ref))
            self._end_attempt(attempt, Ending.NOT_SENT)
            return False
        now = self.loop.time()
        if order.client is None or presence is Presence.PRESENT:
            return True
        if (
            attempt.input_checked_at is not None
            and not attempt.awaiting_input
            and now - attempt.input_checked_at <= INPUT_CHECK_VALIDITY
        ):
            return True  # the unprocessed input arrived after the last check
        if not attempt.awaiting_input:
            attempt.input_checked_at, attempt.awaiting_input = now, True
            input_processed = InputProcessed(order.ref, order.attempt, order.call, self.name)
            order.client.when_processed(lambda: self.notify_dispatcher(input_processed))
        return False

    def _input_processed(self, item: InputProcessed) -> None:
        attempt = self.attempts.get(item.call)
        if attempt is not None and (attempt.order.ref, attempt.order.attempt) == (item.ref, item.attempt):
            attempt.awaiting_input = False
            if attempt.sent_at is None:
                self._send_set_up(attempt)

    def _attempt_timed_out(self, order: Order) -> None:
        attempt = self.attempts.get(order.call)
        if attempt is None or attempt.order is not order or attempt.stands:
            return
        if attempt.sent_at is None:
            self._end_attempt(attempt, Ending.NOT_SENT if attempt.awaiting_input else Ending.UNREACHABLE)
            return
        self._give_up(attempt)
        self._mark_suspect(attempt.link, attempt.sent_at)
        link_silent = any(
            connection.link is attempt.link and connection.link.last_received_at <= attempt.sent_at
            for connection in self.connections
        )
        received_elsewhere = any(
            connection.link.last_received_at > max(attempt.sent_at, connection.link.opened_at)
            for connection in self.connections
        )
        # If the server sent something on another connection meanwhile, the silent connection is at fault and
        # not the server.
        self._end_attempt(attempt, Ending.CUT if link_silent and received_elsewhere else Ending.TIMED_OUT)

    def _suspect_due(self, attempt: Attempt) -> None:
        if (
            attempt.sent_at is not None
            and self.attempts.get(attempt.order.call) is attempt
            and not attempt.stands
        ):
            self._mark_suspect(attempt.link, attempt.sent_at)

    def _mark_suspect(self, link: Link | None, since: float) -> None:
        """Mark a connection suspect if it received nothing since then; if all are suspect, open another.

        A connection may stay open and yet be dead. That must neither fail later set-ups nor end standing
        calls, which would happen if the whole server were treated as lost. The cost is one needless dial to
        a server that was only paused.
        """
        for connection in self.connections:
            if connection.link is link and connection.link.last_received_at <= since:
                connection.suspect = True
        if self.connections and all(connection.suspect for connection in self.connections):
            if len(self.connections) >= MAX_CONNECTIONS:
                self._least_used_connection().link.close(CloseReason.SILENT)
            self._dial()

    def _least_used_connection(self) -> ServerConnection:
        """Return the oldest connection that no call or health check uses, or the oldest of all."""
        used = {attempt.link for attempt in self.attempts.values()}
        used.update(check[2] for check in self.health_checks.values())
        unused = (connection for connection in self.connections if connection.link not in used)
        return next(unused, self.connections[0])

    def _withdraw(self, item: Withdraw) -> None:
        attempt = self.attempts.get(item.call)
        if attempt is None or (attempt.order.ref, attempt.order.attempt) != (item.ref, item.attempt):
            return
        if attempt.stands:
            if item.hang_up:
                self._release(attempt)
                self._end_attempt(attempt, Ending.CANCELLED)
            return
        if attempt.sent_at is not None:
            self._give_up(attempt)
        self._end_attempt(attempt, Ending.CANCELLED)

    def _give_up(self, attempt: Attempt) -> None:
        """Send the give-up of an attempt that has been sent; called before its end."""
        if attempt.link is not None:
            attempt.link.write(write_release(attempt.order.call, Cause.NORMAL))

    def _release(self, attempt: Attempt) -> None:
        """Send a release on the connection of the set-up, any other one, or the next one that opens."""
        release = write_release(attempt.order.call, Cause.NORMAL)
        link = self._link_for(attempt)
        if link is not None:
            link.write(release)
        else:
            self.pending_releases[attempt.order.call] = release
            self._dial()

    def _link_for(self, attempt: Attempt) -> Link | None:
        if attempt.link is not None and attempt.link.alive:
            return attempt.link
        return next(
            (connection.link for connection in reversed(self.connections) if connection.link.alive), None
        )

    def _connection_of(self, link: Link | None) -> ServerConnection | None:
        return next((connection for connection in self.connections if connection.link is link), None)

    def _end_attempt(
        self, attempt: Attempt, ending: Ending, lines_full: bool = False, report: Report | None = None
    ) -> None:
        attempt.timer.cancel()
        if attempt.suspect_timer is not None:
            attempt.suspect_timer.cancel()
        del self.attempts[attempt.order.call]
        self.recovery.ended(attempt.order.call)
        connection = self._connection_of(attempt.link)
        if connection is not None:
            # Before the dispatcher is notified: its next attempt must not meet late messages about this one.
            connection.note_ended(attempt.order.call)
        since = attempt.ordered_at if attempt.sent_at is None else attempt.sent_at
        lag = (self.loop.time() - since) * 1000.0
        order = attempt.order
        CALL_TRACE.step(order.call, CallStep.ENDED, server=self.name, attempt=order.attempt, by=ending.value)
        self.notify_dispatcher(Ended(order.ref, order.attempt, self.name, ending, lines_full, lag, report))

    # ---- messages from the server -----------------------------------------------------------------------

    def _received(self, link: Link, message: Message) -> None:
        for connection in self.connections:
            if connection.link is link:
                connection.message_received()
                if message.type == Type.TEST_RESULT and message.call == connection.confirmation_id:
                    self.recovery.confirmed(link)
        match message.type:
            case Type.ANSWER:
                self._answered(link, message)
            case Type.RELEASE:
                self._released(link, message)
            case Type.GROUP_STATE | Type.TEST_RESULT:
                self._state_received(message)

    def _answered(self, link: Link, message: Message) -> None:
        attempt = self.attempts.get(message.call)
        if attempt is None or attempt.stands or attempt.link is not link:
            return  # answers a given-up attempt: the give-up that was sent ends the call at the server
        description = message.parameters.get(Code.DESCRIPTION)
        if description is None:
            self._release(attempt)
            self._end_attempt(attempt, Ending.CUT)
            return
        attempt.stands = True
        attempt.order = replace(attempt.order, number=b"", description=b"")  # they are not sent again
        self.recovery.stood(message.call, link)
        attempt.timer.cancel()
        if attempt.suspect_timer is not None:
            attempt.suspect_timer.cancel()
        lag = (self.loop.time() - (attempt.sent_at or attempt.ordered_at)) * 1000.0
        CALL_TRACE.step(message.call, CallStep.STOOD, server=self.name, lag=round(lag))
        self.notify_dispatcher(Stood(attempt.order.ref, attempt.order.attempt, self.name, lag, description))

    def _released(self, link: Link, message: Message) -> None:
        attempt = self.attempts.get(message.call)
        if attempt is None or self._is_about_another_attempt(attempt, link):
            return
        cause = message.cause()
        report = self._report(message)
        if attempt.stands:
            self._end_attempt(
                attempt, Ending.DELIVERED if cause == Cause.NORMAL else Ending.CUT, report=report
            )
        elif cause == Cause.TEMPORARY_FAILURE:
            self._end_attempt(attempt, Ending.CUT, report=report)
        else:
            ending = ENDING_BY_CAUSE.get(cause or 0, Ending.ERROR)
            lines_full = ending is Ending.FULL and message.text(Code.NOTE) == NO_LINES_NOTE
            self._end_attempt(attempt, ending, lines_full, report)

    def _is_about_another_attempt(self, attempt: Attempt, link: Link) -> bool:
        """Return whether a release on the connection can't be the end of this attempt.

        The server ends an attempt on the connection of its set-up, a standing call also on others. Where an
        earlier attempt of the call ended, a late message about that one may come.
        """
        if attempt.link is link:
            return False
        connection = self._connection_of(link)
        ended_there = connection is not None and attempt.order.call in connection.ended_calls
        own_link_open = attempt.link is not None and attempt.link.alive
        return not attempt.stands or (ended_there and own_link_open)

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
        except CodecError as error:  # the rest of the message is valid without the report
            LOG.warning("bad-report", server=self.name, detail=repr(str(error)))
            return None

    # ---- health checks ----------------------------------------------------------------------------------

    def _send_health_check(self) -> None:
        check_id = next(self.check_numbers).to_bytes(8, "big")
        timer = self.loop.call_later(HEALTH_CHECK_TIMEOUT, self.post, HealthCheckTimedOut(check_id))
        link = next(
            (connection.link for connection in reversed(self.connections) if not connection.suspect), None
        )
        self.health_checks[check_id] = (self.loop.time(), timer, link)
        if link is not None:
            link.write(write_message(Type.TEST, check_id, {Code.CAUSE: b"\x01"}))
        else:
            self._dial()

    def _end_health_check(self, check_id: bytes, ending: Ending, report: Report | None) -> None:
        check = self.health_checks.pop(check_id, None)
        if check is None:
            return
        check[1].cancel()
        self.notify_dispatcher(
            ProbeEnded(self.name, ending, False, (self.loop.time() - check[0]) * 1000.0, report)
        )

    # ---- connections ------------------------------------------------------------------------------------

    def _dial(self) -> None:
        gone = self.listed.entry.state is ServerState.GONE
        if gone or self.dial_task is not None or len(self.connections) >= MAX_CONNECTIONS:
            return
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        self.dial_task = self.loop.create_task(self._dial_once(), name=f"dial {self.name}")

    async def _dial_once(self) -> None:
        """Dial once within ``connect_timeout``: a machine that is cut off reports no error."""
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
            # A dial that succeeds is no sign of life: only received messages put the keepalives off.
            link = Link("server", self.name, item.streams, self.post, self.message_timeout.seconds)
            if self.listed.entry.state is ServerState.GONE:
                link.close(CloseReason.SERVER_GONE)
            connection = ServerConnection(link)
            self.connections.append(connection)
            if self.recovery.opened(link, self.loop.time()):
                connection.confirmation_id = self._send_test(link)
                self._schedule_check()
            for release in self.pending_releases.values():
                link.write(release)
            self.pending_releases.clear()
            for attempt in [attempt for attempt in self.attempts.values() if attempt.sent_at is None]:
                self._send_set_up(attempt)
            return
        for attempt in [attempt for attempt in self.attempts.values() if attempt.sent_at is None]:
            self._end_attempt(attempt, Ending.UNREACHABLE)
        for check_id, check in list(self.health_checks.items()):
            if check[2] is None:
                self._end_health_check(check_id, Ending.UNREACHABLE, None)
        if item.reason is CloseReason.DIAL_REFUSED and not self.connections:
            self._cut_standing()  # no process listens there, so the one that held the calls is dead
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self.reconnect_timer is None and self.listed.entry.state is not ServerState.GONE:
            self.reconnect_timer = self.loop.call_later(
                random.uniform(*RECONNECT_DELAY), self.post, ReconnectTimerExpired()
            )

    def _link_ended(self, link: Link, reason: CloseReason) -> None:
        self.connections = [connection for connection in self.connections if connection.link is not link]
        unresponsive = reason in (CloseReason.BLOCKED, CloseReason.SILENT)
        self._recover_releases(link, reason)
        for attempt in [
            unanswered
            for unanswered in self.attempts.values()
            if unanswered.link is link and not unanswered.stands
        ]:
            if reason not in (CloseReason.SERVER_GONE, CloseReason.REPLACED):
                # The server may hold the call: its answer may be among the bytes that could not be read.
                self._release(attempt)
            self._end_attempt(attempt, Ending.TIMED_OUT if unresponsive else Ending.CUT)
        for check_id, check in list(self.health_checks.items()):
            if check[2] is link:
                self._end_health_check(check_id, Ending.CUT, None)
        # The end of a connection, even by a reset, ends no standing call. That the server process is dead
        # shows when a dial is refused, or when the server list reports a restart.
        if self.recovery.needs_connection:
            # The server's release may have been lost with the connection, unread or partly read. The server
            # sends it again on the next connection that is opened, even if others are open.
            self._dial()
        if not self.connections:
            awaits_release = self.pending_releases or any(
                attempt.stands for attempt in self.attempts.values()
            )
            if awaits_release or self.loop.time() - link.opened_at > MIN_CONNECTION_LIFETIME:
                self._dial()  # releases in both directions wait for the next connection and have a time limit
            else:
                self._schedule_reconnect()

    def _recover_releases(self, link: Link, reason: CloseReason) -> None:
        """Note which standing calls' releases may have been lost with a connection.

        Calls whose release may have been lost twice are ended: the server does not send it a third time.
        """
        heard_at = link.last_received_at
        same_process = any(
            connection.link.opened_at < heard_at and connection.received_since(heard_at)
            for connection in self.connections
        )
        for call in self.recovery.lost(link, heard_at, reason is CloseReason.SILENT, same_process):
            self._end_standing_here(self.attempts[call])
        self._schedule_check()

    def _message_stalled(self, link: Link) -> None:
        """End the open set-ups of a connection on which a message was not complete in time.

        An answer that broke off closes the connection, as its set-up is retried on another one. Otherwise it
        is read on: the rest of the message may follow, and with it releases that are sent on no other
        connection. It is closed when the message makes no progress any more.
        """
        if not link.stalled or not link.alive:
            return
        self.message_timeout.message_stalled()
        self._apply_message_timeout()
        unanswered = [
            attempt for attempt in self.attempts.values() if attempt.link is link and not attempt.stands
        ]
        if unanswered and link.partial_type == Type.ANSWER:
            link.close(CloseReason.STALLED)
            return
        for attempt in unanswered:
            self._give_up(attempt)
            self._end_attempt(attempt, Ending.CUT)
        for connection in self.connections:
            connection.suspect = connection.suspect or connection.link is link
        if all(connection.suspect for connection in self.connections):
            self._dial()
        self._schedule_check()

    def _apply_message_timeout(self) -> None:
        for connection in self.connections:
            connection.link.message_timeout = self.message_timeout.seconds

    def _end_unreadable_calls(self, link: Link) -> None:
        """End the standing calls whose releases the server may be sending on the connection."""
        for attempt in [attempt for attempt in self.attempts.values() if attempt.stands]:
            if attempt.link is None or attempt.link is link or not attempt.link.alive:
                self._end_standing_here(attempt)

    def _end_standing_here(self, attempt: Attempt) -> None:
        """End a standing call that the server may still hold: it is released there once possible."""
        release = write_release(attempt.order.call, Cause.NORMAL)
        working = (
            connection.link
            for connection in reversed(self.connections)
            if connection.link.alive and not connection.suspect and connection.received_since(0.0)
        )
        if (link := next(working, None)) is not None:
            link.write(release)
        else:
            self.pending_releases[attempt.order.call] = release
            self._dial()
        self._end_attempt(attempt, Ending.CUT)

    def _cut_standing(self, before: float = math.inf) -> None:
        """End standing calls sent before that time as cut: the process that held them is dead.

        Their callers have to learn of it in time.
        """
        for attempt in [
            attempt
            for attempt in self.attempts.values()
            if attempt.stands and (attempt.sent_at or 0.0) < before
        ]:
            self._end_attempt(attempt, Ending.CUT)
        self.pending_releases.clear()

    # ---- liveness of the connections --------------------------------------------------------------------

    def _liveness_check_due(self) -> None:
        late = self.loop.time() - self.check_due_at > MAX_CHECK_LATENESS
        if late and not self.check_postponed:
            # This process was held up, so what the server sent meanwhile may still be unread.
            self.check_postponed = True
            self._schedule_check(postponed=True)
            return
        self.check_postponed = False
        self._close_broken_connections()
        self._send_keepalives()
        now = self.loop.time()
        for call in self.recovery.overdue(now):
            self._end_standing_here(self.attempts[call])
        refresh_due = self.recovery.refresh_due
        if refresh_due is not None and now >= max(refresh_due, self.refresh_at):
            self._refresh_connection()
        self._schedule_check()

    def _schedule_check(self, postponed: bool = False) -> None:
        """Schedule the next liveness check for the earliest time at which something can be due."""
        now, timeout = self.loop.time(), self.progress_timeout.seconds
        watched = self._watched_connections()
        times = [
            connection.next_check_at(connection in watched, timeout)
            for connection in self.connections
            if connection.link.alive
        ]
        times += [self.recovery.next_deadline, now + KEEPALIVE_IDLE]
        if (refresh_due := self.recovery.refresh_due) is not None:
            times.append(max(refresh_due, self.refresh_at))
        due_at = max(now + MIN_CHECK_INTERVAL, min(time for time in times if time is not None))
        if postponed:
            due_at = now + MIN_CHECK_INTERVAL
        self.check_timer.cancel()
        self.check_due_at = due_at
        self.check_timer = self.loop.call_at(due_at, self.post, LivenessCheckDue())

    def _watched_connections(self) -> list[ServerConnection]:
        """Return the connections that need keepalives.

        They are those on which the release of a standing call may come, and suspect ones beside a connection
        that works, which would stay open for ever if they were dead.
        """
        links = self.recovery.carrying()
        if None in links:  # a call without a connection of its own may be released on any
            return list(self.connections)
        one_works = any(not connection.suspect for connection in self.connections)
        return [
            connection
            for connection in self.connections
            if connection.link in links or (connection.suspect and one_works)
        ]

    def _close_broken_connections(self) -> None:
        """Close connections whose keepalive was not answered, or whose message has broken off.

        A machine that vanishes or is cut off reports no error. Without this check its calls would stand here
        for ever, because their ends are never received.
        """
        now = self.loop.time()
        for connection in self.connections:
            if not connection.link.alive:
                continue
            deadline = connection.message_deadline(self.progress_timeout.seconds)
            if connection.is_silent(now) and not connection.link.has_unread_bytes:
                self._connection_silent(connection)
            elif deadline is not None and now >= deadline and not connection.link.has_unread_bytes:
                if self.progress_timeout.message_stalled():
                    self._end_unreadable_calls(connection.link)
                connection.link.close(CloseReason.STALLED)

    def _connection_silent(self, silent: ServerConnection) -> None:
        """Close a connection that is dead; if nothing came on any other, the whole server is cut off."""
        since = silent.keepalive_sent_at or 0.0
        if not any(connection.received_since(since) for connection in self.connections):
            for attempt in [attempt for attempt in self.attempts.values() if attempt.stands]:
                self._end_standing_here(attempt)
            for connection in self.connections:
                connection.link.close(CloseReason.SILENT)
        silent.link.close(CloseReason.SILENT)

    def _send_keepalives(self) -> None:
        """Send keepalives on the watched connections that were silent for a while.

        When one is not answered soon, they go out on all connections: that shows whether the server lives.
        """
        now = self.loop.time()
        unanswered = [one for one in self.connections if one.keepalive_unanswered(now)]
        for connection in unanswered:
            self._mark_suspect(connection.link, connection.keepalive_sent_at or 0.0)
        due = self.connections if unanswered else self._watched_connections()
        for connection in due:
            if not connection.link.alive or connection.keepalive_sent_at is not None:
                continue
            if unanswered or now >= connection.keepalive_due_at():
                connection.keepalive_sent_at = now
                self._send_test(connection.link)

    def _send_test(self, link: Link) -> bytes:
        """Send a health check that asks for no report, as a keepalive; return its id."""
        check_id = next(self.check_numbers).to_bytes(8, "big")
        link.write(write_message(Type.TEST, check_id, {Code.CAUSE: b"\0"}))
        return check_id

    def _refresh_connection(self) -> None:
        """Open another connection, on which the server repeats releases that it sent on a dead one."""
        self.refresh_at = self.loop.time() + REFRESH_RETRY_DELAY
        used = {attempt.link for attempt in self.attempts.values()}
        with_set_ups = {attempt.link for attempt in self.attempts.values() if not attempt.stands}
        spare = [one for one in self.connections[:-1] if not self.recovery.awaits(one.link)]
        closable = [one for one in spare if one.link not in used]
        if not closable and len(self.connections) >= MAX_CONNECTIONS:
            # The calls that stand on it are confirmed by the new connection as well.
            closable = [one for one in spare if one.link not in with_set_ups][:1]
        for connection in closable:
            connection.link.close(CloseReason.REPLACED)
        self._dial()

    def _update(self, listed: Listed | ApplySettings) -> None:
        if isinstance(listed, ApplySettings):
            self.connect_timeout = listed.connect_timeout
            return
        restarted = (listed.entry.started or 0.0) > (self.listed.entry.started or 0.0)
        self.listed = listed
        if listed.entry.state is ServerState.GONE:
            if self.reconnect_timer is not None:
                self.reconnect_timer.cancel()
            for attempt in list(self.attempts.values()):
                self._end_attempt(attempt, Ending.UNREACHABLE if attempt.sent_at is None else Ending.CUT)
            for check_id in list(self.health_checks):
                self._end_health_check(check_id, Ending.UNREACHABLE, None)
            for connection in self.connections:
                connection.link.close(CloseReason.SERVER_GONE)
        elif restarted and listed.entry.started is not None:
            # The report may arrive late: connections and calls of the new process may exist already. They
            # are kept.
            start = self.loop.time() - (unix_ms() - listed.entry.started) / 1000.0
            for connection in self.connections:
                if connection.link.opened_at < start:
                    connection.link.close(CloseReason.REPLACED)
            self._cut_standing(before=start)
