"""The settings object that an instance is born with, read from JSON for every host of the decisions."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

from martentide.interface import CallClass, Repeat, ReportBy, Settings, Tenant

REPEATS = {
    "read_like": Repeat.HARMLESS, "idempotency_key": Repeat.KEYED, "non_idempotent": Repeat.ONCE_ONLY,
}  # fmt: skip
REPORT_WAYS = {"answers": ReportBy.ANSWERS, "probe": ReportBy.PROBES, "none": ReportBy.NEVER}


ABSENT = object()


class SettingsError(ValueError):
    """Settings that their description does not allow."""


def read_settings(text: str) -> Settings:
    """Settings of one instance from its JSON text; unknown keys are ignored, missing ones are named."""
    try:
        raw = json.loads(text)
    except ValueError:
        raise SettingsError("not a JSON object") from None
    return settings_from(raw)


def check_settings(raw: Any) -> None:
    """Look through the object of a configuration: raises SettingsError with key, expected and found.

    A host whose settings come from elsewhere, as the simulator's, need not ask for this.
    """
    if not isinstance(raw, dict):
        raise SettingsError(f"expected an object, found {_shown(raw)}")
    classes = raw.get("classes")
    if not isinstance(classes, list) or not classes:
        raise SettingsError(f"classes: expected a list of classes, found {_shown(classes)}")
    names: set[str] = set()
    for at, item in enumerate(classes):
        where = f"classes[{at}]"
        if not isinstance(item, dict):
            raise SettingsError(f"{where}: expected an object, found {_shown(item)}")
        name = item.get("name")
        if not isinstance(name, str) or not name:
            raise SettingsError(f"{where}.name: expected a name, found {_shown(name)}")
        if name in names:
            raise SettingsError(f"{where}.name: expected another name, found {name!r} a second time")
        names.add(name)
        for key in ("deadline_ms", "aim_ms", "worth"):
            _above_zero(f"{where}.{key}", item.get(key, ABSENT), whole=False)
    limits = raw.get("limits")
    if not isinstance(limits, dict):
        raise SettingsError(f"limits: expected an object, found {_shown(limits)}")
    _above_zero("limits.max_attempts", limits.get("max_attempts", ABSENT), whole=True)


def _above_zero(where: str, value: Any, whole: bool) -> None:
    expected = "a whole number above 0" if whole else "a number above 0"
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value <= 0 or (whole and value != int(value)):
        raise SettingsError(f"{where}: expected {expected}, found {_shown(value)}")


def _shown(value: Any) -> str:
    return "nothing" if value is None or value is ABSENT else f"{json.dumps(value, default=str):.60}"


def key_paths(raw: Mapping[str, Any], before: str = "") -> frozenset[str]:
    """The keys of an object and of objects in it; of lists, those that each of their objects has."""
    paths: set[str] = set()
    for key, value in raw.items():
        path = f"{before}{key}"
        paths.add(path)
        if isinstance(value, dict):
            paths |= key_paths(value, f"{path}.")
        elif isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
            paths |= frozenset.intersection(*(key_paths(one, f"{path}[].") for one in value))
    return frozenset(paths)


def settings_from(raw: Any) -> Settings:
    """Settings of one instance from the JSON object, already parsed."""
    if not isinstance(raw, dict):
        raise SettingsError("not a JSON object")
    try:
        return _settings(raw)
    except KeyError as error:
        raise SettingsError(f"{error.args[0]} is missing or not valid") from None
    except (TypeError, ValueError, AttributeError, IndexError):
        raise SettingsError("a value has the wrong form") from None


def _settings(raw: dict[str, Any]) -> Settings:
    extra, limits, rules = raw["extra"], raw["limits"], raw["rules"]
    pools = extra.get("pools_by_class") if extra.get("layout") == "groups" else None
    classes = tuple(
        CallClass(
            name=str(item["name"]),
            worth=float(item["worth"]),
            aim=float(item["aim_ms"]),
            deadline=float(item["deadline_ms"]),
            late_share=float(item["late_share"]),
            repeat=REPEATS[item["repeat"]],
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
        report_by=REPORT_WAYS[raw["feedback"]["how"]],
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
