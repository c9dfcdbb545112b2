"""What a version, or safe rules, make of the own settings and of the list: always the stricter of both."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

from martentide.agreement.ruleset import (
    ANY_PLACE,
    AS_TOLD,
    DRAINING,
    READY,
    REPEATS,
    ClassRule,
    RuleSet,
)
from martentide.interface import CallClass, Repeat, ServerEntry, ServerState, Settings

ANSWERED = 1_000.0  # ms since a server's last answer, within which safe rules use it
LEVELS = {level: repeat for repeat, level in REPEATS.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """``rules`` None: the own settings as they are; with ``safe``: what can be had without any version.
    ``last``: the set that this member acted on last, whose withdrawals a safe one keeps to."""

    rules: RuleSet | None = None
    safe: bool = False
    last: RuleSet | None = None

    def settings(self, own: Settings) -> Settings:
        if self.safe:
            classes = tuple(dataclasses.replace(kind, repeat=Repeat.ONCE_ONLY) for kind in own.classes)
            tenants = tuple(
                dataclasses.replace(one, allowance=one.allowance / own.proxies) for one in own.tenants
            )
            return dataclasses.replace(own, classes=classes, tenants=tenants, max_attempts=1, cold_share=0.0)
        if self.rules is None:
            return own
        rules = self.rules
        tenants = tuple(
            dataclasses.replace(one, allowance=min(one.allowance, rules.tenants[one.name].lo))
            if one.name in rules.tenants
            else one
            for one in own.tenants
        )
        return dataclasses.replace(
            own,
            classes=tuple(_class(kind, rules.classes.get(kind.name)) for kind in own.classes),
            tenants=tenants,
            max_attempts=max(1, min(own.max_attempts, int(rules.attempts.lo))),
            cold_share=min(own.cold_share, rules.cold.lo),
        )

    def entries(self, own: Iterable[ServerEntry], answered: Collection[str]) -> tuple[ServerEntry, ...]:
        """``answered``: servers that answered this proxy within ANSWERED."""
        return tuple(self._entry(entry, entry.name in answered) for entry in own)

    def _entry(self, entry: ServerEntry, answered: bool) -> ServerEntry:
        rules = self.last if self.safe else self.rules
        held = AS_TOLD if rules is None else rules.servers.get(key_of(entry), AS_TOLD)
        level = int(held.lo)
        if self.safe and not answered:
            level = min(level, DRAINING)
        if level >= READY or entry.state is not ServerState.OPEN:
            return entry
        return dataclasses.replace(entry, state=ServerState.DRAINING)


def key_of(entry: ServerEntry) -> str:
    """ID@START, as rule sets name servers."""
    return f"{entry.name}@{int(entry.started or 0)}"


def _class(kind: CallClass, rule: ClassRule | None) -> CallClass:
    if rule is None:
        return dataclasses.replace(kind, pools=())
    pools = kind.pools
    if ANY_PLACE not in rule.places.narrow:
        allowed = set(rule.places.narrow)
        pools = tuple(sorted(allowed if pools is None else allowed & set(pools)))
    repeat = LEVELS[min(REPEATS[kind.repeat], int(rule.repeat.lo))]
    deadline = max(1.0, min(kind.deadline, rule.deadline.lo))
    return dataclasses.replace(
        kind, repeat=repeat, pools=pools, deadline=deadline, aim=min(kind.aim, deadline)
    )


def check(rules: RuleSet, own: Settings) -> str:
    """Whether a process with those settings could act on the set: "" or key, found and expected."""
    for kind in own.classes:
        if kind.name not in rules.classes:
            found = ", ".join(sorted(rules.classes)) or "none"
            return f"classes: expected {kind.name}, which is served here, found {found}"
    for name in rules.classes:
        if name not in {kind.name for kind in own.classes}:
            known = ", ".join(kind.name for kind in own.classes)
            return f"classes/{name}: expected one of {known}, found {name}"
    for kind in own.classes:
        if not _class(kind, rules.classes[kind.name]).pools and kind.pools != ():
            pools = _class(kind, rules.classes[kind.name]).pools
            if pools is not None:
                return f"classes/{kind.name}/pools: expected one that is used here, found none"
    return ""
