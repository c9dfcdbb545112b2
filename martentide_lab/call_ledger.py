"""Checks the first rule from the callers' side: one final answer for each set-up, while its caller waits.

A caller enters each set-up as its last byte is written, each final answer as it was read, and the end of its
own time. The product tells nothing here. A caller that is late itself blames nobody: what had come by the
time it looked counts as come in time (``EXPIRY_TURNS``).
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

EXPIRY_TURNS = 4  # turns of the caller's loop in which bytes that lie here reach the ledger
KEPT = 20_000  # calls that are remembered; faults of older ones stay counted


class CallFault(Enum):
    """What a caller may complain of."""

    LOST = "lost"  # its time is over, and no final answer had come
    LATE = "late"  # lost, and a final answer came afterwards
    DOUBLED = "doubled"  # a second final answer


@dataclass(slots=True)
class Entry:
    """One set-up that was written; ``at`` in ms of the caller's clock."""

    at: float
    finals: int = 0
    expired: bool = False

    @property
    def fault(self) -> CallFault | None:
        if self.finals > 1:
            return CallFault.DOUBLED
        if self.expired:
            return CallFault.LATE if self.finals else CallFault.LOST
        return None


class CallLedger:
    """The set-ups of one caller or of several; ids must be unique among them."""

    def __init__(self) -> None:
        self.entries: OrderedDict[bytes, Entry] = OrderedDict()
        self.forgotten: list[tuple[CallFault, float]] = []  # faults of calls that are remembered no more

    def written(self, call: bytes, at: float) -> None:
        """The last byte of the set-up was written."""
        self.entries[call] = Entry(at)
        if len(self.entries) > KEPT:
            entry = self.entries.popitem(last=False)[1]
            if entry.fault is not None:
                self.forgotten.append((entry.fault, entry.at))

    def final(self, call: bytes) -> None:
        """A whole final answer was read."""
        if (entry := self.entries.get(call)) is not None:
            entry.finals += 1

    def expire(self, call: bytes) -> bool:
        """The caller's time is over; whether the call is lost by that."""
        entry = self.entries.get(call)
        if entry is None or entry.finals:
            return False
        entry.expired = True
        return True

    def faults(self) -> list[tuple[CallFault, float]]:
        """Each fault so far, with when its set-up was written."""
        known = [(entry.fault, entry.at) for entry in self.entries.values() if entry.fault is not None]
        return [*self.forgotten, *known]

    def counts(self) -> Counter[CallFault]:
        return Counter(fault for fault, _ in self.faults())


async def arrived_bytes_are_read() -> None:
    """Let what already lies at this process reach its readers."""
    for _ in range(EXPIRY_TURNS):
        await asyncio.sleep(0)
