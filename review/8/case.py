"""A connection to a session server falls silent while another one works: releases on it must not be lost."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from peers import READY, Board, Caller, CannotRun, Proxy, Record, Relay, SessionServer, run_case

LONG_CALLS = 6  # on the first connection
HOLD = 8.0  # s, about the mean length of a call of the class
FIRST_DELAY = 0.25  # s until the first answers: a processor that is busy, far below the class's 1.5 s
BOUND = 8.05  # s from the end of a call to its release at the caller, with the 50 ms of the sockets
WATCH = 40.0  # s that the callers wait for the releases, after the calls' ends


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    server, board = SessionServer("s-00000001", record, delay=FIRST_DELAY, hold=HOLD), Board(record)
    await server.start()
    await board.start()
    relay = Relay(server.port, record, "to the session server")
    await relay.start()
    proxy = Proxy(record, folder, board.port, [(server, relay.port, READY)])
    await proxy.start()
    caller = Caller(proxy.port, record)
    peer = await caller.connect()
    calls = [caller.set_up(peer) for _ in range(LONG_CALLS)]
    for _ in range(100):  # the proxy sets up one after another, as it learns how quick the server is
        await asyncio.sleep(0.05)
        if all(call.final is not None for call in calls):
            break
    server.delay = 0.02
    on_first = {one.call for one in server.set_ups if one.peer.number == 1 and one.stood is not None}
    watched = [call for call in calls if call.outcome == "stands" and call.call in on_first]
    record.line(f"{len(watched)} calls stand by connection 1, {len(relay.links)} connections are open")
    if trouble:
        record.line("connection 1 falls silent and stays open")
        next(link for link in relay.links if link.number == 1).silent = True
    end = time.time() + HOLD + WATCH
    while time.time() < end:  # other calls keep the second connection busy
        caller.set_up(peer)
        await asyncio.sleep(0.5)
    late = []
    for call in watched:
        over = server_end(server, call.call)
        if over is None:
            continue
        after = None if call.released is None else call.released - over
        record.line(f"{call.call.hex()} over at the server, released at the caller after {after} s")
        if after is None or after > BOUND:
            late.append(call)
    record.line(f"{len(late)} of {len(watched)} calls released late or never")
    record.line(f"{server.accepted} server connections were opened")
    await caller.stop()
    await server.stop()
    if not watched or not proxy.running():
        raise CannotRun("no call stood on connection 1, or the proxy has ended")
    return not late


def server_end(server: SessionServer, call: bytes) -> float | None:
    """Return when the server ended the call."""
    return next((one.over for one in server.set_ups if one.call == call and one.over is not None), None)


run_case(__file__, case)
