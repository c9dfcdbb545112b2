"""Sessions of fronts: who may go on where a broken stream left off, and for how long.

A session outlives its stream by a lease. Within it the front may come back with the session's token and goes
on with what is routed and what stands; a token that is unknown, expired or another front's is refused. One
stream at a time: a newer one takes the place of the older, which may be a half-open connection that shows no
end. Pure: the clock and the source of tokens are handed in.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

TOKEN_BYTES = 16


class Phase(Enum):
    CONNECTED = "connected"
    BROKEN = "broken"  # within its lease
    EXPIRED = "expired"  # only its standing calls are still counted


class Refusal(Enum):
    """Why a hello gets no session."""

    UNKNOWN_SESSION = "unknown-session"  # also one whose lease is over
    ANOTHER_FRONT = "another-front"
    TOO_MANY = "too-many-sessions"
    BAD_NAME = "bad-name"
    CLOSING = "closing"


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """``lease`` ms that a session outlives its stream; ``most`` sessions that are not expired."""

    lease: float = 2_000.0
    max_sessions: int = 64
    max_sessions_per_front: int = 8  # of one front's name


@dataclass(slots=True)
class Session:
    number: int
    front: str
    token: bytes
    phase: Phase = Phase.CONNECTED
    stream: int = 0  # the stream that speaks for it: one with a lower number has been replaced
    broken_at: float = 0.0


class Sessions:
    """All sessions of the program."""

    def __init__(self, terms: SessionSettings, tokens: Callable[[int], bytes]) -> None:
        self.terms, self.tokens = terms, tokens
        self.by_token: dict[bytes, Session] = {}
        self.opened = 0

    def open(self, front: str) -> Session | Refusal:
        if not 1 <= len(front) <= 64 or not front.isprintable() or " " in front:
            return Refusal.BAD_NAME
        live = [one for one in self.by_token.values() if one.phase is not Phase.EXPIRED]
        same = [one for one in live if one.front == front]
        if len(live) >= self.terms.max_sessions or len(same) >= self.terms.max_sessions_per_front:
            return Refusal.TOO_MANY
        self.opened += 1
        session = Session(self.opened, front, self.tokens(TOKEN_BYTES))
        self.by_token[session.token] = session
        return session

    def resume(self, front: str, token: bytes, now: float) -> Session | Refusal:
        """The session that goes on, over a new stream; its number tells the old one that it is replaced."""
        session = next((s for t, s in self.by_token.items() if hmac.compare_digest(t, token)), None)
        if session is None or session.phase is Phase.EXPIRED:
            return Refusal.UNKNOWN_SESSION
        if session.front != front:
            return Refusal.ANOTHER_FRONT
        if session.phase is Phase.BROKEN and now >= session.broken_at + self.terms.lease:
            return Refusal.UNKNOWN_SESSION
        session.stream += 1
        session.phase = Phase.CONNECTED
        return session

    def stream_ended(self, session: Session, stream: int, now: float) -> float | None:
        """The stream ended: when the lease ends, or None where another stream speaks for the session."""
        if session.stream != stream or session.phase is not Phase.CONNECTED:
            return None
        session.phase, session.broken_at = Phase.BROKEN, now
        return now + self.terms.lease

    def expire(self, session: Session, stream: int) -> bool:
        """The lease is over: whether the session is (not where it has been resumed since)."""
        if session.stream != stream or session.phase is not Phase.BROKEN:
            return False
        session.phase = Phase.EXPIRED
        return True

    def forget(self, session: Session) -> None:
        """Nothing is counted for it any more."""
        self.by_token.pop(session.token, None)
