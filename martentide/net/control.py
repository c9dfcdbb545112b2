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

CALL_LIMIT = 0.8  # s in which a call must be whole; every answer is owed within 1 s
LINGER = 0.3  # s for the caller to take its answer and close
WAITING = 256  # connections that wait in the system to be accepted
AT_ONCE = 4096  # bytes read at a time

Ask = Callable[[str, bytes], Awaitable[tuple[int, str]]]


class Control:
    """``ask`` carries a call out, named by its path, with its body, and gives its status and text."""

    def __init__(self, ask: Ask, most: int) -> None:
        self.ask, self.most = ask, most
        self.unfinished: dict[asyncio.Task[None], None] = {}  # calls that are not whole yet, oldest first
        self.open: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        # So many are accepted at a time, whatever waits. The queue of those that wait is long: where it is
        # full the system drops a connect, which is tried again a second later, too late for its answer.
        listener = bound(address)
        self.server = await asyncio.start_server(self._serve, sock=listener, backlog=self.most, limit=AT_ONCE)
        listener.listen(WAITING)

    def addresses(self) -> list[tuple[str, int]]:
        return [sock.getsockname()[:2] for sock in self.server.sockets] if self.server else []

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.unfinished[task] = None
        self.open.add(task)
        if len(self.open) > self.most:
            # What is over and lingers goes by itself within LINGER: only a half call is cut off for room.
            oldest = next(iter(self.unfinished))
            self.unfinished.pop(oldest)
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
            self.unfinished.pop(task, None)
            self.open.discard(task)
            writer.transport.abort()
            peer = writer.get_extra_info("peername") or ("unknown", 0)
            log_connection_closed("operator", f"{peer[0]}:{peer[1]}", reason)

    async def _call(
        self, task: asyncio.Task[None], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> CloseReason:
        call = ControlCall()
        said: Request | Refused | None = None
        began = False
        try:
            async with asyncio.timeout(CALL_LIMIT):
                while said is None:
                    data = await reader.read(AT_ONCE)
                    if not data and not began:
                        return CloseReason.PEER_CLOSED
                    began = True
                    said = call.feed(data)
        except TimeoutError:
            if not began:
                return CloseReason.MUTE
            said = Refused(408, f"the call was not whole within {CALL_LIMIT:g} s")
        self.unfinished.pop(task, None)
        if isinstance(said, Request):
            status, text = await self.ask(said.path, said.body)
            writer.write(call.answer(status, text))
        else:
            writer.write(call.answer(said.status, said.text, said.allow))
        # The caller closes first, if it will: bytes of its that were left unread would reset the connection
        # and might take the answer with them.
        writer.write_eof()
        try:
            async with asyncio.timeout(LINGER):
                while await reader.read(AT_ONCE):
                    pass
        except TimeoutError:
            pass
        return CloseReason.ANSWERED if isinstance(said, Request) else CloseReason.TURNED_DOWN
