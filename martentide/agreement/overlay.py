"""Restricts the local settings and the server list by an agreed version or by safe rules: the stricter of
both applies."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

from martentide.agreement.ruleset import (
    ANY_PLACE,
    AS_LISTED,
    DRAINING,
    READY,
    REPEAT_LEVELS,
    ClassRule,
    RuleSet,
)
from martentide.interface import CallClass, Repeat, ServerEntry, ServerState, Settings

ANSWER_MAX_AGE = 1_000.0  # ms; under safe rules a server is used only if it answered within this time
REPEAT_BY_LEVEL = {level: repeat for repeat, level in REPEAT_LEVELS.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class AgreedRules:
    """What a member acts on. ``rules`` None: the local settings unchanged; ``safe``: rules that contradict no
    version. ``last``: the rule set this member acted on last, whose server states safe rules still apply."""

    rules: RuleSet | None = None
    safe: bool = False
    last: RuleSet | None = None

    def restrict_settings(self, own: Settings) -> Settings:
        """The local settings, restricted."""
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
            classes=tuple(_restrict_class(kind, rules.classes.get(kind.name)) for kind in own.classes),
            tenants=tenants,
            max_attempts=max(1, min(own.max_attempts, int(rules.attempts.lo))),
            cold_share=min(own.cold_share, rules.cold.lo),
        )

    def restrict_entries(
        self, own: Iterable[ServerEntry], answered: Collection[str]
    ) -> tuple[ServerEntry, ...]:
        """The local server list, restricted; ``answered``: servers that answered this proxy within
        ANSWER_MAX_AGE."""
        return tuple(self._restrict_entry(entry, entry.name in answered) for entry in own)

    def _restrict_entry(self, entry: ServerEntry, answered: bool) -> ServerEntry:
        rules = self.last if self.safe else self.rules
        held = AS_LISTED if rules is None else rules.servers.get(server_key(entry), AS_LISTED)
        level = int(held.lo)
        if self.safe and not answered:
            level = min(level, DRAINING)
        if level >= READY or entry.state is not ServerState.OPEN:
            return entry
        return dataclasses.replace(entry, state=ServerState.DRAINING)


def server_key(entry: ServerEntry) -> str:
    """Name of a server in rule sets: ID@START."""
    return f"{entry.name}@{int(entry.started or 0)}"


def _restrict_class(kind: CallClass, rule: ClassRule | None) -> CallClass:
    if rule is None:
        return dataclasses.replace(kind, pools=())
    pools = kind.pools
    if ANY_PLACE not in rule.places.lower:
        allowed = set(rule.places.lower)
        pools = tuple(sorted(allowed if pools is None else allowed & set(pools)))
    repeat = REPEAT_BY_LEVEL[min(REPEAT_LEVELS[kind.repeat], int(rule.repeat.lo))]
    deadline = max(1.0, min(kind.deadline, rule.deadline.lo))
    return dataclasses.replace(
        kind, repeat=repeat, pools=pools, deadline=deadline, aim=min(kind.aim, deadline)
    )


def find_objection(rules: RuleSet, own: Settings) -> str:
    """The reason why a process with these settings cannot act on the rule set, with the key, what was
    expected and what was found; "" if it can."""
    for kind in own.classes:
        if kind.name not in rules.classes:
            found = ", ".join(sorted(rules.classes)) or "none"
            return f"classes: expected {kind.name}, which is served here, found {found}"
    for name in rules.classes:
        if name not in {kind.name for kind in own.classes}:
            known = ", ".join(kind.name for kind in own.classes)
            return f"classes/{name}: expected one of {known}, found {name}"
    for kind in own.classes:
        if not _restrict_class(kind, rules.classes[kind.name]).pools and kind.pools != ():
            pools = _restrict_class(kind, rules.classes[kind.name]).pools
            if pools is not None:
                return f"classes/{kind.name}/pools: expected one that is used here, found none"
    return ""
