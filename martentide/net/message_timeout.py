"""The time in which a message from one session server must be complete, adapted to how the server writes.

Pure: events in, a time out; no clock and no I/O. Times are in seconds.
"""

from __future__ import annotations

STALL_FACTOR = 4.0  # by which a stall lengthens the timeout
COMPLETED_FACTOR = 0.8  # by which a complete message shortens it
# Messages after a stall that don't shorten the timeout: on its next connection a server first sends its state
# and the releases that were not heard.
RESENT_MESSAGES = 10
DURATION_FACTOR = 2.0  # the timeout is at least this multiple of the last message's duration


class MessageTimeout:
    """An adaptive timeout between ``minimum`` and ``maximum``.

    A connection that stops inside a message must be left soon, because nothing behind the message can be
    read. A server that only writes slowly would lose every connection that way, and nothing it sends would
    ever be read. So each stall lengthens the timeout for the server's next connections, and complete messages
    shorten it again. Stalls among many complete messages hardly change it.
    """

    def __init__(self, minimum: float, maximum: float) -> None:
        self.minimum, self.maximum = minimum, maximum
        self.seconds = minimum  # the timeout that applies now
        self.completed_since_stall = 0

    def message_completed(self, duration: float) -> None:
        """Note a complete message; ``duration`` is the time from its first to its last byte."""
        self.completed_since_stall += 1
        if self.completed_since_stall > RESENT_MESSAGES:
            self.seconds *= COMPLETED_FACTOR
        self.seconds = min(self.maximum, max(self.minimum, self.seconds, duration * DURATION_FACTOR))

    def message_stalled(self) -> bool:
        """Note a message that was not complete in time.

        Returns whether the timeout can't be lengthened any more, so that the server counts as unresponsive.
        """
        exhausted = self.seconds >= self.maximum
        self.seconds = min(self.maximum, self.seconds * STALL_FACTOR)
        self.completed_since_stall = 0
        return exhausted
