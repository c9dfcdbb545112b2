"""One connection to a session server: whether it still works, and which attempts have ended on it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from martentide.net.links import Link

# s without a message on a connection that carries standing calls before a keepalive is sent on it. Together
# with KEEPALIVE_TIMEOUT it must stay below the 8 s in which callers have to learn that their calls are over.
# A shorter time would make the keepalives of all proxies add up at the server.
KEEPALIVE_IDLE = 3.5
KEEPALIVE_TIMEOUT = 2.5  # s without a message since a keepalive was sent before the connection counts as dead
KEEPALIVE_SUSPECT = 0.5  # s without a message since a keepalive was sent before the connection is suspect
MAX_MESSAGE_DURATION = 5.0  # s from the first byte of a message to its last, however it progresses
MAX_ENDED_IDS = 1024  # ids remembered for each connection


@dataclass(slots=True)
class ServerConnection:
    """A connection, its liveness, and the calls that had an attempt on it which has ended.

    Such a call is not set up again on the same connection, where a late or repeated message about the old
    attempt would count for the new one. Times are loop times in s.
    """

    link: Link
    suspect: bool = False  # nothing came after a message that needs a response; others are preferred
    keepalive_sent_at: float | None = None  # None: none is unanswered
    # Id of the health check whose result follows everything that the server wrote when the connection opened.
    confirmation_id: bytes | None = None
    ended_calls: OrderedDict[bytes, None] = field(default_factory=OrderedDict)

    def note_ended(self, call: bytes) -> None:
        """Remember a call whose attempt on this connection has ended, however it ended."""
        self.ended_calls[call] = None
        if len(self.ended_calls) > MAX_ENDED_IDS:
            self.ended_calls.popitem(last=False)

    def message_received(self) -> None:
        """Note a complete message: the connection works."""
        self.suspect, self.keepalive_sent_at = False, None

    def received_since(self, time: float) -> bool:
        """Return whether a complete message was received after that time."""
        return self.link.last_received_at > max(time, self.link.opened_at)

    def keepalive_due_at(self) -> float:
        """Return when a keepalive has to be sent, if the connection is watched."""
        return self.link.last_received_at + KEEPALIVE_IDLE

    def keepalive_unanswered(self, now: float) -> bool:
        """Return whether a keepalive has not been answered soon."""
        return self.keepalive_sent_at is not None and now - self.keepalive_sent_at >= KEEPALIVE_SUSPECT

    def is_silent(self, now: float) -> bool:
        """Return whether a keepalive was sent and not a byte has come for KEEPALIVE_TIMEOUT since."""
        silent_at = self._silent_at()
        return silent_at is not None and now >= silent_at

    def _silent_at(self) -> float | None:
        if self.keepalive_sent_at is None:
            return None
        return max(self.keepalive_sent_at, self.link.last_byte_at) + KEEPALIVE_TIMEOUT

    def message_deadline(self, progress_timeout: float) -> float | None:
        """Return when the incomplete message counts as broken off; ``progress_timeout`` is in s.

        None if no message is incomplete.
        """
        if self.link.partial_since is None:
            return None
        return min(self.link.last_byte_at + progress_timeout, self.link.partial_since + MAX_MESSAGE_DURATION)

    def next_check_at(self, watched: bool, progress_timeout: float) -> float | None:
        """Return when this connection has to be checked next, or None; ``watched``: it needs keepalives."""
        times = [self.message_deadline(progress_timeout), self._silent_at()]
        if self.keepalive_sent_at is not None and not self.suspect:
            times.append(self.keepalive_sent_at + KEEPALIVE_SUSPECT)
        elif self.keepalive_sent_at is None and watched:
            times.append(self.keepalive_due_at())
        return min((time for time in times if time is not None), default=None)
