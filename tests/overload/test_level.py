"""The admitted share under pressure: immediate drop, gradual recovery, bounded effect of messages."""

from __future__ import annotations

import itertools

import pytest

from martentide.overload.level import (
    LATE_REDIAL_HOLD,
    MAX_MERGE_STEP,
    MAX_RECOVERY_RATE,
    MIN_ADMITTED,
    PRESSURE_THRESHOLD,
    PROPORTIONAL_GAIN,
    PROPORTIONAL_GAIN_LARGE,
    Level,
    Phase,
    fleet_pressure,
    size_factor,
)

POLL_INTERVAL = 250.0


def run_updates(level: Level, pressures: list[float], storm: bool = False, begin: float = 0.0) -> list[float]:
    """Update the level with each pressure in turn; return the admitted shares."""
    shares = []
    for at, pressure in enumerate(pressures):
        level.update(begin + at * POLL_INTERVAL, pressure, storm)
        shares.append(level.admitted)
    return shares


def test_without_pressure_everything_is_admitted() -> None:
    level = Level()
    assert run_updates(level, [0.0, PRESSURE_THRESHOLD / 2, 0.0]) == [1.0, 1.0, 1.0]
    assert level.phase is Phase.NORMAL


def test_pressure_sheds_within_two_updates_and_lasting_pressure_sheds_more() -> None:
    level = Level()
    shares = run_updates(level, [0.6] * 24)
    assert shares[2] < 0.7 and shares == sorted(shares, reverse=True)
    assert level.phase is Phase.SHEDDING and level.baseline < 0.85


def test_recovery_rate_is_limited() -> None:
    level = Level()
    run_updates(level, [0.9] * 40)
    recovery = run_updates(level, [0.0] * 40, begin=40 * POLL_INTERVAL)
    rises = [after - before for before, after in itertools.pairwise(recovery[8:])]
    assert max(rises) <= MAX_RECOVERY_RATE * POLL_INTERVAL / 1_000.0 + 1e-9 and recovery[-1] > recovery[8]


def test_storm_lowers_the_share_further_but_never_below_the_minimum() -> None:
    plain, storm = Level(), Level()
    assert run_updates(storm, [0.5] * 8, storm=True)[-1] < 0.6 * run_updates(plain, [0.5] * 8)[-1]
    assert (
        run_updates(storm, [1.0] * 200, storm=True, begin=8 * POLL_INTERVAL)[-1] == MIN_ADMITTED
        and storm.storms > 0
    )


def test_late_redials_are_refused_until_some_time_after_the_last_pressure() -> None:
    level = Level()
    run_updates(level, [0.5] * 8)
    last = level.last_pressure_at
    assert level.refuses_late_redials(last + LATE_REDIAL_HOLD - 1.0) and not level.refuses_late_redials(
        last + LATE_REDIAL_HOLD + 1.0
    )


def test_admitted_share_does_not_recover_while_the_process_is_suspended() -> None:
    level = Level()
    run_updates(level, [0.9] * 40)
    before = level.baseline
    level.update(40 * POLL_INTERVAL + 60_000.0, 0.0, False)
    assert level.baseline <= before + MAX_RECOVERY_RATE * 0.5


@pytest.mark.parametrize("received", [0.0, 1.0])
def test_one_message_shifts_the_baseline_by_a_bounded_amount(received: float) -> None:
    level = Level(baseline=0.5)
    level.merge(received)
    assert abs(level.baseline - 0.5) <= MAX_MERGE_STEP + 1e-9


def test_baselines_of_communicating_members_converge() -> None:
    one, other = Level(baseline=0.3), Level(baseline=0.9)
    for _ in range(30):
        one.merge(other.baseline)
        other.merge(one.baseline)
    assert one.baseline == pytest.approx(other.baseline, abs=0.02)


def test_least_loaded_servers_determine_the_pressure() -> None:
    assert fleet_pressure([0.0, 0.0, 0.0, 0.9]) == 0.0  # calls are redrawn among the other servers
    assert fleet_pressure([0.5, 0.6, 0.7]) == pytest.approx(0.6)
    assert fleet_pressure([]) == 0.0


@pytest.mark.parametrize(("members", "large"), [(0, 0.0), (1, 0.0), (12, 0.0), (200, 1.0), (5_000, 1.0)])
def test_size_factor_grows_from_0_to_1_with_the_fleet(members: int, large: float) -> None:
    assert size_factor(members) == large
    assert size_factor(max(1, members - 1)) <= large <= size_factor(members + 1)


def test_large_fleet_sheds_more_than_a_small_one_and_recovers_as_soon() -> None:
    small, large = Level(gain=PROPORTIONAL_GAIN), Level(gain=PROPORTIONAL_GAIN_LARGE)
    pressures = [0.4] * 8 + [0.0] * 12
    small_shares, large_shares = run_updates(small, pressures), run_updates(large, pressures)
    assert large_shares[7] < small_shares[7] < 1.0 and small_shares[-1] == large_shares[-1] == 1.0
