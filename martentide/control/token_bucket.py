"""A token bucket: at most ``burst`` at once, and ``rate`` a second on the long run."""

from __future__ import annotations


class TokenBucket:
    """``now`` is ms of a clock that never runs backwards. Rate and burst together bound any one second."""

    def __init__(self, rate: float, burst: float, now: float, initial: float | None = None) -> None:
        """``first``: what is there at the beginning, in place of a whole burst."""
        self.rate, self.burst = rate, burst
        self.tokens, self.refilled_at = burst if initial is None else initial, now

    def available(self, now: float) -> float:
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate / 1_000.0)
        self.refilled_at = now
        return self.tokens

    def take(self, now: float, cost: float) -> bool:
        """Whether ``cost`` could be taken; nothing is taken where it could not."""
        if self.available(now) < cost:
            return False
        self.tokens -= cost
        return True

    def spend(self, now: float, cost: float) -> None:
        """Take it whatever is left: what has to be sent counts against what comes after."""
        self.available(now)
        self.tokens -= cost

    def time_until(self, cost: float) -> float:
        """ms until so much is there, as of the last look."""
        return max(0.0, cost - self.tokens) * 1_000.0 / self.rate
