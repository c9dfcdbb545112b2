"""Timer of an actor whose pure core states when it is due next."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAILBOX_RETRY_S = 0.05  # until the next attempt after the actor's mailbox was full


class DueTimer:
    """Calls ``post`` when due; it queues an item to the actor's mailbox and returns False if that is full."""

    def __init__(self, post: Callable[[], bool]) -> None:
        self.post = post
        self.loop = asyncio.get_running_loop()
        self.handle: asyncio.TimerHandle | None = None

    def arm(self, due: float) -> None:
        """Set the timer to ``due`` (s, on the event loop's clock), in place of an earlier setting."""
        if self.handle is not None:
            if self.handle.when() == due:
                return  # most datagrams don't change the due time
            self.handle.cancel()
        self.handle = self.loop.call_at(due, self._due)

    def _due(self) -> None:
        self.handle = None if self.post() else self.loop.call_later(MAILBOX_RETRY_S, self._due)

    def cancel(self) -> None:
        """Stop the timer; it can be armed again."""
        if self.handle is not None:
            self.handle.cancel()
        self.handle = None
