"""The client of the discovery service, which announces changes of the list of session servers.

The client resumes after the last notice number it has received and reconnects as often as needed. The service
sends a frame each second; a connection without frames is treated as dead, even if TCP reports no error.
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

SILENCE_TIMEOUT = 2.2  # s without a frame after which the connection is closed
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
class AddressChanged:
    """The discovery service has another address; its notice numbers continue."""

    address: Address


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
        self.mailbox: asyncio.Queue[Notice | ConnectionEnded | AddressChanged] = asyncio.Queue()
        self.connection_task: asyncio.Task[None] | None = None
        self.attempt = 0

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
                if self.connection_task is not None:
                    self.connection_task.cancel()
                self._connect(0.0)
            elif isinstance(item, ConnectionEnded):
                if item.attempt == self.attempt:  # else a change of address has replaced it
                    self._connect(
                        random.uniform(*(FAST_RECONNECT_DELAY if item.healthy else RECONNECT_DELAY))
                    )
            elif item.number > self.last_number:  # ignore notices received before
                self.last_number = item.number
                self.on_notice(item)

    def _connect(self, delay: float) -> None:
        self.attempt += 1
        self.connection_task = asyncio.create_task(self._follow_notices(self.attempt, delay), name="board")

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
                async with asyncio.timeout(SILENCE_TIMEOUT):
                    head = await reader.readexactly(LENGTH.size)
                    body = await reader.readexactly(frame_length(head))
                notice, received_any = read_frame(body, self.zones), True
                if notice is not None:
                    self.mailbox.put_nowait(notice)
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
            reason = CloseReason.SHUTDOWN if attempt == self.attempt else CloseReason.MOVED
            raise
        except Exception:
            LOG.exception("internal-error board")
        finally:
            if writer is not None:
                writer.close()
            long_lived = asyncio.get_running_loop().time() - started_at >= MIN_LIFETIME
            log_connection_closed("board", str(address), reason, detail)
            self.mailbox.put_nowait(ConnectionEnded(attempt, received_any and long_lived))
