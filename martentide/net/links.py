"""One connection that carries signalling messages, as callers and session servers both have them.

A link belongs to one actor: it posts what comes into that actor's mailbox and writes for it without waiting.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import sys
import termios
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from martentide.attempt_messages import Presence
from martentide.codec import CodecError
from martentide.codec.messages import MOST_BYTES, Message, read_message, split
from martentide.net.close_reason import CloseReason, log_connection_closed

MAX_UNPROCESSED = (
    64  # messages of one link that wait in its actor's mailbox at most; then the link reads no more
)
MAX_UNSENT_BYTES = 256 * 1024  # bytes that wait for a peer that does not read, before its link is given up
STALL_RECHECK = 0.01  # s more for bytes that may lie ready as the time for a message runs out
WRITE_TIMEOUT = 2.0  # s in which what waits must have gone out, or the peer is taken for blocked


def unix_ms() -> float:
    return time.time() * 1000.0


@dataclass(frozen=True, slots=True)
class Received:
    """A whole message came over a link, its last byte at ``at`` (Unix ms)."""

    link: Link
    message: Message
    at: float


@dataclass(frozen=True, slots=True)
class LinkEnded:
    """A link is over; nothing more comes from it."""

    link: Link
    reason: CloseReason


class Link:
    """Reads whole messages, writes without waiting, and ends once, with one reason and one log line."""

    def __init__(
        self,
        role: str,
        peer: str,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        post: Callable[[Received | LinkEnded], None],
        message_timeout: float,
        partial_message: bytes = b"",
    ) -> None:
        self.role, self.peer, self.post, self.message_timeout = role, peer, post, message_timeout
        self.reader, self.writer = streams
        self.loop = asyncio.get_running_loop()
        self.opened_at = self.last_received_at = self.loop.time()
        self.close_reason: CloseReason | None = None
        self.read_credit = asyncio.Semaphore(MAX_UNPROCESSED)
        self.partial_message = bytearray(partial_message)  # of a message that is not whole yet
        self.read_bytes = len(self.partial_message)
        self.splitting = False  # there may be whole messages in ``begun``
        self.message_ends: deque[int] = deque()  # where each message ends that was read and not taken yet
        self.processed_bytes = 0
        self.processed_callbacks: deque[tuple[int, Callable[[], None]]] = (
            deque()
        )  # told once so much was taken
        self.write_timer: asyncio.TimerHandle | None = None
        self.read_loop_reason, self.read_loop_detail = (
            CloseReason.SHUTDOWN,
            "",
        )  # as a pump that never began has ended
        self.task = self.loop.create_task(self._read_loop(), name=f"link {role} {peer}")
        self.task.add_done_callback(self._read_loop_ended)

    async def _read(self, begun_at: float | None) -> bytes:
        """The next bytes; a message that was begun must be whole within ``stall`` s, or the peer has stopped.

        Guards against half a message, behind which nothing on the link can be read, and against endless ones.
        The short second wait is for this process: had it been held up, the bytes may lie ready all the same.
        """
        if begun_at is None:
            return await self.reader.read(MOST_BYTES)
        try:
            async with asyncio.timeout_at(begun_at + self.message_timeout):
                return await self.reader.read(MOST_BYTES)
        except TimeoutError:
            async with asyncio.timeout(STALL_RECHECK):
                return await self.reader.read(MOST_BYTES)

    async def _read_loop(self) -> None:
        """Read until the link's end, and leave its reason behind for ``_pump_ended``."""
        self.read_loop_reason = CloseReason.INTERNAL
        try:
            await self._post_messages()
            self.read_loop_reason = CloseReason.TRUNCATED if self.partial_message else CloseReason.PEER_CLOSED
        except TimeoutError:
            self.read_loop_reason = CloseReason.STALLED
        except CodecError as error:
            self.read_loop_reason, self.read_loop_detail = CloseReason.MALFORMED, str(error)
        except (ConnectionResetError, BrokenPipeError):
            self.read_loop_reason = CloseReason.PEER_RESET
        except OSError as error:
            self.read_loop_reason, self.read_loop_detail = CloseReason.IO_ERROR, str(error)
        except asyncio.CancelledError:
            self.read_loop_reason = CloseReason.SHUTDOWN
            raise
        except Exception as error:  # one bad peer must not take the program down
            self.read_loop_detail = repr(error)

    async def _post_messages(self) -> None:
        begun = self.partial_message
        begun_at = self.opened_at if begun else None
        while data := await self._read(begun_at):
            at, now = unix_ms(), self.loop.time()
            begun += data
            self.read_bytes += len(data)
            self.splitting = True
            for body in split(begun):
                self.last_received_at, begun_at = now, None
                message = read_message(body)
                self.message_ends.append(self.read_bytes - len(begun))
                await self.read_credit.acquire()
                self.post(Received(self, message, at))
            self.splitting = False
            self._notify_processed()
            begun_at = (begun_at or now) if begun else None

    def _read_loop_ended(self, _: asyncio.Task[None]) -> None:
        """The one end of the link, also where the pump was cancelled before its first step.

        Guards against an actor that keeps a link for ever: one that came in the turn in which it was handed
        over.
        """
        self.close(self.read_loop_reason)
        reason = self.close_reason or self.read_loop_reason
        log_connection_closed(
            self.role, self.peer, reason, self.read_loop_detail if reason is self.read_loop_reason else ""
        )
        self.post(LinkEnded(self, reason))

    @property
    def alive(self) -> bool:
        return self.close_reason is None

    def message_processed(self) -> None:
        """The actor has taken one message, and passed on what it says."""
        self.processed_bytes = self.message_ends.popleft()
        self.read_credit.release()
        self._notify_processed()

    @property
    def unprocessed(self) -> int:
        """Messages that were read and that the actor has not taken yet."""
        return len(self.message_ends)

    # ---- the peer as who offered a call (attempt_messages.Client) ---------------------------------------

    def check_presence(self) -> Presence:
        """Whether the peer is still there, asked of the system itself.

        Guards against attempts for callers that have gone: an end, or a give-up, that came while the process
        stood still or was busy lies unread when the timers act that came due meanwhile; an end may lie behind
        bytes that are not read yet, on a link that reads no more. The end of the peer's sending side counts
        as its end: a half-close can't be told from a close.
        """
        if self.close_reason is CloseReason.HANDED_OVER:
            return Presence.PRESENT  # as far as this process can tell: its end is the successor's to tell
        if not self.alive or self.writer.is_closing() or self.reader.at_eof() or self._peer_closed():
            return Presence.LEFT
        return Presence.UNPROCESSED_INPUT if self._has_unprocessed_input() else Presence.PRESENT

    def when_processed(self, callback: Callable[[], None]) -> None:
        """Call ``then`` once all was taken that lies here, or in the system, by now."""
        mark = self.read_bytes + len(self._buffered) + self._kernel_buffered_bytes()
        self.processed_callbacks.append((mark, callback))

    @property
    def _buffered(self) -> bytearray:
        buffered: bytearray = self.reader._buffer  # type: ignore[attr-defined]  # nothing public tells of it
        return buffered

    def _poll(self, events: int) -> int:
        poll = select.poll()
        poll.register(self.descriptor, events)
        return next((found for _, found in poll.poll(0)), 0)

    def _peer_closed(self) -> bool:
        return bool(self._poll(select.POLLRDHUP) & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))

    def _has_unprocessed_input(self) -> bool:
        return bool(self.message_ends or self._buffered or self._poll(select.POLLIN) & select.POLLIN)

    def _kernel_buffered_bytes(self) -> int:
        """Bytes that lie unread in the system."""
        try:
            return int.from_bytes(fcntl.ioctl(self.descriptor, termios.FIONREAD, bytes(4)), sys.byteorder)
        except OSError:
            return 1  # it can't tell how many: at least the next read

    def _notify_processed(self) -> None:
        """Tell those whose mark was taken: all messages up to it, but for one that is not whole yet."""
        heard = self.processed_bytes if self.message_ends or self.splitting else self.read_bytes
        while self.processed_callbacks and self.processed_callbacks[0][0] <= heard:
            self.processed_callbacks.popleft()[1]()

    @property
    def at_rest(self) -> bool:
        """Whether all that came was taken, down to the bytes that lie unread in the system: a link may be
        closed then without anything of the peer's being lost."""
        if self.partial_message or self.unprocessed or self._buffered or self.blocked:
            return False
        return not self._poll(select.POLLIN)

    def pause(self) -> None:
        """Read no more from the system: what comes waits there."""
        if not self.writer.is_closing():
            self.writer.transport.pause_reading()  # type: ignore[attr-defined]

    @property
    def descriptor(self) -> int:
        return int(self.writer.get_extra_info("socket").fileno())

    @property
    def movable(self) -> bool:
        """Whether a paused link can go to another process: all that was read was taken, but for ``begun``."""
        return self.alive and not (self.unprocessed or self._buffered or self.blocked)

    @property
    def blocked(self) -> bool:
        """Whether bytes wait here because the peer takes none."""
        return self.writer.transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Write now; a peer that does not read is given up after WRITE_LIMIT and delays nobody else."""
        if not self.alive or self.writer.is_closing():
            return
        self.writer.write(data)
        if self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close(CloseReason.BLOCKED)
        elif self.blocked and self.write_timer is None:
            self.write_timer = self.loop.call_later(WRITE_TIMEOUT, self._write_timed_out)

    def _write_timed_out(self) -> None:
        self.write_timer = None
        if self.blocked:
            self.close(CloseReason.BLOCKED)

    def hand_over(self) -> None:
        """Leave the connection to another process, which has its descriptor: nothing is sent, nor an end."""
        if self.close_reason is not None:
            return
        self.close_reason = CloseReason.HANDED_OVER
        if self.write_timer is not None:
            self.write_timer.cancel()
        while self.processed_callbacks:
            self.processed_callbacks.popleft()[1]()
        self.task.cancel()
        self.writer.transport.abort()

    def close(self, reason: CloseReason) -> None:
        """End the link; the first reason given is the one that is logged."""
        if self.close_reason is not None:
            return
        self.close_reason = reason
        if self.write_timer is not None:
            self.write_timer.cancel()
        if self.blocked:
            self.writer.transport.abort()
        else:
            self.writer.close()
