"""Simulated time: what is to happen, in order, from one queue."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Simulation:
    """``now`` is ms since the beginning. Events of one moment happen in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def schedule(self, delay: float, what: Callable[[], None]) -> None:
        """Let it happen ``delay`` ms from now."""
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), what))

    def run(self, until: float) -> None:
        """All that happens up to that time."""
        while self.queue and self.queue[0][0] <= until:
            self.step()
        self.now = until

    def step(self) -> None:
        """The next thing that happens."""
        self.now, _, what = heapq.heappop(self.queue)
        what()
