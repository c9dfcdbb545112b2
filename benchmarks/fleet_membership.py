"""Membership of a fleet: ``python -m benchmarks.fleet_membership [--processes N] [--minutes M] [--short]``.

First runs real processes on loopback with 5% datagram loss: stops of half a second, kills, restarts and
splits. The figures come from what the members logged about each other, on the rig's clock. Then runs the same
membership code in simulated time with 8, 64, 200 and 1,000 members. The last line is ``RESULT {json}``.
"""

from __future__ import annotations

import asyncio
import json
import random
import resource
import sys
import time
from typing import Any

import click

from martentide.fleet.wire import State
from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.rig import Rig, cpu_seconds
from martentide_lab.fleet.scenario import Scenario, Step
from martentide_lab.fleet.simulated import SimulatedFleet

CONVERGENCE_TIMEOUT_S = 60.0  # for convergence after a start, a restart or a split
LOSS_SHARE = 0.05


def quantile(values: list[float], share: float) -> float:
    """The quantile in seconds of values in ms; -1 if there are none."""
    if not values:
        return -1.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] / 1000.0, 3)


def detection_delays(rig: Rig, about: str, since: float, states: tuple[State, ...]) -> dict[str, float]:
    """By observer, the time in ms after ``since`` when it first saw the member in one of the states."""
    delays: dict[str, float] = {}
    for event in rig.log:
        matches = event.at >= since and event.kind == "member" and event.subject == about
        if matches and event.fields["state"] in states and event.observer != about:
            delays.setdefault(event.observer, event.at - since)
    return delays


def is_split(rig: Rig, half: list[str], rest: list[str]) -> bool:
    """Whether each side of the split sees all members of the other side as dead."""
    return rig.are_known_dead(*half, by=rest) and rig.are_known_dead(*rest, by=half)


async def run_processes(processes: int, seconds: float, seed: int) -> dict[str, Any]:
    """Runs real processes with faults for the given time and returns the figures."""
    rng = random.Random(seed)
    scenario = Scenario(proxies=processes, servers=0, seed=seed)
    detection_ms: list[float] = []
    spread_ms: list[float] = []
    heal_ms: list[float] = []
    missed = stops = kills = 0
    async with Rig(scenario, with_load=False, base=Link(loss=LOSS_SHARE, jitter=2.0)) as rig:
        await rig.wait_until(rig.is_converged, CONVERGENCE_TIMEOUT_S)
        await asyncio.sleep(5.0)
        names = scenario.names()
        resident = {name: rig.resident_memory_mb(name) for name in names}
        started_at, sent_before = rig.now(), sum(rig.hub.sent_bytes.values())
        cpu_before = {name: cpu_seconds(rig.proxies[name]) for name in names}
        cpu_used = start_cpu = 0.0
        while rig.now() - started_at < seconds * 1000.0:
            for name in rng.sample(names, 2):
                await rig.execute_step(Step(0, "stop", (name,)))
                await asyncio.sleep(0.5)
                await rig.execute_step(Step(0, "continue", (name,)))
                stops += 1
            await asyncio.sleep(1.0)
            name = rng.choice(names)
            cpu_used += cpu_seconds(rig.proxies[name]) - cpu_before[name]
            since = rig.now()
            await rig.execute_step(Step(0, "kill", (name,)))
            kills += 1
            try:
                await rig.wait_until(lambda: rig.are_known_dead(name), 15.0)  # noqa: B023
            except TimeoutError:
                missed += 1
            detection_ms += detection_delays(rig, name, since, (State.DEAD, State.LEFT)).values()
            await rig.execute_step(Step(0, "start", (name,)))
            # Imports and settings are no cost of the membership.
            cpu_before[name] = cpu_seconds(rig.proxies[name])
            start_cpu += cpu_before[name]
            since = rig.now() - 1_000.0
            try:
                await rig.wait_until(rig.is_converged, CONVERGENCE_TIMEOUT_S)
            except TimeoutError:
                missed += 1
            learned_after = sorted(detection_delays(rig, name, since, (State.ALIVE,)).values())
            spread_ms += [delay - learned_after[0] for delay in learned_after]
            if kills % 6 == 0:
                half = rng.sample(names, len(names) // 2)
                rest = [member for member in names if member not in half]
                await rig.execute_step(Step(0, "split", (",".join(half), ",".join(rest))))
                await rig.wait_until(lambda: is_split(rig, half, rest), CONVERGENCE_TIMEOUT_S)  # noqa: B023
                await rig.execute_step(Step(0, "heal"))
                heal_ms.append(await rig.wait_until(rig.is_converged, CONVERGENCE_TIMEOUT_S))
                # The checker requires nothing of a member for 6 s after it was cut off (``Bounds.settling``).
                await asyncio.sleep(7.0)
        span = (rig.now() - started_at) / 1000.0
        cpu_used += sum(cpu_seconds(rig.proxies[name]) - cpu_before[name] for name in names)
        violations = rig.violations()
        never_killed = [
            name
            for name in names
            if not any(event.kind == "killed" and event.observer == name for event in rig.log)
        ]
        growth = max((rig.resident_memory_mb(name) - resident[name] for name in never_killed), default=0.0)
        for line in violations[:10]:
            print(line, file=sys.stderr)
        return {
            "processes": processes, "seconds": round(span), "kills": kills, "stops": stops,
            "detect_p50_s": quantile(detection_ms, 0.5), "detect_p99_s": quantile(detection_ms, 0.99),
            "false_dead": sum(line.startswith("not-accused") for line in violations), "missed_dead": missed,
            "heal_s": round(max(heal_ms, default=-1_000.0) / 1000.0, 3),
            "spread_p99_ms": round(1000 * quantile(spread_ms, 0.99)),
            "bytes_per_s": round((sum(rig.hub.sent_bytes.values()) - sent_before) / span / processes),
            "cpu_share": round(cpu_used / span / processes, 4),
            "start_cpu_s": round(start_cpu / max(1, kills), 3), "rss_growth_mb": round(growth, 2),
            "stale_raised": sum(line.startswith("not-raised") for line in violations),
            "rules_broken": len(violations),
        }  # fmt: skip


def run_simulated(members: int, seed: int) -> dict[str, Any]:
    """Measures in simulated time: traffic in 10 calm seconds, then kills and published changes in turn."""
    wall_start = time.monotonic()
    fleet = SimulatedFleet(members, seed, base=Link(delay=1.0, jitter=2.0, loss=LOSS_SHARE))
    fleet.start_converged()
    fleet.run(5_000.0)
    sent_before = {name: member.sent_bytes for name, member in fleet.members.items()}
    fleet.run(15_000.0)
    bytes_rate = (
        sum(member.sent_bytes - sent_before[name] for name, member in fleet.members.items()) / members / 10.0
    )
    detection_ms: list[float] = []
    spread_ms: list[float] = []
    for index in range(2 if members > 500 else 4):
        running = [name for name, member in fleet.members.items() if member.core is not None]
        name, since = running[len(running) // 2], fleet.now
        fleet.kill(name)
        fleet.run(since + 8_000.0)
        events = [
            event
            for event in fleet.log
            if event.at >= since and event.kind == "member" and event.subject == name
        ]
        detection_ms += [event.at - since for event in events if event.fields["state"] == State.DEAD]
        since = fleet.now
        fleet.publish(running[index], 5, b"a change")
        fleet.run(since + 3_000.0)
        spread_ms += [event.at - since for event in fleet.log if event.at >= since and event.kind == "facet"]
    return {
        "members": members,
        "detect_p50_s": quantile(detection_ms, 0.5), "detect_p99_s": quantile(detection_ms, 0.99),
        "spread_p99_ms": round(1000 * quantile(spread_ms, 0.99)), "bytes_per_s": round(bytes_rate),
        "heard": len(spread_ms), "wall_s": round(time.monotonic() - wall_start, 1),
    }  # fmt: skip


@click.command()
@click.option("--processes", default=24, show_default=True)
@click.option("--minutes", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="8 processes, one kill; asserts the counts only")
@click.option("--sizes", default="8,64,200,1000", show_default=True, help="members in simulated time")
def main(processes: int, minutes: float, seed: int, short: bool, sizes: str) -> None:
    """Measures the membership of a fleet."""
    if short:
        processes, minutes, sizes = 8, 0.05, "8,64"
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65_536), hard))
    result = asyncio.run(run_processes(processes, minutes * 60.0, seed)) if processes else {}
    print(json.dumps(result))
    result["simulated"] = []
    for size in sizes.split(","):
        result["simulated"].append(run_simulated(int(size), seed))
        print(json.dumps(result["simulated"][-1]))
    if short:
        counts = ("false_dead", "missed_dead", "stale_raised", "rules_broken")
        assert not any(result[name] for name in counts), result
    print("RESULT " + json.dumps(result))


if __name__ == "__main__":
    main()
