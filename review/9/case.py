"""SIGTERM reaches the new process of an upgrade: calls that were taken before must still be answered."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from peers import READY, Board, Caller, CannotRun, Proxy, Record, SessionServer, free_port, run_case

CALLS = 5
EVERY = 0.1  # s between two calls
ANSWER = 2.5  # s until the server answers; a processor turns set-ups away once its wait passes 2.3 to 3.9 s
WAITS = 3600  # ms that the callers wait: 40% of the class's 9 s
APART = 0.5  # s from the old process's SIGTERM to the new one's
SLACK = 0.55  # s: half a second that only earns nothing, and the 50 ms of the sockets


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether the rule held. UPGRADE=0 or RESTART=0 leaves one of the two out."""
    server, board = SessionServer("s-00000001", record, delay=ANSWER), Board(record)
    await server.start()
    await board.start()
    proxy = Proxy(record, folder, board.port, [(server, server.port, READY)])
    await proxy.start()
    caller = Caller(proxy.port, record)
    peer = await caller.connect()
    assert proxy.process is not None
    running, old = proxy.process, None
    if trouble and os.environ.get("UPGRADE", "1") != "0":
        old, operator = running, free_port()
        running = proxy.launch(operator)
        if not await proxy.ready(operator, 6.0):
            raise CannotRun("the new process was not ready within 6 s")
        record.line("the new process is ready")
    calls = []
    for _ in range(CALLS):
        calls.append(caller.set_up(peer, waits=WAITS))
        await asyncio.sleep(EVERY)
    if old is not None:
        record.line("SIGTERM to the old process")
        old.send_signal(signal.SIGTERM)
    await asyncio.sleep(APART)
    if trouble and os.environ.get("RESTART", "1") != "0":
        record.line(f"SIGTERM to process {running.pid}, a planned restart; no SIGKILL follows")
        running.send_signal(signal.SIGTERM)
    end = calls[-1].sent + WAITS / 1000.0 + SLACK
    while time.time() < end:
        await asyncio.sleep(0.1)
    lost = []
    for call in calls:
        after = None if call.final is None else call.final - call.sent
        record.line(f"{call.call.hex()} {call.outcome or 'no answer'} after {after} s")
        if after is None or after > WAITS / 1000.0 + SLACK:
            lost.append(call)
    record.line(f"{len(lost)} of {len(calls)} calls got no final answer; connection open: {peer.open}")
    record.line(f"exit codes: old {old.poll() if old else '-'}, running {running.poll()}")
    await caller.stop()
    await server.stop()
    return not lost


run_case(__file__, case)
