"""What all proxies together send a cold server: ``python -m benchmarks.cold_sum [--seeds N] [--short]``.

Runs the product's decisions in simulated time with eight servers; one of them is replaced by a cold server
10 s after the start. N is the number of set-ups that the settings allow a cold server within the fall time.
The table shows, for each N and each number of proxies, the set-ups of the worst window divided by
N + 2 * sqrt(N) + 2 (a value over 1 violates the rule), and the set-ups that the cold server received divided
by those of a warm one (the ramp's service). The last line is ``RESULT {json}``; the exit code is 1 if any
window exceeded its bound.
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
CLASS_SHARES = (0.74, 0.05, 0.21)  # in the order of the settings' classes
SERVER_COUNT = 8
START_MS, REPLACED_AFTER_MS = 1_000_000.0, 10_000.0  # Unix ms; ms after START_MS
PLANNED_LOAD, SURGE_LOAD = 0.8, 1.6  # share of the capacity of all servers
UNEVEN_FACTOR = 6.0  # load of the first proxy in the uneven case, as a multiple of each other proxy's
# "together", "late", "apart": the proxies are notified of the cold server all after 500 ms, all after 3 s, or
# each at a random time within 5 s. In the other cases it is 500 ms, and the first proxy has more load, all
# proxies restart during the ramp, or the load rises to SURGE_LOAD 1 s after the replacement.
CASES = ("together", "late", "apart", "uneven", "restarts", "surge")


def run_simulated(case: str, proxies: int, allowed_set_ups: float, seed: int) -> tuple[float, float]:
    """Runs one case in simulated time.

    Returns the worst window divided by its bound, and the cold server's set-ups divided by the mean of the
    warm servers.
    """
    settings = dataclasses.replace(SETTINGS, proxies=proxies)
    window = settings.fall_multiple * settings.cold_share * settings.fall_time / 1000.0
    rate = allowed_set_ups / window
    servers = [SimulatedServer(f"s{index}", index, rate) for index in range(SERVER_COUNT)]
    site = SimulatedSite(settings, proxies, servers, seed)
    site.now = START_MS
    site.controllers = [site.new_controller(index) for index in range(proxies)]
    proxy_shares = (UNEVEN_FACTOR if case == "uneven" else 1.0, *[1.0] * (proxies - 1))
    end = START_MS + REPLACED_AFTER_MS + settings.cold_time
    site.offer_calls(end, PLANNED_LOAD * SERVER_COUNT * rate, CLASS_SHARES, proxy_shares)
    if case == "surge":
        surge_at = START_MS + REPLACED_AFTER_MS + 1_000.0
        site.schedule_at(
            surge_at,
            lambda: site.offer_calls(end, (SURGE_LOAD - PLANNED_LOAD) * SERVER_COUNT * rate, CLASS_SHARES),
        )
    site.run(START_MS + REPLACED_AFTER_MS)
    cold = SimulatedServer("cold", 0, rate, started_at=site.now)
    notice_delay_by_case = {
        "late": lambda index: 3_000.0,
        "apart": lambda index: site.rng.uniform(0.0, 5_000.0),
    }
    site.replace("s0", cold, notice_delay_by_case.get(case, lambda index: 500.0))
    if case == "restarts":  # one tenth of the proxies each second, all within the ramp
        for index in range(proxies):
            restart_at = site.now + 1_000.0 + 1_000.0 * math.floor(10.0 * index / proxies)
            site.schedule_at(restart_at, lambda index=index: site.restart(index, lambda old, new: None))  # type: ignore[misc]
    site.run(end)
    worst_ratio = site.cold_start_load_beyond_chance(cold)
    warm = [
        sum(1 for received_at in server.received_at if received_at > START_MS + REPLACED_AFTER_MS)
        for server in servers[1:]
    ]
    return worst_ratio, len(cold.received_at) / max(1.0, statistics.fmean(warm))


async def run_processes(proxies: int, allowed_set_ups: float, seed: int) -> tuple[float, float]:
    """Runs real proxy processes, one of them with ``UNEVEN_FACTOR`` times the load of each other one.

    A quarter of the proxies is killed and restarted during the ramp, in three groups. Returns the same
    figures as ``run_simulated``.
    """
    rate = allowed_set_ups / (OVERLOAD_MULTIPLE * COLD_SHARE * OVERLOAD_TIME_MS / 1000.0)
    servers = [SessionServer(index) for index in range(4)]
    discovery, load_tasks = DiscoveryServer(), list[tuple[LoadGenerator, asyncio.Task[None]]]()
    for server in servers:
        server.behavior.rate = rate
        await server.start()
    await discovery.start()
    fleet = [ProxyProcess(discovery, servers, None, name=f"n{index}") for index in range(proxies)]

    async def start_proxy(index: int) -> None:
        fleet[index].proxy_count = proxies
        await fleet[index].start()
        share = (UNEVEN_FACTOR if index == 0 else 1.0) / (proxies - 1 + UNEVEN_FACTOR)
        classes = [call_class.name for call_class in SETTINGS.classes]
        load = LoadGenerator(
            fleet[index].caller_address,
            classes,
            PLANNED_LOAD * 4 * rate * share,
            seed * 1000 + index,
            3,
            CLASS_SHARES,
            poisson=True,
        )
        load_tasks.append((load, asyncio.create_task(load.run())))

    await asyncio.gather(*(start_proxy(index) for index in range(proxies)))
    await asyncio.sleep(REPLACED_AFTER_MS / 1000.0)
    cold = servers[0]
    cold.behavior.cold_start_at = started = unix_ms()
    discovery.publish([(cold, 0)], started=int(started))
    for group in range(3):
        await asyncio.sleep(2.0)
        group_indexes = range(1 + group * proxies // 12, 1 + (group + 1) * proxies // 12)
        await asyncio.gather(*(fleet[index].kill() for index in group_indexes))
        await asyncio.gather(*(start_proxy(index) for index in group_indexes))
    await asyncio.sleep((started + COLD_TIME_MS - unix_ms()) / 1000.0)
    for load, task in load_tasks:
        await load.stop(task)
    await asyncio.gather(*(proxy.kill() for proxy in fleet))
    worst_ratio = cold_start_load_beyond_chance(cold)
    received_counts = [
        sum(1 for set_up in server.received_set_ups if set_up.received_at > started) for server in servers
    ]
    for server in servers:
        await server.stop()
    return worst_ratio, received_counts[0] / max(1.0, statistics.fmean(received_counts[1:]))


def run_case(
    case_arguments: tuple[str, int, float, int],
) -> tuple[str, int, float, list[tuple[float, float]]]:
    """Runs one case in simulated time, once per seed; the entry point of the worker processes."""
    case, proxies, allowed_set_ups, seeds = case_arguments
    return (
        case,
        proxies,
        allowed_set_ups,
        [run_simulated(case, proxies, allowed_set_ups, seed) for seed in range(seeds)],
    )


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--workers", default=2, show_default=True, help="worker processes that run at the same time")
@click.option("--short", is_flag=True, help="two seeds, fewer cases")
@click.option("--processes", default=0, help="run this many real proxies instead of simulated ones")
def main(seeds: int, workers: int, short: bool, processes: int) -> None:
    """Measures the set-ups that all proxies together send a cold server."""
    if processes:
        outcomes = [
            asyncio.run(run_processes(processes, allowed_set_ups, seed))
            for allowed_set_ups in (10.0, 30.0)
            for seed in range(seeds)
        ]
        rows = [f"{ratio:.2f} of the bound, service {served:.2f}" for ratio, served in outcomes]
        print("\n".join(rows))
        highest = max(ratio for ratio, _ in outcomes)
        over = sum(ratio > 1.0 for ratio, _ in outcomes)
        print(
            "RESULT", json.dumps({"plays": len(outcomes), "over": over, "cold_sum_worst": round(highest, 3)})
        )
        raise SystemExit(1 if over else 0)
    fleet_sizes, set_up_limits = ((20,), (3.0, 30.0)) if short else ((20, 30, 200), (3.0, 10.0, 30.0, 100.0))
    case_arguments = [
        (*combination, 2 if short else seeds) for combination in product(CASES, fleet_sizes, set_up_limits)
    ]
    over, runs, highest = 0, 0, 0.0
    print("| case | proxies | N | worst window over N + 2 sqrt(N) + 2: mean, highest | ramp's service |")
    print("| --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(workers) as pool:
        for case, proxies, allowed_set_ups, outcomes in pool.map(run_case, case_arguments):
            ratios = [outcome[0] for outcome in outcomes]
            over, runs = over + sum(ratio > 1.0 for ratio in ratios), runs + len(ratios)
            highest = max(highest, *ratios)
            served = statistics.fmean(outcome[1] for outcome in outcomes)
            print(
                f"| {case} | {proxies} | {allowed_set_ups:.0f} "
                f"| {statistics.fmean(ratios):.2f}, {max(ratios):.2f} | {served:.2f} |",
                flush=True,
            )
    print("RESULT", json.dumps({"plays": runs, "over": over, "cold_sum_worst": round(highest, 3)}))
    raise SystemExit(1 if over else 0)


if __name__ == "__main__":
    main()
