"""Sessions of fronts: which front may resume after its stream broke, and for how long.

A session outlives its stream by a lease. Within the lease, the front may resume with the session's token and
keeps its routed and standing requests; a token that is unknown, expired or another front's is refused. A
session has one stream at a time: a newer stream replaces the older one, which may be a half-open connection
whose end is not noticed. Without I/O: the caller passes the clock and the source of tokens.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

TOKEN_BYTES = 16


class Phase(Enum):
    """Phase of a session."""

    CONNECTED = "connected"
    BROKEN = "broken"  # without a stream, within its lease
    EXPIRED = "expired"  # only its standing calls are still counted


class Refusal(Enum):
    """Why a Hello is refused."""

    UNKNOWN_SESSION = "unknown-session"  # also a session whose lease has ended
    ANOTHER_FRONT = "another-front"
    TOO_MANY = "too-many-sessions"
    BAD_NAME = "bad-name"
    CLOSING = "closing"


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """``lease``: ms by which a session outlives its stream; ``max_sessions``: limit of unexpired sessions."""

    lease: float = 2_000.0
    max_sessions: int = 64
    max_sessions_per_front: int = 8  # unexpired sessions under one front's name


@dataclass(slots=True)
class Session:
    """A front's session."""

    number: int
    front: str
    token: bytes
    phase: Phase = Phase.CONNECTED
    stream: int = 0  # number of the current stream; streams with lower numbers have been replaced
    broken_at: float = 0.0


class Sessions:
    """All sessions of the process."""

    def __init__(self, settings: SessionSettings, tokens: Callable[[int], bytes]) -> None:
        self.settings, self.tokens = settings, tokens
        self.by_token: dict[bytes, Session] = {}
        self.opened = 0

    def open(self, front: str) -> Session | Refusal:
        """Open a session for a front."""
        if not 1 <= len(front) <= 64 or not front.isprintable() or " " in front:
            return Refusal.BAD_NAME
        live = [
            live_session for live_session in self.by_token.values() if live_session.phase is not Phase.EXPIRED
        ]
        of_front = [live_session for live_session in live if live_session.front == front]
        if len(live) >= self.settings.max_sessions or len(of_front) >= self.settings.max_sessions_per_front:
            return Refusal.TOO_MANY
        self.opened += 1
        session = Session(self.opened, front, self.tokens(TOKEN_BYTES))
        self.by_token[session.token] = session
        return session

    def resume(self, front: str, token: bytes, now: float) -> Session | Refusal:
        """Resume a session on a new stream; the incremented stream number marks the old one as replaced."""
        session = next((s for t, s in self.by_token.items() if hmac.compare_digest(t, token)), None)
        if session is None or session.phase is Phase.EXPIRED:
            return Refusal.UNKNOWN_SESSION
        if session.front != front:
            return Refusal.ANOTHER_FRONT
        if session.phase is Phase.BROKEN and now >= session.broken_at + self.settings.lease:
            return Refusal.UNKNOWN_SESSION
        session.stream += 1
        session.phase = Phase.CONNECTED
        return session

    def stream_ended(self, session: Session, stream: int, now: float) -> float | None:
        """Record the end of a stream; returns when the lease ends, or None if the stream was replaced."""
        if session.stream != stream or session.phase is not Phase.CONNECTED:
            return None
        session.phase, session.broken_at = Phase.BROKEN, now
        return now + self.settings.lease

    def expire(self, session: Session, stream: int) -> bool:
        """Expire the session at the end of its lease; returns False if it has been resumed since."""
        if session.stream != stream or session.phase is not Phase.BROKEN:
            return False
        session.phase = Phase.EXPIRED
        return True

    def forget(self, session: Session) -> None:
        """Remove a session for which no request is open any more."""
        self.by_token.pop(session.token, None)
