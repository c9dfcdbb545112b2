"""Local settings and server lists restricted by an agreed version or by safe rules: the stricter of both
applies."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from martentide.agreement.overlay import AgreedRules, find_objection
from martentide.agreement.ruleset import RuleSet, meet, rules_from
from martentide.interface import Repeat, ServerEntry, ServerState, Settings, Tenant
from martentide.settings import settings_from
from martentide_lab.proxy import CLASSES, site_settings

OWN = dataclasses.replace(settings_from(site_settings(2)), tenants=(Tenant("portal", 40.0),), proxies=4)


def rules(**more: Any) -> RuleSet:
    """Return rules that allow more than OWN, except for ``more``; ``each`` changes every class."""
    one = {"repeat": "harmless", "deadline_ms": 60_000, "pools": None, **more.pop("each", {})}
    return rules_from({"attempts": 9, "classes": {name: one for name, *_ in CLASSES}, **more}, "f.json")


def settings_under(**more: Any) -> Settings:
    """Return OWN as restricted by such rules."""
    return AgreedRules(rules(**more)).restrict_settings(OWN)


def test_a_version_that_allows_more_changes_nothing() -> None:
    assert settings_under() == OWN == AgreedRules().restrict_settings(OWN)


@pytest.mark.parametrize(
    ("more", "read", "value"),
    [
        ({"attempts": 2}, lambda s: s.max_attempts, 2),
        ({"cold_share": 0.1}, lambda s: s.cold_share, 0.1),
        ({"tenants": {"portal": 10}}, lambda s: s.tenants[0].allowance, 10.0),
        ({"tenants": {"portal": 90}}, lambda s: s.tenants[0].allowance, 40.0),
        ({"each": {"repeat": "once-only"}}, lambda s: {c.repeat for c in s.classes}, {Repeat.ONCE_ONLY}),
        (
            {"each": {"deadline_ms": 500}},
            lambda s: {(c.deadline, c.aim) for c in s.classes},
            {(500.0, 500.0)},
        ),
        ({"each": {"pools": [1, 900]}}, lambda s: {c.pools for c in s.classes}, {(1,)}),
    ],
)
def test_the_stricter_value_applies(more: Any, read: Any, value: Any) -> None:
    assert read(settings_under(**more)) == value


def test_a_class_that_only_one_version_names_is_not_used_in_the_joint_phase() -> None:
    without_class = rules()
    del without_class.classes[CLASSES[0][0]]
    both = AgreedRules(meet(rules(), without_class)).restrict_settings(OWN)
    assert [c.pools == () for c in both.classes] == [True, False, False]


def test_safe_rules_allow_one_attempt_no_repeats_and_a_share_of_the_tenant_allowance() -> None:
    safe = AgreedRules(safe=True).restrict_settings(OWN)
    assert (safe.max_attempts, safe.cold_share, safe.tenants[0].allowance) == (1, 0.0, 10.0)
    assert {c.repeat for c in safe.classes} == {Repeat.ONCE_ONLY}
    assert [c.deadline for c in safe.classes] == [c.deadline for c in OWN.classes]


@pytest.mark.parametrize(
    ("state", "version", "safe", "answered", "expected"),
    [
        (ServerState.OPEN, "ready", False, False, ServerState.OPEN),
        (ServerState.OPEN, "gone", False, True, ServerState.DRAINING),
        (ServerState.OPEN, "draining", False, True, ServerState.DRAINING),
        (ServerState.DRAINING, "ready", False, True, ServerState.DRAINING),  # a version does not end a drain
        (ServerState.OPEN, "ready", True, True, ServerState.OPEN),
        (ServerState.OPEN, "ready", True, False, ServerState.DRAINING),
        (ServerState.OPEN, "gone", True, True, ServerState.DRAINING),  # a withdrawn server stays withdrawn
    ],
)
def test_a_listed_server_is_used_only_if_list_version_and_safe_rules_allow_it(
    state: ServerState, version: str, safe: bool, answered: bool, expected: ServerState
) -> None:
    one = rules(servers={"s-1@7": version})
    entries = [ServerEntry("s-1", 0, "z", state, 7.0, 1.0), ServerEntry("s-1x", 0, "z", state, 7.0, 1.0)]
    answered_names = {"s-1", "s-1x"} if answered else set()
    found = AgreedRules(None if safe else one, safe, one).restrict_entries(entries, answered_names)
    assert found[0].state is expected


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"classes": {}}, "expected status-check, which is served here, found none"),
        ({"extra": True}, "classes/other: expected one of"),
        ({"each": {"pools": [9_000]}}, "pools: expected one that is used here, found none"),
        ({}, ""),
    ],
)
def test_a_process_rejects_a_version_that_it_cannot_act_on(change: dict[str, Any], reason: str) -> None:
    one = rules(**{name: value for name, value in change.items() if name == "each"})
    if "classes" in change:
        one.classes.clear()
    if "extra" in change:
        one.classes["other"] = one.classes[CLASSES[0][0]]
    assert (reason in find_objection(one, OWN)) if reason else find_objection(one, OWN) == ""
