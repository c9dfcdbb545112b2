"""Standing calls of one session server whose release may have been lost with a connection.

A session server writes a release once on a connection and once more on the next connection that is opened.
When a connection ends, releases on it may be unread; they have been read only once a connection that was
opened later has delivered everything that the server writes on opening. A call whose release may have been
lost twice, or that can't be confirmed in time, must be ended here.

Pure: events in, calls out; no clock and no I/O. Times are in seconds; connections are any hashable objects.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

# s after the last sign that a call's release could still be read, by which its caller is told of its end;
# below the 8 s of the protocol ("The rules on sockets").
CONFIRMATION_LIMIT = 7.5
# s after a connection was opened until another one is opened to ask again for releases of calls whose own
# connection fell silent: their server may still write to it.
REFRESH_INTERVAL = 4.0


@dataclass(slots=True)
class StandingCall:
    """A standing call, and what is known of its release.

    ``connection`` is the connection of its set-up, None after its end. ``deadline`` is the time by which the
    call must be confirmed or ended, None if no release can have been lost. ``recovery`` is the connection on
    which the server repeats a lost release.
    """

    connection: Hashable | None
    deadline: float | None = None
    recovery: Hashable | None = None
    needs_refresh: bool = False  # its server may still write to a connection that fell silent
    unconfirmable: bool = False  # another process may answer at the server's address


class ReleaseRecovery:
    """Decides which standing calls must be confirmed by a new connection, and which must be ended."""

    def __init__(self) -> None:
        self.calls: dict[bytes, StandingCall] = {}
        self.opened_at: dict[Hashable, float] = {}

    def stood(self, call: bytes, connection: Hashable) -> None:
        """Note that a call stands, set up on the connection."""
        self.calls[call] = StandingCall(connection)

    def ended(self, call: bytes) -> None:
        """Forget a call that has ended."""
        self.calls.pop(call, None)

    def carrying(self) -> set[Hashable | None]:
        """Return the connections of the standing calls; None is among them if a call's own has ended."""
        return {call.connection for call in self.calls.values()}

    def opened(self, connection: Hashable, now: float) -> bool:
        """Note a new connection; return whether it must be confirmed, because releases are repeated on it."""
        self.opened_at[connection] = now
        waiting = [
            call for call in self.calls.values() if call.deadline is not None and call.recovery is None
        ]
        for call in waiting:
            call.recovery = connection
        return bool(waiting)

    def confirmed(self, connection: Hashable) -> None:
        """Note that everything that the server wrote when the connection was opened has been read."""
        for call in self.calls.values():
            if call.recovery is not connection:
                continue
            call.recovery = None
            if call.needs_refresh:
                call.deadline = self.opened_at[connection] + CONFIRMATION_LIMIT
            elif not call.unconfirmable:
                call.deadline = None

    def lost(self, connection: Hashable, heard_at: float, silent: bool, same_process: bool) -> list[bytes]:
        """Note the end of a connection; return the calls whose release may now have been lost twice.

        ``heard_at`` is when the last message on it was received. ``silent``: it ended because nothing came
        any more. ``same_process``: another connection shows that the process still runs that this one led to.
        """
        self.opened_at.pop(connection, None)
        lost_twice = [call_id for call_id, call in self.calls.items() if call.recovery is connection]
        for call in self.calls.values():
            own = call.connection is connection
            if call.connection is not None and not own:
                continue
            if call.recovery is None or call.recovery is connection:
                call.recovery = None
                deadline = heard_at + CONFIRMATION_LIMIT
                call.deadline = deadline if call.deadline is None else min(call.deadline, deadline)
            if own:
                call.connection = None
                call.needs_refresh = silent and same_process
                call.unconfirmable = silent and not same_process
        return lost_twice

    def overdue(self, now: float) -> list[bytes]:
        """Return the calls that could not be confirmed in time."""
        return [
            call_id
            for call_id, call in self.calls.items()
            if call.deadline is not None and now >= call.deadline
        ]

    def awaits(self, connection: Hashable) -> bool:
        """Return whether the connection is still to deliver repeated releases."""
        return any(call.recovery is connection for call in self.calls.values())

    @property
    def needs_connection(self) -> bool:
        """Whether a call waits for a new connection to be opened."""
        return any(call.deadline is not None and call.recovery is None for call in self.calls.values())

    @property
    def next_deadline(self) -> float | None:
        """The earliest time at which a call becomes overdue."""
        return min((call.deadline for call in self.calls.values() if call.deadline is not None), default=None)

    @property
    def refresh_due(self) -> float | None:
        """The time at which another connection must be opened to ask again for releases."""
        if not any(call.needs_refresh and call.recovery is None for call in self.calls.values()):
            return None
        return max(self.opened_at.values(), default=0.0) + REFRESH_INTERVAL
