"""Checks on the caller side that each set-up gets exactly one final answer while its caller waits.

A caller records each set-up when its last byte is written, each final answer when it has been read, and the
expiry of its own waiting time. The ledger uses no data from the product. Delays of the caller's own event
loop are not counted as faults: an answer that has arrived before the expiry check counts as in time
(``EXPIRY_LOOP_ITERATIONS``).
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

EXPIRY_LOOP_ITERATIONS = 4  # event loop iterations after which bytes already received have reached the ledger
MAX_REMEMBERED_CALLS = 20_000  # entries kept; faults of dropped entries stay counted


class CallFault(Enum):
    """Faults of a call that its caller can observe."""

    LOST = "lost"  # no final answer before the caller's time expired
    LATE = "late"  # a final answer arrived after the expiry
    DOUBLED = "doubled"  # a second final answer


@dataclass(slots=True)
class LedgerEntry:
    """A set-up that was written; ``written_at`` is in ms of the caller's clock."""

    written_at: float
    final_answers: int = 0
    expired: bool = False

    @property
    def fault(self) -> CallFault | None:
        """The fault of this call, or None."""
        if self.final_answers > 1:
            return CallFault.DOUBLED
        if self.expired:
            return CallFault.LATE if self.final_answers else CallFault.LOST
        return None


class CallLedger:
    """Records the set-ups of one or more callers; call ids must be unique among them."""

    def __init__(self) -> None:
        self.entries: OrderedDict[bytes, LedgerEntry] = OrderedDict()
        self.dropped_faults: list[tuple[CallFault, float]] = []  # of entries that were dropped

    def record_set_up(self, call: bytes, at: float) -> None:
        """Record that the last byte of a set-up was written at ``at`` (ms)."""
        self.entries[call] = LedgerEntry(at)
        if len(self.entries) > MAX_REMEMBERED_CALLS:
            entry = self.entries.popitem(last=False)[1]
            if entry.fault is not None:
                self.dropped_faults.append((entry.fault, entry.written_at))

    def record_final_answer(self, call: bytes) -> None:
        """Record that a complete final answer was read."""
        if (entry := self.entries.get(call)) is not None:
            entry.final_answers += 1

    def expire(self, call: bytes) -> bool:
        """Record that the caller's time is over; return True if the call had no final answer.

        Return False for an answered call and for one that is no longer remembered.
        """
        entry = self.entries.get(call)
        if entry is None or entry.final_answers:
            return False
        entry.expired = True
        return True

    def faults(self) -> list[tuple[CallFault, float]]:
        """Return each fault so far with the time in ms at which its set-up was written."""
        remembered = [
            (entry.fault, entry.written_at) for entry in self.entries.values() if entry.fault is not None
        ]
        return [*self.dropped_faults, *remembered]

    def counts(self) -> Counter[CallFault]:
        """Return the number of faults of each kind."""
        return Counter(fault for fault, _ in self.faults())


async def read_pending_bytes() -> None:
    """Let bytes that this process has already received reach their readers."""
    for _ in range(EXPIRY_LOOP_ITERATIONS):
        await asyncio.sleep(0)
