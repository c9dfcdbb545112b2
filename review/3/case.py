"""A session server writes each message in two pieces; calls that stood there come to their end."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import (
    ANSWER,
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

CALLS = 6
LEFT_MS = 3600
HOLD_S = 8.0  # mean length of a call of the class: 7.7 to 10 s
PIECE_GAP_S = 0.1  # between the two pieces of one message
RELEASED_WITHIN_S = 8.0  # of the call's end, where no release could be sent
WATCHED_S = 12.0  # after the last call's end


async def case(record: Record, platform: Platform) -> list[str]:
    """Set the calls up, then let the first server write in pieces; return what was broken."""
    board, servers = Board(record), [Server(at, record) for at in range(3)]
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
        await asyncio.sleep(0.2)
    stood = [call for call in calls if caller.final(call) and caller.final(call)[0][1] == ANSWER]
    if len(stood) < CALLS:
        record.note("case", f"only {len(stood)} of {CALLS} calls stand")
    if not any(call in servers[0].standing for call in stood):
        raise CannotRun("no call stands at the first server")
    if trouble():
        record.note("case", f"server-0 writes each message in two pieces, {PIECE_GAP_S} s apart")
        servers[0].piece_gap = PIECE_GAP_S

    end = time.time() + HOLD_S + WATCHED_S
    while time.time() < end and any(len(caller.final(call)) < 2 for call in stood):
        await asyncio.sleep(0.1)
    broken = []
    for call in stood:
        ended = next((server.ended[call] for server in servers if call in server.ended), None)
        released = [row[0] for row in caller.final(call) if row[1] == RELEASE]
        if ended is None:
            raise CannotRun(f"call {call.hex()} has not ended at its server")
        if not released and caller.closed_at is None and time.time() > ended + RELEASED_WITHIN_S + SLACK_S:
            broken.append(
                f"call {call.hex()} ended {time.time() - ended:.1f} s ago and still stands at its caller"
            )
        elif released and released[0] > ended + RELEASED_WITHIN_S + SLACK_S:
            broken.append(f"call {call.hex()} was released {released[0] - ended:.1f} s after its end")
    return broken


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
