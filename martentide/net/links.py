"""One connection that carries signalling messages, to a caller or to a session server.

A ``Link`` belongs to one actor: it posts received messages to its mailbox and never blocks on writes.
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
from martentide.codec.messages import MAX_MESSAGE_BYTES, Message, read_message, read_type, split
from martentide.net.close_reason import CloseReason, log_connection_closed
from martentide.net.memory_budget import MemoryAccount

MAX_UNPROCESSED = 16  # messages of one connection waiting in the mailbox at which it stops reading
MEMORY_RECHECK = 0.01  # s between checks whether there is memory for the next message
MAX_UNSENT_BYTES = 256 * 1024  # buffered for a peer that does not read, before its connection is closed
STALL_RECHECK = 0.01  # s more to read bytes that are already there when the time for a message runs out
WRITE_TIMEOUT = 2.0  # s in which buffered bytes must have been sent, or the peer counts as blocked


def unix_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000.0


@dataclass(frozen=True, slots=True)
class Received:
    """A complete message was received; its last byte was read at ``received_at`` (Unix ms).

    ``duration`` is the time in s since its first byte was read.
    """

    link: Link
    message: Message
    received_at: float
    duration: float = 0.0


@dataclass(frozen=True, slots=True)
class Stalled:
    """A message was not complete in time; the owner of the connection decides what follows."""

    link: Link


@dataclass(frozen=True, slots=True)
class LinkEnded:
    """A connection has ended; no further message is posted for it."""

    link: Link
    reason: CloseReason


class Link:
    """Reads complete messages, writes without blocking, and ends once, with one reason and one log line.

    A message should be complete within ``message_timeout`` s. If one is not, ``Stalled`` is posted once for
    it, and the connection is read on until its owner closes it. ``partial_message`` holds the bytes of a
    message that another process has already read. ``memory`` is charged for messages that wait to be
    processed and for unsent bytes, each of which is bounded by itself too. Also implements
    attempt_messages.Client for callers' connections.
    """

    def __init__(
        self,
        role: str,
        peer: str,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        post: Callable[[Received | Stalled | LinkEnded], None],
        message_timeout: float,
        partial_message: bytes = b"",
        memory: MemoryAccount | None = None,
    ) -> None:
        self.role, self.peer, self.post, self.message_timeout = role, peer, post, message_timeout
        self.reader, self.writer = streams
        self.loop = asyncio.get_running_loop()
        self.opened_at = self.last_received_at = self.last_byte_at = self.loop.time()
        self.close_reason: CloseReason | None = None
        self.memory = memory
        # One read of asyncio's transport would otherwise buffer up to 256 KiB.
        self.writer.transport.max_size = MAX_MESSAGE_BYTES  # type: ignore[attr-defined]
        self.unsent_charged = 0  # bytes charged to ``memory`` for unsent output
        self.read_credit = asyncio.Semaphore(MAX_UNPROCESSED)
        self.partial_message = bytearray(partial_message)  # bytes of an incomplete message
        # Loop time at which its first byte was read; None if there is none.
        self.partial_since = self.opened_at if partial_message else None
        self.read_bytes = len(self.partial_message)
        self.stalled = False  # whether ``partial_message`` was not complete in time
        self.splitting = False  # whether ``partial_message`` may hold complete messages
        self.message_ends: deque[int] = deque()  # byte offsets of the ends of unprocessed messages
        self.message_sizes: deque[int] = deque()  # their sizes in bytes
        self.processed_bytes = 0
        # Byte offsets, with a callback for each that is called once the input up to it was processed.
        self.processed_callbacks: deque[tuple[int, Callable[[], None]]] = deque()
        self.write_timer: asyncio.TimerHandle | None = None
        # SHUTDOWN is the reason of a read loop that was cancelled before its first step.
        self.read_loop_reason, self.read_loop_detail = CloseReason.SHUTDOWN, ""
        self.task = self.loop.create_task(self._read_loop(), name=f"link {role} {peer}")
        self.task.add_done_callback(self._read_loop_ended)

    async def _read(self) -> bytes:
        """Read the next bytes; post ``Stalled`` if a message takes longer than ``message_timeout`` s.

        This detects incomplete messages, behind which nothing on the connection can be read, and endless
        ones. The short second read is for the case that this process was held up and the bytes are already
        there.
        """
        if self.partial_since is None or self.stalled:
            return await self.reader.read(MAX_MESSAGE_BYTES)
        try:
            async with asyncio.timeout_at(self.partial_since + self.message_timeout):
                return await self.reader.read(MAX_MESSAGE_BYTES)
        except TimeoutError:
            pass
        try:
            async with asyncio.timeout(STALL_RECHECK):
                return await self.reader.read(MAX_MESSAGE_BYTES)
        except TimeoutError:
            self.stalled = True
            self.post(Stalled(self))
        return await self.reader.read(MAX_MESSAGE_BYTES)

    async def _read_loop(self) -> None:
        """Read until the connection ends, and store the reason for ``_read_loop_ended``."""
        self.read_loop_reason = CloseReason.INTERNAL
        try:
            await self._post_messages()
            self.read_loop_reason = CloseReason.TRUNCATED if self.partial_message else CloseReason.PEER_CLOSED
        except CodecError as error:
            self.read_loop_reason, self.read_loop_detail = CloseReason.MALFORMED, str(error)
        except (ConnectionResetError, BrokenPipeError):
            self.read_loop_reason = CloseReason.PEER_RESET
        except OSError as error:
            self.read_loop_reason, self.read_loop_detail = CloseReason.IO_ERROR, str(error)
        except asyncio.CancelledError:
            self.read_loop_reason = CloseReason.SHUTDOWN
            raise
        except Exception as error:  # one bad peer must not bring the process down
            self.read_loop_detail = repr(error)

    async def _post_messages(self) -> None:
        partial = self.partial_message
        while data := await self._read():
            received_at, now = unix_ms(), self.loop.time()
            self.last_byte_at = now
            partial += data
            self.read_bytes += len(data)
            self.splitting = True
            for body in split(partial):
                duration = 0.0 if self.partial_since is None else now - self.partial_since
                self.last_received_at, self.partial_since, self.stalled = now, None, False
                message = read_message(body)
                self.message_ends.append(self.read_bytes - len(partial))
                self.message_sizes.append(len(body))
                await self.read_credit.acquire()
                await self._take_memory(len(body))
                self.post(Received(self, message, received_at, duration))
            self.splitting = False
            self._notify_processed()
            if not partial:
                self.partial_since = None
            elif self.partial_since is None:
                self.partial_since = now

    async def _take_memory(self, size: int) -> None:
        """Wait until a message of that size may be held, and charge it.

        The wait ends, as the messages that this connection already holds are processed meanwhile.
        """
        if self.memory is None:
            return
        while not self.memory.may_take(size) and len(self.message_sizes) > 1:
            await asyncio.sleep(MEMORY_RECHECK)
        self.memory.add(size)

    def _read_loop_ended(self, _: asyncio.Task[None]) -> None:
        """End the connection, also if the read loop was cancelled before its first step.

        Otherwise an actor would keep for ever a connection that was accepted and handed over in the same turn
        of the event loop.
        """
        self.close(self.read_loop_reason)
        # Timers may still refer to this object for a while.
        self.partial_message.clear()
        self._buffered.clear()
        if self.memory is not None:
            self.memory.close()
        reason = self.close_reason or self.read_loop_reason
        log_connection_closed(
            self.role, self.peer, reason, self.read_loop_detail if reason is self.read_loop_reason else ""
        )
        self.post(LinkEnded(self, reason))

    @property
    def alive(self) -> bool:
        """Whether the connection has not been closed or handed over."""
        return self.close_reason is None

    def message_processed(self) -> None:
        """Note that the actor has processed the oldest unprocessed message."""
        self.processed_bytes = self.message_ends.popleft()
        size = self.message_sizes.popleft()
        if self.memory is not None:
            self.memory.add(-size)
        self.read_credit.release()
        self._notify_processed()

    @property
    def partial_type(self) -> int | None:
        """The type of the incomplete message, if that much of it was read."""
        return read_type(self.partial_message)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes that the peer sent wait in a buffer of this process or of the kernel."""
        return bool(self._buffered or self._poll(select.POLLIN) & select.POLLIN)

    @property
    def unprocessed(self) -> int:
        """The number of messages that were read and that the actor has not processed yet."""
        return len(self.message_ends)

    # ---- the peer as a call's client (attempt_messages.Client) ------------------------------------------

    def check_presence(self) -> Presence:
        """Return whether the peer still waits, checked with the kernel.

        Prevents attempts for callers that have gone. After the process was paused or busy, an end of the
        connection or a give-up may still be unread when timers fire that came due meanwhile. An end may also
        follow unread bytes on a connection that has stopped reading. The end of the peer's sending side
        counts as its end, because a half-close can't be distinguished from a close.
        """
        if self.close_reason is CloseReason.HANDED_OVER:
            return Presence.PRESENT  # the successor has the connection now and reports its end
        if not self.alive or self.writer.is_closing() or self.reader.at_eof() or self._peer_closed():
            return Presence.LEFT
        return Presence.UNPROCESSED_INPUT if self._has_unprocessed_input() else Presence.PRESENT

    def when_processed(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once all input was processed that is buffered here or in the kernel by now."""
        offset = self.read_bytes + len(self._buffered) + self._kernel_buffered_bytes()
        self.processed_callbacks.append((offset, callback))

    @property
    def _buffered(self) -> bytearray:
        buffered: bytearray = self.reader._buffer  # type: ignore[attr-defined]  # there is no public API for it
        return buffered

    def _poll(self, events: int) -> int:
        poll = select.poll()
        poll.register(self.descriptor, events)
        return next((found for _, found in poll.poll(0)), 0)

    def _peer_closed(self) -> bool:
        return bool(self._poll(select.POLLRDHUP) & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))

    def _has_unprocessed_input(self) -> bool:
        return bool(self.message_ends or self.has_unread_bytes)

    def _kernel_buffered_bytes(self) -> int:
        """Return the number of unread bytes in the kernel."""
        try:
            return int.from_bytes(fcntl.ioctl(self.descriptor, termios.FIONREAD, bytes(4)), sys.byteorder)
        except OSError:
            return 1  # the number is unknown: wait for at least the next read

    def _notify_processed(self) -> None:
        """Run each callback whose offset the processed input has reached."""
        processed = self.processed_bytes if self.message_ends or self.splitting else self.read_bytes
        while self.processed_callbacks and self.processed_callbacks[0][0] <= processed:
            self.processed_callbacks.popleft()[1]()

    @property
    def at_rest(self) -> bool:
        """Whether all input was processed and none is unread in the kernel, so that closing loses nothing."""
        if self.partial_message or self.unprocessed or self._buffered or self.blocked:
            return False
        return not self._poll(select.POLLIN)

    def pause(self) -> None:
        """Stop reading; further input stays in the kernel."""
        if not self.writer.is_closing():
            self.writer.transport.pause_reading()  # type: ignore[attr-defined]

    @property
    def descriptor(self) -> int:
        """The file descriptor of the socket."""
        return int(self.writer.get_extra_info("socket").fileno())

    @property
    def movable(self) -> bool:
        """Whether a paused connection can move: ``partial_message`` is its only unprocessed input."""
        return self.alive and not (self.unprocessed or self._buffered or self.blocked)

    @property
    def blocked(self) -> bool:
        """Whether unsent bytes are buffered because the peer does not read."""
        return self.writer.transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Write without blocking, so that a peer that does not read delays nobody else.

        Its connection is closed after WRITE_TIMEOUT, or once more than MAX_UNSENT_BYTES are buffered.
        """
        if not self.alive or self.writer.is_closing():
            return
        self.writer.write(data)
        if self._has_too_much_unsent():
            self.close(CloseReason.BLOCKED)
        elif self.blocked and self.write_timer is None:
            self.write_timer = self.loop.call_later(WRITE_TIMEOUT, self._write_timed_out)

    def _has_too_much_unsent(self) -> bool:
        """Return whether the unsent bytes exceed their limit, or the share of the memory if it is short."""
        unsent = self._charge_unsent()
        if self.memory is None:
            return unsent > MAX_UNSENT_BYTES
        budget = self.memory.budget
        short = budget.short and unsent > max(MAX_MESSAGE_BYTES, budget.share)
        return unsent > MAX_UNSENT_BYTES or short

    def _charge_unsent(self) -> int:
        """Charge the bytes that are unsent now, and return their number."""
        unsent: int = self.writer.transport.get_write_buffer_size()
        if self.memory is not None:
            self.memory.add(unsent - self.unsent_charged)
            self.unsent_charged = unsent
        return unsent

    def _write_timed_out(self) -> None:
        self.write_timer = None
        self._charge_unsent()
        if self.blocked:
            self.close(CloseReason.BLOCKED)

    def hand_over(self) -> None:
        """Leave the connection to another process that has its descriptor; sends nothing, not even an end."""
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
        """Close the connection; the first reason given is the one that is logged."""
        if self.close_reason is not None:
            return
        self.close_reason = reason
        if self.write_timer is not None:
            self.write_timer.cancel()
        if self.blocked:
            self.writer.transport.abort()
        else:
            self.writer.close()
