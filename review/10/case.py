"""In an upgrade a connection to a session server is reset: releases by the other process must count."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from peers import READY, Board, Caller, CannotRun, Proxy, Record, Relay, SessionServer, free_port, run_case

HOLD = 3.0  # s that the calls of the new process last
CALLS = 5
KILL = 5.7  # s from SIGTERM to SIGKILL: the longest deadline (at most 5 s) and 0.7 s
WATCH = 20.0  # s after the kill; for 5 s of it the pages don't check what a proxy holds


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether the rule held. UPGRADE=0 or RESET=0 leaves one of the two out."""
    server, board = SessionServer("s-00000001", record), Board(record)
    await server.start()
    await board.start()
    relay = Relay(server.port, record, "to the session server")
    await relay.start()
    proxy = Proxy(record, folder, board.port, [(server, relay.port, READY)])
    await proxy.start()
    caller = Caller(proxy.port, record)
    first = await caller.connect()
    caller.set_up(first)  # a long call, which stands at the old process until its end
    await asyncio.sleep(1.0)
    running, old = proxy.process, None
    assert running is not None
    if trouble and os.environ.get("UPGRADE", "1") != "0":
        old, operator = running, free_port()
        running = proxy.launch(operator)
        if not await proxy.ready(operator, 6.0):
            raise CannotRun("the new process was not ready within 6 s")
        record.line("the new process is ready: SIGTERM to the old one")
        old.send_signal(signal.SIGTERM)
    killed_at = time.time() + KILL
    server.hold = HOLD
    peer = await caller.connect()
    calls = [caller.set_up(peer) for _ in range(CALLS)]
    await asyncio.sleep(0.7)
    used = {one.peer.number for one in server.set_ups if one.call in {call.call for call in calls}}
    watched = [call for call in calls if call.outcome == "stands"]
    record.line(f"{len(watched)} calls stand by connections {sorted(used)}")
    if trouble and os.environ.get("RESET", "1") != "0":
        for link in [one for one in relay.links if one.number in used]:
            record.line(f"connection {link.number} to the session server is reset")
            link.reset()
    await asyncio.sleep(max(0.0, killed_at - time.time()))
    if old is not None:
        record.line(f"SIGKILL to the old process, exit code until now: {old.poll()}")
        old.kill()
    await asyncio.sleep(WATCH)
    left = [call for call in watched if call.released is None and call.call not in server.standing]
    record.line(f"{len(left)} of {len(watched)} calls are over and were never released to their caller")
    await caller.stop()
    await server.stop()
    return bool(watched) and not left and running.poll() is None


run_case(__file__, case)
