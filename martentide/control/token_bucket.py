"""A token bucket: at most ``burst`` tokens at once, ``rate`` tokens per second in the long run."""

from __future__ import annotations


class TokenBucket:
    """``now`` is in ms of a monotonic clock. No second sees more than ``rate`` plus ``burst`` tokens."""

    def __init__(self, rate: float, burst: float, now: float, initial: float | None = None) -> None:
        """``initial``: tokens at the start, instead of a whole burst."""
        self.rate, self.burst = rate, burst
        self.tokens, self.refilled_at = burst if initial is None else initial, now

    def available(self, now: float) -> float:
        """Refill the bucket and return the available tokens."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate / 1_000.0)
        self.refilled_at = now
        return self.tokens

    def take(self, now: float, cost: float) -> bool:
        """Take ``cost`` tokens if that many are available; return whether they were taken."""
        if self.available(now) < cost:
            return False
        self.tokens -= cost
        return True

    def spend(self, now: float, cost: float) -> None:
        """Take ``cost`` tokens even if the balance turns negative: mandatory messages delay later ones."""
        self.available(now)
        self.tokens -= cost

    def time_until(self, cost: float) -> float:
        """Return the ms until ``cost`` tokens are available, counted from the last refill."""
        return max(0.0, cost - self.tokens) * 1_000.0 / self.rate
