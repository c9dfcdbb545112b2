"""What one proxy adds to a call's set-up: open loop, counted from the intended send time, against direct.

Caller, session server and proxy are processes of their own. ``ten_hops`` is computed: sums of ten draws of
what one hop added, as calls do not pass two proxies of this program.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import random
from multiprocessing.connection import Connection

from benchmarks.scale.results import Row
from martentide.codec.messages import Code, Type, read_message, split, write_message
from martentide_lab.proxy import ProxyProcess
from martentide_lab.servers import DiscoveryServer, ServerBehavior, SessionServer

SECONDS, WARM = 10.0, 1.0
SERVER_DELAY = 1.0  # ms that the stand-in takes for an answer
TIME_LEFT = b"2500"
HOPS = 10


def serve(told: Connection) -> None:
    """The session server's process: tells its port, and serves until it is ended."""

    async def run() -> None:
        server = SessionServer(0, ServerBehavior(delay=SERVER_DELAY), keep_received_set_ups=False)
        await server.start()
        told.send(server.port)
        await asyncio.Event().wait()

    asyncio.run(run())


async def offer(address: str, rate: float, seed: int) -> tuple[list[float], float]:
    """Latencies in ms of calls by chance at that rate, and how late the caller itself sent at p99."""
    rng, loop = random.Random(seed), asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    intended: dict[bytes, float] = {}
    found: list[float] = []
    late: list[float] = []

    async def hear() -> None:
        begun = bytearray()
        while data := await reader.read(65536):
            begun += data
            for body in split(begun):
                message = read_message(body)
                if message.type in (Type.ANSWER, Type.RELEASE) and message.call in intended:
                    found.append((loop.time() - intended.pop(message.call)) * 1_000.0)
                    if message.type == Type.ANSWER:
                        writer.write(write_message(Type.RELEASE, message.call, {Code.CAUSE: b"\x10"}))

    hearing = loop.create_task(hear())
    at = begin = loop.time()
    warm = 0
    number = 0
    while at < begin + WARM + SECONDS:
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, at - loop.time()))
        number += 1
        call = (seed << 40 | number).to_bytes(8, "big")
        parameters: dict[int, bytes] = {
            Code.CLASS: b"status-check", Code.TIME_LEFT: TIME_LEFT, Code.NUMBER: call.hex().encode(),
            Code.FIGURES: b"dest:0;width:1;via:-1", Code.DESCRIPTION: call,
        }  # fmt: skip
        intended[call] = at
        late.append((loop.time() - at) * 1_000.0)
        writer.write(write_message(Type.SET_UP, call, parameters))
        if at < begin + WARM:
            warm = number
    await asyncio.sleep(0.5)
    hearing.cancel()
    writer.close()
    return found[warm:], percentile(late, 0.99)


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def measure(rates: tuple[int, ...], seed: int = 1) -> list[Row]:
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=serve, args=(theirs,), daemon=True)
    process.start()
    port = ours.recv()
    server, board = SessionServer(0), DiscoveryServer()
    server.port = port
    await board.start()
    rows: list[Row] = []
    try:
        async with ProxyProcess(board, [server], None) as proxy:
            for rate in rates:
                direct, late = await offer(f"127.0.0.1:{port}", rate, seed)
                through, late_through = await offer(proxy.caller_address, rate, seed + 1)
                rows.append(row(rate, direct, through, max(late, late_through)))
    finally:
        process.terminate()
        await board.stop()
    return rows


def row(rate: int, direct: list[float], through: list[float], late: float) -> Row:
    rng = random.Random(rate)
    middle = percentile(direct, 0.5)
    added = [max(0.0, one - middle) for one in through]
    ten = [sum(rng.choice(added) for _ in range(HOPS)) for _ in range(20_000)]
    shares = {"p50": 0.5, "p99": 0.99, "p999": 0.999}
    return {
        "calls_per_s": rate,
        "calls": len(through),
        **{f"direct_{name}_ms": round(percentile(direct, share), 3) for name, share in shares.items()},
        **{f"through_{name}_ms": round(percentile(through, share), 3) for name, share in shares.items()},
        **{f"added_{name}_ms": round(percentile(added, share), 3) for name, share in shares.items()},
        "ten_hops_p99_ms": round(percentile(ten, 0.99), 3),
        "send_late_p99_ms": round(late, 3),
    }
