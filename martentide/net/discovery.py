"""The client of the discovery service, which announces changes of the list of session servers.

The client resumes after the last notice number it has received and reconnects as often as needed. The service
sends a frame each second. A connection without frames may be dead, even if TCP reports no error, or slow:
another one is opened beside it, and the first of them on which a frame arrives is kept.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from martentide.codec import CodecError
from martentide.codec.discovery import LENGTH, Notice, frame_length, read_frame, write_number
from martentide.net.close_reason import LOG, CloseReason, log_connection_closed
from martentide.net.config import Address

SILENCE_TIMEOUT = 2.2  # s without a frame after which another connection is opened beside this one
# s without a frame after which the connection is closed; as long as a notice may take to arrive.
MAX_SILENCE = 7.0
RECONNECT_DELAY = (0.1, 0.4)  # s; range of the random delay
# s; range of the delay after a connection that delivered a frame and lasted MIN_LIFETIME s; short because the
# service counts a change as announced once it is listed, and the grace of a drain may be less than
# RECONNECT_DELAY. The minimum lifetime prevents a tight reconnect loop.
FAST_RECONNECT_DELAY, MIN_LIFETIME = (0.0, 0.05), 0.5


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The ``attempt``-th connection has ended or could not be opened.

    ``healthy``: it delivered a frame and lasted at least MIN_LIFETIME.
    """

    attempt: int
    healthy: bool


@dataclass(frozen=True, slots=True)
class ConnectionSilent:
    """No frame has come on the ``attempt``-th connection for SILENCE_TIMEOUT."""

    attempt: int


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """The ``attempt``-th connection delivered a frame; ``notice`` is None if it says nothing new."""

    attempt: int
    notice: Notice | None


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """The discovery service has another address; its notice numbers continue."""

    address: Address


Item = ConnectionEnded | ConnectionSilent | FrameReceived | AddressChanged


class DiscoveryClient:
    """The actor that follows the discovery service and passes each new notice to ``on_notice``."""

    def __init__(
        self,
        address: Address,
        last_number: int,
        zones: tuple[str, ...],
        connect_timeout: float,
        on_notice: Callable[[Notice], None],
        on_dial_error: Callable[[OSError], object] = lambda error: None,
    ) -> None:
        self.address, self.last_number, self.zones, self.on_notice = address, last_number, zones, on_notice
        self.connect_timeout = connect_timeout
        self.on_dial_error = on_dial_error  # gets errors such as a shortage of descriptors
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue()
        self.connections: dict[int, asyncio.Task[None]] = {}  # by number of the attempt, the newest last
        self.attempt = self.last_attempt = 0  # the connection that may bring about another one; the newest

    def post(self, item: AddressChanged) -> None:
        """Queue a change of address."""
        self.mailbox.put_nowait(item)

    async def run(self) -> None:
        """Follow the discovery service until cancelled."""
        self._connect(0.0)
        while True:
            item = await self.mailbox.get()
            if isinstance(item, AddressChanged):
                # The service at the old address may keep the connection open without sending notices.
                self.address = item.address
                self._close_all_but(None)
                self._connect(0.0)
            elif isinstance(item, ConnectionEnded):
                self.connections.pop(item.attempt, None)
                if item.attempt == self.attempt:  # else another one has replaced it
                    self._connect(
                        random.uniform(*(FAST_RECONNECT_DELAY if item.healthy else RECONNECT_DELAY))
                    )
            elif isinstance(item, ConnectionSilent):
                if item.attempt == self.attempt:
                    self._connect(0.0)
            else:
                self._frame_received(item)

    def _frame_received(self, item: FrameReceived) -> None:
        if item.attempt in self.connections:  # else another one has replaced it
            self.attempt = item.attempt
            self._close_all_but(item.attempt)
        if item.notice is not None and item.notice.number > self.last_number:  # not one received before
            self.last_number = item.notice.number
            self.on_notice(item.notice)

    def _close_all_but(self, kept: int | None) -> None:
        for attempt in [attempt for attempt in self.connections if attempt != kept]:
            self.connections.pop(attempt).cancel()

    def _connect(self, delay: float) -> None:
        self.attempt = self.last_attempt = self.last_attempt + 1
        task = asyncio.create_task(self._follow_notices(self.attempt, delay), name="board")
        self.connections[self.attempt] = task

    async def _read_body(self, reader: asyncio.StreamReader, attempt: int) -> bytes:
        """Read a frame without its length. Raises TimeoutError after MAX_SILENCE."""
        silent = asyncio.get_running_loop().call_later(
            SILENCE_TIMEOUT, self.mailbox.put_nowait, ConnectionSilent(attempt)
        )
        try:
            async with asyncio.timeout(MAX_SILENCE):
                head = await reader.readexactly(LENGTH.size)
                return await reader.readexactly(frame_length(head))
        finally:
            silent.cancel()

    async def _follow_notices(self, attempt: int, delay: float) -> None:
        """Run one connection, from connecting after ``delay`` s to logging its end."""
        await asyncio.sleep(delay)
        address, started_at = self.address, asyncio.get_running_loop().time()
        writer: asyncio.StreamWriter | None = None
        reason, detail, received_any = CloseReason.INTERNAL, "", False
        try:
            async with asyncio.timeout(self.connect_timeout):
                reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(write_number(self.last_number))
            while True:
                body = await self._read_body(reader, attempt)
                notice, received_any = read_frame(body, self.zones), True
                self.mailbox.put_nowait(FrameReceived(attempt, notice))
        except TimeoutError:
            reason = CloseReason.DIAL_TIMEOUT if writer is None else CloseReason.SILENT
        except asyncio.IncompleteReadError as error:
            whole = not error.partial and error.expected == LENGTH.size
            reason = CloseReason.PEER_CLOSED if whole else CloseReason.TRUNCATED
        except CodecError as error:
            reason, detail = CloseReason.MALFORMED, str(error)
        except ConnectionRefusedError:
            reason = CloseReason.DIAL_REFUSED
        except ConnectionResetError:
            reason = CloseReason.PEER_RESET
        except OSError as error:
            self.on_dial_error(error)
            reason, detail = (CloseReason.DIAL_ERROR if writer is None else CloseReason.IO_ERROR), str(error)
        except asyncio.CancelledError:
            reason = CloseReason.SHUTDOWN if attempt in self.connections else CloseReason.MOVED
            raise
        except Exception:
            LOG.exception("internal-error board")
        finally:
            if writer is not None:
                writer.close()
            long_lived = asyncio.get_running_loop().time() - started_at >= MIN_LIFETIME
            log_connection_closed("board", str(address), reason, detail)
            self.mailbox.put_nowait(ConnectionEnded(attempt, received_any and long_lived))
