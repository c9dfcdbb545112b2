"""The front for today's protocol: the listener, and one actor for each party that calls.

A party is a machine that callers' connections come from. A call that stands belongs to the party, not to one
of its connections. The actor hears its links and the decider through its mailbox.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from martentide.codec import CodecError
from martentide.codec.figures import read_first_choice
from martentide.codec.messages import Cause, Code, Message, Type, write_message, write_release
from martentide.net.config import Address
from martentide.net.decider import GiveUp, Offer, ReleaseIn
from martentide.net.endings import LOG, Reason, log_ended, log_event
from martentide.net.links import Link, LinkEnded, Received

MOST_OWED = 20_000  # releases kept for a party without a connection
OWED_FOR = 30.0  # s such a release is kept


@dataclass(slots=True)
class Record:
    """A call of this party: the link its set-up came on, and whether it has been answered."""

    link: Link | None
    stands: bool = False


@dataclass(frozen=True, slots=True)
class Opened:
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class Say:
    """What the decider tells about a call: ``message`` for the caller, ``stands`` if it is an answer."""

    call: bytes
    message: bytes
    stands: bool = False


@dataclass(frozen=True, slots=True)
class NoLongerOwed:
    call: bytes


Item = Opened | Received | LinkEnded | Say | NoLongerOwed


class Party:
    """The actor of one calling party; ``tell`` is the decider's mailbox."""

    def __init__(
        self, host: str, tell: Callable[[Offer | GiveUp | ReleaseIn], None], leave: Callable[[str], None]
    ) -> None:
        self.host, self.tell, self.leave = host, tell, leave
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.links: list[Link] = []
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
                LOG.exception("internal-error party=%s item=%s", self.host, type(item).__name__)
                if isinstance(item, Received):
                    item.link.close(Reason.INTERNAL)
            if isinstance(item, Received):
                item.link.credit.release()
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
            case Opened(streams):
                self._opened(streams)
            case LinkEnded(link):
                self._link_ended(link)
            case NoLongerOwed(call):
                if self.owed.pop(call, None) is not None:
                    log_event("release-not-delivered", party=self.host, call=call.hex())

    # ---- links ------------------------------------------------------------------------------------------

    def _opened(self, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> None:
        host, port = streams[1].get_extra_info("peername") or (self.host, 0)
        link = Link("caller", f"{host}:{port}", streams, self.post)
        self.links.append(link)
        for release in self.owed.values():
            link.write(release)
        self.owed.clear()

    def _link_ended(self, link: Link) -> None:
        self.links.remove(link)
        for call in [call for call, record in self.records.items() if record.link is link]:
            if self.records[call].stands:
                self.records[call].link = None
            else:
                del self.records[call]
                self.tell(GiveUp(call))

    # ---- what callers say -------------------------------------------------------------------------------

    def _received(self, item: Received) -> None:
        link, message = item.link, item.message
        match message.type:
            case Type.SET_UP:
                self._set_up(link, message, item.at)
            case Type.RELEASE:
                link.write(write_message(Type.RELEASE_HEARD, message.call))
                record = self.records.pop(message.call, None)
                if record is not None:
                    self.tell(ReleaseIn(message.call) if record.stands else GiveUp(message.call))
            case Type.TEST:
                link.write(write_message(Type.TEST_RESULT, message.call, {Code.CAUSE: b"\x01"}))

    def _set_up(self, link: Link, message: Message, at: float) -> None:
        if message.call in self.records:
            log_event("duplicate-call", party=self.host, call=message.call.hex())
            return
        parts = message.parameters
        LOG.debug("set-up party=%s call=%s parameters=%r", self.host, message.call.hex(), parts)
        try:
            offer = Offer(
                caller=self,
                call=message.call,
                call_class=parts[Code.CLASS],
                number=parts[Code.NUMBER],
                description=parts[Code.DESCRIPTION],
                time_left=read_milliseconds(message.text(Code.TIME_LEFT)),
                first_choice=read_first_choice(message.text(Code.FIGURES) or ""),
                at=at,
            )
        except (KeyError, CodecError) as error:
            # The message is whole, so the connection stays; the call can't be set up and gets its answer.
            log_event("bad-set-up", party=self.host, call=message.call.hex(), detail=repr(str(error)))
            link.write(write_release(message.call, Cause.INVALID_CONTENTS))
            return
        self.records[message.call] = Record(link)
        self.tell(offer)

    # ---- what the decider says --------------------------------------------------------------------------

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
        if record is None:
            return  # the caller has left; the decider is being told
        link = record.link if record.link is not None and record.link.alive else None
        if item.stands and link is None:
            # Guards against a call that stands for nobody: its link ended as the answer was on its way.
            del self.records[item.call]
            self.tell(GiveUp(item.call))
            return
        if item.stands:
            record.stands = True
        else:
            del self.records[item.call]
        if link is None and record.stands and not item.stands:
            link = next((link for link in reversed(self.links) if link.alive), None)
        if link is not None:
            link.write(item.message)
        elif record.stands and not item.stands and len(self.owed) < MOST_OWED:
            self.owed[item.call] = item.message
            self.loop.call_later(OWED_FOR, self.post, NoLongerOwed(item.call))


def read_milliseconds(text: str | None) -> float:
    if text is None or not text.isdecimal() or len(text) > 9:
        raise CodecError(f"time left: {text!r}")
    return float(text)


class Callers:
    """The listener: hands each connection to its party's actor, up to the descriptors set aside for them."""

    def __init__(self, most: int, tell: Callable[[Offer | GiveUp | ReleaseIn], None]) -> None:
        self.most, self.tell = most, tell
        self.parties: dict[str, Party] = {}
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        self.server = await asyncio.start_server(self._accept, address.host, address.port, backlog=1024)

    def addresses(self) -> list[tuple[str, int]]:
        return [sock.getsockname()[:2] for sock in self.server.sockets] if self.server else []

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = writer.get_extra_info("peername") or ("unknown", 0)
        if sum(len(party.links) for party in self.parties.values()) >= self.most:
            writer.close()
            log_ended("caller", f"{host}:{port}", Reason.TOO_MANY)
            return
        if host not in self.parties:
            self.parties[host] = Party(host, self.tell, self.parties.__delitem__)
        self.parties[host].post(Opened((reader, writer)))

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
