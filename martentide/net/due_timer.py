"""The one timer of an actor whose pure core says when it is due next."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAILBOX_RETRY_S = 0.05  # s until the next try, where the actor's mailbox was full


class DueTimer:
    """``post`` puts word of the time into the actor's mailbox, and says whether there was room."""

    def __init__(self, post: Callable[[], bool]) -> None:
        self.post = post
        self.loop = asyncio.get_running_loop()
        self.handle: asyncio.TimerHandle | None = None

    def arm(self, due: float) -> None:
        """Let it come at that time of the loop's clock (s), in place of the time before."""
        if self.handle is not None:
            if self.handle.when() == due:
                return  # most datagrams leave it as it is
            self.handle.cancel()
        self.handle = self.loop.call_at(due, self._due)

    def _due(self) -> None:
        self.handle = None if self.post() else self.loop.call_later(MAILBOX_RETRY_S, self._due)

    def cancel(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
        self.handle = None
