"""The notice board is slow: it takes three seconds to write the event that a session server drains."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import (
    ANSWER,
    DRAINING,
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

SITE = "kigali-rubavu"
LEFT_MS = 3600
CALLS_PER_S = 8.0
PIECE_BYTES, PIECE_GAP_S = 12, 1.0  # an event of 44 bytes comes in four pieces, three seconds in all
TOLD_S = 7.0  # "counts as told no later than 7 s after, arrived or not"
GRACE_S = 0.5  # rules.drain_grace_ms
STOPS_S = 9.8  # after it began to drain; the site's limits for "deploy" are 6.9 to 9.9


async def case(record: Record, platform: Platform) -> list[str]:
    """Offer calls all the time; return what was broken."""
    board, servers = Board(record), [Server(at, record) for at in range(3)]
    await board.start()
    board.tell()  # event 1 is the list of the configuration
    for server in servers:
        await server.start()
        server.hold = 9.0
    platform.configure(SITE, board.port, servers)
    platform.start()
    await platform.ready()
    await asyncio.sleep(1.0)

    caller = Caller("caller", record, "confirm-call", "nyungwe-agro")
    await caller.connect(platform.port)
    offering = asyncio.create_task(offer_calls(caller))
    await asyncio.sleep(2.0)
    if trouble():
        record.note(
            "case", f"the board writes events in pieces of {PIECE_BYTES} bytes, {PIECE_GAP_S} s apart"
        )
        board.piece_bytes, board.piece_gap = PIECE_BYTES, PIECE_GAP_S
    drained = time.time()
    board.tell((0, servers[0].port, DRAINING, 0))
    await asyncio.sleep(STOPS_S)
    cut = list(servers[0].standing)
    servers[0].stop()
    record.note("case", f"server-0 has stopped, {len(cut)} calls that stood there are cut")
    await asyncio.sleep(1.0)
    offering.cancel()

    limit = drained + TOLD_S + GRACE_S + SLACK_S
    late = [(at, call) for at, call in servers[0].set_ups if at > limit]
    if not late:
        return []
    lost = [call for _, call in late if call in cut and any(row[1] == ANSWER for row in caller.final(call))]
    told = [call for call in lost if any(row[1] == RELEASE for row in caller.final(call))]
    return [
        f"{len(late)} set-ups reached server-0 over {limit - drained:.2f} s after the board had its drain, "
        f"the last {late[-1][0] - drained:.2f} s after",
        f"{len(lost)} of these calls stood and were cut when it stopped, {len(told)} of them with a release",
    ]


async def offer_calls(caller: Caller) -> None:
    """Offer calls whose first choice is each server in turn."""
    number = 0
    while True:
        number += 1
        await caller.offer(b"call" + number.to_bytes(4, "big"), LEFT_MS, first_choice=number % 3)
        await asyncio.sleep(1.0 / CALLS_PER_S)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
