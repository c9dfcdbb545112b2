"""A single Link: what it reports about its peer while its input is unprocessed."""

from __future__ import annotations

import asyncio
import socket

import pytest

from martentide.attempt_messages import Presence
from martentide.codec.messages import Type, write_message
from martentide.net.links import MAX_UNPROCESSED, Link, LinkEnded, Received, Stalled
from martentide.net.memory_budget import BYTES_PER_MB, MemoryAccount, MemoryBudget

TEST = write_message(Type.TEST, b"\xa1" * 8)


class ConnectionPair:
    """The two ends of one connection: a Link whose input no actor processes, and the peer's streams."""

    async def __aenter__(self) -> ConnectionPair:
        self.received: list[Received | Stalled | LinkEnded] = []
        accepted: asyncio.Future[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Future()
        self.server = await asyncio.start_server(
            lambda *streams: accepted.set_result(streams), "127.0.0.1", 0
        )
        host, port = self.server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.link = Link("caller", "peer", await accepted, self.received.append, 1.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        self.server.close()
        self.link.task.cancel()
        await asyncio.gather(self.link.task, return_exceptions=True)

    async def wait_until_read(self, messages: int) -> None:
        """Wait until the link has read that many messages."""
        async with asyncio.timeout(10):
            while len(self.received) < messages:
                await asyncio.sleep(0)

    def process(self, messages: int) -> None:
        """Notify the link that its oldest messages were processed."""
        for _ in range(messages):
            self.link.message_processed()


def test_a_close_after_unread_bytes_is_detected_on_a_link_that_stopped_reading() -> None:
    async def run() -> None:
        async with ConnectionPair() as peer:
            peer.writer.write(TEST * (2 * MAX_UNPROCESSED))
            await peer.wait_until_read(MAX_UNPROCESSED)
            assert peer.link.check_presence() is Presence.UNPROCESSED_INPUT
            peer.writer.close()
            await peer.writer.wait_closed()
            assert peer.link.check_presence() is Presence.LEFT
            # Its read credit is used up, so it has not read the end.
            assert len(peer.received) == MAX_UNPROCESSED

    asyncio.run(run())


@pytest.mark.parametrize("more", [0, 1, 2 * MAX_UNPROCESSED])
def test_callbacks_run_once_earlier_input_is_processed_whatever_arrives_meanwhile(more: int) -> None:
    async def run() -> None:
        async with ConnectionPair() as peer:
            calls: list[int] = []
            peer.writer.write(TEST * 3)
            await peer.wait_until_read(3)
            peer.link.when_processed(lambda: calls.append(len(peer.received)))
            peer.writer.write(TEST * more)
            await peer.wait_until_read(min(3 + more, MAX_UNPROCESSED))
            peer.process(2)
            assert not calls
            peer.process(1)
            assert len(calls) == 1

    asyncio.run(run())


def test_incomplete_message_does_not_count_as_unprocessed_input() -> None:
    async def run() -> None:
        async with ConnectionPair() as peer:
            calls: list[bool] = []
            peer.writer.write(TEST + TEST[:5])
            await peer.wait_until_read(1)
            peer.process(1)
            peer.link.when_processed(lambda: calls.append(True))
            peer.link._notify_processed()
            assert calls and peer.link.check_presence() is Presence.PRESENT

    asyncio.run(run())


def test_unsent_bytes_are_charged_only_while_they_are_unsent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that stays charged for output that the peer has read long since."""
    monkeypatch.setattr("martentide.net.links.WRITE_TIMEOUT", 1.0)
    output = bytes(200_000)  # more than the sockets' buffers hold, less than MAX_UNSENT_BYTES

    async def scenario() -> None:
        async with ConnectionPair() as peer:
            peer.link.memory = account = MemoryAccount(MemoryBudget(100 * BYTES_PER_MB))
            sending = peer.link.writer.get_extra_info("socket")
            sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            peer.link.write(output)
            assert account.held > 0
            await peer.reader.readexactly(len(output))
            async with asyncio.timeout(5.0):
                while account.held:
                    await asyncio.sleep(0.01)
            assert peer.link.alive

    asyncio.run(scenario())
