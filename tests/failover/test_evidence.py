"""What one member believes of zones: hysteresis, causes, flaps."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.failover.evidence import Cause, Census, Evidence, State, Terms

WELL, SILENT = Census(4, 0, 2, 0), Census(4, 4, 2, 2)
TERMS = Terms()


def play(evidence: Evidence, census: Census, begin: float, lasts: float) -> list[State]:
    """The states of varna, a look each 250 ms; the other zones are well."""
    seen = []
    at = begin
    while at < begin + lasts:
        evidence.look(at, {"sofia": WELL, "plovdiv": WELL, "varna": census})
        seen.append(evidence.zones["varna"].state)
        at += 250.0
    return seen


@pytest.mark.parametrize(
    ("census", "cause", "lost"),
    [
        (SILENT, Cause.CUT_OFF, True),
        (Census(4, 4, 2, 0), Cause.SERVERS, True),
        (Census(4, 0, 2, 2), Cause.MEMBERS, False),
        (Census(4, 2, 2, 0), Cause.NONE, False),
        (Census(1, 1, 0, 0), Cause.CUT_OFF, True),  # a zone of one server and no proxy
        (Census(4, 3, 2, 2), Cause.CUT_OFF, True),  # one link stays
    ],
)
def test_what_the_evidence_is_for(census: Census, cause: Cause, lost: bool) -> None:
    evidence = Evidence("sofia")
    play(evidence, WELL, 0.0, 1_000.0)
    states = play(evidence, census, 1_000.0, 3_000.0)
    assert evidence.zones["varna"].cause is cause and (states[-1] is State.LOST) is lost


def test_a_short_silence_is_only_doubted() -> None:
    evidence = Evidence("sofia")
    assert set(play(evidence, SILENT, 0.0, TERMS.lost_after - 250.0)) == {State.DOUBTFUL}
    assert play(evidence, WELL, 2_000.0, 250.0) == [State.UP]


def test_all_others_silent_at_once_is_the_own_fault() -> None:
    evidence = Evidence("sofia")
    for at in range(20):
        evidence.look(at * 250.0, {"sofia": WELL, "plovdiv": SILENT, "varna": SILENT})
    assert {evidence.zones[name].cause for name in ("plovdiv", "varna")} == {Cause.SELF}
    assert all(one.state is not State.LOST for one in evidence.zones.values())


def test_flaps_earn_longer_returns_and_are_forgiven() -> None:
    evidence = Evidence("sofia")
    at, spans = 0.0, []
    for _ in range(4):
        play(evidence, SILENT, at, 3_000.0)
        back = play(evidence, WELL, at + 3_000.0, 60_000.0)
        first_up = back.index(State.UP) * 250.0
        spans.append(first_up)
        at += 3_000.0 + first_up + 1_000.0
        evidence.zones["varna"].returned = at - 1_000.0
    assert spans[0] < spans[1] < spans[2] < spans[3]
    play(evidence, WELL, at, 400_000.0)
    assert evidence.zones["varna"].flaps == 0


@settings(max_examples=200, deadline=None)
@given(st.lists(st.sampled_from([WELL, SILENT, Census(4, 2, 2, 1)]), min_size=4, max_size=80))
def test_no_state_changes_faster_than_its_time(looks: list[Census]) -> None:
    evidence = Evidence("sofia")
    lost_at = up_at = -1e9
    for number, census in enumerate(looks):
        now = number * 250.0
        before = evidence.zones["varna"].state if number else State.UP
        evidence.look(now, {"sofia": WELL, "plovdiv": WELL, "varna": census})
        after = evidence.zones["varna"].state
        if before is not State.LOST and after is State.LOST:
            assert before is State.RETURNING or now - up_at >= TERMS.lost_after
            lost_at = now
        if before is State.RETURNING and after is State.UP:
            assert now - lost_at >= TERMS.back_after
        if after is State.UP:
            up_at = now
