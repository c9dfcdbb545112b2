"""Transport of an upgrade: the handover socket and the channel between the two processes.

The process in service listens on a Unix socket in ``$TMPDIR``; its successor connects there and takes over.
The exchange is described in ``docs/design/operations.md``.
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

HELLO_TIMEOUT = 1.0  # s to connect, and for the first frame of either side
MAX_QUEUED_BYTES = 16 * 1024 * 1024  # bytes of unsent frames beyond which the channel is closed
MAX_RECEIVED_FRAMES = 64  # frames, each with at most one descriptor, that may await processing
READ_RETRY_DELAY = 0.005  # s between checks whether reading may resume
MAX_DESCRIPTORS = 1  # descriptors passed with one frame
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


def handover_socket_path(environment: Mapping[str, str], listen: Address) -> str | None:
    """Return the path of the handover socket, or None if ``$TMPDIR`` is not set."""
    folder = environment.get("TMPDIR")
    return os.path.join(folder, f"martentide-{listen.host}-{listen.port}.sock") if folder else None


class Channel:
    """One connection between the two processes, carrying whole frames with their descriptors, in order.

    ``received`` gets each frame and, once at the end, None. No call blocks: frames that the other side does
    not read are queued, and the channel closes when more than MAX_QUEUED_BYTES are queued. Reading pauses
    while MAX_RECEIVED_FRAMES frames await processing.
    """

    def __init__(self, sock: socket.socket, role: str) -> None:
        self.sock, self.role = sock, role
        self.loop = asyncio.get_running_loop()
        self.received: asyncio.Queue[tuple[Frame, int | None] | None] = asyncio.Queue()
        self.outgoing: deque[tuple[bytes, int | None]] = deque()
        self.queued_bytes = 0
        self.alive = True
        self.flushed = asyncio.Event()  # set while no frame waits to be sent
        self.flushed.set()
        sock.setblocking(False)
        self.loop.add_reader(sock, self._readable)

    def send(self, frame: Frame, descriptor: int | None = None) -> None:
        """Send a frame and a duplicate of the descriptor; the caller still has to close its own."""
        if not self.alive:
            return
        raw = write_frame(frame)
        duplicate = os.dup(descriptor) if descriptor is not None else None
        self.outgoing.append((raw, duplicate))
        self.queued_bytes += len(raw)
        self.flushed.clear()
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
        self.flushed.set()

    def finish_sending(self) -> None:
        """Send nothing more; the other side reads an end, and what it sends can still be received."""
        if self.alive:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

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
        """Close the connection, drop unsent frames and log the reason; a second call does nothing."""
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
        self.flushed.set()
        log_connection_closed("upgrade", self.role, reason, detail)
        self.received.put_nowait(None)


def is_same_user(sock: socket.socket) -> bool:
    """Return whether the process at the other end runs as the same user."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return bool(CREDENTIALS.unpack(raw)[1] == os.getuid())


@dataclass(frozen=True, slots=True)
class Predecessor:
    """A predecessor that hands over: its listening socket and the number of callers' connections it holds."""

    channel: Channel
    listener: socket.socket
    connections: int


class HandoverRefused(Exception):
    """A predecessor is in service and does not hand over; the message gives the reason."""


async def find_predecessor(path: str, hello: Hello) -> Predecessor | None:
    """Connect to the process in service at that path and exchange the handshake.

    Returns None if no process is in service there. Raises HandoverRefused.
    """
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
    except (OSError, TimeoutError):  # no socket, a stale one, or a file of another kind
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
    raise HandoverRefused("the process in service closed the channel during the handshake")


class HandoverSocket:
    """The Unix socket on which a successor contacts the process in service.

    ``on_hello`` is called with the channel and the Hello of each successor of the same user and version.
    """

    def __init__(self, path: str, on_hello: Callable[[Channel, Hello], None]) -> None:
        self.path, self.on_hello = path, on_hello
        self.sock: socket.socket | None = None
        self.accept_task: asyncio.Task[None] | None = None

    def open(self) -> bool:
        """Start listening and return whether that succeeded.

        An existing socket is replaced, since a process that has ended may have left it; other files are not.
        """
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
                channel.send(
                    TurnedAway(
                        f"version {VERSION} is in service, the request has version {received[0].version}"
                    )
                )
                channel.close()
            else:
                self.on_hello(channel, received[0])

    def close(self, unlink: bool = True) -> None:
        """Stop listening; ``unlink`` removes the path, which otherwise stays for the successor to replace."""
        if self.sock is None:
            return
        if self.accept_task is not None:
            self.accept_task.cancel()
        self.sock.close()
        self.sock = None
        if unlink:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
