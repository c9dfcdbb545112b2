"""The callers' connections: which of them are kept, and which are closed first when descriptors run short."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from martentide.handover.wire import Left, MovedCalls, MovedLink, Said
from martentide.net.close_reason import CloseReason
from martentide.net.links import Link
from martentide.net.memory_budget import MemoryAccount, MemoryBudget

MUTE_TIMEOUT = 2.0  # s in which a new connection must have sent something that can be answered
MUTE_RECHECK = 0.25  # s between checks of a mute connection that waits for an answer or a release
MESSAGE_TIMEOUT = 1.5  # s in which a message must be complete once its first byte came from a caller
RELAXED_MESSAGE_TIMEOUT = 2.6  # s, while few descriptors are in use: some callers need 2 s to write a message
# Share of the callers' descriptors in use from which on MESSAGE_TIMEOUT applies to new connections, so that
# incomplete messages don't occupy the remaining descriptors.
RELAXED_TIMEOUT_SHARE = 0.75
MUTE_GRACE = 1.0  # s in which a new connection may send its first byte before a drain closes it
DRAIN_RECHECK = 0.02  # s between checks of a connection that a drain is to close and that is still active

SendFrame = Callable[[MovedLink | MovedCalls | Said | Left, int | None], None]  # frame and descriptor with it


class ClientConnections:
    """The callers' connections, and the choice of those to close when descriptors run short.

    A connection is mute until something on it was answered, busy while a set-up on it is open, and resting
    otherwise. A flood of connections that send nothing must not keep callers out: mute connections are closed
    after ``MUTE_TIMEOUT``. When descriptors run short, mute connections are closed earlier, the oldest first,
    and then the connections that have been resting longest. ``max_connections`` is the number of descriptors,
    ``memory`` the budget of bytes that all connections share.
    """

    def __init__(self, max_connections: int, memory: MemoryBudget) -> None:
        self.max_connections, self.memory = max_connections, memory
        self.loop = asyncio.get_running_loop()
        self.mute: dict[Link, None] = {}
        self.resting: dict[Link, None] = {}
        self.open_set_ups: dict[Link, int] = {}  # all connections, with the number of their open set-ups
        self.set_up_bytes: dict[Link, int] = {}  # held by the open set-ups of the connection
        self.host_of: dict[Link, str] = {}
        self.hosts_with_calls: set[str] = set()  # calling hosts that have calls or pending releases
        self.hosts_with_predecessor_calls: set[str] = set()
        self.no_predecessor_calls = asyncio.Event()
        self.no_predecessor_calls.set()
        self.standing_calls: dict[Link, int] = {}  # number of standing calls set up on the connection
        self.draining = False
        self.ready: Callable[[], bool] = lambda: True  # result of callers' health checks
        self.predecessor: Callable[[Left], None] | None = None  # notifies the predecessor of its own calls
        self.successor: SendFrame | None = None  # sends to the successor, which accepts new connections

    @property
    def message_timeout(self) -> float:
        """The time in s within which a connection accepted now must complete each message."""
        return (
            RELAXED_MESSAGE_TIMEOUT
            if len(self.open_set_ups) < RELAXED_TIMEOUT_SHARE * self.max_connections
            else MESSAGE_TIMEOUT
        )

    def add(self, link: Link, host: str) -> None:
        """Add a new connection; if there are too many now, close one, possibly the new one."""
        self.set_up_bytes[link] = 0
        self.open_set_ups[link], self.standing_calls[link], self.host_of[link] = 0, 0, host
        self.mute[link] = None
        self.loop.call_later(MUTE_TIMEOUT, self._mute_timed_out, link)
        if self.draining:
            self.loop.call_later(MUTE_GRACE, self._close_if_drained, link)
        if len(self.open_set_ups) > self.max_connections:
            surplus = self._connection_to_close(link)
            self.remove(surplus)
            surplus.close(CloseReason.TOO_MANY)

    def set_has_calls(self, host: str, any_left: bool) -> None:
        """Set whether the host has calls or pending releases, for which it may wait on silent connections."""
        if any_left:
            self.hosts_with_calls.add(host)
        else:
            self.hosts_with_calls.discard(host)

    def set_has_predecessor_calls(self, host: str, any_left: bool) -> None:
        """Set whether the predecessor owns calls of the host, whose messages come through this process."""
        if any_left:
            self.hosts_with_predecessor_calls.add(host)
        else:
            self.hosts_with_predecessor_calls.discard(host)
        if self.hosts_with_predecessor_calls:
            self.no_predecessor_calls.clear()
        else:
            self.no_predecessor_calls.set()

    def _connection_to_close(self, newcomer: Link) -> Link:
        """Return the connection to close: of a host without calls if possible, mute before resting."""
        idle = [link for link in self._idle() if link is not newcomer]
        without_calls = (
            link for link in (*idle, newcomer) if self.host_of[link] not in self.hosts_with_calls
        )
        return next(without_calls, idle[0] if idle else newcomer)

    def _idle(self) -> list[Link]:
        """Return the connections without an open or standing call, in the order of closing."""
        links = (*self.mute, *self.resting)
        return [
            link for link in links if not self.open_set_ups.get(link) and not self.standing_calls.get(link)
        ]

    def close_idle(self, count: int) -> int:
        """Close up to ``count`` idle connections and return how many were closed.

        Mute connections come before resting ones, and those of hosts without calls before the others.
        Connections with an open set-up or a standing call are never closed.
        """
        idle = self._idle()
        idle.sort(key=lambda link: self.host_of[link] in self.hosts_with_calls)  # the sort is stable
        for link in idle[:count]:
            self.remove(link)
            link.close(CloseReason.TOO_MANY)
        return len(idle[:count])

    def remove(self, link: Link) -> None:
        """Forget a connection that is closed or is about to be."""
        self.open_set_ups.pop(link, None)
        self.set_up_bytes.pop(link, None)
        self.standing_calls.pop(link, None)
        self.host_of.pop(link, None)
        self.mute.pop(link, None)
        self.resting.pop(link, None)

    def open_account(self) -> MemoryAccount:
        """Return the memory account of a new connection."""
        return MemoryAccount(self.memory)

    def has_memory_for(self, link: Link, size: int) -> bool:
        """Return whether a set-up that holds ``size`` bytes may be opened, and count a refusal."""
        # What waits to be processed doesn't count: it holds the memory of its own turn only.
        held = self.set_up_bytes.get(link, 0)
        if held == 0 or not self.memory.short or held + size <= self.memory.share:
            return True
        self.memory.note_refusal(self.loop.time())
        return False

    def _change_set_up_bytes(self, link: Link, by: int) -> None:
        self.set_up_bytes[link] += by
        if link.memory is not None:
            link.memory.add(by)

    def set_up_opened(self, link: Link, size: int = 0) -> None:
        """Count a set-up that was opened on the connection and holds ``size`` bytes while it is open."""
        if link in self.open_set_ups:
            self.open_set_ups[link] += 1
            self._change_set_up_bytes(link, size)
            self.resting.pop(link, None)

    def set_up_ended(self, link: Link, answered: bool, size: int = 0) -> None:
        """Count a set-up that is no longer open; ``answered``: the caller got a final message for it."""
        if link in self.open_set_ups:
            self.open_set_ups[link] -= 1
            self._change_set_up_bytes(link, -size)
            if link.stalled:
                # Only after the final message, which is about to be written, may the connection close.
                self.loop.call_soon(self.close_if_stalled, link)
            if answered:
                self.mark_answered(link)
            elif self.open_set_ups[link] == 0 and link not in self.mute:
                self._mark_resting(link)

    def change_standing(self, link: Link, by: int) -> None:
        """Change the number of standing calls that were set up on the connection."""
        if link in self.standing_calls:
            self.standing_calls[link] += by
            if self.draining and self.standing_calls[link] == 0:
                self.loop.call_soon(self._close_if_drained, link)

    def mark_answered(self, link: Link) -> None:
        """Note that something on the connection was answered: it is no longer mute."""
        self.mute.pop(link, None)
        self.resting.pop(link, None)
        if self.open_set_ups.get(link) == 0:
            self._mark_resting(link)

    def _mark_resting(self, link: Link) -> None:
        self.resting[link] = None
        if self.draining:
            self.loop.call_soon(self._close_if_drained, link)

    def close_if_stalled(self, link: Link) -> None:
        """Close a connection with an incomplete message that took too long, unless a set-up on it is open.

        An open set-up's caller may only be answered on its connection, so the connection is kept until the
        last one has its final message. The wait is bounded by their deadlines: behind the incomplete message
        no further set-up can be read. The rest of the message may arrive meanwhile and ends the stall.
        """
        if not link.stalled or not link.alive or link.unprocessed or self.open_set_ups.get(link):
            return
        self.remove(link)
        link.close(CloseReason.STALLED)

    def set_draining(self, on: bool) -> None:
        """Start or end a drain, during which connections are closed as soon as they are idle."""
        self.draining = on
        if on:
            for link in self.open_set_ups:
                self.loop.call_soon(self._close_if_drained, link)

    def _close_if_drained(self, link: Link) -> None:
        """Close the connection if it is idle.

        One with an open set-up or a standing call is checked again when that ends, because the caller is
        notified on it. One with unprocessed input, or one that is too new to have sent anything, is checked
        again a little later.
        """
        if not self.draining or self.open_set_ups.get(link, 1) or self.standing_calls.get(link, 1):
            return
        grace_left = MUTE_GRACE - (self.loop.time() - link.opened_at) if link in self.mute else 0.0
        if grace_left > 0 or not link.at_rest:
            self.loop.call_later(max(grace_left, DRAIN_RECHECK), self._close_if_drained, link)
            return
        self.remove(link)
        link.close(CloseReason.DRAINED)

    def _mute_timed_out(self, link: Link) -> None:
        if link not in self.mute:
            return
        # Keep it if it waits for an answer or a release, or has begun a message, which has its own timeout.
        if (
            self.open_set_ups[link]
            or self.host_of[link] in self.hosts_with_calls
            or (link.partial_message and link.message_timeout > MUTE_TIMEOUT)
        ):
            self.loop.call_later(MUTE_RECHECK, self._mute_timed_out, link)
            return
        self.remove(link)
        link.close(CloseReason.MUTE)
