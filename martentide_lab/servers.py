"""Scripted session servers and discovery service on loopback, as ``PROTOCOL-martentide.md`` specifies them.

A server records the set-ups that it receives, so that a test can check for unexpected ones.
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

READY, DRAINING, GONE = 0, 1, 2  # states of a server in the discovery protocol
COLD_SHARE, COLD_TIME_MS = 0.31, 13_000.0  # share of capacity at a cold start; time to full capacity
# A cold server is overloaded by this multiple of its current capacity for this time.
OVERLOAD_MULTIPLE, OVERLOAD_TIME_MS = 2.0, 3_000.0


@dataclass(slots=True)
class ReceivedSetUp:
    """One received set-up; ``ended_at`` is when it was answered, refused or given up. Times in Unix ms."""

    call: bytes
    number: bytes
    received_at: float
    ended_at: float | None = None
    stood: bool = False


@dataclass
class ServerBehavior:
    """Behaviour of a server, which may be changed while it runs; times in ms."""

    delay: float = 5.0  # before a set-up is answered
    hold_back: float = 0.0  # smallest share to be held back in its reports
    refuse: bool = False  # refuses set-ups because the server is full
    error: bool = False  # fails set-ups with the cause RESOURCE_UNAVAILABLE
    reset: bool = False  # fails set-ups with the cause TEMPORARY_FAILURE
    ignore_set_ups: bool = False  # does not answer set-ups
    ignored_share: float = 0.0  # probability that a set-up is not answered
    ignore_health_checks: bool = False  # does not answer health checks
    rate: float = 0.0  # set-ups processed a second, one at a time; 0: unlimited
    cold_start_at: float | None = None  # start of the warm-up, Unix ms; None: warm

    def capacity(self, now: float) -> float:
        """Return the capacity in set-ups a second at ``now`` (Unix ms)."""
        if self.cold_start_at is None:
            return self.rate
        return self.rate * warm_up_share(now - self.cold_start_at, COLD_SHARE, COLD_TIME_MS)


@dataclass
class SessionServer:
    """One test session server, listening on loopback."""

    number: int
    behavior: ServerBehavior = field(default_factory=ServerBehavior)
    received_set_ups: list[ReceivedSetUp] = field(default_factory=list)
    keep_received_set_ups: bool = True
    # Arrival times of health checks (not of link or call tests), Unix ms.
    health_checks: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.rng = random.Random(self.number)
        self.stalled_until = self.busy_until = self.reported_at = 0.0
        self.reported_share = 0.0  # share to be held back, as of its latest update
        self.pending_set_ups: dict[bytes, ReceivedSetUp] = {}
        self.standing: dict[bytes, asyncio.StreamWriter] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """Name of the server in the discovery service."""
        return f"s-{self.number:08x}"

    @property
    def address(self) -> str:
        """Address on which the server listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen; a restart uses the same port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self, reset: bool = False) -> None:
        """Stop listening and end all connections; ``reset`` resets them, as when the process crashes."""
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

    def stall(self, duration: float) -> None:
        """Delay all answers to set-ups until ``duration`` ms from now, as a stalled process does."""
        self.stalled_until = max(self.stalled_until, unix_ms() + duration)

    def report(self) -> bytes:
        """Return the report: free places, total places and the share to be held back."""
        free, hold_back, now = 500 - len(self.standing), self.behavior.hold_back, unix_ms()
        if self.behavior.rate:
            if now - self.reported_at >= REPORT_INTERVAL_MS:
                self.reported_share, self.reported_at = hold_back_share(self.busy_until - now), now
            hold_back = max(hold_back, self.reported_share)
        return f"x0:{free};x1:500;eps:{hold_back:g}".encode("ascii")

    def _enqueue_set_up(self) -> float | None:
        """Queue a set-up; return the ms until it is processed, or None if the queue is too long."""
        now = unix_ms()
        work = 1_000.0 / self.behavior.capacity(now)
        started_at = max(now, self.busy_until)
        if started_at - now > MAX_QUEUE_WAIT_MS:
            self.busy_until = started_at + REFUSAL_COST * work
            return None
        self.busy_until = started_at + work
        return self.busy_until - now

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.write(write_message(Type.GROUP_STATE, bytes(8), {Code.REPORT: self.report()}))
        buffer = bytearray()
        try:
            while data := await reader.read(65536):
                buffer += data
                for body in split(buffer):
                    self._handle_message(read_message(body), writer)
        except (OSError, asyncio.CancelledError):
            pass  # also when the event loop ends; there is nothing to clean up
        finally:
            self.writers.discard(writer)
            writer.close()

    def _handle_message(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.type == Type.SET_UP:
            set_up = ReceivedSetUp(message.call, message.parameters.get(Code.NUMBER, b""), unix_ms())
            if self.keep_received_set_ups:
                self.received_set_ups.append(set_up)
            self.pending_set_ups[message.call] = set_up
            task = asyncio.get_running_loop().create_task(self._answer(message, set_up, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif message.type == Type.RELEASE:
            pending_set_up = self.pending_set_ups.pop(message.call, None)
            if pending_set_up is not None:
                pending_set_up.ended_at = unix_ms()
            self.standing.pop(message.call, None)
            writer.write(write_message(Type.RELEASE_ACK, message.call))
        elif message.type == Type.TEST:
            if message.cause() == 1:  # other causes test links and standing calls
                self.health_checks.append(unix_ms())
            if self.behavior.ignore_health_checks:
                return
            parameters: dict[int, bytes] = {Code.CAUSE: b"\x01", Code.REPORT: self.report()}
            writer.write(write_message(Type.TEST_RESULT, message.call, parameters))

    async def _answer(self, message: Message, set_up: ReceivedSetUp, writer: asyncio.StreamWriter) -> None:
        behavior = self.behavior
        if behavior.ignore_set_ups or self.rng.random() < behavior.ignored_share:
            return
        delay: float | None = behavior.delay
        if behavior.rate:
            delay = self._enqueue_set_up()
        refuse = behavior.refuse or delay is None
        await asyncio.sleep((delay or behavior.delay) / 1000.0)
        while (remaining := self.stalled_until - unix_ms()) > 0:
            await asyncio.sleep(remaining / 1000.0)
        if self.pending_set_ups.get(message.call) is not set_up:
            return  # given up in the meantime
        del self.pending_set_ups[message.call]
        set_up.ended_at = unix_ms()
        if refuse or behavior.error or behavior.reset:
            cause = Cause.NO_CIRCUIT if behavior.refuse else Cause.RESOURCE_UNAVAILABLE
            if behavior.reset:
                cause = Cause.TEMPORARY_FAILURE
            parameters: dict[int, bytes] = {Code.CAUSE: bytes((cause,)), Code.REPORT: self.report()}
            if refuse:
                parameters[Code.NOTE] = b"cpu_full"
            writer.write(write_message(Type.RELEASE, message.call, parameters))
            return
        set_up.stood = True
        self.standing[message.call] = writer
        description = message.parameters.get(Code.DESCRIPTION, b"")
        writer.write(write_message(Type.ANSWER, message.call, {Code.DESCRIPTION: description}))

    def end_call(self, call: bytes) -> None:
        """Release a standing call from the server's side; ignored if the call is unknown."""
        writer = self.standing.pop(call, None)
        if writer is not None:
            writer.write(write_release(call, Cause.NORMAL))


class DiscoveryServer:
    """The discovery service: sends numbered updates to each subscribed proxy, from the revision it names.

    The first update published has the revision ``base_revision`` + 1.
    """

    def __init__(self, base_revision: int = 1) -> None:
        self.base_revision = base_revision
        self.frames: list[bytes] = []  # encoded updates after ``base_revision``
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Address on which the service listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen; a restart uses the same port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def publish(self, servers: Iterable[tuple[SessionServer, int]], started: int = 0) -> None:
        """Publish one update with servers and their states.

        ``started`` is their start time in Unix ms; 0 means long ago.
        """
        revision = self.base_revision + len(self.frames) + 1
        local = socket.inet_aton("127.0.0.1")
        body = FRAME.pack(revision, 2)
        for server, state in servers:
            body += RECORD.pack(server.number, local, server.port, state, 0, 0, server.number, 1000, started)
        self.frames.append(LENGTH.pack(len(body)) + body)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            sent_frames = int.from_bytes(await reader.readexactly(8), "big") - self.base_revision
            while True:
                changed = self.changed
                while sent_frames < len(self.frames):
                    writer.write(self.frames[sent_frames])
                    sent_frames += 1
                try:
                    async with asyncio.timeout(1.0):
                        await changed.wait()
                except TimeoutError:
                    empty = FRAME.pack(self.base_revision + sent_frames, 0)
                    writer.write(LENGTH.pack(len(empty)) + empty)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
