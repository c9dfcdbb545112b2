"""A session server's machine vanishes, and a new one gets its address before the list tells of the end."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import (
    ANSWER,
    GONE,
    READY,
    RELEASE,
    SLACK_S,
    Board,
    Caller,
    Platform,
    Record,
    Server,
    play,
    trouble,
)

CALLS = 6
LEFT_MS = 3600
HOLD_S = 9.0  # mean length of a call of the class: 7.7 to 10 s
REPLACED_AFTER_S = 2.0
START_TOLD_AFTER_S = 1.0  # add_s of the site: 0.79 to 2.4
END_TOLD_AFTER_S = 10.0  # silent_notice_s of the site: 5.5 to 11
RELEASED_WITHIN_S = 8.0  # of the call's end, where no release could be sent


async def case(record: Record, platform: Platform) -> list[str]:
    """Set the calls up, then let the first server vanish; return what was broken."""
    board, servers = Board(record), [Server(0, record), Server(1, record)]
    await board.start()
    board.tell()  # event 1 is the list of the configuration
    for server in servers:
        await server.start()
        server.hold = HOLD_S
    platform.configure("sofia-signing", board.port, servers)
    platform.start()
    await platform.ready()
    await asyncio.sleep(1.0)

    caller = Caller("caller", record)
    await caller.connect(platform.port)
    calls = [bytes((0xA0, at, *b"review")) for at in range(CALLS)]
    for call in calls:
        await caller.offer(call, LEFT_MS)
        await caller.wait(call, 1, time.time() + 5.0)
        await asyncio.sleep(0.1)
    stood = [call for call in calls if caller.final(call) and caller.final(call)[0][1] == ANSWER]
    if not any(call in servers[0].standing for call in stood):
        return ["no call stands at the first server"]
    other = asyncio.create_task(offer_calls(caller))
    replacing = asyncio.create_task(replace(record, board, servers[0])) if trouble() else None

    end = time.time() + HOLD_S + 5.0
    while time.time() < end and any(len(caller.final(call)) < 2 for call in stood):
        await asyncio.sleep(0.1)
    other.cancel()
    if replacing is not None:
        await replacing
    broken = []
    for call in stood:
        ended = servers[0].ended.get(call) or servers[1].ended.get(call)
        released = [row[0] for row in caller.final(call) if row[1] == RELEASE]
        if ended is None:
            broken.append(f"call {call.hex()} has not ended at its server")
        elif not released and time.time() > ended + RELEASED_WITHIN_S + SLACK_S:
            broken.append(
                f"call {call.hex()} ended {time.time() - ended:.1f} s ago and still stands at its caller"
            )
        elif released and released[0] > ended + RELEASED_WITHIN_S + SLACK_S:
            broken.append(f"call {call.hex()} was released {released[0] - ended:.1f} s after its end")
    return broken


async def replace(record: Record, board: Board, lost: Server) -> None:
    """Let the server vanish and another one take its address, and tell the board of both."""
    lost.vanish()
    await asyncio.sleep(REPLACED_AFTER_S)
    new = Server(2, record)
    started = int(time.time() * 1000)
    await lost.replace(new)
    await asyncio.sleep(START_TOLD_AFTER_S)
    board.tell((2, new.port, READY, started))
    await asyncio.sleep(END_TOLD_AFTER_S - REPLACED_AFTER_S - START_TOLD_AFTER_S)
    board.tell((0, lost.port, GONE, 0))


async def offer_calls(caller: Caller) -> None:
    """Offer calls whose first choice is the other server."""
    number = 0
    while True:
        number += 1
        await caller.offer(b"call" + number.to_bytes(4, "big"), LEFT_MS, first_choice=1)
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
