"""What a start makes of the files it finds: a pure table from their contents to a decision.

nothing        no file is there: start fresh
last-good      the newest file is whole
earlier-good   the newest is not, the one before is
aged-out       a file is whole, but so old that practically nothing of it counts
refused        files are there, none can be used: start fresh, and say why for each
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from martentide.learned.ageing import Aged, ClockStatus, age_state
from martentide.learned.codec import StateError, read_state
from martentide.learned.schema import Learned


class StartOutcome(Enum):
    NOTHING = "nothing"
    LAST_GOOD = "last-good"
    EARLIER_GOOD = "earlier-good"
    AGED_OUT = "aged-out"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Found:
    """One file: its bytes, or why it could not be read (None and no error: it is not there)."""

    name: str
    raw: bytes | None
    error: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """``state`` None: start fresh. ``refused``: name and reason of each file that can't be used."""

    start: StartOutcome
    state: Aged | None
    used: str
    refused: tuple[tuple[str, str], ...]
    sequence: int  # to go on from: beyond every file that was whole


def decide(files: Sequence[Found], settings_print: bytes, now: float) -> Decision:
    """``files`` newest generation first. Whole files are taken by their sequence, the highest first."""
    good: list[tuple[Learned, Found]] = []
    refused: list[tuple[str, str]] = []
    for file in files:
        if file.raw is None:
            if file.error:
                refused.append((file.name, file.error))
            continue
        try:
            good.append((read_state(file.raw, settings_print), file))
        except StateError as error:
            refused.append((file.name, str(error)))
    sequence = max((learned.sequence for learned, _ in good), default=0)
    good.sort(key=lambda pair: -pair[0].sequence)
    for learned, file in good:
        aged = age_state(learned, now)
        if aged.clock is ClockStatus.FUTURE:
            ahead = (learned.saved_at - now) / 1000.0
            refused.append((file.name, f"{ClockStatus.FUTURE.value}: saved {ahead:.0f} s ahead of the clock"))
            continue
        first = not any(name == files[0].name for name, _ in refused) and files[0].raw is not None
        start = StartOutcome.LAST_GOOD if first else StartOutcome.EARLIER_GOOD
        if aged.clock is ClockStatus.STALE:
            start = StartOutcome.AGED_OUT
        return Decision(start, aged, file.name, tuple(refused), sequence)
    return Decision(
        StartOutcome.REFUSED if refused else StartOutcome.NOTHING, None, "", tuple(refused), sequence
    )


def diff(old: Learned, new: Learned) -> list[str]:
    """What changed from one state to another, a line each, for people."""
    lines: list[str] = []
    before = {server.name: server for server in old.servers}
    after = {server.name: server for server in new.servers}
    for name in sorted(before.keys() | after.keys()):
        one, other = before.get(name), after.get(name)
        if one is None or other is None:
            lines.append(f"{name}: {'came' if one is None else 'left'}")
            continue
        for field in COMPARED:
            was, now = getattr(one, field), getattr(other, field)
            if was != now:
                lines.append(f"{name}: {field}: {_short(was)} -> {_short(now)}")
    if len(old.redials) != len(new.redials):
        lines.append(f"redials: {len(old.redials)} -> {len(new.redials)}")
    return lines


COMPARED = (
    "started",
    "wait",
    "lag",
    "least_lag",
    "faults",
    "suspect",
    "silent",
    "cold_from",
    "cold_tokens",
    "image",
)


def _short(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    return "none" if value is None else str(value)
