"""Contradictions and meets of rule sets: a table of cases and properties."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.agreement.ruleset import (
    RuleError,
    RuleSet,
    contradictions,
    decode_rules,
    encode_rules,
    meet,
    rules_from,
    rules_to_data,
)

BASE: dict[str, Any] = {
    "attempts": 3,
    "classes": {"sign": {"repeat": "keyed", "deadline_ms": 6000, "pools": [1, 2]}},
    "tenants": {"portal": 50},
    "cold_share": 0.3,
    "servers": {"s-1@0": "ready"},
}


def changed(path: str, value: Any) -> dict[str, Any]:
    """BASE with one entry changed; None removes it."""
    copy = {name: dict(one) if isinstance(one, dict) else one for name, one in BASE.items()}
    copy["classes"] = {name: dict(one) for name, one in copy["classes"].items()}
    *parents, last = path.split("/")
    section = copy
    for name in parents:
        section = section[name]
    if value is None:
        del section[last]
    else:
        section[last] = value
    return copy


@pytest.mark.parametrize(
    ("path", "value", "text"),
    [
        ("classes/sign/repeat", "once-only", "repeats what the other must not"),
        ("attempts", 1, "more than allowed"),
        ("classes/sign/deadline_ms", 5000, "for longer"),
        ("classes/sign/pools", [2, 3], "a pool"),
        ("classes/other", {"repeat": "keyed", "deadline_ms": 9, "pools": None}, ""),
        ("tenants/portal", 40, "add up to more"),
        ("tenants/portal", None, "add up to more"),
        ("tenants/other", 5, "add up to more"),
        ("cold_share", 0.2, "cold server"),
        ("servers/s-1@0", "draining", "gone or draining"),
        ("servers/s-1@0", None, ""),
        ("servers/s-1@77", "ready", ""),  # another start of the server
        ("servers/s-1@77", "gone", "gone or draining"),
    ],
)
def test_contradictions_are_found_with_their_reason_and_the_meet_has_none(
    path: str, value: Any, text: str
) -> None:
    one, other = rules_from(BASE, "a"), rules_from(changed(path, value), "b")
    found = contradictions(one, other)
    assert bool(found) == bool(text) and all(text in reason for reason in found), found
    both = meet(one, other)
    assert not contradictions(both, one) and not contradictions(both, other)


@pytest.mark.parametrize(
    ("path", "value", "text"),
    [
        ("classes/sign/repeat", "often", "repeat: expected one of harmless, keyed, once-only, found 'often'"),
        ("attempts", 1.5, "expected a whole number"),
        ("attempts", 0, "expected a number from 1 to 100, found 0"),
        ("classes/sign/pools", [-1], "list of place numbers"),
        ("classes/sign/worth", 2, "classes/sign: worth: expected one of"),
        ("tenants/portal", "many", "tenants/portal: expected a number"),
        ("servers/s-1", "ready", "expected ID@START"),
        ("servers/s-1@0", "well", "expected one of ready, draining, gone, found 'well'"),
        ("cold_share", 2, "cold_share: expected a number from 0 to 1, found 2"),
    ],
)
def test_a_bad_file_is_rejected_with_key_found_and_expected(path: str, value: Any, text: str) -> None:
    with pytest.raises(RuleError, match=text.replace("[", r"\[")):
        rules_from(changed(path, value), "f.json")


CLASS = st.fixed_dictionaries(
    {
        "repeat": st.sampled_from(["harmless", "keyed", "once-only"]),
        "deadline_ms": st.sampled_from([1000, 2000]),
        "pools": st.none() | st.lists(st.integers(0, 3), max_size=3),
    }
)
RULE_SETS = st.fixed_dictionaries(
    {
        "attempts": st.integers(1, 4),
        "classes": st.dictionaries(st.sampled_from("ab"), CLASS, max_size=2),
        "tenants": st.dictionaries(st.sampled_from("xy"), st.integers(0, 3), max_size=2),
        "cold_share": st.sampled_from([0.2, 0.5]),
        "servers": st.dictionaries(
            st.sampled_from(["p@0", "p@5", "q@0"]), st.sampled_from(["ready", "draining", "gone"]), max_size=3
        ),
    }
).map(lambda data: rules_from(data, "x"))


@settings(max_examples=300, deadline=None)
@given(RULE_SETS, RULE_SETS, RULE_SETS)
def test_the_meet_is_commutative_associative_idempotent_and_contradicts_neither(
    one: RuleSet, other: RuleSet, third: RuleSet
) -> None:
    both = meet(one, other)
    assert both == meet(other, one)
    assert meet(both, third) == meet(one, meet(other, third))
    assert meet(one, one) == meet(meet(one, one), one)
    assert meet(both, both) == both == meet(both, one)
    assert not contradictions(both, one) and not contradictions(both, other)
    assert contradictions(one, other) == [] or contradictions(other, one) != []
    assert decode_rules(encode_rules(both)) == both
    assert rules_from(rules_to_data(one), "again") == one


@settings(max_examples=200, deadline=None)
@given(RULE_SETS, RULE_SETS)
def test_the_meet_allows_nothing_that_one_does_not_allow(one: RuleSet, other: RuleSet) -> None:
    both = meet(one, other)
    for name, rule in both.classes.items():
        for mine in (one.classes.get(name), other.classes.get(name)):
            assert rule.repeat.lo <= (0.0 if mine is None else mine.repeat.lo)
    for name, state in both.servers.items():
        for held in (one.servers.get(name), other.servers.get(name)):
            assert state.lo <= (2.0 if held is None else held.lo)
