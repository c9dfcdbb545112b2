"""File descriptors: the limit of the process, the callers' share, and what happens when they run out.

The discovery service, the servers and the operator's requests have priority over callers: without them no
call is set up at all.
"""

from __future__ import annotations

import asyncio
import errno
import resource
from collections.abc import Callable
from typing import Any

from martentide.net.close_reason import log_event

CALLERS_SHARE = 0.5  # callers use at most a third, but old connections may overlap with their replacements
RESERVED = 16  # for standard streams, event loop, listeners, discovery service and files
MIN_CALLERS = 8
MAX_OPERATOR_CALLS = 24
SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
LOG_INTERVAL = 1.0  # minimum s between log lines about a shortage


def process_limit(configured: int) -> int:
    """Return the limit of the process: the configured one, or the system's if that is lower."""
    system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return configured if system_limit == resource.RLIM_INFINITY else min(configured, system_limit)


def operator_limit(limit: int) -> int:
    """Return how many requests of the operator may be open at once."""
    return min(MAX_OPERATOR_CALLS, limit // 8)


def caller_limit(limit: int, servers: int, has_operator: bool) -> int:
    """Return the limit of callers' connections: half of all descriptors, or fewer if all else needs more."""
    rest = limit - RESERVED - servers - (operator_limit(limit) if has_operator else 0)
    return max(MIN_CALLERS, min(int(limit * CALLERS_SHARE), rest))


class DescriptorShortage:
    """Handles a lack of descriptors. ``make_room`` closes the connections that cost least to lose.

    Without it, idle callers could keep the discovery service or a server from being dialled again, and each
    connection that can't be accepted would log a traceback. asyncio pauses the listener for a second.
    """

    def __init__(self, make_room: Callable[[], int]) -> None:
        self.make_room = make_room
        self.loop = asyncio.get_running_loop()
        self.logged_at: float | None = None
        self.occurrences = 0

    def handle_error(self, error: BaseException | None) -> bool:
        """Return whether the error is a lack of descriptors; if it is, close connections to make room."""
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
        """Exception handler of the event loop, which also gets the errors of accepting connections."""
        if not self.handle_error(context.get("exception")):
            loop.default_exception_handler(context)
