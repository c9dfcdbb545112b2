"""Rules that members act on, when two sets of them contradict each other, and what both allow.

Each figure is a pair: what is allowed (up to ``lo``), and what others must not do (beyond ``hi``). A rule set
as people write it has both alike. *Meet* allows only what both sets allow, and forbids only what both forbid;
so it contradicts neither, and who acts by it may stand beside members that act by either.

    a contradicts b   where a allows what b forbids, or b what a forbids
    meet(a, b)        lo is the lesser, hi the greater of both; what only one knows is allowed by none

A class that a set does not name is neither allowed nor forbidden by it: one that only one knows of makes no
contradiction, the other just refuses it. A tenant that it does not name has no limit there, a server is as
the board says.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from martentide.interface import Repeat

MOST_SERVERS = 2_048
MOST_CLASSES = 64
MOST_TENANTS = 1_024
ANY_PLACE = -1  # in a list of places: all of them
READY, DRAINING, GONE = 2, 1, 0  # what may be done at a server: new calls, none but standing ones, nothing
REPEATS = {Repeat.ONCE_ONLY: 0, Repeat.KEYED: 1, Repeat.HARMLESS: 2}  # what may be repeated: ever more
STATES = {"ready": READY, "draining": DRAINING, "gone": GONE}


class RuleError(Exception):
    """A rule set can't be used; the text is one line with place, found and expected."""


class Range(msgspec.Struct, array_like=True, frozen=True):
    """Allowed up to ``lo``; forbidden beyond ``hi``; lo <= hi."""

    lo: float
    hi: float

    def meet(self, other: Range) -> Range:
        return Range(min(self.lo, other.lo), max(self.hi, other.hi))

    def against(self, other: Range) -> bool:
        return self.lo > other.hi or other.lo > self.hi


class Places(msgspec.Struct, array_like=True, frozen=True):
    """Pools that a class may use (``narrow``), and those beyond which nobody may (``wide``); sorted."""

    narrow: tuple[int, ...]
    wide: tuple[int, ...]

    def meet(self, other: Places) -> Places:
        return Places(_both(self.narrow, other.narrow), _either(self.wide, other.wide))

    def against(self, other: Places) -> bool:
        return not (_within(self.narrow, other.wide) and _within(other.narrow, self.wide))


class ClassRule(msgspec.Struct, array_like=True, frozen=True):
    """``repeat``: of REPEATS; ``deadline`` ms; ``places``."""

    repeat: Range
    deadline: Range
    places: Places

    def meet(self, other: ClassRule) -> ClassRule:
        return ClassRule(*(_meet(getattr(self, name), getattr(other, name)) for name in _FIELDS))


_FIELDS = ("repeat", "deadline", "places")


class RuleSet(msgspec.Struct, array_like=True, frozen=True):
    """``tenants``: set-ups a second inside the share, all proxies together; ``cold``: share of a cold
    server's capacity that may be used; ``servers`` by id and start, ``ID@START``: of READY, DRAINING, GONE,
    at most what the board says of them; ``attempts`` a call."""

    attempts: Range
    classes: dict[str, ClassRule]
    tenants: dict[str, Range]
    cold: Range
    servers: dict[str, Range]


def _both(one: Sequence[int], other: Sequence[int]) -> tuple[int, ...]:
    if ANY_PLACE in one or ANY_PLACE in other:
        return tuple(other if ANY_PLACE in one else one)
    return tuple(sorted(set(one) & set(other)))


def _either(one: Sequence[int], other: Sequence[int]) -> tuple[int, ...]:
    return (ANY_PLACE,) if ANY_PLACE in one or ANY_PLACE in other else tuple(sorted({*one, *other}))


def _within(inner: Sequence[int], outer: Sequence[int]) -> bool:
    return ANY_PLACE in outer or (ANY_PLACE not in inner and set(inner) <= set(outer))


def _meet(one: Any, other: Any) -> Any:
    return one.meet(other)


def _meet_tables(one: Mapping[str, Any], other: Mapping[str, Any], unknown: Any) -> dict[str, Any]:
    """By name; what only one knows is met with ``unknown``, which allows nothing and forbids nothing."""
    return {name: _meet(one.get(name, unknown), other.get(name, unknown)) for name in sorted({*one, *other})}


FREE = Range(0.0, float(1 << 52))
UNKNOWN_CLASS = ClassRule(FREE, FREE, Places((), (ANY_PLACE,)))
# A tenant that a set does not name has no limit there: it is allowed all, and nothing of it is forbidden.
UNLIMITED = Range(float(1 << 52), float(1 << 52))
AS_TOLD = Range(float(READY), float(READY))  # a server that a set does not name: by the board alone


def meet(one: RuleSet, other: RuleSet) -> RuleSet:
    """The set whose actions both allow. Commutative, associative, idempotent; contradicts neither."""
    return RuleSet(
        one.attempts.meet(other.attempts),
        _meet_tables(one.classes, other.classes, UNKNOWN_CLASS),
        _meet_tables(one.tenants, other.tenants, UNLIMITED),
        one.cold.meet(other.cold),
        _meet_tables(one.servers, other.servers, AS_TOLD),
    )


def contradictions(one: RuleSet, other: RuleSet) -> list[str]:
    """Why the two must not be acted on at once, in words; empty where they may."""
    found: list[str] = []
    if one.attempts.against(other.attempts):
        found.append(
            f"attempts {_shown(one.attempts)} against {_shown(other.attempts)}: one makes more than allowed"
        )
    for name in sorted({*one.classes} & {*other.classes}):
        a, b = one.classes[name], other.classes[name]
        for field, words in (
            ("repeat", "one repeats what the other must not"),
            ("deadline", "one goes on for longer than the other may"),
        ):
            mine, theirs = getattr(a, field), getattr(b, field)
            if mine.against(theirs):
                found.append(f"class {name}: {field} {_shown(mine)} against {_shown(theirs)}: {words}")
        if a.places.against(b.places):
            found.append(
                f"class {name}: pools {list(a.places.narrow)} against {list(b.places.narrow)}: "
                "one uses a pool that the other must not"
            )
    for name in sorted({*one.tenants, *other.tenants}):
        a_, b_ = one.tenants.get(name, UNLIMITED), other.tenants.get(name, UNLIMITED)
        if a_.against(b_):
            found.append(
                f"tenant {name}: {_shown(a_)}/s against {_shown(b_)}/s: limits of both add up to more"
            )
    if one.cold.against(other.cold):
        found.append(
            f"cold: {_shown(one.cold)} against {_shown(other.cold)}: a cold server is sent more than allowed"
        )
    for name in sorted({*one.servers, *other.servers}):
        mine, theirs = one.servers.get(name, AS_TOLD), other.servers.get(name, AS_TOLD)
        if mine.against(theirs):
            found.append(
                f"server {name}: {_state(mine)} against {_state(theirs)}: one sends where the other holds it "
                "for gone or draining"
            )
    return found


def _shown(one: Range) -> str:
    if one.lo >= UNLIMITED.lo:
        return "no limit"
    return f"{one.lo:g}" if one.lo == one.hi else f"{one.lo:g} to {one.hi:g}"


def _state(one: Range) -> str:
    names = {value: name for name, value in STATES.items()}
    return names.get(int(one.lo), "?") if one.lo == one.hi else f"{_shown(one)}"


def exactly(value: float) -> Range:
    return Range(float(value), float(value))


# ---- as people write it ---------------------------------------------------------------------------------


def rules_from(data: Any, where: str) -> RuleSet:
    """From JSON: ``{"attempts": N, "classes": {NAME: {"repeat", "deadline_ms", "pools"}}, "tenants":
    {NAME: RATE}, "cold_share": S, "servers": {"ID@START": "ready"|"draining"|"gone"}}``. Raises RuleError."""
    table = _table(data, where, {"attempts", "classes", "tenants", "cold_share", "servers"})
    classes = {
        name: _class_from(one, f"{where}: classes/{name}")
        for name, one in _named(table.get("classes"), f"{where}: classes", MOST_CLASSES).items()
    }
    tenants = {
        name: exactly(_number(one, f"{where}: tenants/{name}", 0.0, 1e9))
        for name, one in _named(table.get("tenants", {}), f"{where}: tenants", MOST_TENANTS).items()
    }
    servers: dict[str, Range] = {}
    for name, one in _named(table.get("servers", {}), f"{where}: servers", MOST_SERVERS).items():
        _, at, start = name.rpartition("@")
        if not at or not start.isdigit():
            raise RuleError(f"{where}: servers/{name}: expected ID@START, START in ms")
        if one not in STATES:
            raise RuleError(f"{where}: servers/{name}: expected one of {', '.join(STATES)}, found {one!r}")
        servers[name] = exactly(STATES[one])
    cold = _number(table.get("cold_share", 1.0), f"{where}: cold_share", 0.0, 1.0)
    attempts = _number(table.get("attempts"), f"{where}: attempts", 1, 100)
    if attempts != int(attempts):
        raise RuleError(f"{where}: attempts: expected a whole number, found {attempts!r}")
    return RuleSet(exactly(attempts), classes, tenants, exactly(cold), servers)


def plain(rules: RuleSet) -> dict[str, Any]:
    """As people write it, what is allowed; ``rules_from`` reads it again."""
    names, repeats = {value: name for name, value in STATES.items()}, {v: k.value for k, v in REPEATS.items()}
    return {
        "attempts": int(rules.attempts.lo),
        "classes": {
            name: {
                "repeat": repeats[int(one.repeat.lo)], "deadline_ms": one.deadline.lo,
                "pools": None if ANY_PLACE in one.places.narrow else list(one.places.narrow),
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
    return ClassRule(exactly(REPEATS[kinds[repeat]]), exactly(deadline), Places(places, places))


def _table(data: Any, where: str, known: Iterable[str]) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise RuleError(f"{where}: expected a table, found {type(data).__name__}")
    if strange := sorted(set(data) - set(known)):
        raise RuleError(f"{where}: {strange[0]}: expected one of {', '.join(sorted(known))}")
    return data


def _named(data: Any, where: str, most: int) -> dict[str, Any]:
    if not isinstance(data, dict) or len(data) > most:
        raise RuleError(f"{where}: expected a table of at most {most} entries, found {type(data).__name__}")
    for name in data:
        if not isinstance(name, str) or not 1 <= len(name) <= 64:
            raise RuleError(f"{where}: expected names of 1 to 64 characters, found {name!r}")
    return data


def _number(value: Any, where: str, least: float, most: float) -> float:
    if type(value) not in (int, float) or not least <= value <= most:
        raise RuleError(f"{where}: expected a number from {least:g} to {most:g}, found {value!r}")
    return float(value)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(RuleSet)


def write_rules(rules: RuleSet) -> bytes:
    return _ENCODER.encode(rules)


def read_rules(body: bytes) -> RuleSet:
    """Raises msgspec.DecodeError or ValidationError, also for figures that no rule set has."""
    rules = _DECODER.decode(body)
    ranges = [rules.attempts, *rules.tenants.values(), rules.cold, *rules.servers.values()]
    for one in rules.classes.values():
        ranges += [one.repeat, one.deadline]
    if not all(0 <= one.lo <= one.hi for one in ranges):
        raise msgspec.ValidationError("a range of which the end comes before the begin")
    return rules
