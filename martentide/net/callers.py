"""The front for today's protocol: the listener, and one actor for each party that calls.

A party is a machine that callers' connections come from. A call that stands belongs to the party, not to one
of its connections. The actor hears its links and the dispatcher through its mailbox.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from martentide.codec import CodecError
from martentide.codec.figures import read_first_choice
from martentide.codec.messages import MOST_BYTES, Cause, Code, Message, Type, write_message, write_release
from martentide.handover.wire import MOST_RECORDS, Left, MovedCalls, MovedLink, Said
from martentide.net.call_trace import CALL_TRACE, CallStep
from martentide.net.client_connections import ClientConnections, SendFrame
from martentide.net.close_reason import LOG, CloseReason, log_event
from martentide.net.config import Address
from martentide.net.dispatcher import GiveUp, Offer, ReleaseIn, time_for_answer
from martentide.net.links import Link, LinkEnded, Received
from martentide.net.listeners import bound

MAX_PENDING_RELEASES = 20_000  # releases kept for a party without a connection
ACCEPT_BATCH = 32  # connections that are accepted before the client connections look at them, at most
# And at most one in so many of the callers' descriptors: the client connections hear of them three turns
# later.
ACCEPT_BATCH_DIVISOR = 12
CLOSED_PER_SHORTAGE = 4  # idle connections that are closed when the system has no descriptor left
MIN_CALLER_CONNECTIONS = 8  # descriptors that callers have at least, beside a predecessor's connections
ACCEPT_GRACE = 0.1  # s for what was accepted to reach its party, before the listener is closed
MOVE_TIMEOUT = 1.0  # s in which a link must be ready to go to the successor
MOVE_POLL_INTERVAL = 0.005  # s until the next look at one that is not
LISTEN_BACKLOG = 1024  # connections that wait in the system to be accepted
INITIAL_WINDOW = 64  # set-ups that may be open on a link, besides one for each that has stood
PENDING_RELEASE_EXPIRY = 30.0  # s such a release is kept


@dataclass(slots=True)
class CallRecord:
    """A call of this party: the link its set-up came on, and whether it has been answered.

    ``foreign``: it is the predecessor's, which hears what its caller says of it. ``moved``: its caller's
    connection is the successor's by now, which passes on what is said of it.
    """

    link: Link | None
    stands: bool = False
    predecessor_owned: bool = False
    moved: bool = False


@dataclass(frozen=True, slots=True)
class Opened:
    link: Link


@dataclass(frozen=True, slots=True)
class Say:
    """What the dispatcher tells about a call: ``message`` for the caller, ``stands`` if it is an answer.

    ``foreign``: the predecessor says so.
    """

    call: bytes
    message: bytes
    stands: bool = False
    from_predecessor: bool = False


@dataclass(frozen=True, slots=True)
class NoLongerOwed:
    call: bytes


@dataclass(frozen=True, slots=True)
class MoveOut:
    """The successor takes this party over."""


@dataclass(frozen=True, slots=True)
class MoveLink:
    link: Link
    deadline: float  # loop time


@dataclass(frozen=True, slots=True)
class MoveIn:
    """Calls of the predecessor: on a link that it handed over, or on none; releases that it owed."""

    frame: MovedLink | MovedCalls
    link: Link | None


@dataclass(frozen=True, slots=True)
class LeftHere:
    """The successor tells that the caller gave up or ended the call, or is gone."""

    call: bytes


@dataclass(frozen=True, slots=True)
class Orphaned:
    """The predecessor is gone; its calls that had no answer fail, and nothing more is known of the others."""


@dataclass(frozen=True, slots=True)
class Deserted:
    """The successor is gone, and with it the connections that it had taken over."""


Item = (
    Opened
    | Received
    | LinkEnded
    | Say
    | NoLongerOwed
    | MoveOut
    | MoveLink
    | MoveIn
    | LeftHere
    | Orphaned
    | Deserted
)


class CallingHost:
    """The actor of one calling party; ``tell`` is the dispatcher's mailbox."""

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
        self.links: dict[Link, int] = {}  # and how many calls stood that came on it
        self.records: dict[bytes, CallRecord] = {}
        self.pending_releases: dict[bytes, bytes] = {}
        self.task = self.loop.create_task(self._run(), name=f"party {host}")

    def post(self, item: Item) -> None:
        self.mailbox.put_nowait(item)

    async def _run(self) -> None:
        while True:
            item = await self.mailbox.get()
            try:
                self._handle(item)
            except Exception:
                LOG.exception("internal-error", party=self.host, item=type(item).__name__)
                if isinstance(item, Received):
                    item.link.close(CloseReason.INTERNAL)
            if isinstance(item, Received):
                item.link.message_processed()
            self.client_connections.set_has_calls(self.host, bool(self.records or self.pending_releases))
            if not (self.links or self.records or self.pending_releases) and self.mailbox.empty():
                self.unregister(
                    self.host
                )  # nothing is known of the party any more: its next connection starts anew
                return

    def _handle(self, item: Item) -> None:
        match item:
            case Received():
                self._received(item)
            case Say():
                self._deliver(item)
            case Opened(link):
                self._opened(link)
            case LinkEnded(link):
                self._link_ended(link)
            case MoveOut():
                self._move_out()
            case MoveLink():
                self._move_link(item)
            case MoveIn(frame, link):
                self._move_in(frame, link)
            case LeftHere(call):
                record = self.records.pop(call, None)
                if record is not None:
                    self.notify_dispatcher(ReleaseIn(call) if record.stands else GiveUp(call))
            case Orphaned():
                self._predecessor_gone()
            case Deserted():
                self._successor_gone()
            case NoLongerOwed(call):
                if self.pending_releases.pop(call, None) is not None:
                    log_event("release-not-delivered", party=self.host, call=call.hex())

    # ---- links ------------------------------------------------------------------------------------------

    def add_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = (writer.get_extra_info("peername") or (self.host, 0))[1]
        link = Link(
            "caller",
            f"{self.host}:{port}",
            (reader, writer),
            self.post,
            self.client_connections.message_timeout,
        )
        self.post(Opened(link))
        self.client_connections.add(link, self.host)

    def adopt_connection(
        self, frame: MovedLink, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """A link of the predecessor's, with what it had read of a message."""
        peer = f"{self.host}:{frame.port}"
        link = Link(
            "caller", peer, (reader, writer), self.post, self.client_connections.message_timeout, frame.begun
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
                del self.records[call]
                self._notify_owner(call, record)

    # ---- what callers say -------------------------------------------------------------------------------

    def _received(self, item: Received) -> None:
        link, message = item.link, item.message
        match message.type:
            case Type.SET_UP:
                self._set_up(link, message, item.at)
            case Type.RELEASE:
                link.write(write_message(Type.RELEASE_HEARD, message.call))
                record = self.records.pop(message.call, None)
                if record is None and self.client_connections.predecessor is not None:
                    self.client_connections.predecessor(Left(self.host, message.call))  # it may stand there
                if record is not None:
                    self._uncount_standing(record)
                    self._notify_owner(message.call, record)
                    if not record.stands and record.link is not None:
                        self.client_connections.set_up_ended(record.link, answered=False)
                    elif record.stands:
                        self.client_connections.mark_answered(link)
            case Type.TEST:
                self.client_connections.mark_answered(link)
                passed = b"\x01" if self.client_connections.ready() else b"\0"
                link.write(write_message(Type.TEST_RESULT, message.call, {Code.CAUSE: passed}))

    def _set_up(self, link: Link, message: Message, at: float) -> None:
        known = self.records.get(message.call)
        if known is not None and known.link is not None and not known.link.alive and not known.stands:
            # Sent once more, since its connection was closed as it came: that end is yet to be taken here.
            self._notify_owner(message.call, known)
        elif known is not None:
            # Guards against one answer for two set-ups, or two for one: which is whose could not be told.
            log_event("duplicate-call", party=self.host, call=message.call.hex())
            link.close(CloseReason.DUPLICATE_ID)
            return
        parts = message.parameters
        LOG.debug("set-up", party=self.host, call=message.call.hex(), parameters=parts)
        time_left = parts.get(Code.TIME_LEFT, b"").decode("ascii", "replace")
        CALL_TRACE.step(message.call, CallStep.RECEIVED, peer=link.peer, at=at, time_left=time_left)
        try:
            if not any(message.call):
                raise CodecError("no id")  # servers can't read it and close, whatever else is open there
            offer = Offer(
                caller=self,
                call=message.call,
                call_class=parts[Code.CLASS],
                number=parts[Code.NUMBER],
                description=parts[Code.DESCRIPTION],
                time_left=read_milliseconds(message.text(Code.TIME_LEFT)),
                first_choice=read_first_choice(message.text(Code.FIGURES) or ""),
                at=at,
                client=link,
            )
        except (KeyError, CodecError) as error:
            # The message is whole, so the connection stays; the call can't be set up and gets its answer.
            log_event("bad-set-up", party=self.host, call=message.call.hex(), detail=repr(str(error)))
            link.write(write_release(message.call, Cause.INVALID_CONTENTS))
            return
        if time_for_answer(offer.time_left) <= 0.0:
            # At once: on its way through the mailboxes its time would be over.
            CALL_TRACE.step(message.call, CallStep.WRITTEN, stands=False, peer=link.peer)
            link.write(write_release(message.call, Cause.CONGESTION))
            return
        if self.client_connections.open.get(link, 0) >= INITIAL_WINDOW + self.links[link]:
            # Guards against hundreds of set-ups at once from one that has brought none that stood: a caller's
            # window grows with what it has set up.
            link.write(write_release(message.call, Cause.CONGESTION))
            return
        self.records[message.call] = CallRecord(link)
        self.client_connections.set_up_opened(link)
        self.notify_dispatcher(offer)

    def _notify_owner(self, call: bytes, record: CallRecord) -> None:
        """The caller gave the call up, or ended it: its owner hears of it."""
        CALL_TRACE.step(call, CallStep.CALLER_LEFT, stands=record.stands, foreign=record.predecessor_owned)
        if not record.predecessor_owned:
            self.notify_dispatcher(ReleaseIn(call) if record.stands else GiveUp(call))
        elif self.client_connections.predecessor is not None:
            self.client_connections.predecessor(Left(self.host, call))

    def _uncount_standing(self, record: CallRecord) -> None:
        if record.stands and record.link is not None:
            self.client_connections.change_standing(record.link, -1)

    # ---- what the dispatcher says -----------------------------------------------------------------------

    def answer(self, call: bytes, description: bytes) -> None:
        message = write_message(Type.ANSWER, call, {Code.DESCRIPTION: description})
        self.post(Say(call, message, stands=True))

    def refuse(self, call: bytes, hold_off: float) -> None:
        self.post(Say(call, write_release(call, Cause.CONGESTION, hold_off)))

    def fail(self, call: bytes) -> None:
        self.post(Say(call, write_release(call, Cause.RESOURCE_UNAVAILABLE)))

    def release(self, call: bytes, cut: bool) -> None:
        self.post(Say(call, write_release(call, Cause.TEMPORARY_FAILURE if cut else Cause.NORMAL)))

    def _deliver(self, item: Say) -> None:
        record = self.records.get(item.call)
        if record is None and item.from_predecessor and not item.stands:
            record = CallRecord(
                None, stands=True, predecessor_owned=True
            )  # its caller came back after its link had ended
            self.records[item.call] = record
        if record is None:
            return  # the caller has left; the dispatcher is being told
        if record.moved and self.client_connections.successor is not None:
            CALL_TRACE.step(item.call, CallStep.PASSED_ON, stands=item.stands)
            self.client_connections.successor(Said(self.host, item.call, item.message, item.stands), None)
            record.stands = item.stands
            if not item.stands:
                del self.records[item.call]
            return
        link = record.link if record.link is not None and record.link.alive else None
        if item.stands and link is None:
            # Guards against a call that stands for nobody: its link ended as the answer was on its way.
            CALL_TRACE.step(item.call, CallStep.NO_CONNECTION, stands=item.stands)
            del self.records[item.call]
            self._notify_owner(item.call, record)
            return
        if not record.stands and record.link is not None:
            self.client_connections.set_up_ended(record.link, answered=True)
        if item.stands and link is not None:
            record.stands = True
            self.links[link] += 1
            self.client_connections.change_standing(link, 1)
        else:
            del self.records[item.call]
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
            self.client_connections.successor(
                Said(self.host, item.call, item.message, False), None
            )  # it may come there
        elif record.stands and not item.stands:
            self._keep_release(item.call, item.message)

    def _keep_release(self, call: bytes, message: bytes) -> None:
        if len(self.pending_releases) < MAX_PENDING_RELEASES:
            self.pending_releases[call] = message
            self.loop.call_later(PENDING_RELEASE_EXPIRY, self.post, NoLongerOwed(call))

    # ---- upgrade ----------------------------------------------------------------------------------------

    def _move_out(self) -> None:
        """Hand the party over: first what belongs to no link, then each link as soon as it can go."""
        if self.client_connections.successor is None:
            return
        linkless = {call: record for call, record in self.records.items() if record.link is None}
        standing = [call for call, record in linkless.items() if record.stands and not record.moved]
        owed = list(self.pending_releases.items())
        self.pending_releases.clear()
        for at in range(0, max(len(standing), len(owed)), MOST_RECORDS):
            part = slice(at, at + MOST_RECORDS)
            self.client_connections.successor(
                MovedCalls(self.host, tuple(standing[part]), tuple(owed[part])), None
            )
        for call in standing:
            self.records[call].moved = True
        until = self.loop.time() + MOVE_TIMEOUT
        for link in list(self.links):
            self._move_link(MoveLink(link, until))

    def _move_link(self, item: MoveLink) -> None:
        link = item.link
        send = self.client_connections.successor
        if send is None or link not in self.links or not link.alive:
            return
        link.pause()
        if not link.movable:
            # Messages that were read are taken here first; a peer that takes no bytes can't go along.
            if self.loop.time() < item.deadline:
                self.loop.call_later(MOVE_POLL_INTERVAL, self.post, item)
            else:
                link.close(CloseReason.BLOCKED)
            return
        records = {call: record for call, record in self.records.items() if record.link is link}
        calls = [[call for call, one in records.items() if one.stands is stands] for stands in (False, True)]
        frame = MovedLink(
            host=self.host,
            port=int(link.peer.rpartition(":")[2]),
            begun=bytes(link.partial_message),
            mute=link in self.client_connections.mute,
            stood=self.links[link],
            open=tuple(calls[0]),
            standing=tuple(calls[1][:MOST_RECORDS]),
        )
        send(frame, link.descriptor)
        for at in range(MOST_RECORDS, len(calls[1]), MOST_RECORDS):
            send(MovedCalls(self.host, tuple(calls[1][at : at + MOST_RECORDS]), ()), None)
        for call, record in records.items():
            CALL_TRACE.step(call, CallStep.MOVED_OUT, stands=record.stands, peer=link.peer)
            record.link, record.moved = None, True
        link.hand_over()

    def _move_in(self, frame: MovedLink | MovedCalls, link: Link | None) -> None:
        """Take over what the predecessor handed over; its calls stay its own."""
        for call in frame.standing:
            self.records[call] = CallRecord(link, stands=True, predecessor_owned=True)
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
            self.records[call] = CallRecord(link, predecessor_owned=True)
            self.client_connections.set_up_opened(link)
        self.client_connections.change_standing(link, len(frame.standing))
        if not frame.mute:
            self.client_connections.mark_answered(link)

    def _successor_gone(self) -> None:
        """Calls that stand have no connection until their callers come back; the others are given up."""
        for call, record in [(call, record) for call, record in self.records.items() if record.moved]:
            record.moved = False
            if not record.stands:
                del self.records[call]
                self._notify_owner(call, record)

    def _predecessor_gone(self) -> None:
        """Guards against calls that nobody answers, once the process that had them is gone."""
        for call, record in [
            (call, record) for call, record in self.records.items() if record.predecessor_owned
        ]:
            if record.stands:
                del self.records[call]
                self._uncount_standing(record)
            else:
                self._deliver(
                    Say(call, write_release(call, Cause.RESOURCE_UNAVAILABLE), from_predecessor=True)
                )


def read_milliseconds(text: str | None) -> float:
    if text is None or not text.isdecimal() or len(text) > 9:
        raise CodecError(f"time left: {text!r}")
    return float(text)


class Callers:
    """The listener: hands each connection to its party's actor."""

    def __init__(
        self, max_connections: int, notify_dispatcher: Callable[[Offer | GiveUp | ReleaseIn], None]
    ) -> None:
        self.client_connections, self.notify_dispatcher, self.max_connections = (
            ClientConnections(max_connections),
            notify_dispatcher,
            max_connections,
        )
        self.calling_hosts: dict[str, CallingHost] = {}
        self.socket: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.moving = False  # whether all parties go to the successor

    def bind(self, address: Address, shared: bool = False) -> None:
        """Bind the listening socket; ``shared``: a second process may bind the same address beside it."""
        self.socket = bound(address, shared)

    async def accept(self) -> None:
        """Accept on the socket that was bound, or taken over."""
        if self.socket is None or self.server is not None:
            return
        # So many are accepted at a time, whatever waits: a flood must not use up the descriptors before the
        # client connections have closed any. Then the queue of those that wait is made long again. The server
        # gets a descriptor of its own, so that it can be ended and another begun on the same queue.
        self.server = await asyncio.start_server(
            self._accept,
            sock=self.socket.dup(),
            backlog=max(1, min(ACCEPT_BATCH, self.max_connections // ACCEPT_BATCH_DIVISOR)),
            limit=MOST_BYTES,
        )
        self.socket.listen(LISTEN_BACKLOG)

    def addresses(self) -> list[tuple[str, int]]:
        return [self.socket.getsockname()[:2]] if self.socket is not None else []

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host = (writer.get_extra_info("peername") or ("unknown", 0))[0]
        party = self._calling_host(host)
        party.add_connection(reader, writer)
        if self.moving:
            party.post(MoveOut())

    def make_room(self) -> int:
        """Close a few connections that are cheapest to lose; how many were."""
        return self.client_connections.close_idle(CLOSED_PER_SHORTAGE)

    def _calling_host(self, host: str) -> CallingHost:
        if host not in self.calling_hosts:
            self.calling_hosts[host] = CallingHost(
                host, self.notify_dispatcher, self.calling_hosts.__delitem__, self.client_connections
            )
        return self.calling_hosts[host]

    def pause(self) -> None:
        """Accept no more; who connects waits in the queue of the socket, which is kept.

        Guards against the reset of a connection that was accepted in this very turn: asyncio makes its
        transport a turn later, and can't once the server is closed.
        """
        if self.server is not None:
            loop = asyncio.get_running_loop()
            for sock in self.server.sockets:
                loop.remove_reader(sock.fileno())
            loop.call_later(ACCEPT_GRACE, self.server.close)
            self.server = None

    def close(self) -> None:
        """Accept no more, and leave the socket (to the successor, if it has it too)."""
        self.pause()
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    # ---- upgrade ----------------------------------------------------------------------------------------

    def move_out(self) -> None:
        """Hand all parties over; MovedLink comes for each link as soon as it can go."""
        self.moving = True
        for party in list(self.calling_hosts.values()):
            party.post(MoveOut())

    async def move_in(self, frame: MovedLink | MovedCalls, descriptor: int | None) -> None:
        """Take up what the predecessor handed over."""
        if isinstance(frame, MovedCalls):
            self._calling_host(frame.host).post(MoveIn(frame, None))
            return
        if descriptor is None:
            return
        self.client_connections.max_connections = min(
            self.max_connections, self.client_connections.max_connections + 1
        )
        reader, writer = await asyncio.open_connection(
            sock=socket.socket(fileno=descriptor), limit=MOST_BYTES
        )
        self._calling_host(frame.host).adopt_connection(frame, reader, writer)

    def said(self, frame: Said) -> None:
        """The predecessor has something to say to a caller."""
        if frame.host in self.calling_hosts or not frame.stands:
            say = Say(frame.call, frame.message, frame.stands, from_predecessor=True)
            self._calling_host(frame.host).post(say)
        elif self.client_connections.predecessor is not None:
            self.client_connections.predecessor(Left(frame.host, frame.call))

    def left(self, frame: Left) -> None:
        """The successor tells what a caller said of a call of this process."""
        if frame.host in self.calling_hosts:
            self.calling_hosts[frame.host].post(LeftHere(frame.call))

    def beside(self, predecessor: Callable[[Left], None], links: int) -> None:
        """A predecessor is there, with so many links: both together have one budget of descriptors."""
        self.client_connections.predecessor, self.client_connections.max_connections = (
            predecessor,
            max(MIN_CALLER_CONNECTIONS, self.max_connections - links),
        )

    def yield_to(self, successor: SendFrame) -> None:
        """The successor accepts from now on, this process no more."""
        self.pause()
        self.client_connections.successor = successor

    def successor_gone(self) -> None:
        """Connections that it had are over."""
        self.client_connections.successor, self.moving = None, False
        for party in list(self.calling_hosts.values()):
            party.post(Deserted())

    def orphaned(self) -> None:
        """The predecessor is gone."""
        self.client_connections.predecessor, self.client_connections.max_connections = (
            None,
            self.max_connections,
        )
        for party in list(self.calling_hosts.values()):
            party.post(Orphaned())
