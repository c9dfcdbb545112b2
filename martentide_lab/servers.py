"""Stand-in session servers and notice board, as ``PROTOCOL-martentide.md`` has them, scripted, on loopback.

A server remembers what came to it, so that a test can look for set-ups that should not have come.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field

from martentide.codec.discovery import FRAME, LENGTH, RECORD
from martentide.codec.messages import (
    Cause,
    Code,
    Message,
    Type,
    read_message,
    split,
    write_message,
    write_release,
)
from martentide.net.links import unix_ms
from martentide_lab.load_model import (
    MAX_QUEUE_WAIT_MS,
    REFUSAL_COST,
    REPORT_INTERVAL_MS,
    hold_back_share,
    warm_up_share,
)

READY, DRAINING, GONE = 0, 1, 2
COLD_SHARE, COLD_TIME_MS = 0.31, 13_000.0  # of its capacity at a cold start, and ms until it has all
OVERLOAD_MULTIPLE, OVERLOAD_TIME_MS = 2.0, 3_000.0  # times its capacity, for so many ms, tips a cold one over


@dataclass(slots=True)
class ReceivedSetUp:
    """One set-up as it came, and when it was over (answered, refused, given up) at the server."""

    call: bytes
    number: bytes
    received_at: float
    ended_at: float | None = None
    stood: bool = False


@dataclass
class ServerBehavior:
    """How a server behaves from now on; times in ms."""

    delay: float = 5.0  # until a set-up is answered
    hold_back: float = 0.0  # in its reports
    refuse: bool = False  # full
    error: bool = False
    reset: bool = False  # resets set-ups
    ignore_set_ups: bool = False  # answers no set-up
    ignored_share: float = 0.0  # of the set-ups gets no answer, drawn for each
    ignore_health_checks: bool = False  # answers no test either
    rate: float = 0.0  # set-ups a second that its processor does, one after the other; 0: as many as come
    cold_start_at: float | None = None  # Unix ms of a start from which it warms up

    def capacity(self, now: float) -> float:
        """Set-ups a second at that time."""
        if self.cold_start_at is None:
            return self.rate
        return self.rate * warm_up_share(now - self.cold_start_at, COLD_SHARE, COLD_TIME_MS)


@dataclass
class SessionServer:
    """One server; ``stall`` holds back all it says for a while, as a processor that stands still does."""

    number: int
    behavior: ServerBehavior = field(default_factory=ServerBehavior)
    received_set_ups: list[ReceivedSetUp] = field(default_factory=list)
    keep_received_set_ups: bool = True
    health_checks: list[float] = field(default_factory=list)  # when each that asks for a report came, Unix ms

    def __post_init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.rng = random.Random(self.number)
        self.stalled_until = self.busy_until = self.reported_at = 0.0
        self.reported_share = 0.0  # share to be held back, as of the last refresh
        self.pending_set_ups: dict[bytes, ReceivedSetUp] = {}
        self.standing: dict[bytes, asyncio.StreamWriter] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        return f"s-{self.number:08x}"

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self, reset: bool = False) -> None:
        """Stop listening and end all connections; ``reset``: as the death of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
        for task in tuple(self.tasks):
            task.cancel()
        self.pending_set_ups.clear()
        self.standing.clear()

    def stall(self, span: float) -> None:
        self.stalled_until = max(self.stalled_until, unix_ms() + span)

    def report(self) -> bytes:
        free, asked, now = 500 - len(self.standing), self.behavior.hold_back, unix_ms()
        if self.behavior.rate:
            if now - self.reported_at >= REPORT_INTERVAL_MS:
                self.reported_share, self.reported_at = hold_back_share(self.busy_until - now), now
            asked = max(asked, self.reported_share)
        return f"x0:{free};x1:500;eps:{asked:g}".encode("ascii")

    def _line_up(self) -> float | None:
        """Takes a place in the processor's line: ms until the set-up is done; None: the line is too long."""
        now = unix_ms()
        work = 1_000.0 / self.behavior.capacity(now)
        begin = max(now, self.busy_until)
        if begin - now > MAX_QUEUE_WAIT_MS:
            self.busy_until = begin + REFUSAL_COST * work
            return None
        self.busy_until = begin + work
        return self.busy_until - now

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.write(write_message(Type.GROUP_STATE, bytes(8), {Code.REPORT: self.report()}))
        begun = bytearray()
        try:
            while data := await reader.read(65536):
                begun += data
                for body in split(begun):
                    self._take(read_message(body), writer)
        except (OSError, asyncio.CancelledError):
            pass  # also at the loop's end: a stand-in has nothing to settle
        finally:
            self.writers.discard(writer)
            writer.close()

    def _take(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.type == Type.SET_UP:
            arrival = ReceivedSetUp(message.call, message.parameters.get(Code.NUMBER, b""), unix_ms())
            if self.keep_received_set_ups:
                self.received_set_ups.append(arrival)
            self.pending_set_ups[message.call] = arrival
            task = asyncio.get_running_loop().create_task(self._answer(message, arrival, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif message.type == Type.RELEASE:
            known = self.pending_set_ups.pop(message.call, None)
            if known is not None:
                known.ended_at = unix_ms()
            self.standing.pop(message.call, None)
            writer.write(write_message(Type.RELEASE_ACK, message.call))
        elif message.type == Type.TEST:
            if message.cause() == 1:  # the others look after links and calls that stand
                self.health_checks.append(unix_ms())
            if self.behavior.ignore_health_checks:
                return
            parameters: dict[int, bytes] = {Code.CAUSE: b"\x01", Code.REPORT: self.report()}
            writer.write(write_message(Type.TEST_RESULT, message.call, parameters))

    async def _answer(self, message: Message, arrival: ReceivedSetUp, writer: asyncio.StreamWriter) -> None:
        script = self.behavior
        if script.ignore_set_ups or self.rng.random() < script.ignored_share:
            return
        delay: float | None = script.delay
        if script.rate:
            delay = self._line_up()
        refuse = script.refuse or delay is None
        await asyncio.sleep((delay or script.delay) / 1000.0)
        while (left := self.stalled_until - unix_ms()) > 0:
            await asyncio.sleep(left / 1000.0)
        if self.pending_set_ups.get(message.call) is not arrival:
            return  # given up meanwhile
        del self.pending_set_ups[message.call]
        arrival.ended_at = unix_ms()
        if refuse or script.error or script.reset:
            cause = Cause.NO_CIRCUIT if script.refuse else Cause.RESOURCE_UNAVAILABLE
            if script.reset:
                cause = Cause.TEMPORARY_FAILURE
            parameters: dict[int, bytes] = {Code.CAUSE: bytes((cause,)), Code.REPORT: self.report()}
            if refuse:
                parameters[Code.NOTE] = b"cpu_full"
            writer.write(write_message(Type.RELEASE, message.call, parameters))
            return
        arrival.stood = True
        self.standing[message.call] = writer
        description = message.parameters.get(Code.DESCRIPTION, b"")
        writer.write(write_message(Type.ANSWER, message.call, {Code.DESCRIPTION: description}))

    def end_call(self, call: bytes) -> None:
        """A call that stands comes to its end."""
        writer = self.standing.pop(call, None)
        if writer is not None:
            writer.write(write_release(call, Cause.NORMAL))


class DiscoveryServer:
    """The notice board: numbered notices to each proxy that follows, from the number it names."""

    def __init__(self, last: int = 1) -> None:
        self.first = last
        self.frames: list[bytes] = []  # of the notices after ``first``
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    def publish(self, servers: Iterable[tuple[SessionServer, int]], started: int = 0) -> None:
        """One notice of changes: servers and their states."""
        number = self.first + len(self.frames) + 1
        local = socket.inet_aton("127.0.0.1")
        body = FRAME.pack(number, 2)
        for server, state in servers:
            body += RECORD.pack(server.number, local, server.port, state, 0, 0, server.number, 1000, started)
        self.frames.append(LENGTH.pack(len(body)) + body)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            sent = int.from_bytes(await reader.readexactly(8), "big") - self.first
            while True:
                changed = self.changed
                while sent < len(self.frames):
                    writer.write(self.frames[sent])
                    sent += 1
                try:
                    async with asyncio.timeout(1.0):
                        await changed.wait()
                except TimeoutError:
                    empty = FRAME.pack(self.first + sent, 0)
                    writer.write(LENGTH.pack(len(empty)) + empty)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
