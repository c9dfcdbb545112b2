"""A bad client sends a set-up under the id of another client's call, and withdraws it at once."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import (
    ANSWER,
    ONLY_LATE_S,
    RELEASE,
    SLACK_S,
    Board,
    Caller,
    CannotRun,
    Platform,
    Record,
    Server,
    play,
    trouble,
)

ROUNDS = 3
LEFT_MS = 3600
ANSWER_AFTER_S = 0.6  # wait at the servers' processors
BAD_HOST = "127.0.0.2"


async def case(record: Record, platform: Platform) -> list[str]:
    """Play the rounds; return what was broken."""
    board, servers = Board(record), [Server(0, record), Server(1, record)]
    await board.start()
    board.tell()  # event 1 is the list of the configuration
    for server in servers:
        await server.start()
    platform.configure("sofia-signing", board.port, servers)
    platform.start()
    await platform.ready()
    await asyncio.sleep(1.0)
    caller = Caller("caller", record)
    await caller.connect(platform.port)
    broken = []
    for at in range(ROUNDS):
        broken += await open_call(bytes((0xA0, at, *b"review")), caller, record, platform, servers)
        broken += await standing_call(bytes((0xB0, at, *b"review")), caller, record, platform, servers)
    return broken


async def bad_client(call: bytes, record: Record, platform: Platform) -> None:
    """Send a set-up under that id, with another description, and withdraw it at once."""
    client = Caller("bad-client", record)
    await client.connect(platform.port, BAD_HOST)
    own = call if trouble() else b"\xbb" + call[1:]
    data = client.set_up(own, LEFT_MS, description=b"another description") + client.give_up(own)
    await client.write(data, f"set-up {own.hex()} and its withdrawal")
    await asyncio.sleep(0.3)
    client.close()


async def open_call(
    call: bytes, caller: Caller, record: Record, platform: Platform, servers: list[Server]
) -> list[str]:
    """The bad client sends the id of a call that waits for its answer."""
    for server in servers:
        server.delay, server.hold = ANSWER_AFTER_S, 30.0
    await caller.offer(call, LEFT_MS)
    await asyncio.sleep(0.2)
    await bad_client(call, record, platform)
    due = caller.sent[call] + LEFT_MS / 1000.0 + ONLY_LATE_S + SLACK_S
    await caller.wait(call, 1, due)
    rows = caller.final(call)
    if not rows or rows[0][0] > due:
        return [
            f"call {call.hex()} was taken and got no final answer in {time.time() - caller.sent[call]:.2f} s"
        ]
    if rows[0][1] == ANSWER:
        await caller.release(call)
    return []


async def standing_call(
    call: bytes, caller: Caller, record: Record, platform: Platform, servers: list[Server]
) -> list[str]:
    """The bad client sends the id of a call that stands."""
    for server in servers:
        server.delay, server.hold = 0.03, 4.0
    await caller.offer(call, LEFT_MS)
    await caller.wait(call, 1, time.time() + 4.0)
    if not caller.final(call) or caller.final(call)[0][1] != ANSWER:
        raise CannotRun(f"call {call.hex()} does not stand")
    await asyncio.sleep(0.2)
    await bad_client(call, record, platform)
    await caller.wait(call, 2, time.time() + 8.0)
    ended = servers[0].ended.get(call) or servers[1].ended.get(call)
    released = [row[0] for row in caller.final(call) if row[1] == RELEASE]
    if ended is None:
        raise CannotRun(f"call {call.hex()} has not ended at its server")
    if not released or released[0] > ended + 1.0 + SLACK_S:
        return [
            f"call {call.hex()} was released at its server {time.time() - ended:.1f} s ago, not at its caller"
        ]
    return []


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
