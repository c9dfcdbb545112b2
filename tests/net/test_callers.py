"""The callers' front with real connections in this process; the test takes the dispatcher's place."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager

import pytest

from martentide.codec.messages import Message, Type, body_length, read_message, write_message
from martentide.net import client_connections
from martentide.net.callers import Callers
from martentide.net.config import Address
from martentide.net.dispatcher import GiveUp, Offer, ReleaseIn
from martentide.net.links import Link
from martentide.net.memory_budget import BYTES_PER_MB, MemoryBudget
from tests.net.support import TIMEOUT_S, parameters_of

A, B = b"\xa1" * 8, b"\xb2" * 8
SET_UP_A, SET_UP_B = (write_message(Type.SET_UP, call, parameters_of(3000)) for call in (A, B))
HALF = len(SET_UP_B) // 2
MESSAGE_TIMEOUT_S = 0.05


class Front:
    """A listener with one caller's connection; what the dispatcher would receive is in ``posted``."""

    def __init__(self) -> None:
        self.posted: asyncio.Queue[Offer | GiveUp | ReleaseIn] = asyncio.Queue()
        self.callers = Callers(32, self.posted.put_nowait, MemoryBudget(BYTES_PER_MB))

    @asynccontextmanager
    async def connected(self) -> AsyncIterator[None]:
        """Listen, and connect as a caller."""
        self.callers.bind(Address("127.0.0.1", 0))
        await self.callers.accept()
        self.reader, self.writer = await asyncio.open_connection(*self.callers.addresses()[0])
        try:
            yield
        finally:
            self.writer.close()
            self.callers.close()

    async def offered(self) -> Offer:
        """Return the next offer that the dispatcher receives."""
        item = await self.posted.get()
        assert isinstance(item, Offer)
        return item

    async def link_is(self, wanted: Callable[[Link], bool]) -> Link:
        """Wait until the only connection is as wanted, and return it."""
        while True:
            for link in self.callers.client_connections.open_set_ups:
                if wanted(link):
                    return link
            await asyncio.sleep(0.001)

    async def receive(self) -> Message:
        """Return the next message for the caller."""
        length = body_length(await self.reader.readexactly(2))
        return read_message(await self.reader.readexactly(length))


def run(monkeypatch: pytest.MonkeyPatch, script: Callable[[Front], Coroutine[None, None, None]]) -> None:
    """Run a script with a front whose callers have ``MESSAGE_TIMEOUT_S`` for each message."""
    monkeypatch.setattr(client_connections, "RELAXED_MESSAGE_TIMEOUT", MESSAGE_TIMEOUT_S)

    async def play() -> None:
        front = Front()
        async with front.connected():
            await script(front)

    asyncio.run(asyncio.wait_for(play(), TIMEOUT_S))


def test_an_incomplete_message_closes_no_connection_with_an_open_set_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call without an answer because its caller paused in the middle of the next message."""

    async def script(front: Front) -> None:
        front.writer.write(SET_UP_A + SET_UP_B[:HALF])
        offer = await front.offered()
        await asyncio.sleep(4 * MESSAGE_TIMEOUT_S)
        offer.caller.answer(A, b"description")
        assert (await front.receive()).type == Type.ANSWER
        assert await front.reader.read() == b""  # closed, since no set-up is open any more
        assert front.posted.empty()

    run(monkeypatch, script)


def test_a_message_completed_after_a_stall_is_processed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a set-up that is dropped because its caller paused while another one was open."""

    async def script(front: Front) -> None:
        front.writer.write(SET_UP_A + SET_UP_B[:HALF])
        first = await front.offered()
        link = await front.link_is(lambda link: link.stalled)
        front.writer.write(SET_UP_B[HALF:])
        second = await front.offered()
        assert second.call == B and not link.stalled
        for offer in (first, second):
            offer.caller.refuse(offer.call, 0.0)
            assert (await front.receive()).call == offer.call
        await asyncio.sleep(2 * MESSAGE_TIMEOUT_S)
        assert link.alive

    run(monkeypatch, script)


@pytest.mark.parametrize("ended", [False, True])
def test_an_incomplete_message_closes_a_connection_without_an_open_set_up(
    monkeypatch: pytest.MonkeyPatch, ended: bool
) -> None:
    """Guards against descriptors held for ever by callers that never complete a message."""

    async def script(front: Front) -> None:
        if ended:
            front.writer.write(SET_UP_A)
            offer = await front.offered()
            offer.caller.fail(A)
            assert (await front.receive()).call == A
        front.writer.write(SET_UP_B[:HALF])
        assert await front.reader.read() == b""
        assert front.posted.empty()

    run(monkeypatch, script)
