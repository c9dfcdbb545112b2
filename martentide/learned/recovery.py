"""Choice of the saved state at startup, as a pure function of the contents of the files.

nothing        no file exists: start without state
last-good      the newest file is valid
earlier-good   the newest is missing or invalid, the previous one is valid
aged-out       a file is valid, but so old that practically nothing of it remains
refused        files exist but none is usable: start without state and report a reason for each
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from martentide.learned.ageing import Aged, ClockStatus, age_state
from martentide.learned.codec import StateError, read_state
from martentide.learned.schema import Learned


class StartOutcome(Enum):
    """Outcome of the choice; see the module docstring."""

    NOTHING = "nothing"
    LAST_GOOD = "last-good"
    EARLIER_GOOD = "earlier-good"
    AGED_OUT = "aged-out"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StateFile:
    """One file: its bytes, or the error of reading it (no bytes and no error: it does not exist)."""

    name: str
    raw: bytes | None
    error: str = ""


@dataclass(frozen=True, slots=True)
class StartDecision:
    """``state`` None: start without state. ``refused``: name and reason of each unusable file."""

    start: StartOutcome
    state: Aged | None
    used: str
    refused: tuple[tuple[str, str], ...]
    sequence: int  # highest of all valid files; later saves continue from it


def choose_state(files: Sequence[StateFile], settings_fingerprint: bytes, now: float) -> StartDecision:
    """Choose the state to start from. ``files``: newest generation first. Of the valid files, the one with
    the highest sequence is used."""
    valid: list[tuple[Learned, StateFile]] = []
    refused: list[tuple[str, str]] = []
    for file in files:
        if file.raw is None:
            if file.error:
                refused.append((file.name, file.error))
            continue
        try:
            valid.append((read_state(file.raw, settings_fingerprint), file))
        except StateError as error:
            refused.append((file.name, str(error)))
    sequence = max((learned.sequence for learned, _ in valid), default=0)
    valid.sort(key=lambda pair: -pair[0].sequence)
    for learned, file in valid:
        aged = age_state(learned, now)
        if aged.clock is ClockStatus.FUTURE:
            ahead = (learned.saved_at - now) / 1000.0
            refused.append((file.name, f"{ClockStatus.FUTURE.value}: saved {ahead:.0f} s ahead of the clock"))
            continue
        newest_valid = not any(name == files[0].name for name, _ in refused) and files[0].raw is not None
        start = StartOutcome.LAST_GOOD if newest_valid else StartOutcome.EARLIER_GOOD
        if aged.clock is ClockStatus.STALE:
            start = StartOutcome.AGED_OUT
        return StartDecision(start, aged, file.name, tuple(refused), sequence)
    return StartDecision(
        StartOutcome.REFUSED if refused else StartOutcome.NOTHING, None, "", tuple(refused), sequence
    )


def diff(old: Learned, new: Learned) -> list[str]:
    """Return the differences between two states as human-readable lines."""
    lines: list[str] = []
    old_servers = {server.name: server for server in old.servers}
    new_servers = {server.name: server for server in new.servers}
    for name in sorted(old_servers.keys() | new_servers.keys()):
        old_server, new_server = old_servers.get(name), new_servers.get(name)
        if old_server is None or new_server is None:
            lines.append(f"{name}: {'came' if old_server is None else 'left'}")
            continue
        for field in COMPARED_FIELDS:
            old_value, new_value = getattr(old_server, field), getattr(new_server, field)
            if old_value != new_value:
                lines.append(f"{name}: {field}: {_short(old_value)} -> {_short(new_value)}")
    if len(old.redials) != len(new.redials):
        lines.append(f"redials: {len(old.redials)} -> {len(new.redials)}")
    return lines


COMPARED_FIELDS = (
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
