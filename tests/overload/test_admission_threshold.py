"""Load shedding by priority: shares by worth, one partial class, one verdict per number at every proxy."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martentide.overload.admission_threshold import TURNS_PER_VERDICT, admitted_shares, unit_hash

WORTHS = {"status": 1.0, "prep": 2.0, "sign": 6.0}


@pytest.mark.parametrize(
    ("admitted", "expected"),
    [
        (1.0, {"status": 1.0, "prep": 1.0, "sign": 1.0}),
        (0.65, {"status": 0.5, "prep": 1.0, "sign": 1.0}),
        (0.2, {"status": 0.0, "prep": 0.5, "sign": 1.0}),
        (0.05, {"status": 0.0, "prep": 0.0, "sign": 0.5}),
        (0.0, {"status": 0.0, "prep": 0.0, "sign": 0.0}),
    ],
)
def test_classes_above_the_threshold_are_admitted_whole_and_one_in_part(
    admitted: float, expected: dict[str, float]
) -> None:
    shares = admitted_shares(admitted, WORTHS, {"status": 70.0, "prep": 20.0, "sign": 10.0})
    assert shares == pytest.approx(expected)


def test_classes_of_equal_worth_or_without_rates_get_equal_shares() -> None:
    assert admitted_shares(0.5, {"a": 1.0, "b": 1.0}, {"a": 30.0, "b": 10.0}) == pytest.approx(
        {"a": 0.5, "b": 0.5}
    )
    assert admitted_shares(0.4, WORTHS, {}) == {"status": 0.4, "prep": 0.4, "sign": 0.4}


@given(
    st.floats(0.0, 1.0),
    st.dictionaries(st.sampled_from("abcde"), st.floats(0.1, 9.0), min_size=1),
    st.dictionaries(st.sampled_from("abcde"), st.floats(0.0, 1e4)),
)
def test_admitted_total_matches_and_shares_follow_worth(
    admitted: float, worths: dict[str, float], offered: dict[str, float]
) -> None:
    shares = admitted_shares(admitted, worths, offered)
    total = sum(offered.get(name, 0.0) for name in worths)
    assert shares.keys() == worths.keys() and all(0.0 <= share <= 1.0 for share in shares.values())
    if total > 1e-3:
        inside = sum(share * offered.get(name, 0.0) for name, share in shares.items())
        assert inside == pytest.approx(admitted * total, rel=1e-6, abs=1e-6)
        parts = sorted({(worths[name], shares[name]) for name in worths if offered.get(name, 0.0) > 1e-3})
        assert [share for _, share in parts] == sorted(share for _, share in parts)


def test_verdict_on_a_number_changes_slowly_and_at_different_turns() -> None:
    numbers = [f"{at:x}" for at in range(4_000)]
    before, after = ([unit_hash(number, turn) for number in numbers] for turn in (16, 17))
    changed = sum(one != other for one, other in zip(before, after, strict=True))
    assert 0.5 / TURNS_PER_VERDICT < changed / len(numbers) < 2.0 / TURNS_PER_VERDICT
    for values in (before, after):
        assert 0.46 < sum(value < 0.5 for value in values) / len(values) < 0.54
    assert all(unit_hash(number, 3) != unit_hash(number, 3 + TURNS_PER_VERDICT) for number in numbers[:50])
