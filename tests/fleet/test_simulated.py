"""The fleet's core in simulated time: random scripts of faults, and the invariants on what others saw."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from martentide_lab.fleet.invariants import Broken, Checker
from martentide_lab.fleet.simulated import SimulatedFleet
from martentide_lab.fleet.story import Step

END = 40_000.0
QUIET = 12_000.0  # at the end of a script, in which all is to come right


def play(members: int, seed: int, *steps: Step, until: float = END) -> tuple[SimulatedFleet, list[Broken]]:
    fleet = SimulatedFleet(members, seed)
    log = fleet.play(steps, until)
    return fleet, Checker(list(fleet.nodes)).check(log, until)


def random_steps(seed: int, members: int, until: float) -> list[Step]:
    """Faults of all kinds up to ``until``; what is cut, stopped or lossy then is mended there."""
    dice = random.Random(seed)
    names = [f"n{at}" for at in range(members)]
    steps: list[Step] = []
    when = 3_000.0
    while (when := when + dice.expovariate(1 / 1_500.0)) < until:
        name = dice.choice(names)
        match dice.randrange(9):
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
    steps += [Step(until, "heal"), Step(until, "loss", (0.0,)), Step(until, "continue", (",".join(names),))]
    return sorted(steps, key=lambda step: step.at)


@settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 10**6), st.integers(2, 7))
def test_no_script_of_faults_breaks_an_invariant(seed: int, members: int) -> None:
    steps = random_steps(seed, members, END - QUIET)
    _, broken = play(members, seed, *steps)
    assert not broken, "\n".join(map(str, [*broken, *steps]))
