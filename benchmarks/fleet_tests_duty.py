"""Health checks and trial calls at a failing server: ``python -m benchmarks.fleet_tests_duty [--short]``.

Runs real processes, without a fleet and as a fleet, at the same total load: one server hung (answers
nothing), one mute (answers health checks but no set-up), one cold. Counts the health checks and set-ups that
the servers received, and measures the time until every proxy sends calls to the recovered hung server, by the
call ids of each proxy's callers. Then the same in simulated time without the cold server, also with more
proxies than one machine can run as processes. The last line is ``RESULT {json}``.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import sys
from typing import Any

import click

from martentide.net.links import unix_ms
from martentide.settings import settings_from
from martentide_lab.fleet.rig import Rig
from martentide_lab.fleet.scenario import Scenario, Step
from martentide_lab.fleet.simulated import SimulatedFleet
from martentide_lab.proxy import site_settings
from martentide_lab.servers import DRAINING, READY, SessionServer
from martentide_lab.simulated_site import SimulatedServer, SimulatedSite

TOTAL_RATE = 120.0  # calls a second, all proxies together
SETTLE_S, COUNTED_S = 6.0, 12.0  # before counting; counted
RETURN_WAIT_S = 12.0  # within which all proxies should send calls to the recovered server
COLD_AGE_MS = 4_000.0  # not used: the cold server starts when counting starts


def events_per_second(times: list[float], begin: float, end: float) -> float:
    """Events between two times; all times in ms."""
    return round(sum(begin <= time_ms < end for time_ms in times) / (end - begin) * 1000.0, 2)


def time_until_all_return(rig: Rig, server: SessionServer, since: float) -> tuple[float, int]:
    """ms until the last proxy sent the server a call (-1: none did), and the number of proxies that did."""
    first_call_after: dict[str, float] = {}
    for set_up in server.received_set_ups:
        if set_up.received_at >= since:
            member = next(
                (name for name, load in rig.load_generators.items() if set_up.call in load.calls), None
            )
            if member is not None:
                first_call_after.setdefault(member, set_up.received_at - since)
    return (max(first_call_after.values()) if first_call_after else -1.0), len(first_call_after)


async def run_processes(processes: int, with_fleet: bool, counted_s: float, seed: int) -> dict[str, Any]:
    """Runs real processes with a hung, a mute and a cold server; the hung one recovers at the end."""
    scenario = Scenario(proxies=processes, servers=5, rate=TOTAL_RATE, seed=seed)
    async with Rig(scenario, with_fleet=with_fleet) as rig:
        hung, mute, cold = rig.servers[0], rig.servers[1], rig.servers[2]
        if with_fleet:
            await rig.wait_until(rig.is_converged, 60.0)
        await asyncio.sleep(2.0)
        await rig.execute_step(Step(0, "server", ("s0", "hung")))
        await rig.execute_step(Step(0, "server", ("s1", "mute")))
        await asyncio.sleep(SETTLE_S)
        rig.discovery.publish([(cold, DRAINING)])
        rig.discovery.publish([(cold, READY)], started=int(unix_ms()))
        begin = unix_ms()
        await asyncio.sleep(counted_s)
        end = unix_ms()
        figures = {
            "tests_hung": events_per_second(hung.health_checks, begin, end),
            "tests_mute": events_per_second(mute.health_checks, begin, end),
            "tests_cold": events_per_second(cold.health_checks, begin, end),
            "set_ups_hung": events_per_second(
                [set_up.received_at for set_up in hung.received_set_ups], begin, end
            ),
            "set_ups_mute": events_per_second(
                [set_up.received_at for set_up in mute.received_set_ups], begin, end
            ),
        }
        since = unix_ms()
        await rig.execute_step(Step(0, "server", ("s0", "well")))
        await asyncio.sleep(RETURN_WAIT_S)
        last_ms, count = time_until_all_return(rig, hung, since)
        violations = [line for line in rig.violations() if not line.startswith(("late", "missing"))]
        for line in violations[:10]:
            print(line, file=sys.stderr)
        return {
            **figures,
            "back_s": round(last_ms / 1000.0, 2),
            "back": count,
            "rules_broken": len(violations),
        }


def run_simulated(proxies: int, with_fleet: bool, seed: int) -> dict[str, Any]:
    """Runs a hung and a mute server in simulated time."""
    settings = dataclasses.replace(settings_from(site_settings(8)), proxies=proxies)
    servers = [SimulatedServer(f"s{index}", index, 20.0) for index in range(8)]
    site = SimulatedSite(settings, proxies, servers, seed)
    if with_fleet:
        site.join_fleet(SimulatedFleet(proxies, seed, encode_datagrams=False))
    site.offer_calls(30_000.0, 90.0, (0.74, 0.05, 0.21))
    site.run(5_000.0)
    servers[0].ignore_set_ups = servers[0].ignore_health_checks = servers[1].ignore_set_ups = True
    site.run(30_000.0)
    figures = {}
    for name, server in (("hung", servers[0]), ("mute", servers[1])):
        figures[f"tests_{name}"] = events_per_second(server.health_checks, 10_000.0, 30_000.0)
        figures[f"set_ups_{name}"] = events_per_second(server.received_at, 10_000.0, 30_000.0)
    return {**figures, "served": round(site.served_share(10_000.0, 27_000.0), 3)}


@click.command()
@click.option("--sizes", default="4,8,16,24", show_default=True, help="real processes")
@click.option("--simulated-sizes", default="8,40,200", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="4 and 8 processes; asserts the counts only")
def main(sizes: str, simulated_sizes: str, seed: int, short: bool) -> None:
    """Measures health checks and trial calls at failing servers."""
    counted_s = COUNTED_S
    if short:
        sizes, simulated_sizes, counted_s = "4,8", "8,40", 6.0
    result: dict[str, Any] = {"real": {}, "simulated": {}}
    for kind, chosen_sizes in (("simulated", simulated_sizes), ("real", sizes)):
        for size in filter(None, chosen_sizes.split(",")):
            for with_fleet in (False, True):
                if kind == "real":
                    figures = asyncio.run(run_processes(int(size), with_fleet, counted_s, seed))
                else:
                    figures = run_simulated(int(size), with_fleet, seed)
                result[kind][f"{size}-{'fleet' if with_fleet else 'alone'}"] = figures
                print(json.dumps({"size": size, "kind": kind, "fleet": with_fleet, **figures}), flush=True)
    if short:
        for name in ("4-fleet", "8-fleet"):
            assert not result["real"][name]["rules_broken"], result
            assert result["real"][name]["back"] == int(name.split("-")[0]), result
        # The health checks of a server don't grow with the fleet, because only the members assigned to it
        # make them. Simulated time gives the same figures on every machine.
        small_fleet, large_fleet = (
            result["simulated"][name]["tests_hung"] for name in ("8-fleet", "40-fleet")
        )
        assert 0 < large_fleet <= 1.5 * max(small_fleet, 2.0), result
    print("RESULT " + json.dumps(result))


if __name__ == "__main__":
    main()
