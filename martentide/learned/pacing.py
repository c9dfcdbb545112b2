"""Schedule of saves: a pure state machine for a disk that may be slow, full or hung.

At most one save is in progress; later changes go into the next one, so nothing queues. Saves keep a minimum
gap and a byte rate; after a failure the gap doubles up to a limit. A save that does not return is reported
once and blocks nothing else; its state is lost, and the next save is newer anyway.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pace:
    """``period``: ms between saves while the state changes; ``gap``: minimum ms, also on request."""

    period: float = 1_000.0
    gap: float = 200.0
    bytes_per_s: float = 4_000_000.0
    first_retry: float = 1_000.0  # delay after a failure, doubled with each further one
    last_retry: float = 60_000.0
    hung: float = 5_000.0  # a save that takes longer is reported as hung


@dataclass(slots=True)
class SaveScheduler:
    """``due`` returns when to check again; all times are passed in as ms."""

    pace: Pace
    started_at: float | None = None  # of the save in progress
    not_before: float = 0.0
    last_attempt_at: float = -1e18
    failures: int = 0
    hang_reported: bool = False
    requested: bool = False  # a save was requested (a change of the list, a shutdown)

    def may_begin(self, now: float) -> bool:
        """Return whether a save may begin: none is in progress and the gap has passed."""
        if self.started_at is not None or now < self.not_before:
            return False
        return self.requested or now >= self.last_attempt_at + self.pace.period

    def request_save(self) -> None:
        """Request a save as soon as the gap allows."""
        self.requested = True

    def begin(self, now: float) -> None:
        """Record the start of a save."""
        self.started_at = self.last_attempt_at = now
        self.requested = self.hang_reported = False

    def done(self, now: float, size: int) -> None:
        """Record that the save of ``size`` bytes is on the disk."""
        self.started_at, self.failures = None, 0
        self.not_before = now + max(self.pace.gap, size * 1000.0 / self.pace.bytes_per_s)

    def failed(self, now: float) -> float:
        """Record a failed save; return the ms until the next attempt."""
        self.started_at = None
        wait = min(self.pace.last_retry, self.pace.first_retry * 2.0 ** min(self.failures, 16))
        self.failures += 1
        self.not_before = now + wait
        return wait

    def check_hung(self, now: float) -> bool:
        """Return, once per save, whether the save in progress is to be reported as hung."""
        if self.started_at is None or self.hang_reported or now - self.started_at < self.pace.hung:
            return False
        self.hang_reported = True
        return True

    def due(self, now: float) -> float:
        """Return the time of the next check (absolute ms)."""
        if self.started_at is not None:
            return self.started_at + self.pace.hung if not self.hang_reported else now + self.pace.hung
        wanted = now if self.requested else self.last_attempt_at + self.pace.period
        return max(self.not_before, wanted)
