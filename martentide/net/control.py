"""The operator's listener: an actor of its own, so that no flood of callers keeps it from answering.

One call a connection. Each has one timer; beyond ``most`` the oldest unfinished one goes, so that callers
who send nothing or half a call neither delay nor displace one that is whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from martentide.codec.control import ControlCall, Refused, Request
from martentide.net.close_reason import LOG, CloseReason, log_connection_closed
from martentide.net.config import Address
from martentide.net.listeners import bound

CALL_TIMEOUT = 0.8  # s in which a call must be whole; every answer is owed within 1 s
LINGER_TIMEOUT = 0.3  # s for the caller to take its answer and close
ACCEPT_BACKLOG = 256  # connections that wait in the system to be accepted
READ_SIZE = 4096  # bytes read at a time

CallHandler = Callable[[str, bytes], Awaitable[tuple[int, str]]]


class OperatorListener:
    """``ask`` carries a call out, named by its path, with its body, and gives its status and text."""

    def __init__(self, handle_call: CallHandler, max_connections: int) -> None:
        self.handle_call, self.max_connections = handle_call, max_connections
        self.incomplete: dict[asyncio.Task[None], None] = {}  # calls that are not whole yet, oldest first
        self.open_calls: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        # So many are accepted at a time, whatever waits. The queue of those that wait is long: where it is
        # full the system drops a connect, which is tried again a second later, too late for its answer.
        listener = bound(address)
        self.server = await asyncio.start_server(
            self._serve, sock=listener, backlog=self.max_connections, limit=READ_SIZE
        )
        listener.listen(ACCEPT_BACKLOG)

    def addresses(self) -> list[tuple[str, int]]:
        return [sock.getsockname()[:2] for sock in self.server.sockets] if self.server else []

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.incomplete[task] = None
        self.open_calls.add(task)
        if len(self.open_calls) > self.max_connections:
            # What is over and lingers goes by itself within LINGER: only a half call is cut off for room.
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
        except Exception:  # one bad call must not take the listener down
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
            outcome = Refused(408, f"the call was not whole within {CALL_TIMEOUT:g} s")
        self.incomplete.pop(task, None)
        if isinstance(outcome, Request):
            status, text = await self.handle_call(outcome.path, outcome.body)
            writer.write(call.answer(status, text))
        else:
            writer.write(call.answer(outcome.status, outcome.text, outcome.allow))
        # The caller closes first, if it will: bytes of its that were left unread would reset the connection
        # and might take the answer with them.
        writer.write_eof()
        try:
            async with asyncio.timeout(LINGER_TIMEOUT):
                while await reader.read(READ_SIZE):
                    pass
        except TimeoutError:
            pass
        return CloseReason.ANSWERED if isinstance(outcome, Request) else CloseReason.TURNED_DOWN
