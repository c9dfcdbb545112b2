"""A session server writes a release in two pieces: the caller must still hear that its call is over."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from peers import READY, Board, Caller, CannotRun, Proxy, Record, SessionServer, run_case

CALLS = 5
GAP = 0.4  # s between the two pieces; the processors may stand still for 200 to 500 ms
HOLD = 6.0  # s that a call lasts
BOUND = 8.05  # s from the end of a call to its release at the caller, with the 50 ms of the sockets
WATCH = 45.0  # s of further calls, from the first set-up on


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    server, board = SessionServer("s-00000001", record, hold=HOLD), Board(record)
    await server.start()
    await board.start()
    proxy = Proxy(record, folder, board.port, [(server, server.port, READY)])
    await proxy.start()
    caller = Caller(proxy.port, record)
    peer = await caller.connect()
    calls = []
    for _ in range(CALLS):
        calls.append(caller.set_up(peer))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    watched = [call for call in calls if call.outcome == "stands"]
    record.line(f"{len(watched)} calls stand")
    if trouble:
        record.line(f"the session server writes releases in two pieces, {GAP} s apart")
        server.gap = GAP
    await asyncio.sleep(HOLD + 2.0)  # the calls end
    server.gap = 0.0
    record.line("the session server writes all messages at once")
    for _ in range(int(WATCH - HOLD - 4.0)):  # the proxy goes on with other calls at the same server
        caller.set_up(peer)
        await asyncio.sleep(1.0)
    late = []
    for call in watched:
        over = next(one.over for one in server.set_ups if one.call == call.call and one.stood is not None)
        after = None if call.released is None or over is None else call.released - over
        record.line(f"{call.call.hex()} over at the server, released at the caller after {after} s")
        if over is not None and (after is None or after > BOUND):
            late.append(call)
    record.line(f"{len(late)} of {len(watched)} calls released late or never")
    record.line(f"{server.accepted} server connections were opened")
    later = [call.outcome for call in caller.calls.values()][CALLS:]
    record.line(f"of {len(later)} later calls {later.count('stands')} stood")
    await caller.stop()
    await server.stop()
    if not watched or not proxy.running():
        raise CannotRun("no call stood, or the proxy has ended")
    return not late


run_case(__file__, case)
