"""The fleet's core in simulated time: random scripts of faults, and the invariants on what others saw."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from martentide.fleet.core import Membership
from martentide_lab.fleet.invariants import Checker
from martentide_lab.fleet.search import play, random_steps, search
from martentide_lab.fleet.simulated import SimulatedFleet
from martentide_lab.fleet.story import Step

ALL = {f"n{at}" for at in range(5)}
NAMES = st.sampled_from(sorted(ALL))
SPANS = st.sampled_from([100.0, 600.0, 2_500.0, 9_000.0])  # ms until the next fault


class Faults(RuleBasedStateMachine):
    """Any order of faults; in the end all is mended, and all has to come right."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet(5, 11)
        self.fleet.play((), 3_000.0)

    def do(self, verb: str, *arguments: object, lasts: float = 700.0) -> None:
        self.fleet.do(Step(0.0, verb, arguments))
        self.fleet.run(self.fleet.now + lasts)

    @rule(name=NAMES, verb=st.sampled_from(["kill", "start", "stop", "continue", "term"]), lasts=SPANS)
    def process(self, name: str, verb: str, lasts: float) -> None:
        self.do(verb, name, lasts=lasts)

    @rule(side=st.sets(NAMES, min_size=1, max_size=4), lasts=SPANS)
    def split(self, side: set[str], lasts: float) -> None:
        self.do("split", ",".join(sorted(side)), ",".join(sorted(ALL - side)), lasts=lasts)

    @rule(one=NAMES, other=NAMES)
    def cut(self, one: str, other: str) -> None:
        self.do("cut", one, other)

    @rule(verb=st.sampled_from(["loss", "duplicate", "damage"]), share=st.sampled_from([0.0, 0.1, 0.2]))
    def network(self, verb: str, share: float) -> None:
        self.do(verb, share)

    @rule(lasts=SPANS)
    def heal(self, lasts: float) -> None:
        self.do("heal", lasts=lasts)

    def teardown(self) -> None:
        for verb, *arguments in (("heal",), ("loss", 0.0), ("damage", 0.0), ("continue", ",".join(ALL))):
            self.do(str(verb), *arguments, lasts=0.0)
        self.fleet.run(self.fleet.now + 14_000.0)
        broken = Checker(list(self.fleet.nodes)).check(self.fleet.log, self.fleet.now)
        assert not broken, "\n".join(map(str, broken))


Faults.TestCase.settings = settings(
    max_examples=40, stateful_step_count=14, deadline=None, derandomize=True, phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestFaults = Faults.TestCase


@pytest.mark.parametrize("members", [2, 3, 5, 7])
def test_no_random_script_breaks_an_invariant(members: int) -> None:
    for seed in range(8):
        steps = random_steps(seed, members)
        broken, _ = play(members, seed, steps)
        assert not broken, "\n".join(map(str, [*broken, *steps]))


def test_a_script_that_fails_is_told_at_its_shortest_and_plays_the_same_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Membership, "_expire_suspicions", lambda *_: None)
    found = list(search(range(3, 6), 4))
    assert found
    for seed, shortest, broken in found:
        assert 1 <= len(shortest) <= 4 and broken
        once, log = play(4, seed, shortest)
        again, same = play(4, seed, shortest)
        assert once == again != [] and log == same
