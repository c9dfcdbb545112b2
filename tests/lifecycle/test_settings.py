"""Validation of settings, whose errors name the key, and changes of settings at run time."""

from __future__ import annotations

import copy
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from martentide.interface import CallClass, Ending, Fail, PeerMessage, Repeat, SettingsChanged, Tenant
from martentide.net.config import ConfigError, check_keys, load_config
from martentide.settings import key_paths
from tests.net.support import SETTINGS as RAW
from tests.support import SETTINGS, ControllerDriver, finals, sends

VALID: dict[str, Any] = {
    "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "board": "127.0.0.1:9",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64}, "known": {"rev": 0, "notices": []},
    "settings": RAW,
}  # fmt: skip
POSITIVE = "a number above 0"


def with_value(path: str, value: str) -> str:
    """Return the valid file with the JSON text ``value`` at ``path``."""
    raw = copy.deepcopy(VALID)
    at: Any = raw["settings"]
    *steps, last = path.split(".")
    for step in steps:
        at = at[int(step)] if isinstance(at, list) else at[step]
    at[last] = "@"
    return json.dumps(raw).replace('"@"', value)


def load(folder: Path, text: str) -> Any:
    """Load a configuration file with this text."""
    path = folder / "config.json"
    path.write_text(text)
    return load_config({}, str(path))


@pytest.mark.parametrize("value", ["0", "-1", "0.0", "-0.5", "true", "false", "null", '"3"', "[]", "{}"])
@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("classes.0.deadline_ms", POSITIVE),
        ("classes.0.aim_ms", POSITIVE),
        ("classes.0.worth", POSITIVE),
        ("limits.max_attempts", "a whole number above 0"),
    ],
)
def test_value_that_is_not_a_positive_number_is_rejected(
    tmp_path: Path, path: str, expected: str, value: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        load(tmp_path, with_value(path, value))
    place = path.replace(".0.", "[0].")
    assert str(caught.value).startswith(f"settings: {place}: expected {expected}, found ")


@pytest.mark.parametrize("value", ["NaN", "Infinity", "-Infinity", "1e999"])
@pytest.mark.parametrize("path", ["classes.0.deadline_ms", "limits.max_attempts", "rules.cold_ms"])
def test_numbers_outside_the_json_standard_are_rejected(tmp_path: Path, path: str, value: str) -> None:
    with pytest.raises(ConfigError):
        load(tmp_path, with_value(path, value))


@pytest.mark.parametrize("value", ["2.5", "1e3", "0.001"])
def test_positive_numbers_with_a_fraction_or_an_exponent_are_accepted(tmp_path: Path, value: str) -> None:
    config = load(tmp_path, with_value("classes.0.deadline_ms", value))
    assert config.settings.classes[0].deadline == float(value)


def test_truncated_file_is_rejected(tmp_path: Path) -> None:
    text = json.dumps(VALID)
    for cut in range(len(text)):
        with pytest.raises(ConfigError):
            load(tmp_path, text[:cut])
    assert load(tmp_path, text).name == "n0"


def test_duplicate_class_and_empty_class_list_are_rejected(tmp_path: Path) -> None:
    twice = copy.deepcopy(VALID)
    twice["settings"]["classes"] *= 2
    with pytest.raises(ConfigError, match="found 'voice' a second time"):
        load(tmp_path, json.dumps(twice))
    with pytest.raises(ConfigError, match="classes: expected a list of classes"):
        load(tmp_path, with_value("classes", "[]"))


def test_key_missing_from_a_later_file_is_rejected(tmp_path: Path) -> None:
    running = load(tmp_path, json.dumps({**VALID, "note": {"more": 1}}))
    for path in sorted(key_paths({**VALID, "known": None})):
        raw = copy.deepcopy(VALID)
        raw["note"] = {"more": 1}
        at: Any = raw
        *steps, last = path.replace("[]", "").split(".")
        for step in steps:
            at = at[step][0] if isinstance(at[step], list) else at[step]
        del at[last]
        with pytest.raises(ConfigError):
            check_keys(load(tmp_path, json.dumps(raw)), running)
    with pytest.raises(ConfigError, match=r"note\.more: missing, the running configuration has it"):
        check_keys(load(tmp_path, json.dumps({**VALID, "note": {}})), running)
    more = copy.deepcopy(VALID) | {"note": {"more": 2, "new": 3}}
    more["settings"]["classes"].append({**RAW["classes"][0], "name": "second"})
    more["settings"]["extra"] = {**RAW["extra"], "pools_by_class": [[0], [0]]}
    check_keys(load(tmp_path, json.dumps(more)), running)


# ---- changes at run time --------------------------------------------------------------------------------

ONCE_ONLY_CLASS = CallClass("once", 1.0, 2000.0, 9000.0, 0.2, Repeat.ONCE_ONLY, None)


def changed_settings(**changes: Any) -> SettingsChanged:
    """Return an event with changed settings."""
    return SettingsChanged(replace(SETTINGS, **{"revision": 1, **changes}))


def test_open_call_keeps_its_class_and_attempts_after_a_change() -> None:
    driver = ControllerDriver()
    (first,) = sends(driver.offer(left=9000.0))
    driver.feed(changed_settings(classes=(ONCE_ONLY_CLASS,), max_attempts=1))
    driver.end_attempt(1, first.server, Ending.TIMED_OUT)
    # The class was removed and the limit is now one attempt; neither applies to an open call.
    assert [send.ref for send in sends(driver.advance(2000.0))] == [1]
    (second,) = sends(driver.offer(name="once"))
    assert finals(driver.end_attempt(2, second.server, Ending.TIMED_OUT)) == [Fail(2)]


def test_call_keeps_its_repeat_rule_after_a_change() -> None:
    driver = ControllerDriver()
    driver.feed(changed_settings(classes=(ONCE_ONLY_CLASS,)))
    (first,) = sends(driver.offer(name="once"))
    driver.feed(changed_settings(classes=(replace(ONCE_ONLY_CLASS, repeat=Repeat.HARMLESS),), revision=2))
    assert finals(driver.end_attempt(1, first.server, Ending.TIMED_OUT)) == [Fail(1)]


def test_peer_messages_are_dropped_when_the_tenants_change() -> None:
    two = (Tenant("a", 1.0), Tenant("b", 1.0))
    driver = ControllerDriver(settings=replace(SETTINGS, tenants=two[:1], may_tell_peers=True))
    driver.feed(PeerMessage(1, b"\0\x05"))
    driver.feed(changed_settings(tenants=two, may_tell_peers=True))
    driver.advance(3000.0)
    assert set(driver.controller.inside_share) == {"a", "b"}
