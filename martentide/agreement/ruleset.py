"""Rule sets that members act on: when two of them contradict each other, and their meet, which both allow.

Each value is a pair: what is allowed (up to ``lo``) and what is forbidden to others (beyond ``hi``). In a
rule set written by people both are equal. The *meet* allows only what both sets allow and forbids only what
both forbid, so it contradicts neither: a member acting on it is compatible with members acting on either set.

    a contradicts b   if a allows what b forbids, or b allows what a forbids
    meet(a, b)        lo is the lower, hi the higher of both; what only one set names is not allowed

A class that a set does not name is neither allowed nor forbidden by it: a class named by only one of two sets
is no contradiction, the other side refuses it. A tenant that a set does not name has no limit there; a server
that it does not name has the state given by the discovery service.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from martentide.interface import Repeat

MAX_SERVERS = 2_048
MAX_CLASSES = 64
MAX_TENANTS = 1_024
ANY_PLACE = -1  # in a list of places: every place
READY, DRAINING, GONE = 2, 1, 0  # allowed at a server: new calls, standing calls only, nothing
REPEAT_LEVELS = {Repeat.ONCE_ONLY: 0, Repeat.KEYED: 1, Repeat.HARMLESS: 2}  # in order of permissiveness
SERVER_STATES = {"ready": READY, "draining": DRAINING, "gone": GONE}


class RuleError(Exception):
    """A rule set cannot be used; the message is one line with the location, what was found and what was
    expected."""


class Range(msgspec.Struct, array_like=True, frozen=True):
    """Allowed up to ``lo``; forbidden beyond ``hi``; lo <= hi."""

    lo: float
    hi: float

    def meet(self, other: Range) -> Range:
        """Allow and forbid only what both allow or forbid."""
        return Range(min(self.lo, other.lo), max(self.hi, other.hi))

    def contradicts(self, other: Range) -> bool:
        """Whether one allows what the other forbids."""
        return self.lo > other.hi or other.lo > self.hi


class Places(msgspec.Struct, array_like=True, frozen=True):
    """Pools that a class may use (``lower``) and pools outside which it is forbidden to others (``upper``);
    sorted."""

    lower: tuple[int, ...]
    upper: tuple[int, ...]

    def meet(self, other: Places) -> Places:
        """Allow and forbid only what both allow or forbid."""
        return Places(_intersection(self.lower, other.lower), _union(self.upper, other.upper))

    def contradicts(self, other: Places) -> bool:
        """Whether one allows a pool that the other forbids."""
        return not (_is_subset(self.lower, other.upper) and _is_subset(other.lower, self.upper))


class ClassRule(msgspec.Struct, array_like=True, frozen=True):
    """Rules of one class: ``repeat`` as a level of REPEAT_LEVELS, ``deadline`` in ms, and the pools it may
    use."""

    repeat: Range
    deadline: Range
    places: Places

    def meet(self, other: ClassRule) -> ClassRule:
        """Meet of both, field by field."""
        return ClassRule(*(_meet(getattr(self, name), getattr(other, name)) for name in _FIELDS))


_FIELDS = ("repeat", "deadline", "places")


class RuleSet(msgspec.Struct, array_like=True, frozen=True):
    """A set of rules. ``attempts``: per call; ``tenants``: set-ups per second within the allowance, over all
    proxies; ``cold``: usable share of a cold server's capacity; ``servers``: by id and start (``ID@START``),
    READY, DRAINING or GONE, which can only restrict the state given by the discovery service."""

    attempts: Range
    classes: dict[str, ClassRule]
    tenants: dict[str, Range]
    cold: Range
    servers: dict[str, Range]


def _intersection(one: Sequence[int], other: Sequence[int]) -> tuple[int, ...]:
    if ANY_PLACE in one or ANY_PLACE in other:
        return tuple(other if ANY_PLACE in one else one)
    return tuple(sorted(set(one) & set(other)))


def _union(one: Sequence[int], other: Sequence[int]) -> tuple[int, ...]:
    return (ANY_PLACE,) if ANY_PLACE in one or ANY_PLACE in other else tuple(sorted({*one, *other}))


def _is_subset(inner: Sequence[int], outer: Sequence[int]) -> bool:
    return ANY_PLACE in outer or (ANY_PLACE not in inner and set(inner) <= set(outer))


def _meet(one: Any, other: Any) -> Any:
    return one.meet(other)


def _meet_tables(one: Mapping[str, Any], other: Mapping[str, Any], unknown: Any) -> dict[str, Any]:
    """Meet by name; an entry that only one table has is met with ``unknown``."""
    return {name: _meet(one.get(name, unknown), other.get(name, unknown)) for name in sorted({*one, *other})}


UNCONSTRAINED = Range(0.0, float(1 << 52))
# A class that a set does not name: nothing of it is allowed, and nothing is forbidden.
UNKNOWN_CLASS = ClassRule(UNCONSTRAINED, UNCONSTRAINED, Places((), (ANY_PLACE,)))
# A tenant that a set does not name has no limit there: everything is allowed and nothing is forbidden.
UNLIMITED = Range(float(1 << 52), float(1 << 52))
# A server that a set does not name has the state given by the discovery service.
AS_LISTED = Range(float(READY), float(READY))


def meet(one: RuleSet, other: RuleSet) -> RuleSet:
    """The rule set that allows what both allow. Commutative, associative and idempotent; contradicts
    neither."""
    return RuleSet(
        one.attempts.meet(other.attempts),
        _meet_tables(one.classes, other.classes, UNKNOWN_CLASS),
        _meet_tables(one.tenants, other.tenants, UNLIMITED),
        one.cold.meet(other.cold),
        _meet_tables(one.servers, other.servers, AS_LISTED),
    )


def contradictions(one: RuleSet, other: RuleSet) -> list[str]:
    """Reasons, for people, why the two sets must not be acted on at the same time; empty if they may."""
    found: list[str] = []
    if one.attempts.contradicts(other.attempts):
        found.append(
            f"attempts {_format_range(one.attempts)} against {_format_range(other.attempts)}: "
            "one makes more than allowed"
        )
    for name in sorted({*one.classes} & {*other.classes}):
        a, b = one.classes[name], other.classes[name]
        for field, words in (
            ("repeat", "one repeats what the other must not"),
            ("deadline", "one goes on for longer than the other may"),
        ):
            mine, theirs = getattr(a, field), getattr(b, field)
            if mine.contradicts(theirs):
                found.append(
                    f"class {name}: {field} {_format_range(mine)} against {_format_range(theirs)}: {words}"
                )
        if a.places.contradicts(b.places):
            found.append(
                f"class {name}: pools {list(a.places.lower)} against {list(b.places.lower)}: "
                "one uses a pool that the other must not"
            )
    for name in sorted({*one.tenants, *other.tenants}):
        limit, other_limit = one.tenants.get(name, UNLIMITED), other.tenants.get(name, UNLIMITED)
        if limit.contradicts(other_limit):
            found.append(
                f"tenant {name}: {_format_range(limit)}/s against {_format_range(other_limit)}/s: "
                "limits of both add up to more"
            )
    if one.cold.contradicts(other.cold):
        found.append(
            f"cold: {_format_range(one.cold)} against {_format_range(other.cold)}: "
            "a cold server is sent more than allowed"
        )
    for name in sorted({*one.servers, *other.servers}):
        mine, theirs = one.servers.get(name, AS_LISTED), other.servers.get(name, AS_LISTED)
        if mine.contradicts(theirs):
            found.append(
                f"server {name}: {_format_state(mine)} against {_format_state(theirs)}: "
                "one sends where the other holds it for gone or draining"
            )
    return found


def _format_range(one: Range) -> str:
    if one.lo >= UNLIMITED.lo:
        return "no limit"
    return f"{one.lo:g}" if one.lo == one.hi else f"{one.lo:g} to {one.hi:g}"


def _format_state(one: Range) -> str:
    names = {value: name for name, value in SERVER_STATES.items()}
    return names.get(int(one.lo), "?") if one.lo == one.hi else f"{_format_range(one)}"


def exactly(value: float) -> Range:
    """Allowed up to ``value``, forbidden beyond it."""
    return Range(float(value), float(value))


# ---- JSON form ------------------------------------------------------------------------------------------


def rules_from(data: Any, where: str) -> RuleSet:
    """Read a rule set from JSON data: ``{"attempts": N, "classes": {NAME: {"repeat", "deadline_ms",
    "pools"}}, "tenants": {NAME: RATE}, "cold_share": S, "servers": {"ID@START":
    "ready"|"draining"|"gone"}}``. ``where`` is named in errors. Raises RuleError."""
    table = _table(data, where, {"attempts", "classes", "tenants", "cold_share", "servers"})
    classes = {
        name: _class_from(one, f"{where}: classes/{name}")
        for name, one in _named_table(table.get("classes"), f"{where}: classes", MAX_CLASSES).items()
    }
    tenants = {
        name: exactly(_number(one, f"{where}: tenants/{name}", 0.0, 1e9))
        for name, one in _named_table(table.get("tenants", {}), f"{where}: tenants", MAX_TENANTS).items()
    }
    servers: dict[str, Range] = {}
    for name, one in _named_table(table.get("servers", {}), f"{where}: servers", MAX_SERVERS).items():
        _, at, start = name.rpartition("@")
        if not at or not start.isdigit():
            raise RuleError(f"{where}: servers/{name}: expected ID@START, START in ms")
        if one not in SERVER_STATES:
            raise RuleError(
                f"{where}: servers/{name}: expected one of {', '.join(SERVER_STATES)}, found {one!r}"
            )
        servers[name] = exactly(SERVER_STATES[one])
    cold = _number(table.get("cold_share", 1.0), f"{where}: cold_share", 0.0, 1.0)
    attempts = _number(table.get("attempts"), f"{where}: attempts", 1, 100)
    if attempts != int(attempts):
        raise RuleError(f"{where}: attempts: expected a whole number, found {attempts!r}")
    return RuleSet(exactly(attempts), classes, tenants, exactly(cold), servers)


def rules_to_data(rules: RuleSet) -> dict[str, Any]:
    """What the set allows, as JSON data that ``rules_from`` reads."""
    names, repeats = (
        {value: name for name, value in SERVER_STATES.items()},
        {v: k.value for k, v in REPEAT_LEVELS.items()},
    )
    return {
        "attempts": int(rules.attempts.lo),
        "classes": {
            name: {
                "repeat": repeats[int(one.repeat.lo)], "deadline_ms": one.deadline.lo,
                "pools": None if ANY_PLACE in one.places.lower else list(one.places.lower),
            }
            for name, one in rules.classes.items()
        },
        "tenants": {name: one.lo for name, one in rules.tenants.items()},
        "cold_share": rules.cold.lo,
        "servers": {name: names[int(one.lo)] for name, one in rules.servers.items()},
    }  # fmt: skip


def _class_from(data: Any, where: str) -> ClassRule:
    table = _table(data, where, {"repeat", "deadline_ms", "pools"})
    kinds = {kind.value: kind for kind in Repeat}
    repeat = table.get("repeat")
    if repeat not in kinds:
        raise RuleError(f"{where}/repeat: expected one of {', '.join(kinds)}, found {repeat!r}")
    pools = table.get("pools")
    if pools is not None and not (
        isinstance(pools, list) and all(type(one) is int and 0 <= one < 65_536 for one in pools)
    ):
        raise RuleError(f"{where}/pools: expected null or a list of place numbers, found {pools!r}")
    places = (ANY_PLACE,) if pools is None else tuple(sorted(set(pools)))
    deadline = _number(table.get("deadline_ms"), f"{where}/deadline_ms", 1, 3_600_000)
    return ClassRule(exactly(REPEAT_LEVELS[kinds[repeat]]), exactly(deadline), Places(places, places))


def _table(data: Any, where: str, known_keys: Iterable[str]) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise RuleError(f"{where}: expected a table, found {type(data).__name__}")
    if unknown_keys := sorted(set(data) - set(known_keys)):
        raise RuleError(f"{where}: {unknown_keys[0]}: expected one of {', '.join(sorted(known_keys))}")
    return data


def _named_table(data: Any, where: str, limit: int) -> dict[str, Any]:
    if not isinstance(data, dict) or len(data) > limit:
        raise RuleError(f"{where}: expected a table of at most {limit} entries, found {type(data).__name__}")
    for name in data:
        if not isinstance(name, str) or not 1 <= len(name) <= 64:
            raise RuleError(f"{where}: expected names of 1 to 64 characters, found {name!r}")
    return data


def _number(value: Any, where: str, low: float, high: float) -> float:
    if type(value) not in (int, float) or not low <= value <= high:
        raise RuleError(f"{where}: expected a number from {low:g} to {high:g}, found {value!r}")
    return float(value)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(RuleSet)


def encode_rules(rules: RuleSet) -> bytes:
    """Encode a rule set as MessagePack."""
    return _ENCODER.encode(rules)


def decode_rules(body: bytes) -> RuleSet:
    """Decode a rule set. Raises msgspec.DecodeError or ValidationError, also for ranges that are not
    ordered."""
    rules = _DECODER.decode(body)
    ranges = [rules.attempts, *rules.tenants.values(), rules.cold, *rules.servers.values()]
    for one in rules.classes.values():
        ranges += [one.repeat, one.deadline]
    if not all(0 <= one.lo <= one.hi for one in ranges):
        raise msgspec.ValidationError("a range whose end is below its start")
    return rules
