"""The membership core in simulated time: random fault scripts, checked by invariants on the members' logs."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from martentide.fleet.core import Membership
from martentide_lab.fleet.invariants import FleetChecker
from martentide_lab.fleet.scenario import Step
from martentide_lab.fleet.search import play_steps, random_steps, search
from martentide_lab.fleet.simulated import SimulatedFleet

MEMBERS = {f"n{index}" for index in range(5)}
NAMES = st.sampled_from(sorted(MEMBERS))
DURATIONS = st.sampled_from([100.0, 600.0, 2_500.0, 9_000.0])  # ms until the next fault


class Faults(RuleBasedStateMachine):
    """Faults in any order; after all are repaired, the fleet has to recover."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet(5, 11)
        self.fleet.play((), 3_000.0)

    def do(self, verb: str, *arguments: object, duration: float = 700.0) -> None:
        """Execute one step of a scenario, then run the fleet for ``duration`` ms."""
        self.fleet.execute_step(Step(0.0, verb, arguments))
        self.fleet.run(self.fleet.now + duration)

    @rule(name=NAMES, verb=st.sampled_from(["kill", "start", "stop", "continue", "term"]), duration=DURATIONS)
    def process(self, name: str, verb: str, duration: float) -> None:
        """Kill, start, stop, continue or terminate a process."""
        self.do(verb, name, duration=duration)

    @rule(side=st.sets(NAMES, min_size=1, max_size=4), duration=DURATIONS)
    def split(self, side: set[str], duration: float) -> None:
        """Cut the fleet in two."""
        self.do("split", ",".join(sorted(side)), ",".join(sorted(MEMBERS - side)), duration=duration)

    @rule(one=NAMES, other=NAMES)
    def cut(self, one: str, other: str) -> None:
        """Cut one direction between two members."""
        self.do("cut", one, other)

    @rule(verb=st.sampled_from(["loss", "duplicate", "damage"]), share=st.sampled_from([0.0, 0.1, 0.2]))
    def network(self, verb: str, share: float) -> None:
        """Set the loss, duplication or damage of all links."""
        self.do(verb, share)

    @rule(duration=DURATIONS)
    def heal(self, duration: float) -> None:
        """End all cuts."""
        self.do("heal", duration=duration)

    def teardown(self) -> None:
        """Repair all faults, let the fleet recover for 14 s and check the invariants."""
        for verb, *arguments in (("heal",), ("loss", 0.0), ("damage", 0.0), ("continue", ",".join(MEMBERS))):
            self.do(str(verb), *arguments, duration=0.0)
        self.fleet.run(self.fleet.now + 14_000.0)
        violations = FleetChecker(list(self.fleet.members)).check(self.fleet.log, self.fleet.now)
        assert not violations, "\n".join(map(str, violations))


Faults.TestCase.settings = settings(
    max_examples=40, stateful_step_count=14, deadline=None, derandomize=True, phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestFaults = Faults.TestCase


@pytest.mark.parametrize("members", [2, 3, 5, 7])
def test_no_random_script_breaks_an_invariant(members: int) -> None:
    for seed in range(8):
        steps = random_steps(seed, members)
        violations, _ = play_steps(members, seed, steps)
        assert not violations, "\n".join(map(str, [*violations, *steps]))


def test_a_failing_script_is_minimized_and_replays_identically(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Membership, "_expire_suspicions", lambda *_: None)
    failures = list(search(range(3, 6), 4))
    assert failures
    for seed, shortest, violations in failures:
        assert 1 <= len(shortest) <= 4 and violations
        first_violations, first_log = play_steps(4, seed, shortest)
        second_violations, second_log = play_steps(4, seed, shortest)
        assert first_violations == second_violations != [] and first_log == second_log
