"""The memory that callers' connections may hold together: input, open set-ups and unsent output.

Up to half of the budget is given to whoever comes first. The other half is shared equally: once the first
is used up, a connection may hold no more than its share. So one connection's volume neither exceeds the
limit of the process nor takes the room of the others.
"""

from __future__ import annotations

from martentide.net.close_reason import log_event

BYTES_PER_MB = 1024 * 1024
PROGRAM_MB = 48.0  # MB that the program itself needs, with its connections to servers
BUDGET_SHARE = 1.0 / 3.0  # of the remaining memory; two processes share the limit during an upgrade
MIN_BUDGET_BYTES = 2 * BYTES_PER_MB
SET_UP_OVERHEAD_BYTES = 4 * 1024  # of the objects of an open set-up, beside its message
LOG_INTERVAL = 1.0  # minimum s between log lines about a shortage


def budget_bytes(memory_mb: float) -> int:
    """Return the bytes that callers' connections may hold, where the process may use ``memory_mb`` MB."""
    return max(MIN_BUDGET_BYTES, int((memory_mb - PROGRAM_MB) * BUDGET_SHARE * BYTES_PER_MB))


class MemoryBudget:
    """The bytes held by all accounts together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.accounts = 0
        self.refusals = 0  # since the last log line
        self.logged_at: float | None = None

    @property
    def short(self) -> bool:
        """Whether only an equal share is left to each account."""
        return 2 * self.held >= self.limit

    @property
    def share(self) -> int:
        """The bytes that each account may hold while the budget is short."""
        return self.limit // (2 * max(1, self.accounts))

    def note_refusal(self, now: float) -> None:
        """Count what was refused for want of memory, and log it at most once in LOG_INTERVAL s."""
        self.refusals += 1
        if self.logged_at is None or now - self.logged_at >= LOG_INTERVAL:
            log_event("memory-short", held=self.held, limit=self.limit, refused=self.refusals)
            self.logged_at, self.refusals = now, 0


class MemoryAccount:
    """The bytes that one connection holds; ``close`` returns them all."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held = 0
        self.closed = False
        budget.accounts += 1

    def may_take(self, size: int) -> bool:
        """Return whether ``size`` more bytes fit. One item always does where nothing is held."""
        return self.held == 0 or not self.budget.short or self.held + size <= self.budget.share

    def add(self, size: int) -> None:
        """Hold ``size`` more bytes, or fewer if negative."""
        if not self.closed:
            self.held += size
            self.budget.held += size

    def close(self) -> None:
        """Give all bytes back; later changes have no effect."""
        if not self.closed:
            self.add(-self.held)
            self.closed = True
            self.budget.accounts -= 1
