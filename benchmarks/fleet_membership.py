"""Membership of a fleet: ``python -m benchmarks.fleet_membership [--processes N] [--minutes M] [--short]``.

First real processes on loopback under 5% loss: stops of half a second, kills, restarts, splits. What is
measured is what members logged of each other, on the rig's clock. Then the same core in simulated time, at
8, 64, 200 and 1,000 members. The last line is ``RESULT {json}``.
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
from martentide_lab.fleet.rig import Rig, processor_seconds
from martentide_lab.fleet.scenario import Scenario, Step
from martentide_lab.fleet.simulated import SimulatedFleet

LIMIT = 60.0  # s for what has to come
LOSS = 0.05


def quantile(values: list[float], share: float) -> float:
    """Seconds, of values in ms; -1 where there are none."""
    if not values:
        return -1.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] / 1000.0, 3)


def delays(rig: Rig, about: str, since: float, states: tuple[State, ...]) -> dict[str, float]:
    """By observer, when it first held the member for one of the states, in ms after ``since``."""
    found: dict[str, float] = {}
    for event in rig.log:
        seen = event.at >= since and event.kind == "member" and event.subject == about
        if seen and event.fields["state"] in states and event.observer != about:
            found.setdefault(event.observer, event.at - since)
    return found


def apart(rig: Rig, half: list[str], rest: list[str]) -> bool:
    return rig.known_dead(*half, by=rest) and rig.known_dead(*rest, by=half)


async def play(processes: int, seconds: float, seed: int) -> dict[str, Any]:
    dice = random.Random(seed)
    script = Scenario(proxies=processes, servers=0, seed=seed)
    detect: list[float] = []
    spread: list[float] = []
    heal: list[float] = []
    missed = stops = kills = 0
    async with Rig(script, with_load=False, base=Link(loss=LOSS, jitter=2.0)) as rig:
        await rig.wait_until(rig.is_converged, LIMIT)
        await asyncio.sleep(5.0)
        names = script.names()
        resident = {name: rig.resident_memory_mb(name) for name in names}
        began, sent = rig.now(), sum(rig.hub.sent_bytes.values())
        used = {name: processor_seconds(rig.proxies[name]) for name in names}
        spent = begun = 0.0
        while rig.now() - began < seconds * 1000.0:
            for name in dice.sample(names, 2):
                await rig.execute_step(Step(0, "stop", (name,)))
                await asyncio.sleep(0.5)
                await rig.execute_step(Step(0, "continue", (name,)))
                stops += 1
            await asyncio.sleep(1.0)
            name = dice.choice(names)
            spent += processor_seconds(rig.proxies[name]) - used[name]
            since = rig.now()
            await rig.execute_step(Step(0, "kill", (name,)))
            kills += 1
            try:
                await rig.wait_until(lambda: rig.known_dead(name), 15.0)  # noqa: B023
            except TimeoutError:
                missed += 1
            detect += delays(rig, name, since, (State.DEAD, State.LEFT)).values()
            await rig.execute_step(Step(0, "start", (name,)))
            used[name] = processor_seconds(rig.proxies[name])  # imports and settings: no cost of the fleet
            begun += used[name]
            since = rig.now() - 1_000.0
            try:
                await rig.wait_until(rig.is_converged, LIMIT)
            except TimeoutError:
                missed += 1
            told = sorted(delays(rig, name, since, (State.ALIVE,)).values())
            spread += [one - told[0] for one in told]
            if kills % 6 == 0:
                half = dice.sample(names, len(names) // 2)
                rest = [one for one in names if one not in half]
                await rig.execute_step(Step(0, "split", (",".join(half), ",".join(rest))))
                await rig.wait_until(lambda: apart(rig, half, rest), LIMIT)  # noqa: B023
                await rig.execute_step(Step(0, "heal"))
                heal.append(await rig.wait_until(rig.is_converged, LIMIT))
                await asyncio.sleep(7.0)  # the checker owes nobody anything right after
        span = (rig.now() - began) / 1000.0
        spent += sum(processor_seconds(rig.proxies[name]) - used[name] for name in names)
        broken = rig.violations()
        lived = [
            name for name in names if not any(e.kind == "killed" and e.observer == name for e in rig.log)
        ]
        growth = max((rig.resident_memory_mb(name) - resident[name] for name in lived), default=0.0)
        for line in broken[:10]:
            print(line, file=sys.stderr)
        return {
            "processes": processes, "seconds": round(span), "kills": kills, "stops": stops,
            "detect_p50_s": quantile(detect, 0.5), "detect_p99_s": quantile(detect, 0.99),
            "false_dead": sum(line.startswith("not-accused") for line in broken), "missed_dead": missed,
            "heal_s": round(max(heal, default=-1_000.0) / 1000.0, 3),
            "spread_p99_ms": round(1000 * quantile(spread, 0.99)),
            "bytes_per_s": round((sum(rig.hub.sent_bytes.values()) - sent) / span / processes),
            "cpu_share": round(spent / span / processes, 4),
            "start_cpu_s": round(begun / max(1, kills), 3), "rss_growth_mb": round(growth, 2),
            "stale_raised": sum(line.startswith("not-raised") for line in broken),
            "rules_broken": len(broken),
        }  # fmt: skip


def simulate(members: int, seed: int) -> dict[str, Any]:
    """The same figures in simulated time: a minute's stretch, five kills, a split."""
    begin = time.monotonic()
    fleet = SimulatedFleet(members, seed, base=Link(delay=1.0, jitter=2.0, loss=LOSS))
    fleet.start_acquainted()
    fleet.run(5_000.0)
    sent = {name: node.sent_bytes for name, node in fleet.members.items()}
    fleet.run(15_000.0)
    rate = sum(node.sent_bytes - sent[name] for name, node in fleet.members.items()) / members / 10.0
    detect: list[float] = []
    spread: list[float] = []
    for at in range(2 if members > 500 else 4):
        up = [one for one, node in fleet.members.items() if node.core is not None]
        name, since = up[len(up) // 2], fleet.now
        fleet.kill(name)
        fleet.run(since + 8_000.0)
        seen = [e for e in fleet.log if e.at >= since and e.kind == "member" and e.subject == name]
        detect += [e.at - since for e in seen if e.fields["state"] == State.DEAD]
        since = fleet.now
        fleet.publish(up[at], 5, b"a change")
        fleet.run(since + 3_000.0)
        spread += [e.at - since for e in fleet.log if e.at >= since and e.kind == "facet"]
    return {
        "members": members, "detect_p50_s": quantile(detect, 0.5), "detect_p99_s": quantile(detect, 0.99),
        "spread_p99_ms": round(1000 * quantile(spread, 0.99)), "bytes_per_s": round(rate),
        "heard": len(spread), "wall_s": round(time.monotonic() - begin, 1),
    }  # fmt: skip


@click.command()
@click.option("--processes", default=24, show_default=True)
@click.option("--minutes", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="8 processes, one kill; asserts the counts only")
@click.option("--sizes", default="8,64,200,1000", show_default=True, help="members in simulated time")
def main(processes: int, minutes: float, seed: int, short: bool, sizes: str) -> None:
    if short:
        processes, minutes, sizes = 8, 0.05, "8,64"
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65_536), hard))
    result = asyncio.run(play(processes, minutes * 60.0, seed)) if processes else {}
    print(json.dumps(result))
    result["simulated"] = []
    for size in sizes.split(","):
        result["simulated"].append(simulate(int(size), seed))
        print(json.dumps(result["simulated"][-1]))
    if short:
        counts = ("false_dead", "missed_dead", "stale_raised", "rules_broken")
        assert not any(result[name] for name in counts), result
    print("RESULT " + json.dumps(result))


if __name__ == "__main__":
    main()
