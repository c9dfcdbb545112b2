"""The notice board is slow: what it tells takes 3 s to arrive. A drain must still be kept."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from peers import DRAINING, READY, Board, Caller, CannotRun, Proxy, Record, Relay, SessionServer, run_case

SLOW = 3.0  # s that everything from the board takes; the pages allow 7 s
TOLD = 7.0  # s after which an event counts as told, arrived or not
GRACE = 2.05  # s of new work after that, with the 50 ms of the sockets
WATCH = 30.0  # s of calls after the drain began


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    servers = [SessionServer(f"s-0000000{number}", record, hold=3.0) for number in (1, 2)]
    board = Board(record)
    for one in (*servers, board):
        await one.start()
    relay = Relay(board.port, record, "to the board")
    await relay.start()
    proxy = Proxy(record, folder, relay.port, [(server, server.port, READY) for server in servers])
    await proxy.start()
    caller = Caller(proxy.port, record)
    peer = await caller.connect()

    async def offer(seconds: float) -> None:
        end = time.time() + seconds
        while time.time() < end:
            caller.set_up(peer, first=len(caller.calls) % 2)
            await asyncio.sleep(0.2)

    await offer(5.0)
    if trouble:
        record.line(f"from now on all that the board sends arrives {SLOW} s late")
        relay.back_delay = SLOW
    await offer(5.0)
    published = board.publish((servers[0], servers[0].port, DRAINING))
    await offer(WATCH)
    late = [one for one in servers[0].set_ups if one.arrived > published + TOLD + GRACE]
    record.line(f"{len(servers[0].set_ups)} set-ups at the draining server, {len(late)} after the grace")
    if late:
        record.line(f"the last came {late[-1].arrived - published:.1f} s after the event was in the board")
    await caller.stop()
    for server in servers:
        await server.stop()
    if not servers[0].set_ups or not proxy.running():
        raise CannotRun("no set-up came, or the proxy has ended")
    return not late


run_case(__file__, case)
