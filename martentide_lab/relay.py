"""A TCP relay between a client and a server, that a test can cut or freeze as a network would."""

from __future__ import annotations

import asyncio
import socket


class Relay:
    """Passes bytes both ways. ``cut`` resets what is open; ``freeze`` keeps it open and passes nothing, both
    ways or one: ``there`` to the target, ``back`` from it."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.there, self.back = asyncio.Event(), asyncio.Event()
        self.thaw()
        self.cuts = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, back}
        for source, sink, flows in ((reader, back, self.there), (there, writer, self.back)):
            task = asyncio.get_running_loop().create_task(self._pass(source, sink, flows))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, flows: asyncio.Event
    ) -> None:
        try:
            while data := await source.read(65536):
                await flows.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(sink)
            sink.close()

    def cut(self) -> None:
        """Reset all that is open; new connections are taken as before."""
        self.cuts += 1
        for writer in tuple(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.writers.clear()

    def freeze(self, there: bool = True, back: bool = True) -> None:
        """Pass nothing in these directions; what is not named passes."""
        (self.there.clear if there else self.there.set)()
        (self.back.clear if back else self.back.set)()

    def thaw(self) -> None:
        self.freeze(False, False)

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.cut()
        for task in tuple(self.tasks):
            task.cancel()
