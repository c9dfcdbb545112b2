"""How long restarted proxies take to be ready: ``python -m benchmarks.ready [--fleet N] [--share S]``.

A fleet of real processes runs; a share of it at a time is killed and started again together, with the list
of the moment, on this machine. Measured from the start of a process to the front's test that passes, split
at the first line of the log (interpreter, imports, configuration) and at ``serving`` (list, servers' actors,
listener). The last line is ``RESULT {json}``; the exit code tells whether nine in ten were ready within 10 s.
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

LIMIT, OF = 10.0, 0.9  # s in which so many must be ready
PROBE_AGAIN = 0.005  # s


async def passed(address: str) -> None:
    """Until a front's test passes there."""
    host, port = address.split(":")
    while True:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(write_message(Type.TEST, b"\x01" * 8, {Code.CAUSE: b"\0"}))
        answer = read_message(await reader.readexactly(body_length(await reader.readexactly(2))))
        writer.close()
        if answer.cause() == 1:
            return
        await asyncio.sleep(PROBE_AGAIN)


async def restart(proxy: ProxyProcess) -> tuple[float, float, float]:
    """Seconds to the first line, to ``serving`` and to the passed test."""
    begin = time.monotonic()
    first: list[float] = []
    proxy.log.clear()
    proxy.on_log_line = lambda _, line: first.append(time.monotonic() - begin) if not first else None
    await proxy.start()
    serving = time.monotonic() - begin
    await passed(proxy.caller_address)
    return first[0], serving, time.monotonic() - begin


async def measure(fleet: int, share: float, servers: int) -> list[tuple[float, float, float]]:
    stand_ins = [SessionServer(at) for at in range(servers)]
    board = DiscoveryServer()
    for one in stand_ins:
        await one.start()
    await board.start()
    proxies = [ProxyProcess(board, stand_ins, None, name=f"n{at}") for at in range(fleet)]
    for proxy in proxies:
        await proxy.start()
    times: list[tuple[float, float, float]] = []
    group = max(1, math.floor(fleet * share))
    for at in range(0, fleet, group):
        part = proxies[at : at + group]
        await asyncio.gather(*(proxy.kill() for proxy in part))
        times += await asyncio.gather(*(restart(proxy) for proxy in part))
    await asyncio.gather(*(proxy.kill() for proxy in proxies))
    return times


@click.command()
@click.option("--fleet", default=100, show_default=True)
@click.option("--share", default=0.1, show_default=True, help="of the fleet restarted at a time")
@click.option("--servers", default=24, show_default=True)
def main(fleet: int, share: float, servers: int) -> None:
    times = asyncio.run(measure(fleet, share, servers))
    ready = sorted(one[2] for one in times)
    within = sum(one <= LIMIT for one in ready) / len(ready)
    result = {
        "processes": len(times),
        "together": max(1, math.floor(fleet * share)),
        "first_line_s": round(statistics.median(one[0] for one in times), 3),
        "serving_s": round(statistics.median(one[1] for one in times), 3),
        "ready_p50_s": round(statistics.median(ready), 3),
        "ready_p90_s": round(ready[int(OF * (len(ready) - 1))], 3),
        "ready_most_s": round(ready[-1], 3),
        "ready_10s_share": round(within, 3),
    }
    print("RESULT", json.dumps(result))
    raise SystemExit(0 if within >= OF else 1)


if __name__ == "__main__":
    main()
