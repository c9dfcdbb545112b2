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
from martentide.net.client_connections import ClientConnections, Send
from martentide.net.close_reason import LOG, CloseReason, log_event
from martentide.net.config import Address
from martentide.net.dispatcher import GiveUp, Offer, ReleaseIn, time_for_answer
from martentide.net.links import Link, LinkEnded, Received
from martentide.net.listeners import bound

MOST_OWED = 20_000  # releases kept for a party without a connection
ACCEPTED_AT_A_TIME = 32  # connections that are accepted before the client connections look at them, at most
# And at most one in so many of the callers' descriptors: the client connections hear of them three turns
# later.
ACCEPTED_OF = 12
FREED_AT_A_TIME = 4  # idle connections that are closed when the system has no descriptor left
LEAST_DOOR = 8  # descriptors that callers have at least, beside a predecessor's connections
ACCEPTED_BY = 0.1  # s for what was accepted to reach its party, before the listener is closed
MOVE_LIMIT = 1.0  # s in which a link must be ready to go to the successor
MOVE_AGAIN = 0.005  # s until the next look at one that is not
WAITING = 1024  # connections that wait in the system to be accepted
FIRST_WINDOW = 64  # set-ups that may be open on a link, besides one for each that has stood
OWED_FOR = 30.0  # s such a release is kept


@dataclass(slots=True)
class Record:
    """A call of this party: the link its set-up came on, and whether it has been answered.

    ``foreign``: it is the predecessor's, which hears what its caller says of it. ``moved``: its caller's
    connection is the successor's by now, which passes on what is said of it.
    """

    link: Link | None
    stands: bool = False
    foreign: bool = False
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
    foreign: bool = False


@dataclass(frozen=True, slots=True)
class NoLongerOwed:
    call: bytes


@dataclass(frozen=True, slots=True)
class MoveOut:
    """The successor takes this party over."""


@dataclass(frozen=True, slots=True)
class MoveLink:
    link: Link
    until: float  # loop time


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


class Party:
    """The actor of one calling party; ``tell`` is the dispatcher's mailbox."""

    def __init__(
        self,
        host: str,
        tell: Callable[[Offer | GiveUp | ReleaseIn], None],
        leave: Callable[[str], None],
        client_connections: ClientConnections,
    ) -> None:
        self.host, self.tell, self.leave, self.client_connections = host, tell, leave, client_connections
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.links: dict[Link, int] = {}  # and how many calls stood that came on it
        self.records: dict[bytes, Record] = {}
        self.owed: dict[bytes, bytes] = {}
        self.task = self.loop.create_task(self._run(), name=f"party {host}")

    def post(self, item: Item) -> None:
        self.mailbox.put_nowait(item)

    async def _run(self) -> None:
        while True:
            item = await self.mailbox.get()
            try:
                self._take(item)
            except Exception:
                LOG.exception("internal-error", party=self.host, item=type(item).__name__)
                if isinstance(item, Received):
                    item.link.close(CloseReason.INTERNAL)
            if isinstance(item, Received):
                item.link.taken()
            self.client_connections.calls(self.host, bool(self.records or self.owed))
            if not (self.links or self.records or self.owed) and self.mailbox.empty():
                self.leave(
                    self.host
                )  # nothing is known of the party any more: its next connection starts anew
                return

    def _take(self, item: Item) -> None:
        match item:
            case Received():
                self._received(item)
            case Say():
                self._say(item)
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
                    self.tell(ReleaseIn(call) if record.stands else GiveUp(call))
            case Orphaned():
                self._orphaned()
            case Deserted():
                self._deserted()
            case NoLongerOwed(call):
                if self.owed.pop(call, None) is not None:
                    log_event("release-not-delivered", party=self.host, call=call.hex())

    # ---- links ------------------------------------------------------------------------------------------

    def welcome(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = (writer.get_extra_info("peername") or (self.host, 0))[1]
        link = Link(
            "caller", f"{self.host}:{port}", (reader, writer), self.post, self.client_connections.stall
        )
        self.post(Opened(link))
        self.client_connections.arrived(link, self.host)

    def take_over(self, frame: MovedLink, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A link of the predecessor's, with what it had read of a message."""
        peer = f"{self.host}:{frame.port}"
        link = Link("caller", peer, (reader, writer), self.post, self.client_connections.stall, frame.begun)
        self.post(MoveIn(frame, link))
        self.client_connections.arrived(link, self.host)

    def _opened(self, link: Link) -> None:
        self.links[link] = 0
        for release in self.owed.values():
            link.write(release)
        self.owed.clear()

    def _link_ended(self, link: Link) -> None:
        del self.links[link]
        self.client_connections.left(link)
        for call, record in [(call, record) for call, record in self.records.items() if record.link is link]:
            if record.stands:
                record.link = None
            else:
                del self.records[call]
                self._end(call, record)

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
                    self._over(record)
                    self._end(message.call, record)
                    if not record.stands and record.link is not None:
                        self.client_connections.ended(record.link, answered=False)
                    elif record.stands:
                        self.client_connections.of_use(link)
            case Type.TEST:
                self.client_connections.of_use(link)
                passed = b"\x01" if self.client_connections.ready() else b"\0"
                link.write(write_message(Type.TEST_RESULT, message.call, {Code.CAUSE: passed}))

    def _set_up(self, link: Link, message: Message, at: float) -> None:
        known = self.records.get(message.call)
        if known is not None and known.link is not None and not known.link.alive and not known.stands:
            # Sent once more, since its connection was closed as it came: that end is yet to be taken here.
            self._end(message.call, known)
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
        if self.client_connections.open.get(link, 0) >= FIRST_WINDOW + self.links[link]:
            # Guards against hundreds of set-ups at once from one that has brought none that stood: a caller's
            # window grows with what it has set up.
            link.write(write_release(message.call, Cause.CONGESTION))
            return
        self.records[message.call] = Record(link)
        self.client_connections.opened(link)
        self.tell(offer)

    def _end(self, call: bytes, record: Record) -> None:
        """The caller gave the call up, or ended it: its owner hears of it."""
        CALL_TRACE.step(call, CallStep.CALLER_LEFT, stands=record.stands, foreign=record.foreign)
        if not record.foreign:
            self.tell(ReleaseIn(call) if record.stands else GiveUp(call))
        elif self.client_connections.predecessor is not None:
            self.client_connections.predecessor(Left(self.host, call))

    def _over(self, record: Record) -> None:
        if record.stands and record.link is not None:
            self.client_connections.stands(record.link, -1)

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

    def _say(self, item: Say) -> None:
        record = self.records.get(item.call)
        if record is None and item.foreign and not item.stands:
            record = Record(None, stands=True, foreign=True)  # its caller came back after its link had ended
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
            self._end(item.call, record)
            return
        if not record.stands and record.link is not None:
            self.client_connections.ended(record.link, answered=True)
        if item.stands and link is not None:
            record.stands = True
            self.links[link] += 1
            self.client_connections.stands(link, 1)
        else:
            del self.records[item.call]
            self._over(record)
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
            and not record.foreign
        ):
            self.client_connections.successor(
                Said(self.host, item.call, item.message, False), None
            )  # it may come there
        elif record.stands and not item.stands:
            self._owe(item.call, item.message)

    def _owe(self, call: bytes, message: bytes) -> None:
        if len(self.owed) < MOST_OWED:
            self.owed[call] = message
            self.loop.call_later(OWED_FOR, self.post, NoLongerOwed(call))

    # ---- upgrade ----------------------------------------------------------------------------------------

    def _move_out(self) -> None:
        """Hand the party over: first what belongs to no link, then each link as soon as it can go."""
        if self.client_connections.successor is None:
            return
        linkless = {call: record for call, record in self.records.items() if record.link is None}
        standing = [call for call, record in linkless.items() if record.stands and not record.moved]
        owed = list(self.owed.items())
        self.owed.clear()
        for at in range(0, max(len(standing), len(owed)), MOST_RECORDS):
            part = slice(at, at + MOST_RECORDS)
            self.client_connections.successor(
                MovedCalls(self.host, tuple(standing[part]), tuple(owed[part])), None
            )
        for call in standing:
            self.records[call].moved = True
        until = self.loop.time() + MOVE_LIMIT
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
            if self.loop.time() < item.until:
                self.loop.call_later(MOVE_AGAIN, self.post, item)
            else:
                link.close(CloseReason.BLOCKED)
            return
        records = {call: record for call, record in self.records.items() if record.link is link}
        calls = [[call for call, one in records.items() if one.stands is stands] for stands in (False, True)]
        frame = MovedLink(
            host=self.host,
            port=int(link.peer.rpartition(":")[2]),
            begun=bytes(link.begun),
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
            self.records[call] = Record(link, stands=True, foreign=True)
        if isinstance(frame, MovedCalls):
            for call, message in frame.owed:
                if (alive := next((one for one in reversed(self.links) if one.alive), None)) is not None:
                    alive.write(message)
                else:
                    self._owe(call, message)
            return
        assert link is not None
        self.links[link] = frame.stood
        for call in frame.open:
            CALL_TRACE.step(call, CallStep.MOVED_IN, peer=link.peer)
            self.records[call] = Record(link, foreign=True)
            self.client_connections.opened(link)
        self.client_connections.stands(link, len(frame.standing))
        if not frame.mute:
            self.client_connections.of_use(link)

    def _deserted(self) -> None:
        """Calls that stand have no connection until their callers come back; the others are given up."""
        for call, record in [(call, record) for call, record in self.records.items() if record.moved]:
            record.moved = False
            if not record.stands:
                del self.records[call]
                self._end(call, record)

    def _orphaned(self) -> None:
        """Guards against calls that nobody answers, once the process that had them is gone."""
        for call, record in [(call, record) for call, record in self.records.items() if record.foreign]:
            if record.stands:
                del self.records[call]
                self._over(record)
            else:
                self._say(Say(call, write_release(call, Cause.RESOURCE_UNAVAILABLE), foreign=True))


def read_milliseconds(text: str | None) -> float:
    if text is None or not text.isdecimal() or len(text) > 9:
        raise CodecError(f"time left: {text!r}")
    return float(text)


class Callers:
    """The listener: hands each connection to its party's actor."""

    def __init__(self, most: int, tell: Callable[[Offer | GiveUp | ReleaseIn], None]) -> None:
        self.client_connections, self.tell, self.most = ClientConnections(most), tell, most
        self.parties: dict[str, Party] = {}
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
            backlog=max(1, min(ACCEPTED_AT_A_TIME, self.most // ACCEPTED_OF)),
            limit=MOST_BYTES,
        )
        self.socket.listen(WAITING)

    def addresses(self) -> list[tuple[str, int]]:
        return [self.socket.getsockname()[:2]] if self.socket is not None else []

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host = (writer.get_extra_info("peername") or ("unknown", 0))[0]
        party = self._party(host)
        party.welcome(reader, writer)
        if self.moving:
            party.post(MoveOut())

    def make_room(self) -> int:
        """Close a few connections that are cheapest to lose; how many were."""
        return self.client_connections.free(FREED_AT_A_TIME)

    def _party(self, host: str) -> Party:
        if host not in self.parties:
            self.parties[host] = Party(host, self.tell, self.parties.__delitem__, self.client_connections)
        return self.parties[host]

    def pause(self) -> None:
        """Accept no more; who connects waits in the queue of the socket, which is kept.

        Guards against the reset of a connection that was accepted in this very turn: asyncio makes its
        transport a turn later, and can't once the server is closed.
        """
        if self.server is not None:
            loop = asyncio.get_running_loop()
            for sock in self.server.sockets:
                loop.remove_reader(sock.fileno())
            loop.call_later(ACCEPTED_BY, self.server.close)
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
        for party in list(self.parties.values()):
            party.post(MoveOut())

    async def move_in(self, frame: MovedLink | MovedCalls, descriptor: int | None) -> None:
        """Take up what the predecessor handed over."""
        if isinstance(frame, MovedCalls):
            self._party(frame.host).post(MoveIn(frame, None))
            return
        if descriptor is None:
            return
        self.client_connections.most = min(self.most, self.client_connections.most + 1)
        reader, writer = await asyncio.open_connection(
            sock=socket.socket(fileno=descriptor), limit=MOST_BYTES
        )
        self._party(frame.host).take_over(frame, reader, writer)

    def said(self, frame: Said) -> None:
        """The predecessor has something to say to a caller."""
        if frame.host in self.parties or not frame.stands:
            say = Say(frame.call, frame.message, frame.stands, foreign=True)
            self._party(frame.host).post(say)
        elif self.client_connections.predecessor is not None:
            self.client_connections.predecessor(Left(frame.host, frame.call))

    def left(self, frame: Left) -> None:
        """The successor tells what a caller said of a call of this process."""
        if frame.host in self.parties:
            self.parties[frame.host].post(LeftHere(frame.call))

    def beside(self, predecessor: Callable[[Left], None], links: int) -> None:
        """A predecessor is there, with so many links: both together have one budget of descriptors."""
        self.client_connections.predecessor, self.client_connections.most = (
            predecessor,
            max(LEAST_DOOR, self.most - links),
        )

    def yield_to(self, successor: Send) -> None:
        """The successor accepts from now on, this process no more."""
        self.pause()
        self.client_connections.successor = successor

    def successor_gone(self) -> None:
        """Connections that it had are over."""
        self.client_connections.successor, self.moving = None, False
        for party in list(self.parties.values()):
            party.post(Deserted())

    def orphaned(self) -> None:
        """The predecessor is gone."""
        self.client_connections.predecessor, self.client_connections.most = None, self.most
        for party in list(self.parties.values()):
            party.post(Orphaned())
