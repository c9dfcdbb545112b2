"""Learned state and kills: ``python -m benchmarks.learned_kills [--kills N] [--short]``.

A real process under load is killed at random points, two of three times while a save is likely under way, and
started again on the same folder. Each start must take the last good state or none; between the kill and the
start the files are read here as well, by what the process was heard to have saved. The last line is
``RESULT {json}``.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import click

from martentide.learned.codec import StateError, read_state
from martentide.learned.files import OLD, STATE
from martentide_lab.callers import LoadGenerator
from martentide_lab.proxy import ProxyProcess
from martentide_lab.servers import DiscoveryServer, SessionServer

EXTRAS = """
learned-state {{
    folder "{folder}"
    times period-ms=50 gap-ms=10
}}
"""


def on_disk(folder: Path) -> tuple[int, int]:
    """The highest save among the whole files (0: none), and how many are not whole."""
    best = spoilt = 0
    for name in (STATE, OLD):
        path = folder / name
        if not path.exists():
            continue
        try:
            best = max(best, read_state(path.read_bytes(), None).sequence)
        except StateError:
            spoilt += 1
    return best, spoilt


async def one_life(proxy: ProxyProcess, folder: Path, dice: random.Random, counts: dict[str, int]) -> float:
    """Start, check what the start said against the files, load, kill. Returns the ms that reading took."""
    before, spoilt = on_disk(folder)
    counts["half_seen"] += spoilt
    try:
        await proxy.start()
    except (RuntimeError, TimeoutError):
        counts["failed_starts"] += 1
        return 0.0
    line = next(line for line in proxy.log if "state-start" in line)
    start = line.split("start=")[1].split()[0]
    taken = float(line.split("load_ms=")[1].split()[0])
    expected = ("last-good", "earlier-good", "aged-out") if before else ("nothing",)
    if start not in expected:
        counts["bad"] += 1
        print("BAD", start, "expected", expected, line)
    counts["last_good" if start != "nothing" else "none"] += 1
    load = LoadGenerator(
        proxy.caller_address, ("status-check", "qualified-sign"), 120.0, dice.getrandbits(32)
    )
    task = asyncio.create_task(load.run())
    if dice.random() < 0.1:
        await asyncio.sleep(0.0)  # before the first save
    elif dice.random() < 0.67:
        end = time.monotonic() + 1.0
        new = folder / "state.new"
        await asyncio.sleep(dice.uniform(0.05, 0.15))
        while time.monotonic() < end and not new.exists():
            await asyncio.sleep(0)
    else:
        await asyncio.sleep(dice.uniform(0.02, 0.3))
    proxy.send_signal(signal.SIGKILL)
    await proxy.wait_until_ended()
    await load.stop(task)
    proxy.log.clear()
    return taken


async def measure(kills: int, seed: int) -> dict[str, Any]:
    dice = random.Random(seed)
    folder = Path(tempfile.mkdtemp(prefix="martentide-state-"))
    counts = dict.fromkeys(("last_good", "none", "bad", "half_seen", "failed_starts"), 0)
    servers, board = [SessionServer(number) for number in range(4)], DiscoveryServer()
    for server in servers:
        await server.start()
    await board.start()
    servers[0].behavior.hold_back = 0.5
    times = []
    proxy = ProxyProcess(board, servers, EXTRAS.format(folder=folder))
    for number in range(kills):
        if number % 25 == 0:  # now and then from nothing
            for name in os.listdir(folder):
                os.unlink(folder / name)
        times.append(await one_life(proxy, folder, dice, counts))
    await proxy.kill()
    for server in servers:
        await server.stop()
    await board.stop()
    return {"kills": kills, **counts, "median_load_ms": round(statistics.median(times), 2)}


@click.command()
@click.option("--kills", default=500, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="the form that CI runs")
def main(kills: int, seed: int, short: bool) -> None:
    result = asyncio.run(measure(12 if short else kills, seed))
    for name, value in result.items():
        print(f"{name:<16} {value}")
    print("RESULT " + json.dumps(result))
    ok = not (result["bad"] or result["half_seen"] or result["failed_starts"])
    raise SystemExit(0 if ok and result["last_good"] and result["none"] else 1)


if __name__ == "__main__":
    main()
