"""The discovery client: its delays before reconnecting and its report of a shortage of descriptors."""

from __future__ import annotations

import asyncio
import errno

import pytest

from martentide.net.config import Address
from martentide.net.discovery import FAST_RECONNECT_DELAY, RECONNECT_DELAY, DiscoveryClient
from tests.net.support import frame


@pytest.mark.parametrize(
    ("sent", "min_lifetime", "delays"),
    [
        # A healthy connection; the later connects fail, since nobody listens.
        (frame(1, 0), 0.0, [FAST_RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY]),
        (b"", 0.0, [RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY]),
        (frame(1, 0)[:5], 0.0, [RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY]),
        # A connection that ended before the minimum lifetime.
        (frame(1, 0), 60.0, [RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY]),
    ],
)
def test_reconnect_is_immediate_after_a_healthy_connection(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, min_lifetime: float, delays: list[tuple[float, float]]
) -> None:
    """Guards against missing a drain with a short grace while disconnected; ``min_lifetime`` is in s."""
    monkeypatch.setattr("martentide.net.discovery.MIN_LIFETIME", min_lifetime)
    drawn: list[tuple[float, float]] = []

    def uniform(least: float, most: float) -> float:
        drawn.append((least, most))
        return 0.0

    monkeypatch.setattr("martentide.net.discovery.random.uniform", uniform)

    async def scenario() -> None:
        async def once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            server.close()
            await reader.readexactly(8)
            writer.write(sent)
            writer.close()

        server = await asyncio.start_server(once, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = DiscoveryClient(Address(host, port), 0, ("east",), 5.0, lambda notice: None)
        task = asyncio.create_task(client.run())
        async with asyncio.timeout(10):
            while len(drawn) < len(delays):
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert drawn[: len(delays)] == delays


def test_shortage_of_descriptors_on_connect_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    reported: list[OSError] = []

    async def refuse(*_: object) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    async def scenario() -> None:
        monkeypatch.setattr(asyncio, "open_connection", refuse)
        client = DiscoveryClient(
            Address("127.0.0.1", 1), 0, ("east",), 5.0, lambda notice: None, reported.append
        )
        task = asyncio.create_task(client.run())
        async with asyncio.timeout(10):
            while len(reported) < 2:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert [error.errno for error in reported[:2]] == [errno.EMFILE] * 2


def test_notices_that_take_long_to_arrive_are_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a list that is never read because each connection closes before its frames come.

    All times are shortened by the same factor; the service answers each connection only after the time in
    which another one is opened (review/10).
    """
    monkeypatch.setattr("martentide.net.discovery.SILENCE_TIMEOUT", 0.22)
    monkeypatch.setattr("martentide.net.discovery.MAX_SILENCE", 0.70)
    notices: list[int] = []

    async def scenario() -> None:
        opened = 0

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal opened
            opened += 1
            try:
                await reader.readexactly(8)
                for number in (2, 3):
                    await asyncio.sleep(0.3)
                    writer.write(frame(number, 2))
                await reader.read()  # until the client closes
            finally:
                writer.close()

        server = await asyncio.start_server(late, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = DiscoveryClient(
            Address(host, port), 1, ("east",), 5.0, lambda notice: notices.append(notice.number)
        )
        task = asyncio.create_task(client.run())
        async with asyncio.timeout(5.0):
            while len(notices) < 2:
                await asyncio.sleep(0.01)
        assert opened <= 3
        connections = list(client.connections.values())
        assert len(connections) <= 2
        for ended in (task, *connections):
            ended.cancel()
        await asyncio.gather(task, *connections, return_exceptions=True)
        server.close()

    asyncio.run(scenario())
    assert notices == [2, 3]
