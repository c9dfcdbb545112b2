"""The callers' side of the signalling protocol: the listener, and one actor for each calling host.

A calling host is a machine that callers' connections come from, identified by its IP address. A standing call
belongs to the host, not to one of its connections. The actor receives everything from its connections and
from the dispatcher through its mailbox.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from martentide.codec import CodecError
from martentide.codec.figures import read_first_choice
from martentide.codec.messages import (
    MAX_MESSAGE_BYTES,
    Cause,
    Code,
    Message,
    Type,
    write_message,
    write_release,
)
from martentide.handover.wire import MAX_CALLS_PER_FRAME, Left, MovedCalls, MovedLink, Said
from martentide.net.call_trace import CALL_TRACE, CallStep
from martentide.net.client_connections import ClientConnections, SendFrame
from martentide.net.close_reason import LOG, CloseReason, log_event, logged_name
from martentide.net.config import Address
from martentide.net.dispatcher import GiveUp, Offer, ReleaseIn, time_for_answer
from martentide.net.links import Link, LinkEnded, Received, Stalled
from martentide.net.listeners import bind_socket
from martentide.net.memory_budget import SET_UP_OVERHEAD_BYTES, MemoryBudget

MAX_PENDING_RELEASES = 20_000  # releases kept for a calling host that has no connection
ACCEPT_BATCH = 32  # maximum number of connections accepted in one turn of the event loop
# A batch is at most the number of the callers' descriptors divided by this, because ``ClientConnections`` is
# notified of accepted connections only three turns of the event loop later.
ACCEPT_BATCH_DIVISOR = 12
CLOSED_PER_SHORTAGE = 4  # idle connections closed when the system has no descriptor left
MIN_CALLER_CONNECTIONS = 8  # minimum of descriptors for callers while a predecessor still holds connections
ACCEPT_GRACE = 0.1  # s for accepted connections to reach their calling host before the listener is closed
MOVE_TIMEOUT = 1.0  # s within which a connection must become ready to move to the successor
MOVE_POLL_INTERVAL = 0.005  # s between checks whether a connection is ready to move
LISTEN_BACKLOG = 1024  # connections that may wait in the kernel to be accepted
ITEMS_PER_TURN = 16  # items of one calling host handled before other tasks get their turn
BAD_SET_UP_LOG_INTERVAL = 1.0  # s between log lines about invalid set-ups of one calling host
INITIAL_WINDOW = 64  # open set-ups allowed on a connection, plus one for each of its calls that was answered
PENDING_RELEASE_EXPIRY = 30.0  # s that a pending release is kept


@dataclass(slots=True)
class CallRecord:
    """A call of this host: the connection on which its set-up arrived, and whether it has been answered.

    ``predecessor_owned``: the predecessor owns the call and is notified of its caller's messages about it.
    ``moved``: the caller's connection has moved to the successor, which forwards messages about the call.
    """

    link: Link | None
    stands: bool = False
    predecessor_owned: bool = False
    moved: bool = False
    size: int = 0  # bytes that its set-up holds while it is open


@dataclass(frozen=True, slots=True)
class Opened:
    """A caller's connection was accepted."""

    link: Link


@dataclass(frozen=True, slots=True)
class MessageToCaller:
    """An outgoing message for the caller of a call; ``stands`` if it is an answer, otherwise it is final.

    ``from_predecessor``: the message comes from the predecessor instead of this process's dispatcher.
    """

    LOG_NAME: ClassVar[str] = "Say"

    call: bytes
    message: bytes
    stands: bool = False
    from_predecessor: bool = False


@dataclass(frozen=True, slots=True)
class PendingReleaseExpired:
    """A pending release has expired undelivered."""

    LOG_NAME: ClassVar[str] = "NoLongerOwed"

    call: bytes


@dataclass(frozen=True, slots=True)
class MoveOut:
    """Move this host's calls and connections to the successor."""


@dataclass(frozen=True, slots=True)
class MoveLink:
    """Move one connection to the successor once it is ready; close it if it isn't by ``deadline``."""

    link: Link
    deadline: float  # loop time


@dataclass(frozen=True, slots=True)
class MoveIn:
    """Calls taken over from the predecessor, on a connection or on none, and its pending releases."""

    frame: MovedLink | MovedCalls
    link: Link | None


@dataclass(frozen=True, slots=True)
class CallerLeftAtSuccessor:
    """The successor reports that the caller gave up or released the call, or is gone."""

    LOG_NAME: ClassVar[str] = "LeftHere"

    call: bytes


@dataclass(frozen=True, slots=True)
class PredecessorGone:
    """The predecessor is gone; its unanswered calls fail, and its standing calls are forgotten."""

    LOG_NAME: ClassVar[str] = "Orphaned"


@dataclass(frozen=True, slots=True)
class SuccessorGone:
    """The successor is gone, and with it the connections that moved to it."""

    LOG_NAME: ClassVar[str] = "Deserted"


UpgradeItem = MoveOut | MoveLink | MoveIn | CallerLeftAtSuccessor | PredecessorGone | SuccessorGone
Item = Opened | Received | Stalled | LinkEnded | MessageToCaller | PendingReleaseExpired | UpgradeItem


class CallingHost:
    """The actor of one calling host; implements ``Caller``.

    ``notify_dispatcher`` posts to the dispatcher's mailbox; ``unregister`` removes the actor by its host.
    """

    def __init__(
        self,
        host: str,
        notify_dispatcher: Callable[[Offer | GiveUp | ReleaseIn], None],
        unregister: Callable[[str], None],
        client_connections: ClientConnections,
    ) -> None:
        self.host, self.notify_dispatcher, self.unregister, self.client_connections = (
            host,
            notify_dispatcher,
            unregister,
            client_connections,
        )
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.links: dict[Link, int] = {}  # value: number of calls set up on the connection that were answered
        self.records: dict[bytes, CallRecord] = {}
        self.bad_set_ups, self.bad_set_up_logged_at = 0, -math.inf  # since the last log line; its loop time
        self.predecessor_calls = 0  # number of records of calls that the predecessor owns
        self.pending_releases: dict[bytes, bytes] = {}  # release messages to write on the next connection
        self.task = self.loop.create_task(self._run(), name=f"calling host {host}")

    def post(self, item: Item) -> None:
        """Put an item into the actor's mailbox."""
        self.mailbox.put_nowait(item)

    async def _run(self) -> None:
        for handled in itertools.count(1):
            if handled % ITEMS_PER_TURN == 0:
                await asyncio.sleep(0)  # no client's volume may delay the others
            item = await self.mailbox.get()
            try:
                self._handle(item)
            except Exception:
                LOG.exception("internal-error", party=self.host, item=logged_name(item))
                if isinstance(item, Received):
                    item.link.close(CloseReason.INTERNAL)
            if isinstance(item, Received):
                item.link.message_processed()
            self.client_connections.set_has_calls(self.host, bool(self.records or self.pending_releases))
            self.client_connections.set_has_predecessor_calls(self.host, self.predecessor_calls > 0)
            if not (self.links or self.records or self.pending_releases) and self.mailbox.empty():
                # No state is left for the host; its next connection creates a new actor.
                self.unregister(self.host)
                return

    def _handle(self, item: Item) -> None:
        match item:
            case Received():
                self._received(item)
            case MessageToCaller():
                self._deliver(item)
            case Opened(link):
                self._opened(link)
            case Stalled(link):
                self.client_connections.close_if_stalled(link)
            case LinkEnded(link):
                self._link_ended(link)
            case PendingReleaseExpired(call):
                if self.pending_releases.pop(call, None) is not None:
                    log_event("release-not-delivered", party=self.host, call=call.hex())
            case _:
                self._handle_upgrade(item)

    def _handle_upgrade(self, item: UpgradeItem) -> None:
        match item:
            case MoveOut():
                self._move_out()
            case MoveLink():
                self._move_link(item)
            case MoveIn(frame, link):
                self._move_in(frame, link)
            case CallerLeftAtSuccessor(call):
                record = self._remove_record(call)
                if record is not None:
                    self.notify_dispatcher(ReleaseIn(call, self) if record.stands else GiveUp(call, self))
            case PredecessorGone():
                self._predecessor_gone()
            case SuccessorGone():
                self._successor_gone()

    def _add_record(self, call: bytes, record: CallRecord) -> None:
        self._remove_record(call)
        self.records[call] = record
        self.predecessor_calls += record.predecessor_owned

    def _remove_record(self, call: bytes) -> CallRecord | None:
        record = self.records.pop(call, None)
        if record is not None:
            self.predecessor_calls -= record.predecessor_owned
        return record

    # ---- connections ------------------------------------------------------------------------------------

    def add_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Add a connection that was just accepted."""
        port = (writer.get_extra_info("peername") or (self.host, 0))[1]
        link = Link(
            "caller",
            f"{self.host}:{port}",
            (reader, writer),
            self.post,
            self.client_connections.message_timeout,
            memory=self.client_connections.open_account(),
        )
        self.post(Opened(link))
        self.client_connections.add(link, self.host)

    def adopt_connection(
        self, frame: MovedLink, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Adopt a connection of the predecessor, with the part of a message that it had already read."""
        peer = f"{self.host}:{frame.port}"
        link = Link(
            "caller",
            peer,
            (reader, writer),
            self.post,
            self.client_connections.message_timeout,
            frame.begun,
            self.client_connections.open_account(),
        )
        self.post(MoveIn(frame, link))
        self.client_connections.add(link, self.host)

    def _opened(self, link: Link) -> None:
        self.links[link] = 0
        for release in self.pending_releases.values():
            link.write(release)
        self.pending_releases.clear()

    def _link_ended(self, link: Link) -> None:
        del self.links[link]
        self.client_connections.remove(link)
        for call, record in [(call, record) for call, record in self.records.items() if record.link is link]:
            if record.stands:
                record.link = None
            else:
                self._remove_record(call)
                self._notify_owner(call, record)

    # ---- messages from callers --------------------------------------------------------------------------

    def _received(self, item: Received) -> None:
        link, message = item.link, item.message
        if link.close_reason is CloseReason.DUPLICATE_ID:
            # What follows a set-up under an id in use is about that set-up, not about the other call.
            return
        match message.type:
            case Type.SET_UP:
                self._set_up(link, message, item.received_at)
            case Type.RELEASE:
                link.write(write_message(Type.RELEASE_ACK, message.call))
                record = self._remove_record(message.call)
                if record is None and self.client_connections.predecessor is not None:
                    # The call may stand at the predecessor.
                    self.client_connections.predecessor(Left(self.host, message.call))
                if record is not None:
                    self._uncount_standing(record)
                    self._notify_owner(message.call, record)
                    if not record.stands and record.link is not None:
                        self.client_connections.set_up_ended(record.link, answered=False, size=record.size)
                    elif record.stands:
                        self.client_connections.mark_answered(link)
            case Type.TEST:
                self.client_connections.mark_answered(link)
                passed = b"\x01" if self.client_connections.ready() else b"\0"
                link.write(write_message(Type.TEST_RESULT, message.call, {Code.CAUSE: passed}))

    def _set_up(self, link: Link, message: Message, received_at: float) -> None:
        known = self.records.get(message.call)
        if known is not None and known.link is not None and not known.link.alive and not known.stands:
            # The caller sent the set-up again because its connection was closed; the LinkEnded of that
            # connection still waits in the mailbox.
            self._notify_owner(message.call, known)
        elif known is not None:
            # With one id for two set-ups, their answers could not be distinguished.
            log_event("duplicate-call", party=self.host, call=message.call.hex())
            link.close(CloseReason.DUPLICATE_ID)
            return
        parts = message.parameters
        LOG.debug("set-up", party=self.host, call=message.call.hex(), parameters=parts)
        time_left = parts.get(Code.TIME_LEFT, b"").decode("ascii", "replace")
        CALL_TRACE.step(message.call, CallStep.RECEIVED, peer=link.peer, at=received_at, time_left=time_left)
        try:
            if not any(message.call):
                # Servers reject an all-zero id by closing the connection, with all other set-ups on it.
                raise CodecError("call id is all zeros")
            offer = Offer(
                caller=self,
                call=message.call,
                call_class=parts[Code.CLASS],
                number=parts[Code.NUMBER],
                description=parts[Code.DESCRIPTION],
                time_left=read_milliseconds(message.text(Code.TIME_LEFT)),
                first_choice=read_first_choice(message.text(Code.FIGURES) or ""),
                received_at=received_at,
                client=link,
            )
        except (KeyError, CodecError) as error:
            # The message is well framed, so the connection stays open; only this call is rejected.
            self._log_bad_set_up(message.call, str(error))
            link.write(write_release(message.call, Cause.INVALID_CONTENTS))
            return
        if time_for_answer(offer.time_left) <= 0.0:
            # Refuse here: the time left would expire while the call passes through the mailboxes.
            CALL_TRACE.step(message.call, CallStep.WRITTEN, stands=False, peer=link.peer)
            link.write(write_release(message.call, Cause.CONGESTION))
            return
        if self.client_connections.open_set_ups.get(link, 0) >= INITIAL_WINDOW + self.links[link]:
            # Prevents a new connection from opening hundreds of set-ups at once: the window grows with the
            # number of calls that were answered on it.
            link.write(write_release(message.call, Cause.CONGESTION))
            return
        size = SET_UP_OVERHEAD_BYTES + sum(map(len, parts.values()))
        if not self.client_connections.has_memory_for(link, size):
            link.write(write_release(message.call, Cause.CONGESTION))
            return
        self._add_record(message.call, CallRecord(link, size=size))
        self.client_connections.set_up_opened(link, size)
        self.notify_dispatcher(offer)

    def _log_bad_set_up(self, call: bytes, detail: str) -> None:
        """Log an invalid set-up; after a line, further ones are only counted for a while."""
        self.bad_set_ups += 1
        now = self.loop.time()
        if now - self.bad_set_up_logged_at < BAD_SET_UP_LOG_INTERVAL:
            return
        log_event("bad-set-up", party=self.host, call=call.hex(), detail=repr(detail), times=self.bad_set_ups)
        self.bad_set_up_logged_at, self.bad_set_ups = now, 0

    def _notify_owner(self, call: bytes, record: CallRecord) -> None:
        """Notify the owner of the call, dispatcher or predecessor, that the caller gave it up or ended it."""
        CALL_TRACE.step(call, CallStep.CALLER_LEFT, stands=record.stands, foreign=record.predecessor_owned)
        if not record.predecessor_owned:
            self.notify_dispatcher(ReleaseIn(call, self) if record.stands else GiveUp(call, self))
        elif self.client_connections.predecessor is not None:
            self.client_connections.predecessor(Left(self.host, call))

    def _uncount_standing(self, record: CallRecord) -> None:
        if record.stands and record.link is not None:
            self.client_connections.change_standing(record.link, -1)

    # ---- messages from the dispatcher -------------------------------------------------------------------

    def answer(self, call: bytes, description: bytes) -> None:
        """Send the answer with the server's description: the call stands."""
        message = write_message(Type.ANSWER, call, {Code.DESCRIPTION: description})
        self.post(MessageToCaller(call, message, stands=True))

    def refuse(self, call: bytes, hold_off: float) -> None:
        """Refuse the call with cause congestion; the caller should wait ``hold_off`` ms before a redial."""
        self.post(MessageToCaller(call, write_release(call, Cause.CONGESTION, hold_off)))

    def fail(self, call: bytes) -> None:
        """Fail the call with cause resource unavailable."""
        self.post(MessageToCaller(call, write_release(call, Cause.RESOURCE_UNAVAILABLE)))

    def release(self, call: bytes, cut: bool) -> None:
        """Release a standing call; ``cut``: it was lost with its server instead of ended normally."""
        self.post(
            MessageToCaller(call, write_release(call, Cause.TEMPORARY_FAILURE if cut else Cause.NORMAL))
        )

    def _deliver(self, item: MessageToCaller) -> None:
        record = self.records.get(item.call)
        if record is None and item.from_predecessor and not item.stands:
            # The caller reconnected after the connection of its call had closed.
            record = CallRecord(None, stands=True, predecessor_owned=True)
            self._add_record(item.call, record)
        if record is None:
            return  # the caller has left, and the dispatcher has been notified or is about to be
        if record.moved and self.client_connections.successor is not None:
            CALL_TRACE.step(item.call, CallStep.PASSED_ON, stands=item.stands)
            self.client_connections.successor(Said(self.host, item.call, item.message, item.stands), None)
            record.stands = item.stands
            if not item.stands:
                self._remove_record(item.call)
            return
        link = record.link if record.link is not None and record.link.alive else None
        if item.stands and link is None:
            # The connection closed while the answer was in the mailbox: without a caller the call must not
            # stand.
            CALL_TRACE.step(item.call, CallStep.NO_CONNECTION, stands=item.stands)
            self._remove_record(item.call)
            self._notify_owner(item.call, record)
            return
        if not record.stands and record.link is not None:
            self.client_connections.set_up_ended(record.link, answered=True, size=record.size)
        if item.stands and link is not None:
            record.stands = True
            self.links[link] += 1
            self.client_connections.change_standing(link, 1)
        else:
            self._remove_record(item.call)
            self._uncount_standing(record)
        if link is None and record.stands and not item.stands:
            link = next((link for link in reversed(self.links) if link.alive), None)
        step = CallStep.NO_CONNECTION if link is None else CallStep.WRITTEN
        CALL_TRACE.step(item.call, step, stands=item.stands, peer="none" if link is None else link.peer)
        if link is not None:
            link.write(item.message)
        elif (
            record.stands
            and not item.stands
            and self.client_connections.successor is not None
            and not record.predecessor_owned
        ):
            # The caller may reconnect at the successor.
            self.client_connections.successor(Said(self.host, item.call, item.message, False), None)
        elif record.stands and not item.stands:
            self._keep_release(item.call, item.message)

    def _keep_release(self, call: bytes, message: bytes) -> None:
        if len(self.pending_releases) < MAX_PENDING_RELEASES:
            self.pending_releases[call] = message
            self.loop.call_later(PENDING_RELEASE_EXPIRY, self.post, PendingReleaseExpired(call))

    # ---- upgrade ----------------------------------------------------------------------------------------

    def _move_out(self) -> None:
        """Move the host to the successor: calls without a connection at once, then connections."""
        if self.client_connections.successor is None:
            return
        unconnected = {call: record for call, record in self.records.items() if record.link is None}
        standing = [call for call, record in unconnected.items() if record.stands and not record.moved]
        pending = list(self.pending_releases.items())
        self.pending_releases.clear()
        for start in range(0, max(len(standing), len(pending)), MAX_CALLS_PER_FRAME):
            part = slice(start, start + MAX_CALLS_PER_FRAME)
            self.client_connections.successor(
                MovedCalls(self.host, tuple(standing[part]), tuple(pending[part])), None
            )
        for call in standing:
            self.records[call].moved = True
        deadline = self.loop.time() + MOVE_TIMEOUT
        for link in list(self.links):
            self._move_link(MoveLink(link, deadline))

    def _move_link(self, item: MoveLink) -> None:
        link = item.link
        send = self.client_connections.successor
        if send is None or link not in self.links or not link.alive:
            return
        link.pause()
        if not link.movable:
            # Messages that were read must be processed here first. A connection whose peer doesn't read can't
            # be moved, because its unsent bytes are buffered in this process.
            if self.loop.time() < item.deadline:
                self.loop.call_later(MOVE_POLL_INTERVAL, self.post, item)
            else:
                link.close(CloseReason.BLOCKED)
            return
        records = {call: record for call, record in self.records.items() if record.link is link}
        calls = [
            [call for call, record in records.items() if record.stands is stands] for stands in (False, True)
        ]
        frame = MovedLink(
            host=self.host,
            port=int(link.peer.rpartition(":")[2]),
            begun=bytes(link.partial_message),
            mute=link in self.client_connections.mute,
            stood=self.links[link],
            open=tuple(calls[0]),
            standing=tuple(calls[1][:MAX_CALLS_PER_FRAME]),
        )
        send(frame, link.descriptor)
        for start in range(MAX_CALLS_PER_FRAME, len(calls[1]), MAX_CALLS_PER_FRAME):
            send(MovedCalls(self.host, tuple(calls[1][start : start + MAX_CALLS_PER_FRAME]), ()), None)
        for call, record in records.items():
            CALL_TRACE.step(call, CallStep.MOVED_OUT, stands=record.stands, peer=link.peer)
            record.link, record.moved = None, True
        link.hand_over()

    def _move_in(self, frame: MovedLink | MovedCalls, link: Link | None) -> None:
        """Take over the host's state from the predecessor, which still owns the calls."""
        for call in frame.standing:
            self._add_record(call, CallRecord(link, stands=True, predecessor_owned=True))
        if isinstance(frame, MovedCalls):
            for call, message in frame.owed:
                if (alive := next((one for one in reversed(self.links) if one.alive), None)) is not None:
                    alive.write(message)
                else:
                    self._keep_release(call, message)
            return
        assert link is not None
        self.links[link] = frame.stood
        for call in frame.open:
            CALL_TRACE.step(call, CallStep.MOVED_IN, peer=link.peer)
            self._add_record(call, CallRecord(link, predecessor_owned=True))
            self.client_connections.set_up_opened(link)
        self.client_connections.change_standing(link, len(frame.standing))
        if not frame.mute:
            self.client_connections.mark_answered(link)

    def _successor_gone(self) -> None:
        """Keep moved standing calls, without a connection until their callers reconnect; give up others."""
        for call, record in [(call, record) for call, record in self.records.items() if record.moved]:
            record.moved = False
            if not record.stands:
                self._remove_record(call)
                self._notify_owner(call, record)

    def _predecessor_gone(self) -> None:
        """Fail the predecessor's unanswered calls, which nobody else would answer; forget standing ones."""
        for call, record in [
            (call, record) for call, record in self.records.items() if record.predecessor_owned
        ]:
            if record.stands:
                self._remove_record(call)
                self._uncount_standing(record)
            else:
                self._deliver(
                    MessageToCaller(
                        call, write_release(call, Cause.RESOURCE_UNAVAILABLE), from_predecessor=True
                    )
                )


def read_milliseconds(text: str | None) -> float:
    """Parse a time in ms of at most 9 digits; raises CodecError."""
    if text is None or not text.isdecimal() or len(text) > 9:
        raise CodecError(f"time left is not a number of ms with at most 9 digits: {text!r}")
    return float(text)


class Callers:
    """The callers' listener and the actors of all calling hosts; passes each connection to its host's actor.

    ``max_connections`` is the number of descriptors that callers may use, ``memory`` the bytes that their
    connections may hold together.
    """

    def __init__(
        self,
        max_connections: int,
        notify_dispatcher: Callable[[Offer | GiveUp | ReleaseIn], None],
        memory: MemoryBudget,
    ) -> None:
        self.client_connections, self.notify_dispatcher, self.max_connections = (
            ClientConnections(max_connections, memory),
            notify_dispatcher,
            max_connections,
        )
        self.calling_hosts: dict[str, CallingHost] = {}
        self.socket: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.moving = False  # whether all calling hosts are moving to the successor

    def bind(self, address: Address, shared: bool = False) -> None:
        """Bind the listening socket; ``shared``: a second process may bind the same address beside it."""
        self.socket = bind_socket(address, shared)

    async def accept(self) -> None:
        """Accept connections on the socket that was bound or taken over."""
        if self.socket is None or self.server is not None:
            return
        # asyncio accepts up to ``backlog`` connections in one turn. The limit keeps a flood from using up all
        # descriptors before ``ClientConnections`` can close any. The kernel's queue is made long again below.
        # The server gets a duplicate descriptor, so that it can be closed and another one started later on
        # the same queue.
        self.server = await asyncio.start_server(
            self._accept,
            sock=self.socket.dup(),
            backlog=max(1, min(ACCEPT_BATCH, self.max_connections // ACCEPT_BATCH_DIVISOR)),
            limit=MAX_MESSAGE_BYTES,
        )
        self.socket.listen(LISTEN_BACKLOG)

    def addresses(self) -> list[tuple[str, int]]:
        """Return the host and port of the listening socket; empty if there is none."""
        return [self.socket.getsockname()[:2]] if self.socket is not None else []

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host = (writer.get_extra_info("peername") or ("unknown", 0))[0]
        calling_host = self._calling_host(host)
        calling_host.add_connection(reader, writer)
        if self.moving:
            calling_host.post(MoveOut())

    def make_room(self) -> int:
        """Close a few of the idle connections that cost least to lose; return how many were closed."""
        return self.client_connections.close_idle(CLOSED_PER_SHORTAGE)

    def _calling_host(self, host: str) -> CallingHost:
        if host not in self.calling_hosts:
            self.calling_hosts[host] = CallingHost(
                host, self.notify_dispatcher, self.calling_hosts.__delitem__, self.client_connections
            )
        return self.calling_hosts[host]

    def pause(self) -> None:
        """Stop accepting; new connections wait in the queue of the socket, which is kept.

        The server is closed only after ``ACCEPT_GRACE``: asyncio creates the transport of an accepted
        connection one turn later, and would reset the connection if the server were closed by then.
        """
        if self.server is not None:
            loop = asyncio.get_running_loop()
            for sock in self.server.sockets:
                loop.remove_reader(sock.fileno())
            loop.call_later(ACCEPT_GRACE, self.server.close)
            self.server = None

    def close(self) -> None:
        """Stop accepting and close the socket, which stays open in a successor that has it too."""
        self.pause()
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    # ---- upgrade ----------------------------------------------------------------------------------------

    async def predecessor_calls_ended(self) -> None:
        """Wait until this process no longer passes messages on to the callers of the predecessor's calls."""
        await self.client_connections.no_predecessor_calls.wait()

    def move_out(self) -> None:
        """Move all calling hosts to the successor; each connection becomes a MovedLink once ready."""
        self.moving = True
        for calling_host in list(self.calling_hosts.values()):
            calling_host.post(MoveOut())

    async def move_in(self, frame: MovedLink | MovedCalls, descriptor: int | None) -> None:
        """Take over connections and calls from the predecessor; ``descriptor`` comes with a MovedLink."""
        if isinstance(frame, MovedCalls):
            self._calling_host(frame.host).post(MoveIn(frame, None))
            return
        if descriptor is None:
            return
        self.client_connections.max_connections = min(
            self.max_connections, self.client_connections.max_connections + 1
        )
        reader, writer = await asyncio.open_connection(
            sock=socket.socket(fileno=descriptor), limit=MAX_MESSAGE_BYTES
        )
        self._calling_host(frame.host).adopt_connection(frame, reader, writer)

    def deliver_from_predecessor(self, frame: Said) -> None:
        """Deliver a message from the predecessor to a caller."""
        if frame.host in self.calling_hosts or not frame.stands:
            item = MessageToCaller(frame.call, frame.message, frame.stands, from_predecessor=True)
            self._calling_host(frame.host).post(item)
        elif self.client_connections.predecessor is not None:
            self.client_connections.predecessor(Left(frame.host, frame.call))

    def caller_left(self, frame: Left) -> None:
        """Handle the successor's report that a caller gave up or released a call of this process."""
        if frame.host in self.calling_hosts:
            self.calling_hosts[frame.host].post(CallerLeftAtSuccessor(frame.call))

    def share_with_predecessor(self, predecessor: Callable[[Left], None], links: int) -> None:
        """Register a predecessor with ``links`` connections: both processes share one descriptor budget."""
        self.client_connections.predecessor, self.client_connections.max_connections = (
            predecessor,
            max(MIN_CALLER_CONNECTIONS, self.max_connections - links),
        )

    def hand_over_accepting(self, successor: SendFrame) -> None:
        """Stop accepting, because ``successor`` accepts from now on."""
        self.pause()
        self.client_connections.successor = successor

    def successor_gone(self) -> None:
        """Handle the loss of the successor and of the connections that moved to it."""
        self.client_connections.successor, self.moving = None, False
        for calling_host in list(self.calling_hosts.values()):
            calling_host.post(SuccessorGone())

    def predecessor_gone(self) -> None:
        """Handle the loss of the predecessor: fail its unanswered calls, use the whole descriptor budget."""
        self.client_connections.predecessor, self.client_connections.max_connections = (
            None,
            self.max_connections,
        )
        for calling_host in list(self.calling_hosts.values()):
            calling_host.post(PredecessorGone())
