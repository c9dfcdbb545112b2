"""Reads and checks the initial settings of an instance from JSON, for every host of the decision module."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

from martentide.interface import CallClass, Repeat, ReportBy, Settings, Tenant

REPEAT_BY_NAME = {
    "read_like": Repeat.HARMLESS, "idempotency_key": Repeat.KEYED, "non_idempotent": Repeat.ONCE_ONLY,
}  # fmt: skip
REPORT_BY_NAME = {"answers": ReportBy.ANSWERS, "probe": ReportBy.PROBES, "none": ReportBy.NEVER}


MISSING = object()  # marks an absent key; ``null`` is read as None


class SettingsError(ValueError):
    """Raised for settings that are missing or not valid."""


def read_settings(text: str) -> Settings:
    """Parse JSON text into settings; unknown keys are ignored. Raises SettingsError naming missing ones."""
    try:
        raw = json.loads(text)
    except ValueError:
        raise SettingsError("not a JSON object") from None
    return settings_from(raw)


def check_settings(raw: Any) -> None:
    """Check the settings object of a configuration file; raises SettingsError with key, expected and found.

    Hosts with settings from other sources, such as the simulator, do not need this check.
    """
    if not isinstance(raw, dict):
        raise SettingsError(f"expected an object, found {_describe(raw)}")
    classes = raw.get("classes")
    if not isinstance(classes, list) or not classes:
        raise SettingsError(f"classes: expected a list of classes, found {_describe(classes)}")
    names: set[str] = set()
    for at, item in enumerate(classes):
        where = f"classes[{at}]"
        if not isinstance(item, dict):
            raise SettingsError(f"{where}: expected an object, found {_describe(item)}")
        name = item.get("name")
        if not isinstance(name, str) or not name:
            raise SettingsError(f"{where}.name: expected a name, found {_describe(name)}")
        if name in names:
            raise SettingsError(f"{where}.name: expected another name, found {name!r} a second time")
        names.add(name)
        for key in ("deadline_ms", "aim_ms", "worth"):
            _require_positive(f"{where}.{key}", item.get(key, MISSING), whole=False)
    limits = raw.get("limits")
    if not isinstance(limits, dict):
        raise SettingsError(f"limits: expected an object, found {_describe(limits)}")
    _require_positive("limits.max_attempts", limits.get("max_attempts", MISSING), whole=True)


def _require_positive(where: str, value: Any, whole: bool) -> None:
    expected = "a whole number above 0" if whole else "a number above 0"
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value <= 0 or (whole and value != int(value)):
        raise SettingsError(f"{where}: expected {expected}, found {_describe(value)}")


def _describe(value: Any) -> str:
    return "nothing" if value is None or value is MISSING else f"{json.dumps(value, default=str):.60}"


def key_paths(raw: Mapping[str, Any], prefix: str = "") -> frozenset[str]:
    """Return the paths of all keys, such as ``limits.probes``; for list items, of the keys common to all."""
    paths: set[str] = set()
    for key, value in raw.items():
        path = f"{prefix}{key}"
        paths.add(path)
        if isinstance(value, dict):
            paths |= key_paths(value, f"{path}.")
        elif isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
            paths |= frozenset.intersection(*(key_paths(one, f"{path}[].") for one in value))
    return frozenset(paths)


def settings_from(raw: Any) -> Settings:
    """Build settings from a parsed JSON object; raises SettingsError if a value is missing or not valid."""
    if not isinstance(raw, dict):
        raise SettingsError("not a JSON object")
    try:
        return _build_settings(raw)
    except KeyError as error:
        raise SettingsError(f"{error.args[0]} is missing or not valid") from None
    except (TypeError, ValueError, AttributeError, IndexError):
        raise SettingsError("a value has the wrong type or is not valid") from None


def _build_settings(raw: dict[str, Any]) -> Settings:
    extra, limits, rules = raw["extra"], raw["limits"], raw["rules"]
    pools = extra.get("pools_by_class") if extra.get("layout") == "groups" else None
    classes = tuple(
        CallClass(
            name=str(item["name"]),
            worth=float(item["worth"]),
            aim=float(item["aim_ms"]),
            deadline=float(item["deadline_ms"]),
            late_share=float(item["late_share"]),
            repeat=REPEAT_BY_NAME[item["repeat"]],
            pools=None if pools is None else tuple(int(place) for place in pools[at]),
        )
        for at, item in enumerate(raw["classes"])
    )
    return Settings(
        proxies=int(raw["n_instances"]),
        own_slot=int(raw["slot_no"]),
        own_place=int(extra.get("own_number", -1)),
        classes=classes,
        tenants=tuple(Tenant(str(p["name"]), float(p["allowance_per_s"])) for p in raw["parties"]),
        over_share_worth=float(raw["over_share_worth"]),
        report_by=REPORT_BY_NAME[raw["feedback"]["how"]],
        lists_pushed=raw["membership_mode"] == "automatic",
        may_probe=bool(limits["probes"]),
        may_tell_peers=bool(limits["peers"]),
        may_cancel=bool(limits["may_cancel"]),
        max_attempts=int(limits["max_attempts"]),
        max_hold_off=float(limits["max_retry_after_ms"]) if limits["retry_after"] else 0.0,
        release=float(extra["release_ms"]),
        repeat_interval=float(extra["t1_ms"]),
        answer_slack=float(rules["answer_slack_ms"]),
        cold_share=float(rules["cold_share"]),
        cold_time=float(rules["cold_ms"]),
        fall_multiple=float(rules["fall_multiple"]),
        fall_time=float(rules["fall_ms"]),
    )
