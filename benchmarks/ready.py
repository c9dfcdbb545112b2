"""How long restarted proxies take to be ready: ``python -m benchmarks.ready [--fleet N] [--share S]``.

Runs a fleet of real processes on this machine; one share of it at a time is killed and restarted together,
with the current server list. Measures from the start of a process until a health check of a front proxy
passes, split at the first log line (interpreter, imports, configuration) and at ``serving`` (server list,
tasks per server, listener). The last line is ``RESULT {json}``; the exit code is 0 if nine in ten were ready
within 10 s.
"""

from __future__ import annotations

import asyncio
import json
import math
import statistics
import time

import click

from martentide.codec.messages import Code, Type, body_length, read_message, write_message
from martentide_lab.proxy import ProxyProcess
from martentide_lab.servers import DiscoveryServer, SessionServer

READY_LIMIT_S, READY_SHARE = 10.0, 0.9  # this share must be ready within the limit
PROBE_INTERVAL_S = 0.005


async def wait_until_ready(address: str) -> None:
    """Sends health checks as a front proxy does until one passes."""
    host, port = address.split(":")
    while True:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(write_message(Type.TEST, b"\x01" * 8, {Code.CAUSE: b"\0"}))
        answer = read_message(await reader.readexactly(body_length(await reader.readexactly(2))))
        writer.close()
        if answer.cause() == 1:
            return
        await asyncio.sleep(PROBE_INTERVAL_S)


async def restart(proxy: ProxyProcess) -> tuple[float, float, float]:
    """Starts the proxy; returns the seconds to the first log line, to ``serving`` and to a passed check."""
    started_at = time.monotonic()
    first_line_after: list[float] = []
    proxy.log.clear()
    proxy.on_log_line = lambda _, line: (
        first_line_after.append(time.monotonic() - started_at) if not first_line_after else None
    )
    await proxy.start()
    serving_after = time.monotonic() - started_at
    await wait_until_ready(proxy.caller_address)
    return first_line_after[0], serving_after, time.monotonic() - started_at


async def measure(fleet: int, share: float, servers: int) -> list[tuple[float, float, float]]:
    """Restarts the whole fleet, one share at a time; returns the times of ``restart`` for each proxy."""
    session_servers = [SessionServer(index) for index in range(servers)]
    discovery = DiscoveryServer()
    for server in session_servers:
        await server.start()
    await discovery.start()
    proxies = [ProxyProcess(discovery, session_servers, None, name=f"n{index}") for index in range(fleet)]
    for proxy in proxies:
        await proxy.start()
    durations: list[tuple[float, float, float]] = []
    batch_size = max(1, math.floor(fleet * share))
    for index in range(0, fleet, batch_size):
        batch = proxies[index : index + batch_size]
        await asyncio.gather(*(proxy.kill() for proxy in batch))
        durations += await asyncio.gather(*(restart(proxy) for proxy in batch))
    await asyncio.gather(*(proxy.kill() for proxy in proxies))
    return durations


@click.command()
@click.option("--fleet", default=100, show_default=True)
@click.option("--share", default=0.1, show_default=True, help="share of the fleet restarted at a time")
@click.option("--servers", default=24, show_default=True)
def main(fleet: int, share: float, servers: int) -> None:
    """Measures how long restarted proxies take to be ready."""
    durations = asyncio.run(measure(fleet, share, servers))
    ready_times = sorted(duration[2] for duration in durations)
    share_within = sum(ready_time <= READY_LIMIT_S for ready_time in ready_times) / len(ready_times)
    result = {
        "processes": len(durations),
        "together": max(1, math.floor(fleet * share)),
        "first_line_s": round(statistics.median(duration[0] for duration in durations), 3),
        "serving_s": round(statistics.median(duration[1] for duration in durations), 3),
        "ready_p50_s": round(statistics.median(ready_times), 3),
        "ready_p90_s": round(ready_times[int(READY_SHARE * (len(ready_times) - 1))], 3),
        "ready_most_s": round(ready_times[-1], 3),
        "ready_10s_share": round(share_within, 3),
    }
    print("RESULT", json.dumps(result))
    raise SystemExit(0 if share_within >= READY_SHARE else 1)


if __name__ == "__main__":
    main()
