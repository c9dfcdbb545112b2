"""Latency that one proxy adds to the set-up of a call, compared with a direct connection.

The load is open loop, and latency counts from the intended send time. Caller, session server and proxy are
separate processes. ``ten_hops`` is computed as the sum of ten random draws of the added latency, since a call
does not pass two proxies of this program.
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

MEASURED_S, WARM_UP_S = 10.0, 1.0  # set-ups sent during the warm-up are left out
SERVER_DELAY_MS = 1.0  # until the session server answers a set-up
TIME_LEFT_MS = b"2500"
HOPS = 10


def serve_sessions(port_pipe: Connection) -> None:
    """Run a session server in this process; sends its port and serves until the process is terminated."""

    async def run() -> None:
        server = SessionServer(0, ServerBehavior(delay=SERVER_DELAY_MS), keep_received_set_ups=False)
        await server.start()
        port_pipe.send(server.port)
        await asyncio.Event().wait()

    asyncio.run(run())


async def offer_calls(address: str, rate: float, seed: int) -> tuple[list[float], float]:
    """Offer calls as a Poisson process; return set-up latencies and the caller's p99 send delay, in ms."""
    rng, loop = random.Random(seed), asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    intended_send_times: dict[bytes, float] = {}
    latencies: list[float] = []
    send_delays: list[float] = []

    async def receive() -> None:
        buffer = bytearray()
        while data := await reader.read(65536):
            buffer += data
            for body in split(buffer):
                message = read_message(body)
                if message.type in (Type.ANSWER, Type.RELEASE) and message.call in intended_send_times:
                    latencies.append((loop.time() - intended_send_times.pop(message.call)) * 1_000.0)
                    if message.type == Type.ANSWER:
                        writer.write(write_message(Type.RELEASE, message.call, {Code.CAUSE: b"\x10"}))

    receive_task = loop.create_task(receive())
    send_at = started = loop.time()
    warm_up_calls = 0
    number = 0
    while send_at < started + WARM_UP_S + MEASURED_S:
        send_at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, send_at - loop.time()))
        number += 1
        call = (seed << 40 | number).to_bytes(8, "big")
        parameters: dict[int, bytes] = {
            Code.CLASS: b"status-check", Code.TIME_LEFT: TIME_LEFT_MS, Code.NUMBER: call.hex().encode(),
            Code.FIGURES: b"dest:0;width:1;via:-1", Code.DESCRIPTION: call,
        }  # fmt: skip
        intended_send_times[call] = send_at
        send_delays.append((loop.time() - send_at) * 1_000.0)
        writer.write(write_message(Type.SET_UP, call, parameters))
        if send_at < started + WARM_UP_S:
            warm_up_calls = number
    await asyncio.sleep(0.5)
    receive_task.cancel()
    writer.close()
    return latencies[warm_up_calls:], percentile(send_delays, 0.99)


def percentile(values: list[float], share: float) -> float:
    """Return the value at the given share (0 to 1) of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def measure(rates: tuple[int, ...], seed: int = 1) -> list[Row]:
    """Measure direct and proxied set-ups at each rate in calls per second."""
    parent_end, child_end = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(
        target=serve_sessions, args=(child_end,), daemon=True
    )
    process.start()
    port = parent_end.recv()
    server, discovery = SessionServer(0), DiscoveryServer()
    server.port = port
    await discovery.start()
    rows: list[Row] = []
    try:
        async with ProxyProcess(discovery, [server], None) as proxy:
            for rate in rates:
                direct, direct_delay = await offer_calls(f"127.0.0.1:{port}", rate, seed)
                through, through_delay = await offer_calls(proxy.caller_address, rate, seed + 1)
                rows.append(build_row(rate, direct, through, max(direct_delay, through_delay)))
    finally:
        process.terminate()
        await discovery.stop()
    return rows


def build_row(rate: int, direct: list[float], through: list[float], send_delay: float) -> Row:
    """Build the result row of one rate from values in ms; added latency is relative to the direct median."""
    rng = random.Random(rate)
    direct_median = percentile(direct, 0.5)
    added = [max(0.0, latency - direct_median) for latency in through]
    ten_hops = [sum(rng.choice(added) for _ in range(HOPS)) for _ in range(20_000)]
    shares = {"p50": 0.5, "p99": 0.99, "p999": 0.999}
    return {
        "calls_per_s": rate,
        "calls": len(through),
        **{f"direct_{name}_ms": round(percentile(direct, share), 3) for name, share in shares.items()},
        **{f"through_{name}_ms": round(percentile(through, share), 3) for name, share in shares.items()},
        **{f"added_{name}_ms": round(percentile(added, share), 3) for name, share in shares.items()},
        "ten_hops_p99_ms": round(percentile(ten_hops, 0.99), 3),
        "send_late_p99_ms": round(send_delay, 3),
    }
