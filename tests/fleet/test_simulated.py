"""The fleet's core in simulated time: random scripts of faults, and the invariants on what others saw."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from martentide.fleet.core import Core
from martentide_lab.fleet.search import play, random_steps, search


@settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 10**6), st.integers(2, 7))
def test_no_script_of_faults_breaks_an_invariant(seed: int, members: int) -> None:
    steps = random_steps(seed, members)
    broken, _ = play(members, seed, steps)
    assert not broken, "\n".join(map(str, [*broken, *steps]))


def test_a_script_that_fails_is_told_at_its_shortest_and_plays_the_same_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Core, "_judge_suspects", lambda *_: None)
    found = list(search(range(3, 6), 4))
    assert found
    for seed, shortest, broken in found:
        assert 1 <= len(shortest) <= 4 and broken
        once, log = play(4, seed, shortest)
        again, same = play(4, seed, shortest)
        assert once == again != [] and log == same
