"""How much fronts may ask: a rate and open requests for each front, pending and open ones for all together.

Nothing waits here: what is over a limit is refused at once, with a time to come back. Of each limit a part is
kept for the worthier classes (trunk reservation, as in the gap images of ``martentide/rules.py``), so under
pressure the least worth goes first and the worthiest class last. No clock and no input or output.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from martentide.extproc.messages import Why

FRONT_EXPIRY_MS = 30_000.0  # ms after which a front with nothing open is forgotten
RETRY_JITTER = 0.5  # share of a hold-off drawn on top, so that what was refused together comes back apart
MIN_RETRY_AFTER_MS = 20.0  # ms
DECISION_TIME_WEIGHT = 0.1  # weight of one decision in the mean time of decisions
FAIR_SHARE_THRESHOLD = (
    0.8  # share of the total from which a front over its fair part makes room for the others
)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the operator allows. ``reserve`` 0 to 1: the part of each limit that the least worth can't use."""

    pending_each: int = 500  # requests of one front that wait for a verdict
    pending_all: int = 2_000
    open_each: int = 5_000  # requests of one front that wait, are routed or stand
    open_all: int = 20_000
    rate_each: float = 1_000.0  # questions a second of one front
    burst_ms: float = 250.0  # of that rate, that may come at once
    reserve: float = 0.2
    max_retry_after: float = 2_000.0


@dataclass(frozen=True, slots=True)
class Rejection:
    why: Why
    retry_after: float


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: ``rate`` a second, ``depth`` at most."""

    rate: float
    depth: float
    tokens: float
    filled: float

    def level(self, now: float) -> float:
        self.tokens = min(self.depth, self.tokens + self.rate * max(0.0, now - self.filled) / 1000.0)
        self.filled = max(self.filled, now)
        return self.tokens


@dataclass(slots=True)
class FrontUsage:
    """What one front has open."""

    bucket: TokenBucket
    last_asked_at: float
    pending: int = 0
    open: int = 0
    refused: dict[Why, int] = field(default_factory=dict)


class Admission:
    """One for the program; every front's gate leads here."""

    def __init__(self, limits: Limits, top_worth: float, seed: int) -> None:
        self.limits, self.top_worth = limits, max(top_worth, 1e-9)
        self.random = random.Random(seed)
        self.fronts: dict[str, FrontUsage] = {}
        self.pending = self.open = 0
        self.mean_decision = 5.0  # ms a question has waited lately

    def set_limits(self, limits: Limits) -> None:
        """New limits hold from the next question on; what is open stays."""
        self.limits = limits
        for front in self.fronts.values():
            depth = self._depth()
            front.bucket = TokenBucket(
                limits.rate_each, depth, min(depth, front.bucket.tokens), front.bucket.filled
            )

    def _depth(self) -> float:
        return max(1.0, self.limits.rate_each * self.limits.burst_ms / 1000.0)

    def front(self, name: str, now: float) -> FrontUsage:
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
        """Take one question in, or say why not. A question taken in is pending until ``decided``."""
        front = self.front(name, now)
        front.last_asked_at = now
        denied = self._check(front, worth, now)
        if denied is not None:
            front.refused[denied.why] = front.refused.get(denied.why, 0) + 1
            return denied
        front.bucket.tokens -= 1.0
        front.pending, front.open = front.pending + 1, front.open + 1
        self.pending, self.open = self.pending + 1, self.open + 1
        return None

    def _check(self, front: FrontUsage, worth: float, now: float) -> Rejection | None:
        limits = self.limits
        lesser = 1.0 - min(1.0, max(0.0, worth / self.top_worth))
        part = 1.0 - limits.reserve * lesser  # of each limit that this worth may use
        wait = self.mean_decision * max(1.0, front.pending)
        if front.pending >= max(1.0, limits.pending_each * part) or front.open >= max(
            1.0, limits.open_each * part
        ):
            return self._reject(Why.FRONT_BUSY, wait)
        if self.pending >= max(1.0, limits.pending_all * part) or self.open >= max(
            1.0, limits.open_all * part
        ):
            return self._reject(Why.BUSY, self.mean_decision * max(1.0, self.pending))
        if self._exceeds_fair_share(front):
            return self._reject(Why.BUSY, wait)
        need = 1.0 + max(0.0, front.bucket.depth - 1.0) * limits.reserve * lesser
        missing = need - front.bucket.level(now)
        if missing > 0:
            return self._reject(Why.FRONT_RATE, missing * 1000.0 / max(1e-9, limits.rate_each))
        return None

    def _exceeds_fair_share(self, front: FrontUsage) -> bool:
        """Whether the front has more than its part of a total that runs short.

        Guards against one front that uses up what all fronts share. A front may use what the others leave,
        up to FAIR_FROM of the total; from there on the one above its equal part stands back.
        """
        asking = sum(1 for one in self.fronts.values() if one.open) + (front.open == 0)
        crowded = self.pending >= FAIR_SHARE_THRESHOLD * self.limits.pending_all
        return asking > 1 and crowded and front.pending >= self.limits.pending_all / asking

    def _reject(self, why: Why, wait: float) -> Rejection:
        wait = max(MIN_RETRY_AFTER_MS, wait) * (1.0 + RETRY_JITTER * self.random.random())
        return Rejection(why, min(self.limits.max_retry_after, wait))

    def decided(self, name: str, waited: float | None = None) -> None:
        """A question got its verdict (after ``waited`` ms) or needs none any more."""
        front = self.fronts[name]
        front.pending -= 1
        self.pending -= 1
        if waited is not None:
            self.mean_decision += DECISION_TIME_WEIGHT * (waited - self.mean_decision)

    def reopened(self, name: str) -> None:
        """An outcome put the request's question anew: it was admitted once and is not refused here."""
        self.fronts[name].pending += 1
        self.pending += 1

    def closed(self, name: str) -> None:
        self.fronts[name].open -= 1
        self.open -= 1
