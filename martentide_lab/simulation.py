"""Discrete-event simulation: a clock and a queue of scheduled callbacks."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Simulation:
    """``now`` is ms since the start. Callbacks for the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` to run ``delay`` ms from now."""
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), callback))

    def run(self, until: float) -> None:
        """Run all callbacks due up to ``until`` (ms) and set the clock to it."""
        while self.queue and self.queue[0][0] <= until:
            self.step()
        self.now = until

    def step(self) -> None:
        """Advance the clock to the next callback and run it."""
        self.now, _, callback = heapq.heappop(self.queue)
        callback()
