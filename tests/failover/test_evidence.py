"""Detection of zone failures by one member: hysteresis, causes and flaps."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.failover.evidence import Cause, State, Thresholds, ZoneCensus, ZoneFailureDetector

HEALTHY, SILENT = ZoneCensus(4, 0, 2, 0), ZoneCensus(4, 4, 2, 2)
THRESHOLDS = Thresholds()


def observe_zone(
    detector: ZoneFailureDetector, census: ZoneCensus, begin: float, duration: float
) -> list[State]:
    """Return the states of varna, updated every 250 ms while the other zones are healthy."""
    seen = []
    at = begin
    while at < begin + duration:
        detector.update(at, {"sofia": HEALTHY, "plovdiv": HEALTHY, "varna": census})
        seen.append(detector.zones["varna"].state)
        at += 250.0
    return seen


@pytest.mark.parametrize(
    ("census", "cause", "lost"),
    [
        (SILENT, Cause.CUT_OFF, True),
        (ZoneCensus(4, 4, 2, 0), Cause.SERVERS, True),
        (ZoneCensus(4, 0, 2, 2), Cause.MEMBERS, False),
        (ZoneCensus(4, 2, 2, 0), Cause.NONE, False),
        (ZoneCensus(1, 1, 0, 0), Cause.CUT_OFF, True),  # a zone of one server and no proxy
        (ZoneCensus(4, 3, 2, 2), Cause.CUT_OFF, True),  # one server still answers
    ],
)
def test_cause_and_loss_for_each_census(census: ZoneCensus, cause: Cause, lost: bool) -> None:
    detector = ZoneFailureDetector("sofia")
    observe_zone(detector, HEALTHY, 0.0, 1_000.0)
    states = observe_zone(detector, census, 1_000.0, 3_000.0)
    assert detector.zones["varna"].cause is cause and (states[-1] is State.LOST) is lost


def test_short_silence_makes_a_zone_suspect_but_not_lost() -> None:
    detector = ZoneFailureDetector("sofia")
    assert set(observe_zone(detector, SILENT, 0.0, THRESHOLDS.lost_after - 250.0)) == {State.SUSPECT}
    assert observe_zone(detector, HEALTHY, 2_000.0, 250.0) == [State.UP]


def test_silence_of_all_other_zones_is_attributed_to_the_own_zone() -> None:
    detector = ZoneFailureDetector("sofia")
    for at in range(20):
        detector.update(at * 250.0, {"sofia": HEALTHY, "plovdiv": SILENT, "varna": SILENT})
    assert {detector.zones[name].cause for name in ("plovdiv", "varna")} == {Cause.SELF}
    assert all(one.state is not State.LOST for one in detector.zones.values())


def test_flaps_delay_the_return_and_expire() -> None:
    detector = ZoneFailureDetector("sofia")
    at, return_delays = 0.0, []
    for _ in range(4):
        observe_zone(detector, SILENT, at, 3_000.0)
        back = observe_zone(detector, HEALTHY, at + 3_000.0, 60_000.0)
        first_up = back.index(State.UP) * 250.0
        return_delays.append(first_up)
        at += 3_000.0 + first_up + 1_000.0
        detector.zones["varna"].returned_at = at - 1_000.0
    assert return_delays[0] < return_delays[1] < return_delays[2] < return_delays[3]
    observe_zone(detector, HEALTHY, at, 400_000.0)
    assert detector.zones["varna"].flaps == 0


@settings(max_examples=200, deadline=None)
@given(st.lists(st.sampled_from([HEALTHY, SILENT, ZoneCensus(4, 2, 2, 1)]), min_size=4, max_size=80))
def test_no_state_changes_before_its_delay(censuses: list[ZoneCensus]) -> None:
    detector = ZoneFailureDetector("sofia")
    lost_at = up_at = -1e9
    for number, census in enumerate(censuses):
        now = number * 250.0
        before = detector.zones["varna"].state if number else State.UP
        detector.update(now, {"sofia": HEALTHY, "plovdiv": HEALTHY, "varna": census})
        after = detector.zones["varna"].state
        if before is not State.LOST and after is State.LOST:
            assert before is State.RETURNING or now - up_at >= THRESHOLDS.lost_after
            lost_at = now
        if before is State.RETURNING and after is State.UP:
            assert now - lost_at >= THRESHOLDS.back_after
        if after is State.UP:
            up_at = now
