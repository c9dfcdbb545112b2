"""What all proxies together send a cold server: ``python -m benchmarks.cold_sum [--seeds N] [--short]``.

Simulated time, the real decisions: eight servers, one of them replaced by a cold one 10 s after the start.
The table counts, for N set-ups that the settings allow in the fall time and for so many proxies, the worst
window over N + 2 * sqrt(N) + 2 (over 1 is a broken rule), and what came to the cold server of what comes to a
warm one (the ramp's service). The last line is ``RESULT {json}``; the exit code tells whether a sum was over.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import statistics
from concurrent.futures import ProcessPoolExecutor
from itertools import product

import click

from martentide.net.links import unix_ms
from martentide.settings import settings_from
from martentide_lab.callers import LoadGenerator
from martentide_lab.checker import cold_start_load_beyond_chance
from martentide_lab.proxy import ProxyProcess, site_settings
from martentide_lab.servers import (
    COLD_SHARE,
    COLD_TIME_MS,
    OVERLOAD_MULTIPLE,
    OVERLOAD_TIME_MS,
    DiscoveryServer,
    SessionServer,
)
from martentide_lab.simulated_site import SimulatedServer, SimulatedSite

SETTINGS = settings_from(site_settings(4))
SHARES = (0.74, 0.05, 0.21)  # in the order of the settings' classes
SERVERS = 8
START, REPLACED = 1_000_000.0, 10_000.0  # Unix ms; ms after it
LOAD, SURGE = 0.8, 1.6  # of what all servers take
AHEAD = 6.0  # times the mean, that one proxy gets in the uneven case
CASES = ("together", "late", "apart", "uneven", "restarts", "surge")


def day(case: str, proxies: int, allowed: float, seed: int) -> tuple[float, float]:
    """The worst window over its bound, and the cold server's calls over those of the mean warm one."""
    settings = dataclasses.replace(SETTINGS, proxies=proxies)
    window = settings.fall_multiple * settings.cold_share * settings.fall_time / 1000.0
    rate = allowed / window
    servers = [SimulatedServer(f"s{at}", at, rate) for at in range(SERVERS)]
    site = SimulatedSite(settings, proxies, servers, seed)
    site.now = START
    site.controllers = [site.new_controller(at) for at in range(proxies)]
    homes = (AHEAD if case == "uneven" else 1.0, *[1.0] * (proxies - 1))
    end = START + REPLACED + settings.cold_time
    site.offer_calls(end, LOAD * SERVERS * rate, SHARES, homes)
    if case == "surge":
        begin = START + REPLACED + 1_000.0
        site.schedule_at(begin, lambda: site.offer_calls(end, (SURGE - LOAD) * SERVERS * rate, SHARES))
    site.run(START + REPLACED)
    cold = SimulatedServer("cold", 0, rate, started_at=site.now)
    late = {"late": lambda at: 3_000.0, "apart": lambda at: site.rng.uniform(0.0, 5_000.0)}
    site.replace("s0", cold, late.get(case, lambda at: 500.0))
    if case == "restarts":  # a tenth at a time, all of them within the ramp
        for at in range(proxies):
            when = site.now + 1_000.0 + 1_000.0 * math.floor(10.0 * at / proxies)
            site.schedule_at(when, lambda at=at: site.restart(at, lambda old, new: None))  # type: ignore[misc]
    site.run(end)
    worst = site.cold_start_load_beyond_chance(cold)
    warm = [sum(1 for when in one.received_at if when > START + REPLACED) for one in servers[1:]]
    return worst, len(cold.received_at) / max(1.0, statistics.fmean(warm))


async def real(proxies: int, allowed: float, seed: int) -> tuple[float, float]:
    """The same on real processes: one with several times the mean, a quarter of them killed and started again
    in the ramp. The worst window over its bound, and the cold server's calls over the mean warm one's."""
    rate = allowed / (OVERLOAD_MULTIPLE * COLD_SHARE * OVERLOAD_TIME_MS / 1000.0)
    servers = [SessionServer(at) for at in range(4)]
    board, loads = DiscoveryServer(), list[tuple[LoadGenerator, asyncio.Task[None]]]()
    for server in servers:
        server.behavior.rate = rate
        await server.start()
    await board.start()
    fleet = [ProxyProcess(board, servers, None, name=f"n{at}") for at in range(proxies)]

    async def begin(at: int) -> None:
        fleet[at].proxy_count = proxies
        await fleet[at].start()
        share = (AHEAD if at == 0 else 1.0) / (proxies - 1 + AHEAD)
        classes = [kind.name for kind in SETTINGS.classes]
        load = LoadGenerator(
            fleet[at].caller_address,
            classes,
            LOAD * 4 * rate * share,
            seed * 1000 + at,
            3,
            SHARES,
            poisson=True,
        )
        loads.append((load, asyncio.create_task(load.run())))

    await asyncio.gather(*(begin(at) for at in range(proxies)))
    await asyncio.sleep(REPLACED / 1000.0)
    cold = servers[0]
    cold.behavior.cold_start_at = started = unix_ms()
    board.publish([(cold, 0)], started=int(started))
    for group in range(3):
        await asyncio.sleep(2.0)
        part = range(1 + group * proxies // 12, 1 + (group + 1) * proxies // 12)
        await asyncio.gather(*(fleet[at].kill() for at in part))
        await asyncio.gather(*(begin(at) for at in part))
    await asyncio.sleep((started + COLD_TIME_MS - unix_ms()) / 1000.0)
    for load, task in loads:
        await load.stop(task)
    await asyncio.gather(*(one.kill() for one in fleet))
    worst = cold_start_load_beyond_chance(cold)
    came = [sum(1 for one in server.received_set_ups if one.received_at > started) for server in servers]
    for server in servers:
        await server.stop()
    return worst, came[0] / max(1.0, statistics.fmean(came[1:]))


def cell(asked: tuple[str, int, float, int]) -> tuple[str, int, float, list[tuple[float, float]]]:
    case, proxies, allowed, seeds = asked
    return case, proxies, allowed, [day(case, proxies, allowed, seed) for seed in range(seeds)]


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--workers", default=2, show_default=True, help="processes that play at a time")
@click.option("--short", is_flag=True, help="two seeds of few cases")
@click.option("--processes", default=0, help="real processes instead, so many")
def main(seeds: int, workers: int, short: bool, processes: int) -> None:
    if processes:
        played = [asyncio.run(real(processes, n, seed)) for n in (10.0, 30.0) for seed in range(seeds)]
        rows = [f"{worst:.2f} of the bound, service {served:.2f}" for worst, served in played]
        print("\n".join(rows))
        highest = max(worst for worst, _ in played)
        over = sum(worst > 1.0 for worst, _ in played)
        print("RESULT", json.dumps({"plays": len(played), "over": over, "cold_sum_worst": round(highest, 3)}))
        raise SystemExit(1 if over else 0)
    fleets, sums = ((20,), (3.0, 30.0)) if short else ((20, 30, 200), (3.0, 10.0, 30.0, 100.0))
    asked = [(*one, 2 if short else seeds) for one in product(CASES, fleets, sums)]
    over, plays, highest = 0, 0, 0.0
    print("| case | proxies | N | worst window over N + 2 sqrt(N) + 2: mean, highest | ramp's service |")
    print("| --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(workers) as pool:
        for case, proxies, allowed, days in pool.map(cell, asked):
            worst = [one[0] for one in days]
            over, plays = over + sum(one > 1.0 for one in worst), plays + len(worst)
            highest = max(highest, *worst)
            served = statistics.fmean(one[1] for one in days)
            print(
                f"| {case} | {proxies} | {allowed:.0f} | {statistics.fmean(worst):.2f}, {max(worst):.2f} "
                f"| {served:.2f} |",
                flush=True,
            )
    print("RESULT", json.dumps({"plays": plays, "over": over, "cold_sum_worst": round(highest, 3)}))
    raise SystemExit(1 if over else 0)


if __name__ == "__main__":
    main()
