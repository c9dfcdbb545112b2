"""Checks the first rule from the callers' side: one final answer for each set-up, while its caller waits.

A caller enters each set-up as its last byte is written, each final answer as it was read, and the end of its
own time. The product tells nothing here. A caller that is late itself blames nobody: what had come by the
time it looked counts as come in time (``EXPIRY_LOOP_TURNS``).
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

EXPIRY_LOOP_TURNS = 4  # turns of the caller's loop in which bytes that lie here reach the ledger
MAX_REMEMBERED_CALLS = 20_000  # calls that are remembered; faults of older ones stay counted


class CallFault(Enum):
    """What a caller may complain of."""

    LOST = "lost"  # its time is over, and no final answer had come
    LATE = "late"  # lost, and a final answer came afterwards
    DOUBLED = "doubled"  # a second final answer


@dataclass(slots=True)
class LedgerEntry:
    """One set-up that was written; ``written_at`` in ms of the caller's clock."""

    written_at: float
    final_answers: int = 0
    expired: bool = False

    @property
    def fault(self) -> CallFault | None:
        if self.final_answers > 1:
            return CallFault.DOUBLED
        if self.expired:
            return CallFault.LATE if self.final_answers else CallFault.LOST
        return None


class CallLedger:
    """The set-ups of one caller or of several; ids must be unique among them."""

    def __init__(self) -> None:
        self.entries: OrderedDict[bytes, LedgerEntry] = OrderedDict()
        self.dropped_faults: list[tuple[CallFault, float]] = []  # faults of calls that are remembered no more

    def record_set_up(self, call: bytes, at: float) -> None:
        """The last byte of the set-up was written."""
        self.entries[call] = LedgerEntry(at)
        if len(self.entries) > MAX_REMEMBERED_CALLS:
            entry = self.entries.popitem(last=False)[1]
            if entry.fault is not None:
                self.dropped_faults.append((entry.fault, entry.written_at))

    def record_final_answer(self, call: bytes) -> None:
        """A whole final answer was read."""
        if (entry := self.entries.get(call)) is not None:
            entry.final_answers += 1

    def expire(self, call: bytes) -> bool:
        """The caller's time is over; whether the call is lost by that."""
        entry = self.entries.get(call)
        if entry is None or entry.final_answers:
            return False
        entry.expired = True
        return True

    def faults(self) -> list[tuple[CallFault, float]]:
        """Each fault so far, with when its set-up was written."""
        known = [
            (entry.fault, entry.written_at) for entry in self.entries.values() if entry.fault is not None
        ]
        return [*self.dropped_faults, *known]

    def counts(self) -> Counter[CallFault]:
        return Counter(fault for fault, _ in self.faults())


async def read_pending_bytes() -> None:
    """Let what already lies at this process reach its readers."""
    for _ in range(EXPIRY_LOOP_TURNS):
        await asyncio.sleep(0)
