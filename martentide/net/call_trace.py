"""Trace of single calls: a log line for each step of a call, off unless ``serve --trace-calls`` asks for it.

A call that gets no answer, or a late one, is followed by its id from the last byte of its set-up to the write
of its answer, also across the two processes of an upgrade: each line names the process. ``docs/ON-CALL.md``
lists the steps. While the trace is off, a step costs one comparison.
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
    ENDED = "ended"  # the attempt, or the call that stood, is over
    MOVED_OUT = "moved-out"  # its caller's connection goes to the successor
    MOVED_IN = "moved-in"  # its caller's connection came from the predecessor
    PASSED_ON = "passed-on"  # the final message goes to the successor, which has the connection
    WRITTEN = "written"  # the final message was written to the caller's connection
    NO_CONNECTION = "no-connection"  # there was a final message and no connection to write it to
    CALLER_LEFT = "caller-left"  # given up, ended by its caller, or its connection is over


class CallTrace:
    """The switch and the writer of the trace."""

    def __init__(self) -> None:
        self.enabled = False

    def step(self, call: bytes, step: CallStep, **fields: object) -> None:
        """Log one step of the call; ``fields`` as they are, read only where the trace is on."""
        if self.enabled:
            LOG.info("call-step", call=call.hex(), step=step.value, pid=os.getpid(), **fields)


CALL_TRACE = CallTrace()
