"""When to save: a pure state machine between what changes and a disk that may be slow, full or hung.

One save is under way at most, and what changes meanwhile goes into the next: nothing queues. Saves keep a
least gap, and a rate of bytes; after a failure the gap doubles up to a bound. A save that does not come back
is said once and blocks no other part of the program; the state of then is lost, the next one is newer anyway.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pace:
    """``period`` ms between saves while things change; ``gap`` ms at least, also at request."""

    period: float = 1_000.0
    gap: float = 200.0
    bytes_per_s: float = 4_000_000.0
    first_retry: float = 1_000.0  # after a failure, doubling
    last_retry: float = 60_000.0
    hung: float = 5_000.0  # a save that takes longer is said to hang


@dataclass(slots=True)
class Pacing:
    """``due`` says when to look again; all times are handed in."""

    pace: Pace
    started_at: float | None = None  # a save is under way since
    not_before: float = 0.0
    last_attempt_at: float = -1e18
    failures: int = 0
    hang_reported: bool = False
    requested: bool = False  # a save was asked for (a change of the list, an end)

    def may_begin(self, now: float) -> bool:
        """Whether a save may begin now: none is under way, and the gap has passed."""
        if self.started_at is not None or now < self.not_before:
            return False
        return self.requested or now >= self.last_attempt_at + self.pace.period

    def ask(self) -> None:
        """Save as soon as the gap allows."""
        self.requested = True

    def begin(self, now: float) -> None:
        self.started_at = self.last_attempt_at = now
        self.requested = self.hang_reported = False

    def done(self, now: float, size: int) -> None:
        """The save is on the disk."""
        self.started_at, self.failures = None, 0
        self.not_before = now + max(self.pace.gap, size * 1000.0 / self.pace.bytes_per_s)

    def failed(self, now: float) -> float:
        """It is not; returns the ms until the next try."""
        self.started_at = None
        wait = min(self.pace.last_retry, self.pace.first_retry * 2.0 ** min(self.failures, 16))
        self.failures += 1
        self.not_before = now + wait
        return wait

    def hangs(self, now: float) -> bool:
        """Whether to say, once, that the save under way does not come back."""
        if self.started_at is None or self.hang_reported or now - self.started_at < self.pace.hung:
            return False
        self.hang_reported = True
        return True

    def due(self, now: float) -> float:
        """When to look again (absolute ms)."""
        if self.started_at is not None:
            return self.started_at + self.pace.hung if not self.hang_reported else now + self.pace.hung
        wanted = now if self.requested else self.last_attempt_at + self.pace.period
        return max(self.not_before, wanted)
