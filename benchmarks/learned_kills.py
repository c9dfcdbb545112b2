"""Learned state and kills: ``python -m benchmarks.learned_kills [--kills N] [--short]``.

A real process under load is killed at random points, some 60% of the times while a save is likely in
progress, and started again on the same folder. If a valid file exists, each start must load the last or the
earlier state, or discard it as too old; otherwise it must load none. Before each start the benchmark reads
the files itself and compares. The last line is ``RESULT {json}``.
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

EXTRA_SETTINGS = """
learned-state {{
    folder "{folder}"
    times period-ms=50 gap-ms=10
}}
"""


def read_saved_files(folder: Path) -> tuple[int, int]:
    """The highest sequence number of the valid files (0: none), and the number of damaged files."""
    newest = damaged = 0
    for name in (STATE, OLD):
        path = folder / name
        if not path.exists():
            continue
        try:
            newest = max(newest, read_state(path.read_bytes(), None).sequence)
        except StateError:
            damaged += 1
    return newest, damaged


async def run_until_killed(
    proxy: ProxyProcess, folder: Path, rng: random.Random, counts: dict[str, int]
) -> float:
    """Starts the proxy, compares its log with the files, offers load and kills it.

    Returns the time in ms that the proxy took to load the state; 0 if it didn't start.
    """
    saved_sequence, damaged = read_saved_files(folder)
    counts["half_seen"] += damaged
    try:
        await proxy.start()
    except (RuntimeError, TimeoutError):
        counts["failed_starts"] += 1
        return 0.0
    line = next(line for line in proxy.log if "state-start" in line)
    outcome = line.split("start=")[1].split()[0]
    load_ms = float(line.split("load_ms=")[1].split()[0])
    expected = ("last-good", "earlier-good", "aged-out") if saved_sequence else ("nothing",)
    if outcome not in expected:
        counts["bad"] += 1
        print("BAD", outcome, "expected", expected, line)
    counts["last_good" if outcome != "nothing" else "none"] += 1
    load = LoadGenerator(proxy.caller_address, ("status-check", "qualified-sign"), 120.0, rng.getrandbits(32))
    task = asyncio.create_task(load.run())
    if rng.random() < 0.1:
        await asyncio.sleep(0.0)  # before the first save
    elif rng.random() < 0.67:
        end = time.monotonic() + 1.0
        temporary_file = folder / "state.new"
        await asyncio.sleep(rng.uniform(0.05, 0.15))
        while time.monotonic() < end and not temporary_file.exists():
            await asyncio.sleep(0)
    else:
        await asyncio.sleep(rng.uniform(0.02, 0.3))
    proxy.send_signal(signal.SIGKILL)
    await proxy.wait_until_ended()
    await load.stop(task)
    proxy.log.clear()
    return load_ms


async def measure(kills: int, seed: int) -> dict[str, Any]:
    """Kills and restarts a proxy ``kills`` times; returns the counts of the outcomes."""
    rng = random.Random(seed)
    folder = Path(tempfile.mkdtemp(prefix="martentide-state-"))
    counts = dict.fromkeys(("last_good", "none", "bad", "half_seen", "failed_starts"), 0)
    servers, discovery = [SessionServer(number) for number in range(4)], DiscoveryServer()
    for server in servers:
        await server.start()
    await discovery.start()
    servers[0].behavior.hold_back = 0.5
    load_times = []
    proxy = ProxyProcess(discovery, servers, EXTRA_SETTINGS.format(folder=folder))
    for number in range(kills):
        if number % 25 == 0:  # every 25th start has no files
            for name in os.listdir(folder):
                os.unlink(folder / name)
        load_times.append(await run_until_killed(proxy, folder, rng, counts))
    await proxy.kill()
    for server in servers:
        await server.stop()
    await discovery.stop()
    return {"kills": kills, **counts, "median_load_ms": round(statistics.median(load_times), 2)}


@click.command()
@click.option("--kills", default=500, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="the short run of CI")
def main(kills: int, seed: int, short: bool) -> None:
    """Kills a proxy under load and checks the learned state after each restart."""
    result = asyncio.run(measure(12 if short else kills, seed))
    for name, value in result.items():
        print(f"{name:<16} {value}")
    print("RESULT " + json.dumps(result))
    ok = not (result["bad"] or result["half_seen"] or result["failed_starts"])
    raise SystemExit(0 if ok and result["last_good"] and result["none"] else 1)


if __name__ == "__main__":
    main()
