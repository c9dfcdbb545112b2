"""The two ends of an upgrade: a Unix socket in ``$TMPDIR`` where the process in service is found, and the
channel between it and the process that takes over. ``docs/design/operations.md`` says what passes there.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import stat
import struct
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from martentide.handover.wire import (
    MAX_FRAME_BYTES,
    VERSION,
    Frame,
    HandoverError,
    Hello,
    TurnedAway,
    Welcome,
    read_frame,
    write_frame,
)
from martentide.net.close_reason import CloseReason, log_connection_closed, log_event
from martentide.net.config import Address

HELLO_TIMEOUT = 1.0  # s for the first word of either side
MAX_QUEUED_BYTES = 16 * 1024 * 1024  # bytes of frames that wait for the other process, before it is given up
MAX_RECEIVED_FRAMES = 64  # frames, each with a descriptor at most, that wait to be taken
READ_RETRY_DELAY = 0.005  # s until the next look whether some were
MAX_DESCRIPTORS = 1  # descriptors beside one frame
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


def handover_socket_path(environment: Mapping[str, str], listen: Address) -> str | None:
    """The path of the socket; None where there is no folder for it."""
    folder = environment.get("TMPDIR")
    return os.path.join(folder, f"martentide-{listen.host}-{listen.port}.sock") if folder else None


class Channel:
    """One connection between the two processes: whole frames with their descriptors, in order, both ways.

    ``heard`` gets each frame, and None once at the end. Nothing here waits: what the other side does not take
    is queued, and beyond MOST_QUEUED the channel ends. While MOST_HEARD frames wait here, no more are read.
    """

    def __init__(self, sock: socket.socket, role: str) -> None:
        self.sock, self.role = sock, role
        self.loop = asyncio.get_running_loop()
        self.received: asyncio.Queue[tuple[Frame, int | None] | None] = asyncio.Queue()
        self.outgoing: deque[tuple[bytes, int | None]] = deque()
        self.queued_bytes = 0
        self.alive = True
        sock.setblocking(False)
        self.loop.add_reader(sock, self._readable)

    def send(self, frame: Frame, descriptor: int | None = None) -> None:
        """Send the frame; the descriptor goes along and stays the caller's own to close."""
        if not self.alive:
            return
        raw = write_frame(frame)
        duplicate = os.dup(descriptor) if descriptor is not None else None
        self.outgoing.append((raw, duplicate))
        self.queued_bytes += len(raw)
        if len(self.outgoing) == 1:
            self._flush()
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self.close(CloseReason.BLOCKED)

    def _flush(self) -> None:
        try:
            while self.outgoing:
                data, descriptor = self.outgoing[0]
                socket.send_fds(self.sock, [data], [] if descriptor is None else [descriptor])
                self.outgoing.popleft()
                self.queued_bytes -= len(data)
                if descriptor is not None:
                    os.close(descriptor)
        except BlockingIOError:
            self.loop.add_writer(self.sock, self._flush)
            return
        except OSError as error:
            self.close(CloseReason.PEER_RESET, str(error))
            return
        self.loop.remove_writer(self.sock)

    def _resume_reading(self) -> None:
        if self.alive:
            self.loop.add_reader(self.sock, self._readable)

    def _readable(self) -> None:
        if self.received.qsize() >= MAX_RECEIVED_FRAMES:
            self.loop.remove_reader(self.sock)
            self.loop.call_later(READ_RETRY_DELAY, self._resume_reading)
            return
        try:
            raw, descriptors, _, _ = socket.recv_fds(self.sock, MAX_FRAME_BYTES, MAX_DESCRIPTORS)
            if not raw:
                self.close(CloseReason.PEER_CLOSED)
                return
            self.received.put_nowait((read_frame(raw), descriptors[0] if descriptors else None))
        except BlockingIOError:
            return
        except HandoverError as error:
            self.close(CloseReason.MALFORMED, str(error))
        except OSError as error:
            self.close(CloseReason.PEER_RESET, str(error))

    def close(self, reason: CloseReason = CloseReason.SHUTDOWN, detail: str = "") -> None:
        if not self.alive:
            return
        self.alive = False
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        for _, descriptor in self.outgoing:
            if descriptor is not None:
                os.close(descriptor)
        self.outgoing.clear()
        log_connection_closed("upgrade", self.role, reason, detail)
        self.received.put_nowait(None)


def is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end is of the same user."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return bool(CREDENTIALS.unpack(raw)[1] == os.getuid())


@dataclass(frozen=True, slots=True)
class Predecessor:
    """A predecessor that hands over: its listening socket, and how many connections it holds."""

    channel: Channel
    listener: socket.socket
    connections: int


class HandoverRefused(Exception):
    """A predecessor is in service and does not hand over; the text says why."""


async def find_predecessor(path: str, hello: Hello) -> Predecessor | None:
    """The process in service at that path, None if there is none; raises Refusal."""
    loop = asyncio.get_running_loop()
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError as error:
        log_event("upgrade-off", detail=repr(str(error)))
        return None
    sock.setblocking(False)
    try:
        async with asyncio.timeout(HELLO_TIMEOUT):
            await loop.sock_connect(sock, path)
    except (OSError, TimeoutError):  # nobody there, a stale file or a foreign one
        sock.close()
        return None
    channel = Channel(sock, "predecessor")
    channel.send(hello)
    try:
        async with asyncio.timeout(HELLO_TIMEOUT):
            received = await channel.received.get()
    except TimeoutError:
        channel.close(CloseReason.SILENT)
        raise HandoverRefused("the process in service does not answer") from None
    match received:
        case (Welcome(links), int(descriptor)):
            return Predecessor(channel, socket.socket(fileno=descriptor), links)
        case (TurnedAway(reason), _):
            channel.close()
            raise HandoverRefused(reason)
    channel.close(CloseReason.MALFORMED)
    raise HandoverRefused("the process in service ended as it was asked")


class HandoverSocket:
    """Where the process in service is found by its successor; ``asked`` gets each hello with its channel."""

    def __init__(self, path: str, on_hello: Callable[[Channel, Hello], None]) -> None:
        self.path, self.on_hello = path, on_hello
        self.sock: socket.socket | None = None
        self.accept_task: asyncio.Task[None] | None = None

    def open(self) -> bool:
        """Whether it could be opened; a socket that a dead process left is replaced, nothing else is."""
        if self.sock is not None:
            return True
        try:
            if stat.S_ISSOCK(os.lstat(self.path).st_mode):
                os.unlink(self.path)
        except OSError:
            pass
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        except OSError as error:
            log_event("upgrade-off", detail=repr(str(error)))
            return False
        try:
            sock.bind(self.path)
            os.chmod(self.path, 0o600)
            sock.listen(4)
            sock.setblocking(False)
        except OSError as error:
            sock.close()
            log_event("upgrade-off", path=repr(self.path), detail=repr(str(error)))
            return False
        self.sock = sock
        self.accept_task = asyncio.get_running_loop().create_task(self._accept(sock), name="upgrade")
        return True

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                peer, _ = await loop.sock_accept(sock)
            except OSError as error:
                log_event("upgrade-off", detail=repr(str(error)))
                return
            if not is_same_user(peer):
                peer.close()
                continue
            channel = Channel(peer, "successor")
            try:
                async with asyncio.timeout(HELLO_TIMEOUT):
                    received = await channel.received.get()
            except TimeoutError:
                received = None
            if received is None or not isinstance(received[0], Hello):
                channel.close(CloseReason.MUTE)
            elif received[0].version != VERSION:
                channel.send(TurnedAway(f"version {VERSION} is in service, {received[0].version} asks"))
                channel.close()
            else:
                self.on_hello(channel, received[0])

    def close(self, unlink: bool = True) -> None:
        """Be found no more; the path is left for the successor's own (it replaces it) or removed."""
        if self.sock is None:
            return
        if self.accept_task is not None:
            self.accept_task.cancel()
        self.sock.close()
        self.sock = None
        if unlink:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
