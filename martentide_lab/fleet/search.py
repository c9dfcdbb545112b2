"""Random fault scenarios in simulated time, and their reduction to the shortest that still fails."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence

from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.invariants import FleetChecker, Violation
from martentide_lab.fleet.scenario import Event, Step
from martentide_lab.fleet.simulated import SimulatedFleet

SCENARIO_MS = 40_000.0  # length of a scenario
QUIET_MS = 12_000.0  # at the end of a scenario, without faults, for the fleet to converge
FIRST_FAULT_MS = 3_000.0  # no fault before this time


def play_steps(
    members: int, seed: int, steps: Sequence[Step], until: float = SCENARIO_MS, base: Link | None = None
) -> tuple[list[Violation], list[Event]]:
    """Run the steps in simulated time; returns the violations and the event log."""
    fleet = SimulatedFleet(members, seed, base=base)
    log = fleet.play(tuple(steps), until)
    return FleetChecker(list(fleet.members)).check(log, until), log


def random_steps(seed: int, members: int, until: float = SCENARIO_MS - QUIET_MS) -> list[Step]:
    """Faults of all kinds up to ``until`` (ms), when cuts, stops and loss end."""
    rng = random.Random(seed)
    names = [f"n{number}" for number in range(members)]
    steps: list[Step] = []
    when = FIRST_FAULT_MS
    while (when := when + rng.expovariate(1 / 1_500.0)) < until:
        name = rng.choice(names)
        match rng.randrange(10):
            case 0:
                steps.append(Step(when, "kill", (name,)))
            case 1 | 2:
                steps.append(Step(when, "start", (",".join(rng.sample(names, 2)),)))
            case 3:
                steps.append(Step(when, "stop", (name,)))
                duration = rng.choice([300.0, 600.0, 2_000.0, 9_000.0])
                steps.append(Step(min(until, when + duration), "continue", (name,)))
            case 4:
                boundary = rng.randrange(1, members)
                shuffled = rng.sample(names, members)
                steps.append(
                    Step(when, "split", (",".join(shuffled[:boundary]), ",".join(shuffled[boundary:])))
                )
            case 5:
                steps.append(Step(when, "cut", (name, rng.choice(names))))
            case 6:
                steps.append(Step(when, "heal"))
            case 7:
                steps.append(Step(when, "loss", (rng.choice([0.0, 0.05, 0.2]),)))
            case 8:
                steps.append(Step(when, rng.choice(["duplicate", "damage"]), (rng.choice([0.0, 0.1]),)))
            case 9:
                steps.append(Step(when, "starve", (name,)))
                steps.append(Step(min(until, when + rng.choice([900.0, 4_000.0])), "feed", (name,)))
    steps += [
        Step(until, "feed", (",".join(names),)),
        Step(until, "heal"),
        Step(until, "loss", (0.0,)),
        Step(until, "continue", (",".join(names),)),
    ]
    return sorted(steps, key=lambda step: step.at)


def shrink(steps: Sequence[Step], fails: Callable[[Sequence[Step]], bool]) -> list[Step]:
    """Remove the steps that the failure doesn't need: blocks of half the steps first, then ever smaller ones.

    ``fails`` runs the remaining steps and returns whether they still fail.
    """
    remaining = list(steps)
    size = max(1, len(remaining) // 2)
    while True:
        position, removed = 0, False
        while position < len(remaining):
            candidate = remaining[:position] + remaining[position + size :]
            if fails(candidate):
                remaining, removed = candidate, True
            else:
                position += size
        if size == 1 and not removed:
            return remaining
        size = max(1, size // 2)


def search(seeds: range, members: int) -> Iterator[tuple[int, list[Step], list[Violation]]]:
    """Yield each seed with a violation, its shortest failing steps, and the violations of the full run."""
    for seed in seeds:
        steps = random_steps(seed, members)
        violations, _ = play_steps(members, seed, steps)
        if violations:
            invariant = violations[0].invariant

            def fails(candidate: Sequence[Step], seed: int = seed, invariant: str = invariant) -> bool:
                return any(
                    violation.invariant == invariant for violation in play_steps(members, seed, candidate)[0]
                )

            yield seed, shrink(steps, fails), violations
