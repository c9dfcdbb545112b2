"""Tracing of single calls: one log line for each step of a call, enabled by ``serve --trace-calls``.

A call that gets a late answer or none can be traced by its id from the last byte of its set-up to the write
of its answer, also across the two processes of an upgrade, because each line holds the process id.
``docs/ON-CALL.md`` lists the steps. While tracing is off, a step costs one comparison.
"""

from __future__ import annotations

import os
from enum import Enum

from martentide.net.close_reason import LOG


class CallStep(Enum):
    """A step in the life of one call."""

    RECEIVED = "received"  # the last byte of its set-up was read
    SENT = "sent"  # an attempt's set-up was written to a session server
    STOOD = "stood"  # the session server answered
    ENDED = "ended"  # the attempt or the standing call has ended
    MOVED_OUT = "moved-out"  # its caller's connection was moved to the successor
    MOVED_IN = "moved-in"  # its caller's connection was taken over from the predecessor
    PASSED_ON = "passed-on"  # the message for the caller was sent to the successor, which has the connection
    WRITTEN = "written"  # the message for the caller was written to its connection
    NO_CONNECTION = "no-connection"  # there was no connection to write the message for the caller to
    CALLER_LEFT = "caller-left"  # the caller gave up or released the call, or its connection has ended


class CallTrace:
    """Writes the trace while ``enabled``."""

    def __init__(self) -> None:
        self.enabled = False

    def step(self, call: bytes, step: CallStep, **fields: object) -> None:
        """Log one step of the call with ``fields``, if tracing is enabled."""
        if self.enabled:
            LOG.info("call-step", call=call.hex(), step=step.value, pid=os.getpid(), **fields)


CALL_TRACE = CallTrace()
