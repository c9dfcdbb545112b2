"""Admission limits of fronts: question rate, pending and open requests per front; pending and open in total.

Nothing is queued: a question over a limit is refused at once, with a retry time. A part of each limit is
reserved for classes of higher worth (trunk reservation, as in the gap images of ``martentide/rules.py``), so
under load the class of least worth is refused first and the one of highest worth last. No clock and no I/O.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from martentide.extproc.messages import Why

FRONT_EXPIRY_MS = 30_000.0  # time without a question after which a front with nothing open is removed
RETRY_JITTER = 0.5  # random share added to a hold-off, so that refused requests don't retry together
MIN_RETRY_AFTER_MS = 20.0
DECISION_TIME_WEIGHT = 0.1  # weight of one decision in the moving average of decision times
FAIR_SHARE_THRESHOLD = 0.8  # share of the total limit above which fronts are held to their fair share


@dataclass(frozen=True, slots=True)
class Limits:
    """Configured limits. ``reserve`` (0 to 1): the part of each limit closed to the class of least worth."""

    pending_each: int = 500  # requests of one front that wait for a verdict
    pending_all: int = 2_000
    open_each: int = 5_000  # requests of one front that are pending, routed or standing
    open_all: int = 20_000
    rate_each: float = 1_000.0  # questions per second of one front
    burst_ms: float = 250.0  # burst size, as the time in which rate_each fills the bucket
    reserve: float = 0.2
    max_retry_after: float = 2_000.0


@dataclass(frozen=True, slots=True)
class Rejection:
    """A question over a limit; ``retry_after`` in ms."""

    why: Why
    retry_after: float


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: ``rate`` tokens per second, at most ``depth``."""

    rate: float
    depth: float
    tokens: float
    refilled_at: float

    def level(self, now: float) -> float:
        """Refill the bucket up to ``now`` (ms) and return its tokens."""
        self.tokens = min(self.depth, self.tokens + self.rate * max(0.0, now - self.refilled_at) / 1000.0)
        self.refilled_at = max(self.refilled_at, now)
        return self.tokens


@dataclass(slots=True)
class FrontUsage:
    """Open requests and refusals of one front."""

    bucket: TokenBucket
    last_asked_at: float
    pending: int = 0
    open: int = 0
    refused: dict[Why, int] = field(default_factory=dict)


class Admission:
    """Admission control of the process, shared by all fronts. Times in ms."""

    def __init__(self, limits: Limits, top_worth: float, seed: int) -> None:
        self.limits, self.top_worth = limits, max(top_worth, 1e-9)
        self.random = random.Random(seed)
        self.fronts: dict[str, FrontUsage] = {}
        self.pending = self.open = 0
        self.mean_decision_ms = 5.0  # moving average

    def set_limits(self, limits: Limits) -> None:
        """Apply new limits from the next question on; open requests are kept."""
        self.limits = limits
        for front in self.fronts.values():
            depth = self._depth()
            front.bucket = TokenBucket(
                limits.rate_each, depth, min(depth, front.bucket.tokens), front.bucket.refilled_at
            )

    def _depth(self) -> float:
        return max(1.0, self.limits.rate_each * self.limits.burst_ms / 1000.0)

    def front(self, name: str, now: float) -> FrontUsage:
        """Usage of a front, created at its first question."""
        front = self.fronts.get(name)
        if front is None:
            self._remove_idle(now)
            depth = self._depth()
            front = self.fronts[name] = FrontUsage(TokenBucket(self.limits.rate_each, depth, depth, now), now)
        return front

    def _remove_idle(self, now: float) -> None:
        for name in [
            n for n, f in self.fronts.items() if not f.open and now - f.last_asked_at > FRONT_EXPIRY_MS
        ]:
            del self.fronts[name]

    def admit(self, name: str, worth: float, now: float) -> Rejection | None:
        """Admit a question, or return why it is refused. An admitted one is pending until ``decided``."""
        front = self.front(name, now)
        front.last_asked_at = now
        rejection = self._check(front, worth, now)
        if rejection is not None:
            front.refused[rejection.why] = front.refused.get(rejection.why, 0) + 1
            return rejection
        front.bucket.tokens -= 1.0
        front.pending, front.open = front.pending + 1, front.open + 1
        self.pending, self.open = self.pending + 1, self.open + 1
        return None

    def _check(self, front: FrontUsage, worth: float, now: float) -> Rejection | None:
        limits = self.limits
        worth_deficit = 1.0 - min(1.0, max(0.0, worth / self.top_worth))
        usable_share = 1.0 - limits.reserve * worth_deficit  # of each limit that this worth may use
        wait = self.mean_decision_ms * max(1.0, front.pending)
        if front.pending >= max(1.0, limits.pending_each * usable_share) or front.open >= max(
            1.0, limits.open_each * usable_share
        ):
            return self._reject(Why.FRONT_BUSY, wait)
        if self.pending >= max(1.0, limits.pending_all * usable_share) or self.open >= max(
            1.0, limits.open_all * usable_share
        ):
            return self._reject(Why.BUSY, self.mean_decision_ms * max(1.0, self.pending))
        if self._exceeds_fair_share(front):
            return self._reject(Why.BUSY, wait)
        required_tokens = 1.0 + max(0.0, front.bucket.depth - 1.0) * limits.reserve * worth_deficit
        missing_tokens = required_tokens - front.bucket.level(now)
        if missing_tokens > 0:
            return self._reject(Why.FRONT_RATE, missing_tokens * 1000.0 / max(1e-9, limits.rate_each))
        return None

    def _exceeds_fair_share(self, front: FrontUsage) -> bool:
        """Whether the front has more than its fair share while the total limit is nearly used up.

        Prevents one front from exhausting the limit that all fronts share. A front may use what the others
        leave free, up to FAIR_SHARE_THRESHOLD of the total; above it, a front over an equal share is refused.
        """
        active_fronts = sum(1 for usage in self.fronts.values() if usage.open) + (front.open == 0)
        nearly_full = self.pending >= FAIR_SHARE_THRESHOLD * self.limits.pending_all
        return active_fronts > 1 and nearly_full and front.pending >= self.limits.pending_all / active_fronts

    def _reject(self, why: Why, wait: float) -> Rejection:
        wait = max(MIN_RETRY_AFTER_MS, wait) * (1.0 + RETRY_JITTER * self.random.random())
        return Rejection(why, min(self.limits.max_retry_after, wait))

    def decided(self, name: str, waited: float | None = None) -> None:
        """Record that a question got its verdict, after ``waited`` ms, or needs none any more (None)."""
        front = self.fronts[name]
        front.pending -= 1
        self.pending -= 1
        if waited is not None:
            self.mean_decision_ms += DECISION_TIME_WEIGHT * (waited - self.mean_decision_ms)

    def reopened(self, name: str) -> None:
        """Count an admitted request as pending again after an attempt ended; it is not refused here."""
        self.fronts[name].pending += 1
        self.pending += 1

    def closed(self, name: str) -> None:
        """Record that a request was closed."""
        self.fronts[name].open -= 1
        self.open -= 1
