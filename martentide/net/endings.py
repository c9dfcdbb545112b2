"""Reason codes: why a connection ended. Each ended connection, or dial that failed, leaves one log line.

``docs/ON-CALL.md`` says for each code what it means and what to do.
"""

from __future__ import annotations

import logging
from enum import Enum

LOG = logging.getLogger("martentide")


class Reason(Enum):
    PEER_CLOSED = "peer-closed"
    PEER_RESET = "peer-reset"
    TRUNCATED = "truncated"
    STALLED = "stalled"
    MUTE = "mute"
    DUPLICATE_ID = "duplicate-id"
    MALFORMED = "malformed"
    BLOCKED = "blocked"
    SILENT = "silent"
    SERVER_GONE = "server-gone"
    REPLACED = "replaced"
    MOVED = "moved"
    TOO_MANY = "too-many"
    SHUTDOWN = "shutdown"
    IO_ERROR = "io-error"
    INTERNAL = "internal"
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    DIAL_ERROR = "dial-error"


QUIET = (Reason.PEER_CLOSED, Reason.SERVER_GONE, Reason.REPLACED, Reason.MOVED, Reason.SHUTDOWN)


def log_ended(role: str, peer: str, reason: Reason, detail: str = "") -> None:
    """The one line that an ended connection leaves; ``role`` is caller, server or board."""
    level = logging.INFO if reason in QUIET else logging.WARNING
    LOG.log(level, "connection-ended role=%s peer=%s reason=%s%s", role, peer, reason.value, _tail(detail))


def _tail(detail: str) -> str:
    return f" detail={detail!r}" if detail else ""


def log_event(event: str, **fields: object) -> None:
    """Any other line for on-call staff: what happened and its figures."""
    LOG.info("%s%s", event, "".join(f" {name}={value}" for name, value in fields.items()))
