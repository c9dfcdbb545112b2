"""Close reasons: why a connection ended. Each ended connection and each failed dial writes one log line.

``docs/ON-CALL.md`` explains each code and what to do about it.
"""

from __future__ import annotations

from enum import Enum

import structlog

LOG = structlog.get_logger()


def logged_name(item: object) -> str:
    """Return the name of the item's class in log lines: its LOG_NAME if it has one, else the class's name.

    LOG_NAME keeps the printed name of a class that was renamed, so that its log lines stay the same.
    """
    name: str = getattr(item, "LOG_NAME", type(item).__name__)
    return name


class CloseReason(Enum):
    """Why a connection ended or could not be opened; the values appear in the log."""

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
    TAKEN_OVER = "taken-over"
    NO_SESSION = "no-session"
    TOO_MANY = "too-many"
    SHUTDOWN = "shutdown"
    IO_ERROR = "io-error"
    INTERNAL = "internal"
    DRAINED = "drained"
    HANDED_OVER = "handed-over"
    ANSWERED = "answered"
    TURNED_DOWN = "turned-down"
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    DIAL_ERROR = "dial-error"


ROUTINE_REASONS = (
    CloseReason.PEER_CLOSED,
    CloseReason.SERVER_GONE,
    CloseReason.REPLACED,
    CloseReason.MOVED,
    CloseReason.SHUTDOWN,
    CloseReason.TAKEN_OVER,
    CloseReason.DRAINED,
    CloseReason.HANDED_OVER,
    CloseReason.ANSWERED,
)


def log_connection_closed(role: str, peer: str, reason: CloseReason, detail: str = "") -> None:
    """Log the end of a connection, as a warning unless routine; ``docs/ON-CALL.md`` lists the roles."""
    write = LOG.info if reason in ROUTINE_REASONS else LOG.warning
    fields = {"detail": repr(detail)} if detail else {}
    write("connection-ended", role=role, peer=peer, reason=reason.value, **fields)


def log_event(event: str, **fields: object) -> None:
    """Log any other event for on-call staff, with its values."""
    LOG.info(event, **fields)
