"""A caller goes silent in the middle of a set-up while another one of its own is open on the connection."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import (
    ANSWER,
    ONLY_LATE_S,
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

ROUNDS = 4
USUAL_CALLS = 10  # of each caller before
LEFT_MS = 3600  # 40 % of the class's 9 s: a try is given up after 30 to 40 % of it
ANSWER_AFTER_S = 1.7  # wait at the servers' processors; they turn set-ups away from 2.3 s on
SILENCE_S = 3.2  # of the caller, between the two pieces of its second set-up


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
    broken = []
    for at in range(ROUNDS):
        broken += await one_round(at, record, platform, servers)
    return broken


async def one_round(at: int, record: Record, platform: Platform, servers: list[Server]) -> list[str]:
    """One caller: calls that stand and end, then the open set-up, then the one in two pieces."""
    caller = Caller(f"caller-{at}", record)
    await caller.connect(platform.port)
    waiting, pieces = (bytes((0xB0 + kind, at, *b"review")) for kind in range(2))
    for server in servers:
        server.delay, server.hold = 0.03, 30.0
    for number in range(USUAL_CALLS):
        usual = bytes((0xA0, at, number, *b"usual"))
        await caller.offer(usual, LEFT_MS, first_choice=number % 2)
        if not await caller.wait(usual, 1, time.time() + 5.0):
            raise CannotRun(f"round {at}: the usual call {usual.hex()} got no answer")
        await caller.release(usual)
        await asyncio.sleep(0.25)

    for server in servers:
        server.delay = ANSWER_AFTER_S
    await caller.offer(waiting, LEFT_MS)
    await asyncio.sleep(0.05)
    second = caller.set_up(pieces, LEFT_MS, first_choice=1)
    half = len(second) // 2 if trouble() else 0
    if half:
        await caller.write(second[:half], f"first half of set-up {pieces.hex()}, then nothing")
    await asyncio.sleep(SILENCE_S)
    await caller.write(second[half:], f"rest of set-up {pieces.hex()}")

    due = caller.sent[waiting] + LEFT_MS / 1000.0 + ONLY_LATE_S + SLACK_S
    await caller.wait(waiting, 1, due)
    await caller.wait(pieces, 1, time.time() + 4.0)
    rows = caller.final(waiting)
    broken = []
    if not rows or rows[0][0] > due:
        end = caller.closed_at
        ended = "" if end is None else f", the connection ended {end - caller.sent[waiting]:.2f} s after it"
        broken.append(f"round {at}: call {waiting.hex()} was taken and got no final answer in time{ended}")
    elif rows[0][1] == ANSWER:
        await caller.release(waiting)
    if caller.closed_at is None and caller.final(pieces):
        await caller.release(pieces)
    await asyncio.sleep(0.2)
    caller.close()
    return broken


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
