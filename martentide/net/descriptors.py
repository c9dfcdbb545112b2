"""Descriptors: how many the process may have, how many callers get, and what is done when they run out.

The board, the servers and the operator's calls come before callers: without them no call is set up at all.
"""

from __future__ import annotations

import asyncio
import errno
import resource
from collections.abc import Callable
from typing import Any

from martentide.net.close_reason import log_event

CALLERS_SHARE = 0.5  # callers hold a third at most, old connections may overlap new ones
RESERVED = 16  # standard streams, event loop, listeners, the board, files: what the process needs for itself
MIN_CALLERS = 8
MAX_OPERATOR_CALLS = 24
SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
LOG_INTERVAL = 1.0  # s between two log lines about a shortage


def most(configured: int) -> int:
    """The process's limit: what the configuration tells, or the system's where that is less."""
    system = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return configured if system == resource.RLIM_INFINITY else min(configured, system)


def for_operator(limit: int) -> int:
    """Calls of the operator that may be open at once."""
    return min(MAX_OPERATOR_CALLS, limit // 8)


def for_callers(limit: int, servers: int, operated: bool) -> int:
    """Connections of callers: half of all, less where the rest would not do for everything else."""
    rest = limit - RESERVED - servers - (for_operator(limit) if operated else 0)
    return max(MIN_CALLERS, min(int(limit * CALLERS_SHARE), rest))


class Shortage:
    """What happens when the system gives no more descriptors. ``make_room`` closes what is cheapest to lose.

    Guards against idle callers that keep the board or a server from being dialled again, and against a trace
    for every connection that can't be accepted. The listener itself pauses for a second (asyncio).
    """

    def __init__(self, make_room: Callable[[], int]) -> None:
        self.make_room = make_room
        self.loop = asyncio.get_running_loop()
        self.logged_at: float | None = None
        self.occurrences = 0

    def met(self, error: BaseException | None) -> bool:
        """Whether the error is one; if so, room is made."""
        if not isinstance(error, OSError) or error.errno not in SHORTAGE_ERRNOS:
            return False
        self.occurrences += 1
        closed = self.make_room()
        now = self.loop.time()
        if self.logged_at is None or now - self.logged_at >= LOG_INTERVAL:
            log_event("descriptors-short", times=self.occurrences, closed=closed, detail=repr(str(error)))
            self.logged_at, self.occurrences = now, 0
        return True

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The event loop's handler of errors that nobody awaits: those of accepting come there."""
        if not self.met(context.get("exception")):
            loop.default_exception_handler(context)
