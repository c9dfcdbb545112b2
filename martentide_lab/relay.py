"""A TCP relay between a client and a server with which a test simulates network failures."""

from __future__ import annotations

import asyncio
import socket


class Relay:
    """Forwards bytes between clients and ``target``; connections can be reset, or paused in each direction.

    The direction ``forward`` is towards the target, ``backward`` from it.
    """

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
        """Address on which the relay listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, target_writer}
        for source, sink, gate in (
            (reader, target_writer, self.forward_open),
            (target_reader, writer, self.backward_open),
        ):
            task = asyncio.get_running_loop().create_task(self._forward(source, sink, gate))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, gate: asyncio.Event
    ) -> None:
        try:
            while data := await source.read(65536):
                await gate.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(sink)
            sink.close()

    def reset_connections(self) -> None:
        """Reset all open connections; new ones are still accepted."""
        self.resets += 1
        for writer in tuple(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.writers.clear()

    def pause(self, forward: bool = True, backward: bool = True) -> None:
        """Stop forwarding in the given directions, leaving connections open; the others are resumed."""
        (self.forward_open.clear if forward else self.forward_open.set)()
        (self.backward_open.clear if backward else self.backward_open.set)()

    def resume(self) -> None:
        """Forward in both directions."""
        self.pause(False, False)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_connections()
        for task in tuple(self.tasks):
            task.cancel()
