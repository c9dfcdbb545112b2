"""The list's actor by itself: which pause it takes before it dials again."""

from __future__ import annotations

import asyncio
import errno

import pytest

from martentide.net.config import Address
from martentide.net.discovery import FAST_RECONNECT_DELAY, RECONNECT_DELAY, DiscoveryClient
from tests.net.support import frame


@pytest.mark.parametrize(
    ("told", "lasts", "pauses"),
    [
        (
            frame(1, 0),
            0.0,
            [FAST_RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY],
        ),  # then nobody listens any more
        (b"", 0.0, [RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY]),
        (frame(1, 0)[:5], 0.0, [RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY]),
        (
            frame(1, 0),
            60.0,
            [RECONNECT_DELAY, RECONNECT_DELAY, RECONNECT_DELAY],
        ),  # it ended sooner than counts
    ],
)
def test_reconnect_is_immediate_after_a_healthy_connection(
    monkeypatch: pytest.MonkeyPatch, told: bytes, lasts: float, pauses: list[tuple[float, float]]
) -> None:
    """Guards against a drain with a short grace that is told while nobody listens; ``lasts``: in s."""
    monkeypatch.setattr("martentide.net.discovery.MIN_LIFETIME", lasts)
    asked: list[tuple[float, float]] = []

    def uniform(least: float, most: float) -> float:
        asked.append((least, most))
        return 0.0

    monkeypatch.setattr("martentide.net.discovery.random.uniform", uniform)

    async def scenario() -> None:
        async def once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            server.close()
            await reader.readexactly(8)
            writer.write(told)
            writer.close()

        server = await asyncio.start_server(once, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        board = DiscoveryClient(Address(host, port), 0, ("east",), 5.0, lambda notice: None)
        task = asyncio.create_task(board.run())
        async with asyncio.timeout(10):
            while len(asked) < len(pauses):
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert asked[: len(pauses)] == pauses


def test_shortage_of_descriptors_on_connect_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    met: list[OSError] = []

    async def refuse(*_: object) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    async def scenario() -> None:
        monkeypatch.setattr(asyncio, "open_connection", refuse)
        board = DiscoveryClient(Address("127.0.0.1", 1), 0, ("east",), 5.0, lambda notice: None, met.append)
        task = asyncio.create_task(board.run())
        async with asyncio.timeout(10):
            while len(met) < 2:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert [error.errno for error in met[:2]] == [errno.EMFILE] * 2
