"""What learned state is worth: ``python -m benchmarks.learned_benefit [--seeds N] [--short]``.

One day in simulated time, with the real decisions: four servers, one 4 times slower, one replaced by a cold
one 2 s before all proxies are restarted, 100% of the planned load. The same day is played with the state kept
(last saved 0.5 s before the end) and without. And the cost of saving with 5,000 servers. The last line is
``RESULT {json}``.
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
SHARES = (0.74, 0.05, 0.21)  # in the order of the settings' classes
RATE, PLANNED = 20.0, 58.0  # set-ups/s of a warm server; calls/s of the whole site
RESTART, SEEN = 20_000.0, 10_000.0  # ms
START = 1_000_000.0  # Unix ms at which the day begins: 0 would be "long ago" to a server's start


def day(seed: int, keep: bool) -> dict[str, float]:
    servers = [SimulatedServer(f"s{at}", at, RATE) for at in range(4)]
    servers[0].slowdown = 4.0
    site = SimulatedSite(SETTINGS, SETTINGS.proxies, servers, seed)
    site.now = START
    site.controllers = [site.new_controller(at) for at in range(SETTINGS.proxies)]
    end = START + RESTART + SEEN
    site.offer_calls(end, PLANNED, SHARES)
    site.run(START + RESTART - 2_000.0)
    cold = SimulatedServer("s9", 3, RATE, started_at=site.now)
    site.replace("s3", cold)
    site.run(START + RESTART - 500.0)
    kept = [write_state(take(one, site.now), fingerprint(SETTINGS)) for one in site.controllers]
    site.run(START + RESTART)
    for at in range(SETTINGS.proxies):

        def give(_: Controller, new: Controller, at: int = at) -> None:
            if keep:
                aged = age_state(read_state(kept[at], fingerprint(SETTINGS)), site.now)
                restore(new, aged, site.now, random.Random(seed * 100 + at))

        site.restart(at, give)
    site.run(end + 3_000.0)
    after = [name for when, name in site.sent_set_ups if START + RESTART <= when < START + RESTART + 3_000.0]
    return {
        "worth": site.served(START + RESTART, end),
        "slow": float(after.count("s0")),
        "cold": float(after.count("s9")),
        "cold_use": site.cold_start_load(cold),
    }


def cost(servers: int) -> dict[str, float]:
    """Of one save: the longest slice on the loop, the whole snapshot, and the bytes."""
    few = [SimulatedServer(f"s{at}", at, RATE) for at in range(servers)]
    site = SimulatedSite(SETTINGS, 1, few, 1)
    controller, shots = site.controllers[0], Snapshots()
    for at, server in enumerate(controller.servers.values()):
        server.wait, server.lag, server.least_lag = float(at % 50), 20.0, 12.0
    longest = whole = 0.0
    learned = None
    for _ in range(5):
        for server in list(controller.servers.values())[::10]:
            server.wait += 1.0  # a tenth changes between saves
        slices, total, worst = shots.slices(controller, START), 0.0, 0.0
        while True:
            begun = time.perf_counter()
            learned = next(slices)
            taken = time.perf_counter() - begun
            total, worst = total + taken, max(worst, taken)
            if learned is not None:
                break
        longest, whole = worst, total  # of the last: the first takes every record
    assert learned is not None
    begun = time.perf_counter()
    data = write_state(learned, fingerprint(SETTINGS))
    return {
        "save_slice_ms": round(longest * 1000.0, 3),
        "save_loop_ms": round(whole * 1000.0, 2),
        "save_encode_ms": round((time.perf_counter() - begun) * 1000.0, 2),
        "save_bytes": float(len(data)),
    }


@click.command()
@click.option("--seeds", default=5, show_default=True)
@click.option("--short", is_flag=True, help="the form that CI runs")
def main(seeds: int, short: bool) -> None:
    days = {
        keep: [day(seed, keep) for seed in range(1, (2 if short else seeds) + 1)] for keep in (True, False)
    }
    result: dict[str, Any] = {"seeds": len(days[True])}
    for name in ("worth", "slow", "cold", "cold_use"):
        for keep, label in ((True, "on"), (False, "off")):
            values = [one[name] for one in days[keep]]
            result[f"{name}_{label}"] = round(statistics.mean(values), 4)
            result[f"{name}_{label}_all"] = [round(value, 3) for value in values]
    gains = [on["worth"] - off["worth"] for on, off in zip(days[True], days[False], strict=True)]
    result["gain"] = round(statistics.mean(gains), 4)
    result["gain_spread"] = round(statistics.stdev(gains), 4) if len(gains) > 1 else 0.0
    result.update(cost(500 if short else 5_000))
    for key, value in result.items():
        print(f"{key:<16} {value}")
    print("RESULT " + json.dumps(result))
    raise SystemExit(0 if max(one["cold_use"] for one in days[True]) <= 1.0 else 1)


if __name__ == "__main__":
    main()
