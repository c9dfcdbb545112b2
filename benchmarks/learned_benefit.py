"""The benefit of learned state: ``python -m benchmarks.learned_benefit [--seeds N] [--short]``.

Runs the product's decisions in simulated time at 100% of the planned load with four servers: one is 4 times
slower, one is replaced by a cold one 2 s before all proxies restart. The same run is made with the state
restored (last saved 0.5 s before the restart) and without. Also measures the cost of saving the state with
5,000 servers. The last line is ``RESULT {json}``.
"""

from __future__ import annotations

import dataclasses
import json
import random
import statistics
import time
from typing import Any

import click

from martentide.learned.ageing import age_state
from martentide.learned.codec import fingerprint, read_state, write_state
from martentide.learned.restore import restore
from martentide.learned.snapshot import Snapshots, take
from martentide.rules import Controller
from martentide.settings import settings_from
from martentide_lab.proxy import site_settings
from martentide_lab.simulated_site import SimulatedServer, SimulatedSite

SETTINGS = dataclasses.replace(settings_from(site_settings(4)), proxies=6)
CLASS_SHARES = (0.74, 0.05, 0.21)  # in the order of the settings' classes
SERVER_RATE, PLANNED_RATE = 20.0, 58.0  # set-ups/s of a warm server; calls/s of the whole site
RESTART_AFTER_MS, COUNTED_MS = 20_000.0, 10_000.0  # after the start; after the restart
START_MS = 1_000_000.0  # Unix ms at which a run starts; 0 as a start of a server would mean "long ago"


def run_simulated(seed: int, restore_saved: bool) -> dict[str, float]:
    """Runs the site with a restart of all proxies; ``restore_saved``: they restore the saved state."""
    servers = [SimulatedServer(f"s{index}", index, SERVER_RATE) for index in range(4)]
    servers[0].slowdown = 4.0
    site = SimulatedSite(SETTINGS, SETTINGS.proxies, servers, seed)
    site.now = START_MS
    site.controllers = [site.new_controller(index) for index in range(SETTINGS.proxies)]
    end = START_MS + RESTART_AFTER_MS + COUNTED_MS
    site.offer_calls(end, PLANNED_RATE, CLASS_SHARES)
    site.run(START_MS + RESTART_AFTER_MS - 2_000.0)
    cold = SimulatedServer("s9", 3, SERVER_RATE, started_at=site.now)
    site.replace("s3", cold)
    site.run(START_MS + RESTART_AFTER_MS - 500.0)
    saved_states = [
        write_state(take(controller, site.now), fingerprint(SETTINGS)) for controller in site.controllers
    ]
    site.run(START_MS + RESTART_AFTER_MS)
    for index in range(SETTINGS.proxies):

        def restore_state(_: Controller, new: Controller, index: int = index) -> None:
            if restore_saved:
                aged = age_state(read_state(saved_states[index], fingerprint(SETTINGS)), site.now)
                restore(new, aged, site.now, random.Random(seed * 100 + index))

        site.restart(index, restore_state)
    site.run(end + 3_000.0)
    servers_after_restart = [
        server_name
        for sent_at, server_name in site.sent_set_ups
        if START_MS + RESTART_AFTER_MS <= sent_at < START_MS + RESTART_AFTER_MS + 3_000.0
    ]
    return {
        "worth": site.served_share(START_MS + RESTART_AFTER_MS, end),
        "slow": float(servers_after_restart.count("s0")),
        "cold": float(servers_after_restart.count("s9")),
        "cold_use": site.cold_start_load(cold),
    }


def saving_cost(server_count: int) -> dict[str, float]:
    """The cost of one save: the longest slice on the event loop, the whole snapshot and its bytes."""
    servers = [SimulatedServer(f"s{index}", index, SERVER_RATE) for index in range(server_count)]
    site = SimulatedSite(SETTINGS, 1, servers, 1)
    controller, snapshots = site.controllers[0], Snapshots()
    for index, server in enumerate(controller.servers.values()):
        server.wait, server.lag, server.least_lag = float(index % 50), 20.0, 12.0
    longest_s = total_s = 0.0
    learned = None
    for _ in range(5):
        for server in list(controller.servers.values())[::10]:
            server.wait += 1.0  # a tenth of the records changes between saves
        slices, save_total_s, save_longest_s = snapshots.slices(controller, START_MS), 0.0, 0.0
        while True:
            started_at = time.perf_counter()
            learned = next(slices)
            elapsed = time.perf_counter() - started_at
            save_total_s, save_longest_s = save_total_s + elapsed, max(save_longest_s, elapsed)
            if learned is not None:
                break
        longest_s, total_s = (
            save_longest_s,
            save_total_s,
        )  # of the last save: the first one copies every record
    assert learned is not None
    started_at = time.perf_counter()
    data = write_state(learned, fingerprint(SETTINGS))
    return {
        "save_slice_ms": round(longest_s * 1000.0, 3),
        "save_loop_ms": round(total_s * 1000.0, 2),
        "save_encode_ms": round((time.perf_counter() - started_at) * 1000.0, 2),
        "save_bytes": float(len(data)),
    }


@click.command()
@click.option("--seeds", default=5, show_default=True)
@click.option("--short", is_flag=True, help="the short run of CI")
def main(seeds: int, short: bool) -> None:
    """Measures the benefit of learned state and the cost of saving it."""
    runs = {
        keep: [run_simulated(seed, keep) for seed in range(1, (2 if short else seeds) + 1)]
        for keep in (True, False)
    }
    result: dict[str, Any] = {"seeds": len(runs[True])}
    for name in ("worth", "slow", "cold", "cold_use"):
        for keep, label in ((True, "on"), (False, "off")):
            values = [run[name] for run in runs[keep]]
            result[f"{name}_{label}"] = round(statistics.mean(values), 4)
            result[f"{name}_{label}_all"] = [round(value, 3) for value in values]
    gains = [
        with_state["worth"] - without_state["worth"]
        for with_state, without_state in zip(runs[True], runs[False], strict=True)
    ]
    result["gain"] = round(statistics.mean(gains), 4)
    result["gain_spread"] = round(statistics.stdev(gains), 4) if len(gains) > 1 else 0.0
    result.update(saving_cost(500 if short else 5_000))
    for key, value in result.items():
        print(f"{key:<16} {value}")
    print("RESULT " + json.dumps(result))
    raise SystemExit(0 if max(run["cold_use"] for run in runs[True]) <= 1.0 else 1)


if __name__ == "__main__":
    main()
