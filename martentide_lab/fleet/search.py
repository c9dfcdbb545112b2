"""Random scripts of faults in simulated time, and the shortest script that still fails."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence

from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.invariants import FleetChecker, Violation
from martentide_lab.fleet.scenario import Event, Step
from martentide_lab.fleet.simulated import SimulatedFleet

SCENARIO_MS = 40_000.0  # ms a script lasts
QUIET_MS = 12_000.0  # at its end, in which all is to come right
FIRST_FAULT_MS = 3_000.0  # before the first fault


def play_steps(
    members: int, seed: int, steps: Sequence[Step], until: float = SCENARIO_MS, base: Link | None = None
) -> tuple[list[Violation], list[Event]]:
    """What the script breaks, and the log of it."""
    fleet = SimulatedFleet(members, seed, base=base)
    log = fleet.play(tuple(steps), until)
    return FleetChecker(list(fleet.members)).check(log, until), log


def random_steps(seed: int, members: int, until: float = SCENARIO_MS - QUIET_MS) -> list[Step]:
    """Faults of all kinds up to ``until``; what is cut, stopped or lossy then is mended there."""
    dice = random.Random(seed)
    names = [f"n{at}" for at in range(members)]
    steps: list[Step] = []
    when = FIRST_FAULT_MS
    while (when := when + dice.expovariate(1 / 1_500.0)) < until:
        name = dice.choice(names)
        match dice.randrange(10):
            case 0:
                steps.append(Step(when, "kill", (name,)))
            case 1 | 2:
                steps.append(Step(when, "start", (",".join(dice.sample(names, 2)),)))
            case 3:
                steps.append(Step(when, "stop", (name,)))
                span = dice.choice([300.0, 600.0, 2_000.0, 9_000.0])
                steps.append(Step(min(until, when + span), "continue", (name,)))
            case 4:
                cut = dice.randrange(1, members)
                mixed = dice.sample(names, members)
                steps.append(Step(when, "split", (",".join(mixed[:cut]), ",".join(mixed[cut:]))))
            case 5:
                steps.append(Step(when, "cut", (name, dice.choice(names))))
            case 6:
                steps.append(Step(when, "heal"))
            case 7:
                steps.append(Step(when, "loss", (dice.choice([0.0, 0.05, 0.2]),)))
            case 8:
                steps.append(Step(when, dice.choice(["duplicate", "damage"]), (dice.choice([0.0, 0.1]),)))
            case 9:
                steps.append(Step(when, "starve", (name,)))
                steps.append(Step(min(until, when + dice.choice([900.0, 4_000.0])), "feed", (name,)))
    steps += [
        Step(until, "feed", (",".join(names),)),
        Step(until, "heal"),
        Step(until, "loss", (0.0,)),
        Step(until, "continue", (",".join(names),)),
    ]
    return sorted(steps, key=lambda step: step.at)


def shrink(steps: Sequence[Step], fails: Callable[[Sequence[Step]], bool]) -> list[Step]:
    """The steps without all that the failure does not need: halves first, then ever smaller parts."""
    left = list(steps)
    size = max(1, len(left) // 2)
    while True:
        at, gone = 0, False
        while at < len(left):
            fewer = left[:at] + left[at + size :]
            if fails(fewer):
                left, gone = fewer, True
            else:
                at += size
        if size == 1 and not gone:
            return left
        size = max(1, size // 2)


def search(seeds: range, members: int) -> Iterator[tuple[int, list[Step], list[Violation]]]:
    """Each seed's script that breaks something, at its shortest."""
    for seed in seeds:
        steps = random_steps(seed, members)
        broken, _ = play_steps(members, seed, steps)
        if broken:
            rule = broken[0].rule

            def fails(fewer: Sequence[Step], seed: int = seed, rule: str = rule) -> bool:
                return any(one.rule == rule for one in play_steps(members, seed, fewer)[0])

            yield seed, shrink(steps, fails), broken
