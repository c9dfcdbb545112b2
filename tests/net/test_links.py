"""A link by itself: what it tells of its peer while nothing of it is taken."""

from __future__ import annotations

import asyncio

import pytest

from martentide.attempt_messages import Presence
from martentide.codec.messages import Type, write_message
from martentide.net.links import MAX_UNPROCESSED, Link, LinkEnded, Received

TEST = write_message(Type.TEST, b"\xa1" * 8)


class Peer:
    """The two ends of one connection: a link whose actor takes nothing by itself, and its peer's streams."""

    async def __aenter__(self) -> Peer:
        self.came: list[Received | LinkEnded] = []
        accepted: asyncio.Future[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Future()
        self.server = await asyncio.start_server(
            lambda *streams: accepted.set_result(streams), "127.0.0.1", 0
        )
        host, port = self.server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.link = Link("caller", "peer", await accepted, self.came.append, 1.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        self.server.close()
        self.link.task.cancel()
        await asyncio.gather(self.link.task, return_exceptions=True)

    async def until_read(self, messages: int) -> None:
        async with asyncio.timeout(10):
            while len(self.came) < messages:
                await asyncio.sleep(0)

    def take(self, messages: int) -> None:
        for _ in range(messages):
            self.link.message_processed()


def test_an_end_behind_bytes_of_a_link_that_reads_no_more_is_seen() -> None:
    async def play() -> None:
        async with Peer() as peer:
            peer.writer.write(TEST * (2 * MAX_UNPROCESSED))
            await peer.until_read(MAX_UNPROCESSED)
            assert peer.link.check_presence() is Presence.UNPROCESSED_INPUT
            peer.writer.close()
            await peer.writer.wait_closed()
            assert peer.link.check_presence() is Presence.LEFT
            assert (
                len(peer.came) == MAX_UNPROCESSED
            )  # its credit is spent, and it has read nothing of the end

    asyncio.run(play())


@pytest.mark.parametrize("more", [0, 1, 2 * MAX_UNPROCESSED])
def test_who_waits_hears_once_what_lay_there_was_taken_whatever_comes_meanwhile(more: int) -> None:
    async def play() -> None:
        async with Peer() as peer:
            told: list[int] = []
            peer.writer.write(TEST * 3)
            await peer.until_read(3)
            peer.link.when_processed(lambda: told.append(len(peer.came)))
            peer.writer.write(TEST * more)
            await peer.until_read(min(3 + more, MAX_UNPROCESSED))
            peer.take(2)
            assert not told
            peer.take(1)
            assert len(told) == 1

    asyncio.run(play())


def test_half_a_message_is_nothing_that_was_said() -> None:
    async def play() -> None:
        async with Peer() as peer:
            told: list[bool] = []
            peer.writer.write(TEST + TEST[:5])
            await peer.until_read(1)
            peer.take(1)
            peer.link.when_processed(lambda: told.append(True))
            peer.link._notify_processed()
            assert told and peer.link.check_presence() is Presence.PRESENT

    asyncio.run(play())
