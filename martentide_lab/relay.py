"""A TCP relay between a client and a server, that a test can cut or freeze as a network would."""

from __future__ import annotations

import asyncio
import socket


class Relay:
    """Passes bytes both ways. ``reset_connections`` resets what is open; ``pause`` keeps it open and passes
    nothing, both ways or one: ``forward`` to the target, ``backward`` from it."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.forward_open, self.backward_open = asyncio.Event(), asyncio.Event()
        self.resume()
        self.resets = 0

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
        for source, sink, flows in ((reader, back, self.forward_open), (there, writer, self.backward_open)):
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

    def reset_connections(self) -> None:
        """Reset all that is open; new connections are taken as before."""
        self.resets += 1
        for writer in tuple(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.writers.clear()

    def pause(self, forward: bool = True, backward: bool = True) -> None:
        """Pass nothing in these directions; what is not named passes."""
        (self.forward_open.clear if forward else self.forward_open.set)()
        (self.backward_open.clear if backward else self.backward_open.set)()

    def resume(self) -> None:
        self.pause(False, False)

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset_connections()
        for task in tuple(self.tasks):
            task.cancel()
