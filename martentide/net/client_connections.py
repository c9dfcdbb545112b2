"""The descriptors set aside for callers: which connections are let in, kept, and closed first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from martentide.handover.wire import Left, MovedCalls, MovedLink, Said
from martentide.net.close_reason import CloseReason
from martentide.net.links import Link

PROBATION = 2.0  # s in which a new connection must have brought something that can be answered
PROBATION_RECHECK = 0.25  # s until the next look while it waits for an answer or a release
MESSAGE_TIMEOUT = 1.5  # s in which a message begun by a caller must be whole
RELAXED_MESSAGE_TIMEOUT = (
    2.6  # s instead, on a connection that came while there was room: some need 2 s to write one
)
# Of the client connections' descriptors in use, above which there is none: half messages must not hold the
# rest.
RELAXED_TIMEOUT_SHARE = 0.75
MUTE_GRACE = 1.0  # s in which a new connection may bring its first byte before a drain closes it
DRAIN_RECHECK = 0.02  # s until the next look at a link that is to be closed and is not at rest

SendFrame = Callable[[MovedLink | MovedCalls | Said | Left, int | None], None]  # a frame with its descriptor


class ClientConnections:
    """The descriptors set aside for callers, and who gives one up when they run short.

    A link is mute until something on it was answered, busy while a set-up on it is open, and rests otherwise.
    Guards against floods of connections that say nothing: usual callers, who do, must still get in. Mute ones
    are closed after PROBATION, and before, the oldest first, when room is needed; then the longest at rest.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.loop = asyncio.get_running_loop()
        self.mute: dict[Link, None] = {}
        self.resting: dict[Link, None] = {}
        self.open: dict[Link, int] = {}  # set-ups that are open, by link
        self.host_of: dict[Link, str] = {}
        self.hosts_with_calls: set[str] = set()  # parties that have calls
        self.standing_calls: dict[Link, int] = {}  # calls that stand and came on the link
        self.draining = False
        self.ready: Callable[[], bool] = lambda: True  # what a test of the front is told
        self.predecessor: Callable[[Left], None] | None = None  # hears of calls that are its own
        self.successor: SendFrame | None = None  # has the callers' new connections

    @property
    def message_timeout(self) -> float:
        """The time that a connection which comes now has for a message."""
        return (
            RELAXED_MESSAGE_TIMEOUT
            if len(self.open) < RELAXED_TIMEOUT_SHARE * self.max_connections
            else MESSAGE_TIMEOUT
        )

    def add(self, link: Link, host: str) -> None:
        self.open[link], self.standing_calls[link], self.host_of[link] = 0, 0, host
        self.mute[link] = None
        self.loop.call_later(PROBATION, self._probation_over, link)
        if self.draining:
            self.loop.call_later(MUTE_GRACE, self._close_if_drained, link)
        if len(self.open) > self.max_connections:
            last = self._connection_to_close(link)
            self.remove(last)
            last.close(CloseReason.TOO_MANY)

    def set_has_calls(self, host: str, any_left: bool) -> None:
        """Whether the party has calls, or releases to hear: it may wait for them on quiet links."""
        if any_left:
            self.hosts_with_calls.add(host)
        else:
            self.hosts_with_calls.discard(host)

    def _connection_to_close(self, newcomer: Link) -> Link:
        """The link to be closed: of a party without calls if there is one, mute before resting."""
        idle = [one for one in self._idle() if one is not newcomer]
        free = (one for one in (*idle, newcomer) if self.host_of[one] not in self.hosts_with_calls)
        return next(free, idle[0] if idle else newcomer)

    def _idle(self) -> list[Link]:
        """Links without a call, open or standing, the cheapest to lose first: mute before resting."""
        links = (*self.mute, *self.resting)
        return [one for one in links if not self.open.get(one) and not self.standing_calls.get(one)]

    def close_idle(self, count: int) -> int:
        """Close up to so many links at once, mute before resting; none with an open set-up, and none of a
        party that has calls while there are others."""
        idle = self._idle()
        idle.sort(key=lambda one: self.host_of[one] in self.hosts_with_calls)  # keeps the order otherwise
        for link in idle[:count]:
            self.remove(link)
            link.close(CloseReason.TOO_MANY)
        return len(idle[:count])

    def remove(self, link: Link) -> None:
        self.open.pop(link, None)
        self.standing_calls.pop(link, None)
        self.host_of.pop(link, None)
        self.mute.pop(link, None)
        self.resting.pop(link, None)

    def set_up_opened(self, link: Link) -> None:
        """A set-up is open on the link."""
        if link in self.open:
            self.open[link] += 1
            self.resting.pop(link, None)

    def set_up_ended(self, link: Link, answered: bool) -> None:
        """A set-up on the link is open no more; ``answered``: it was told so."""
        if link in self.open:
            self.open[link] -= 1
            if answered:
                self.mark_answered(link)
            elif self.open[link] == 0 and link not in self.mute:
                self._mark_resting(link)

    def change_standing(self, link: Link, by: int) -> None:
        """One call more (or fewer) stands that came on the link."""
        if link in self.standing_calls:
            self.standing_calls[link] += by
            if self.draining and self.standing_calls[link] == 0:
                self.loop.call_soon(self._close_if_drained, link)

    def mark_answered(self, link: Link) -> None:
        """Something on the link was answered."""
        self.mute.pop(link, None)
        self.resting.pop(link, None)
        if self.open.get(link) == 0:
            self._mark_resting(link)

    def _mark_resting(self, link: Link) -> None:
        self.resting[link] = None
        if self.draining:
            self.loop.call_soon(self._close_if_drained, link)

    def leave(self, on: bool) -> None:
        """Close links as they come to rest, from now on (or keep them again): a drain."""
        self.draining = on
        if on:
            for link in self.open:
                self.loop.call_soon(self._close_if_drained, link)

    def _close_if_drained(self, link: Link) -> None:
        """Close the link if it is at rest. One that carries a set-up or a call that stands is looked at when
        that ends, since its caller hears of it there; one on which something has begun, or that is too young
        to have brought anything, a little later."""
        if not self.draining or self.open.get(link, 1) or self.standing_calls.get(link, 1):
            return
        young = MUTE_GRACE - (self.loop.time() - link.opened_at) if link in self.mute else 0.0
        if young > 0 or not link.at_rest:
            self.loop.call_later(max(young, DRAIN_RECHECK), self._close_if_drained, link)
            return
        self.remove(link)
        link.close(CloseReason.DRAINED)

    def _probation_over(self, link: Link) -> None:
        if link not in self.mute:
            return
        # It waits for an answer or a release, or has begun a message, which has a limit of its own.
        if (
            self.open[link]
            or self.host_of[link] in self.hosts_with_calls
            or (link.partial_message and link.message_timeout > PROBATION)
        ):
            self.loop.call_later(PROBATION_RECHECK, self._probation_over, link)
            return
        self.remove(link)
        link.close(CloseReason.MUTE)
