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
    MOST_FRAME,
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

HELLO_LIMIT = 1.0  # s for the first word of either side
MOST_QUEUED = 16 * 1024 * 1024  # bytes of frames that wait for the other process, before it is given up
MOST_HEARD = 64  # frames, each with a descriptor at most, that wait to be taken
HEAR_AGAIN = 0.005  # s until the next look whether some were
FDS = 1  # descriptors beside one frame
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


def meeting_place(environment: Mapping[str, str], listen: Address) -> str | None:
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
        self.heard: asyncio.Queue[tuple[Frame, int | None] | None] = asyncio.Queue()
        self.queue: deque[tuple[bytes, int | None]] = deque()
        self.queued = 0
        self.alive = True
        sock.setblocking(False)
        self.loop.add_reader(sock, self._readable)

    def send(self, frame: Frame, descriptor: int | None = None) -> None:
        """Send the frame; the descriptor goes along and stays the caller's own to close."""
        if not self.alive:
            return
        raw = write_frame(frame)
        own = os.dup(descriptor) if descriptor is not None else None
        self.queue.append((raw, own))
        self.queued += len(raw)
        if len(self.queue) == 1:
            self._flush()
        if self.queued > MOST_QUEUED:
            self.close(CloseReason.BLOCKED)

    def _flush(self) -> None:
        try:
            while self.queue:
                raw, descriptor = self.queue[0]
                socket.send_fds(self.sock, [raw], [] if descriptor is None else [descriptor])
                self.queue.popleft()
                self.queued -= len(raw)
                if descriptor is not None:
                    os.close(descriptor)
        except BlockingIOError:
            self.loop.add_writer(self.sock, self._flush)
            return
        except OSError as error:
            self.close(CloseReason.PEER_RESET, str(error))
            return
        self.loop.remove_writer(self.sock)

    def _hear_again(self) -> None:
        if self.alive:
            self.loop.add_reader(self.sock, self._readable)

    def _readable(self) -> None:
        if self.heard.qsize() >= MOST_HEARD:
            self.loop.remove_reader(self.sock)
            self.loop.call_later(HEAR_AGAIN, self._hear_again)
            return
        try:
            raw, descriptors, _, _ = socket.recv_fds(self.sock, MOST_FRAME, FDS)
            if not raw:
                self.close(CloseReason.PEER_CLOSED)
                return
            self.heard.put_nowait((read_frame(raw), descriptors[0] if descriptors else None))
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
        for _, descriptor in self.queue:
            if descriptor is not None:
                os.close(descriptor)
        self.queue.clear()
        log_connection_closed("upgrade", self.role, reason, detail)
        self.heard.put_nowait(None)


def own_user(sock: socket.socket) -> bool:
    """Whether the process at the other end is of the same user."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return bool(CREDENTIALS.unpack(raw)[1] == os.getuid())


@dataclass(frozen=True, slots=True)
class Found:
    """A predecessor that hands over: its listening socket, and how many connections it holds."""

    channel: Channel
    listener: socket.socket
    links: int


class Refusal(Exception):
    """A predecessor is in service and does not hand over; the text says why."""


async def find_predecessor(path: str, hello: Hello) -> Found | None:
    """The process in service at that path, None if there is none; raises Refusal."""
    loop = asyncio.get_running_loop()
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError as error:
        log_event("upgrade-off", detail=repr(str(error)))
        return None
    sock.setblocking(False)
    try:
        async with asyncio.timeout(HELLO_LIMIT):
            await loop.sock_connect(sock, path)
    except (OSError, TimeoutError):  # nobody there, a stale file or a foreign one
        sock.close()
        return None
    channel = Channel(sock, "predecessor")
    channel.send(hello)
    try:
        async with asyncio.timeout(HELLO_LIMIT):
            heard = await channel.heard.get()
    except TimeoutError:
        channel.close(CloseReason.SILENT)
        raise Refusal("the process in service does not answer") from None
    match heard:
        case (Welcome(links), int(descriptor)):
            return Found(channel, socket.socket(fileno=descriptor), links)
        case (TurnedAway(reason), _):
            channel.close()
            raise Refusal(reason)
    channel.close(CloseReason.MALFORMED)
    raise Refusal("the process in service ended as it was asked")


class Meeting:
    """Where the process in service is found by its successor; ``asked`` gets each hello with its channel."""

    def __init__(self, path: str, asked: Callable[[Channel, Hello], None]) -> None:
        self.path, self.asked = path, asked
        self.sock: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None

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
        self.task = asyncio.get_running_loop().create_task(self._accept(sock), name="upgrade")
        return True

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                peer, _ = await loop.sock_accept(sock)
            except OSError as error:
                log_event("upgrade-off", detail=repr(str(error)))
                return
            if not own_user(peer):
                peer.close()
                continue
            channel = Channel(peer, "successor")
            try:
                async with asyncio.timeout(HELLO_LIMIT):
                    heard = await channel.heard.get()
            except TimeoutError:
                heard = None
            if heard is None or not isinstance(heard[0], Hello):
                channel.close(CloseReason.MUTE)
            elif heard[0].version != VERSION:
                channel.send(TurnedAway(f"version {VERSION} is in service, {heard[0].version} asks"))
                channel.close()
            else:
                self.asked(channel, heard[0])

    def close(self, unlink: bool = True) -> None:
        """Be found no more; the path is left for the successor's own (it replaces it) or removed."""
        if self.sock is None:
            return
        if self.task is not None:
            self.task.cancel()
        self.sock.close()
        self.sock = None
        if unlink:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
