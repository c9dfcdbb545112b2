"""The listener for operator calls, an actor of its own so that a flood of callers does not block it.

Each connection carries one call and has one timeout. Beyond the limit of connections the oldest one whose
call is incomplete is closed, so that clients that send nothing or a partial call neither delay nor displace a
complete call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from martentide.codec.control import ControlCall, Refused, Request
from martentide.net.close_reason import LOG, CloseReason, log_connection_closed
from martentide.net.config import Address
from martentide.net.listeners import bind_socket

CALL_TIMEOUT = 0.8  # s to receive a complete call; every answer is due within 1 s
LINGER_TIMEOUT = 0.3  # s for the client to read its answer and close
ACCEPT_BACKLOG = 256  # connections in the kernel's accept queue
READ_SIZE = 4096  # bytes

CallHandler = Callable[[str, bytes], Awaitable[tuple[int, str]]]


class OperatorListener:
    """Serves operator calls over HTTP.

    ``handle_call`` carries out a call, given its path and body, and returns an HTTP status and a text.
    """

    def __init__(self, handle_call: CallHandler, max_connections: int) -> None:
        self.handle_call, self.max_connections = handle_call, max_connections
        # Tasks whose call is not complete yet, oldest first.
        self.incomplete: dict[asyncio.Task[None], None] = {}
        self.open_calls: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start serving on ``address``. Raises OSError."""
        # asyncio accepts up to ``backlog`` connections per wakeup. The kernel's queue is longer, because a
        # connect dropped from a full queue is retried only after a second, too late for an answer in time.
        listener = bind_socket(address)
        self.server = await asyncio.start_server(
            self._serve, sock=listener, backlog=self.max_connections, limit=READ_SIZE
        )
        listener.listen(ACCEPT_BACKLOG)

    def addresses(self) -> list[tuple[str, int]]:
        """Return the bound addresses."""
        return [sock.getsockname()[:2] for sock in self.server.sockets] if self.server else []

    def close(self) -> None:
        """Stop accepting calls."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.incomplete[task] = None
        self.open_calls.add(task)
        if len(self.open_calls) > self.max_connections:
            # Answered connections close within LINGER_TIMEOUT, so only incomplete calls are cut off.
            oldest = next(iter(self.incomplete))
            self.incomplete.pop(oldest)
            oldest.cancel()
        reason = CloseReason.INTERNAL
        try:
            reason = await self._call(task, reader, writer)
        except asyncio.CancelledError:
            reason = CloseReason.TOO_MANY
        except (ConnectionResetError, BrokenPipeError):
            reason = CloseReason.PEER_RESET
        except OSError:
            reason = CloseReason.IO_ERROR
        except Exception:  # a failing call must not stop the listener
            LOG.exception("internal-error operator's call")
        finally:
            self.incomplete.pop(task, None)
            self.open_calls.discard(task)
            writer.transport.abort()
            peer = writer.get_extra_info("peername") or ("unknown", 0)
            log_connection_closed("operator", f"{peer[0]}:{peer[1]}", reason)

    async def _call(
        self, task: asyncio.Task[None], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> CloseReason:
        call = ControlCall()
        outcome: Request | Refused | None = None
        received_any = False
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                while outcome is None:
                    data = await reader.read(READ_SIZE)
                    if not data and not received_any:
                        return CloseReason.PEER_CLOSED
                    received_any = True
                    outcome = call.feed(data)
        except TimeoutError:
            if not received_any:
                return CloseReason.MUTE
            outcome = Refused(408, f"the call was not complete within {CALL_TIMEOUT:g} s")
        self.incomplete.pop(task, None)
        if isinstance(outcome, Request):
            status, text = await self.handle_call(outcome.path, outcome.body)
            writer.write(call.answer(status, text))
        else:
            writer.write(call.answer(outcome.status, outcome.text, outcome.allow))
        # Let the client close first: closing with unread bytes would reset the connection and could lose the
        # answer.
        writer.write_eof()
        try:
            async with asyncio.timeout(LINGER_TIMEOUT):
                while await reader.read(READ_SIZE):
                    pass
        except TimeoutError:
            pass
        return CloseReason.ANSWERED if isinstance(outcome, Request) else CloseReason.TURNED_DOWN
