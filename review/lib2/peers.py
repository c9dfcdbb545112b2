"""Stand-ins for the cases 6 to 10: session servers, notice board, callers, a relay, the proxy's process.

They follow the protocol and deployment pages and share no code with the program. One event loop runs them
all; the proxy is a process of its own, started with the command ``run`` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAITS, NUMBER, FIGURES, REPORT, CAUSE, DESCRIPTION = 129, 131, 137, 139, 147, 157, 159
NORMAL, BUSY, FULL, CUT, CONGESTION, ERROR, MOOT = 16, 17, 34, 41, 42, 47, 102
REFUSED = (FULL, CONGESTION, MOOT)
READY, DRAINING, GONE = 0, 1, 2
LIMIT = 115.0  # s that a case may run, below the 120 s of the issue

SETTINGS: dict[str, Any] = {
    "callers": {"marks_retry": False},
    "classes": [
        {
            "aim_ms": 1500.0,
            "deadline_ms": 9000.0,
            "dedup_window_ms": 5000.0,
            "group": "all",
            "late_share": 0.1,
            "name": "status-check",
            "repeat": "read_like",
            "stream": True,
            "worth": 1.0,
        },
        {
            "aim_ms": 1000.0,
            "deadline_ms": 6000.0,
            "dedup_window_ms": 5000.0,
            "group": "all",
            "late_share": 0.25,
            "name": "qualified-sign",
            "repeat": "read_like",
            "stream": True,
            "worth": 6.0,
        },
        {
            "aim_ms": 1200.0,
            "deadline_ms": 9000.0,
            "dedup_window_ms": 5000.0,
            "group": "all",
            "late_share": 0.25,
            "name": "envelope-prep",
            "repeat": "read_like",
            "stream": True,
            "worth": 2.0,
        },
    ],
    "extra": {
        "advice": False,
        "far_state": "answers",
        "gives_wait": False,
        "layout": "groups",
        "mean_hold_ms": [8200.0, 4900.0, 9800.0],
        "own_number": -1,
        "pools_by_class": [[0, 1], [0, 1], [0, 1]],
        "release_ms": 200.0,
        "t1_ms": 800.0,
        "widths": [1, 1, 1],
    },
    "family": "trunks",
    "feedback": {"fields": ["spare", "total", "cut_by"], "how": "answers"},
    "layers": ["session-servers"],
    "limits": {
        "conn_idle_ms": 600000.0,
        "connect_timeout_ms": 500.0,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 300000,
        "max_attempts": 5,
        "max_open": 20000,
        "max_retry_after_ms": 2000.0,
        "max_streams": 1048576,
        "may_cancel": True,
        "peers": False,
        "probes": True,
        "retry_after": True,
        "second_copies": False,
    },
    "locality": "varna",
    "membership_mode": "automatic",
    "n_instances": 1,
    "over_share_worth": 0.1,
    "parties": [],
    "prices": {},
    "rules": {
        "answer_slack_ms": 20.0,
        "ask_within_ms": 10000.0,
        "cold_ms": 13000.0,
        "cold_share": 0.31,
        "drain_grace_ms": 2000.0,
        "fall_ms": 3000.0,
        "fall_multiple": 2.0,
    },
    "shapes": ["std-1core"],
    "slot_no": 0,
    "tick_ms": 5.0,
    "tier": 0,
    "value_by": "request",
    "weight_kind": "none",
    "zones": ["sofia", "plovdiv", "varna"],
}


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def encode(kind: int, call: bytes, parameters: dict[int, bytes] | None = None) -> bytes:
    """Return one message."""
    body = bytes((kind,)) + call
    for code, value in (parameters or {}).items():
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body: bytes) -> tuple[int, bytes, dict[int, bytes]]:
    """Return type, call and parameters of a message without its length."""
    at, found = 9, {}
    while at < len(body):
        code, length = struct.unpack_from(">BH", body, at)
        found[code] = body[at + 3 : at + 3 + length]
        at += 3 + length
    return body[0], body[1:9], found


def cause_of(parameters: dict[int, bytes]) -> int:
    """Return the cause of a release, 0 if it has none."""
    return (parameters.get(CAUSE) or b"\0")[0]


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with the Unix time."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.time():.3f} {text}\n")
        self.file.flush()


class Peer:
    """One accepted or opened connection that carries messages."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        self.reader, self.writer, self.number = reader, writer, number
        self.behind: list[bytes] | None = None  # what waits behind a message that is written in pieces
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def open(self) -> bool:
        """Whether the connection can be written to."""
        return not self.writer.is_closing() and not self.reader.at_eof()

    def send(self, kind: int, call: bytes, parameters: dict[int, bytes] | None = None) -> None:
        """Write one message."""
        data = encode(kind, call, parameters)
        if self.behind is not None:
            self.behind.append(data)
        elif not self.writer.is_closing():
            self.writer.write(data)

    async def send_in_pieces(self, data: bytes, gap: float) -> None:
        """Write a message in two pieces, ``gap`` s apart; later messages wait behind it."""
        if self.behind is not None:
            self.behind.append(data)
            return
        self.behind = []
        for piece in (data[: len(data) // 2], data[len(data) // 2 :]):
            if not self.writer.is_closing():
                self.writer.write(piece)
            await asyncio.sleep(gap)
        waiting, self.behind = self.behind, None
        if not self.writer.is_closing():
            self.writer.write(b"".join(waiting))

    async def receive(self) -> tuple[int, bytes, dict[int, bytes]] | None:
        """Return the next message, or None at the end of the connection."""
        try:
            length = struct.unpack(">H", await self.reader.readexactly(2))[0]
            return decode(await self.reader.readexactly(length))
        except (asyncio.IncompleteReadError, OSError):
            return None


class SetUp:
    """One set-up at a session server, from its arrival to its end there. Times are Unix s."""

    def __init__(self, call: bytes, peer: Peer, waits: float) -> None:
        self.call, self.peer, self.waits, self.arrived = call, peer, waits, time.time()
        self.ended: float | None = None  # when its end was written, or it was given up
        self.how = ""
        self.stood: float | None = None
        self.over: float | None = None  # when the standing call ended
        self.over_how = ""


class SessionServer:
    """A session server: answers set-ups after ``delay`` s, and ends calls after ``hold`` s.

    ``on_set_up`` may take a set-up over: it returns True if it has dealt with it.
    """

    def __init__(self, name: str, record: Record, delay: float = 0.02, hold: float = 1000.0) -> None:
        self.name, self.record, self.delay, self.hold = name, record, delay, hold
        self.number = int(name[2:], 16)
        self.set_ups: list[SetUp] = []
        self.open: list[SetUp] = []
        self.standing: dict[bytes, SetUp] = {}
        self.peers: list[Peer] = []
        self.accepted = 0
        self.resend: list[bytes] = []  # releases to send on the next connection as well
        self.gap = 0.0  # s between the two pieces of a release; 0: written at once
        self.on_set_up: Callable[[SetUp], Awaitable[bool]] | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port, or on the former one."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def report(self) -> dict[int, bytes]:
        """Return a report without pressure."""
        return {REPORT: f"x0:{500 - len(self.standing)};x1:500;eps:0".encode()}

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        peer = Peer(reader, writer, self.accepted)
        self.peers.append(peer)
        self.record.line(f"{self.name} connection {peer.number} opened")
        peer.send(STATE, bytes(8), self.report())
        for call in self.resend:
            self.record.line(f"{self.name} connection {peer.number} release again {call.hex()}")
            self._release(peer, call)
        self.resend.clear()
        while (message := await peer.receive()) is not None:
            self._received(peer, *message)
        self.peers.remove(peer)
        self.record.line(f"{self.name} connection {peer.number} ended")
        for set_up in [one for one in self.open if one.peer is peer]:
            self._end(set_up, "given up, connection closed")
        writer.close()

    def _received(self, peer: Peer, kind: int, call: bytes, parameters: dict[int, bytes]) -> None:
        if kind == SET_UP:
            set_up = SetUp(call, peer, float(parameters[WAITS]))
            self.set_ups.append(set_up)
            self.open.append(set_up)
            self.record.line(f"{self.name} connection {peer.number} set-up {call.hex()}")
            self.spawn(self._serve(set_up))
        elif kind == RELEASE:
            self.record.line(f"{self.name} connection {peer.number} proxy releases {call.hex()}")
            given_up = [one for one in self.open if one.call == call and one.peer is peer]
            for set_up in given_up:
                self._end(set_up, "given up")
            if not given_up and (stands := self.standing.pop(call, None)) is not None:
                stands.over, stands.over_how = time.time(), "proxy"
            peer.send(HEARD, call)
        elif kind == TEST:
            passed = {CAUSE: b"\x01"}
            peer.send(TESTED, call, passed | (self.report() if cause_of(parameters) == 1 else {}))

    def spawn(self, work: Any) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _end(self, set_up: SetUp, how: str) -> None:
        set_up.ended, set_up.how = time.time(), how
        self.open.remove(set_up)
        self.record.line(f"{self.name} set-up {set_up.call.hex()} ends: {how}")

    async def _serve(self, set_up: SetUp) -> None:
        if self.on_set_up is not None and await self.on_set_up(set_up):
            return
        await asyncio.sleep(self.delay)
        if set_up.ended is None:
            self.answer(set_up)

    def answer(self, set_up: SetUp) -> None:
        """Let the call stand."""
        self._end(set_up, "answer")
        set_up.stood = time.time()
        self.standing[set_up.call] = set_up
        set_up.peer.send(ANSWER, set_up.call, {DESCRIPTION: self.description(set_up.call)})
        asyncio.get_running_loop().call_later(self.hold, self.finish, set_up.call)

    def description(self, call: bytes) -> bytes:
        """Return the description that this server gives for a call."""
        return f"{self.name} {call.hex()}".encode()

    def refuse(self, set_up: SetUp, cause: int) -> None:
        """End a set-up with a release."""
        self._end(set_up, f"release {cause}")
        set_up.peer.send(RELEASE, set_up.call, {CAUSE: bytes((cause,))} | self.report())

    def finish(self, call: bytes) -> None:
        """End a standing call: release on its connection, else an open one; and on the next one opened."""
        set_up = self.standing.pop(call, None)
        if set_up is None:
            return
        set_up.over, set_up.over_how = time.time(), "server"
        peer = set_up.peer if set_up.peer.open else next((one for one in self.peers if one.open), None)
        self.record.line(f"{self.name} ends {call.hex()}, release on {peer.number if peer else 'none'}")
        if peer is not None:
            self._release(peer, call)
        self.resend.append(call)

    def _release(self, peer: Peer, call: bytes) -> None:
        parameters = {CAUSE: bytes((NORMAL,))} | self.report()
        if self.gap:
            self.spawn(peer.send_in_pieces(encode(RELEASE, call, parameters), self.gap))
        else:
            peer.send(RELEASE, call, parameters)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for peer in self.peers:
            peer.writer.transport.abort()
        for task in tuple(self.tasks):
            task.cancel()


class Board:
    """The notice board; ``publish`` adds an event."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.first = 1  # number of the event in the configuration
        self.events: list[bytes] = []
        self.news = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, *records: tuple[SessionServer, int, int], started: int = 0) -> float:
        """Add an event of (server, port, state); return the Unix time at which it was in the board."""
        number = self.first + len(self.events) + 1
        body = struct.pack(">QB", number, 2)
        for server, port, state in records:
            local = socket.inet_aton("127.0.0.1")
            place = server.number - 1
            body += struct.pack(">I4sHBBBHIQ", server.number, local, port, state, 0, 0, place, 1000, started)
            self.record.line(f"board event {number}: {server.name} state {state}")
        self.events.append(struct.pack(">I", len(body)) + body)
        self.news.set()
        self.news = asyncio.Event()
        return time.time()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._follow(reader, writer)
        finally:
            writer.close()

    async def _follow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sent = int.from_bytes(await reader.readexactly(8), "big") - self.first
        self.record.line(f"board connection, has events up to {sent + self.first}")
        while not reader.at_eof():
            news = self.news
            while sent < len(self.events):
                writer.write(self.events[sent])
                sent += 1
            try:
                await asyncio.wait_for(news.wait(), 1.0)
            except TimeoutError:
                empty = struct.pack(">QB", self.first + sent, 0)
                writer.write(struct.pack(">I", len(empty)) + empty)
            await writer.drain()


class RelayLink:
    """One relayed connection; ``back_delay`` s apply from the target towards the opener."""

    def __init__(self, number: int, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self.number, self.near, self.far = number, near, far
        self.opened = time.time()
        self.silent = False  # all bytes are dropped, the connection stays open
        self.in_flight = 0  # bytes on the way back
        self.broken = False

    def reset(self) -> None:
        """Reset both sides; what is on the way is lost."""
        self.broken = True
        for writer in (self.near, self.far):
            with contextlib.suppress(OSError):
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()


class Relay:
    """A TCP relay of our own in front of a stand-in or the proxy."""

    def __init__(self, target: int, record: Record, name: str) -> None:
        self.target, self.record, self.name = target, record, name
        self.links: list[RelayLink] = []
        self.delay = 0.0  # s towards the target
        self.back_delay = 0.0  # s towards the opener
        self.opened = 0
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port, or on the former one."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Stop listening: new connections are refused, open ones stay."""
        assert self.server is not None
        self.server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.opened += 1
        link = RelayLink(self.opened, writer, far_writer)
        for one in (writer, far_writer):
            one.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.links.append(link)
        self.record.line(f"relay {self.name} connection {link.number} opened")
        await asyncio.gather(
            self._pump(link, reader, far_writer, False), self._pump(link, far_reader, writer, True)
        )
        self.links.remove(link)
        self.record.line(f"relay {self.name} connection {link.number} ended")

    async def _pump(
        self, link: RelayLink, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        sender = asyncio.get_running_loop().create_task(self._send(link, queue, writer, back))
        data = b"-"
        while data:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            if link.silent:
                continue
            if back:
                link.in_flight += len(data)
            queue.put_nowait((time.monotonic() + (self.back_delay if back else self.delay), data))
        if link.silent:
            queue.put_nowait((0.0, b""))
        await sender

    async def _send(
        self,
        link: RelayLink,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        back: bool,
    ) -> None:
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not data or link.broken:
                break
            if back:
                link.in_flight -= len(data)
            if not link.silent and not writer.is_closing():
                writer.write(data)
        writer.close()


class Call:
    """A call as its caller sees it; times are Unix s."""

    def __init__(self, call: bytes, waits: float) -> None:
        self.call, self.waits, self.sent = call, waits, time.time()
        self.final: float | None = None
        self.outcome = ""  # stands, refused, failed
        self.finals = 0
        self.description = b""
        self.released: float | None = None
        self.released_by = 0


class Caller:
    """A caller with any number of connections to one address."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.calls: dict[bytes, Call] = {}
        self.peers: list[Peer] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.numbers = 0
        self.opened = 0

    async def connect(self, host: str = "127.0.0.1") -> Peer:
        """Open one more connection, from that loopback address."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, local_addr=(host, 0))
        self.opened += 1
        peer = Peer(reader, writer, self.opened)
        self.peers.append(peer)
        self.record.line(f"caller connection {peer.number} opened")
        task = asyncio.get_running_loop().create_task(self._read(peer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return peer

    def set_up(self, peer: Peer, waits: int = 3000, name: str = "status-check", first: int = 0) -> Call:
        """Send a set-up with a new id."""
        self.numbers += 1
        identity = struct.pack(">II", os.getpid(), self.numbers)
        call = self.calls[identity] = Call(identity, waits / 1000.0)
        self.record.line(f"caller connection {peer.number} set-up {identity.hex()} waits {waits} ms")
        peer.send(
            SET_UP,
            identity,
            {
                CLASS: name.encode(),
                WAITS: str(waits).encode(),
                NUMBER: identity.hex().encode(),
                FIGURES: f"dest:{first};width:1;via:-1".encode(),
                DESCRIPTION: b"offer " + identity.hex().encode(),
            },
        )
        return call

    async def _read(self, peer: Peer) -> None:
        while (message := await peer.receive()) is not None:
            kind, identity, parameters = message
            call = self.calls.get(identity)
            if kind not in (ANSWER, RELEASE) or call is None:
                continue
            now, cause = time.time(), cause_of(parameters)
            if kind == RELEASE:
                peer.send(HEARD, identity)
            if call.outcome == "stands" and kind == RELEASE:
                call.released, call.released_by = now, cause
                self.record.line(f"caller connection {peer.number} release {cause} of {identity.hex()}")
                continue
            call.finals += 1
            call.final, call.description = now, parameters.get(DESCRIPTION, b"")
            call.outcome = "stands" if kind == ANSWER else "refused" if cause in REFUSED else "failed"
            self.record.line(f"caller connection {peer.number} {identity.hex()} {call.outcome} cause {cause}")
        self.record.line(f"caller connection {peer.number} ended")
        peer.writer.close()

    def release(self, peer: Peer, call: Call) -> None:
        """End a standing call."""
        self.record.line(f"caller connection {peer.number} releases {call.call.hex()}")
        peer.send(RELEASE, call.call, {CAUSE: bytes((NORMAL,))})

    async def stop(self) -> None:
        """Close all connections."""
        for peer in self.peers:
            peer.writer.transport.abort()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Proxy:
    """The program, started with the command ``run`` of the deploy file."""

    def __init__(
        self, record: Record, folder: Path, board: int, servers: list[tuple[SessionServer, int, int]]
    ) -> None:
        self.record, self.folder, self.board, self.servers = record, folder, board, servers
        self.port, self.operator = free_port(), free_port()
        self.settings = json.loads(json.dumps(SETTINGS))
        self.process: subprocess.Popen[bytes] | None = None
        self.config = folder / "config.json"
        self.log = folder / "log.txt"

    def write(self) -> None:
        """Write the configuration."""
        status = ("SERVING", "DRAINING", "DELETED")
        known = [
            {"name": server.name, "address": f"127.0.0.1:{port}", "zone": "sofia", "type": "std-1core",
             "group": server.number - 1, "status": status[state], "weight": 1, "since_ms": 0}
            for server, port, state in self.servers
        ]  # fmt: skip
        listed = {"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": known}}
        text = json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{self.port}",
                "operator": f"127.0.0.1:{self.operator}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "board": f"127.0.0.1:{self.board}",
                "known": {"rev": 1, "notices": [listed]},
                "settings": self.settings,
            }
        )
        new = self.config.with_suffix(".new")
        new.write_text(text)
        new.replace(self.config)

    def launch(self, operator: int = 0) -> subprocess.Popen[bytes]:
        """Start one process beside those that run."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(self.config), "TMPDIR": str(self.folder / "tmp")}
        environment["PROXY_NAME"] = "n1"
        environment["PROXY_LISTEN"] = f"127.0.0.1:{self.port}"
        environment["PROXY_OPERATOR"] = f"127.0.0.1:{operator or self.operator}"
        (self.folder / "tmp").mkdir(exist_ok=True)
        with self.log.open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        PROCESSES.append(process)
        self.record.line(f"proxy process {process.pid} started")
        return process

    async def start(self) -> None:
        """Write the configuration, start the program and wait until it is ready."""
        if not (ROOT / ".venv" / "bin" / "python").exists():
            raise CannotRun("the build of the deploy file has not run")
        self.write()
        self.process = self.launch()
        if not await self.ready(self.operator, 30.0):
            raise CannotRun("the proxy was not ready within 30 s")
        self.record.line("proxy is ready")

    async def ready(self, operator: int, within: float) -> bool:
        """Wait until the operator's call says that the process is ready."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if (await self.ask("GET", "/control/ready", operator)) // 100 == 2:
                    return True
            await asyncio.sleep(0.05)
        return False

    async def ask(self, method: str, path: str, operator: int = 0) -> int:
        """Send an operator's call and return the HTTP status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", operator or self.operator)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n".encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2.0)
            return int(head.split()[1])
        finally:
            writer.close()

    def running(self) -> bool:
        """Whether the process that ``start`` started still runs."""
        return self.process is not None and self.process.poll() is None


PROCESSES: list[subprocess.Popen[bytes]] = []


def end_processes() -> None:
    """End all processes that were started, by their id."""
    for process in PROCESSES:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()


def stopped(number: int, frame: object) -> None:
    """End all processes when the case itself is told to end."""
    end_processes()
    os._exit(2)


def run_case(file: str, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> None:
    """Run a case and exit: 0 the rule held, 1 it was broken, 2 the case could not run."""
    here = Path(file).resolve().parent
    record = Record(here)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, stopped)
    record.line(f"case {here.name}, trouble {'on' if trouble else 'off'}")
    code = 2

    async def limited(folder: Path) -> bool:
        try:
            return await asyncio.wait_for(case(record, folder, trouble), LIMIT)
        finally:
            end_processes()
            await asyncio.sleep(0.3)  # the ends of the connections are read before the loop closes

    try:
        with tempfile.TemporaryDirectory() as name:
            try:
                code = 0 if asyncio.run(limited(Path(name))) else 1
            except Exception as error:  # also CannotRun, a time-out, and a fault of the case itself
                record.line(f"could not run: {error!r}")
                print(f"could not run: {error!r}")
            finally:
                end_processes()
                log = Path(name) / "log.txt"
                if log.exists():
                    for line in log.read_text(errors="replace").splitlines():
                        record.file.write(f"log {line}\n")
    finally:
        record.line(f"exit code {code}")
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.exit(code)
