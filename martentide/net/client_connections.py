"""The descriptors set aside for callers: which connections are let in, kept, and closed first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from martentide.handover.wire import Left, MovedCalls, MovedLink, Said
from martentide.net.close_reason import CloseReason
from martentide.net.links import Link

PROBATION = 2.0  # s in which a new connection must have brought something that can be answered
PROBATION_AGAIN = 0.25  # s until the next look while it waits for an answer or a release
STALL = 1.5  # s in which a message begun by a caller must be whole
SLOW_STALL = 2.6  # s instead, on a connection that came while there was room: some need 2 s to write one
# Of the client connections' descriptors in use, above which there is none: half messages must not hold the
# rest.
ROOM = 0.75
MUTE_GRACE = 1.0  # s in which a new connection may bring its first byte before a drain closes it
REST_AGAIN = 0.02  # s until the next look at a link that is to be closed and is not at rest

Send = Callable[[MovedLink | MovedCalls | Said | Left, int | None], None]  # a frame with its descriptor


class ClientConnections:
    """The descriptors set aside for callers, and who gives one up when they run short.

    A link is mute until something on it was answered, busy while a set-up on it is open, and rests otherwise.
    Guards against floods of connections that say nothing: usual callers, who do, must still get in. Mute ones
    are closed after PROBATION, and before, the oldest first, when room is needed; then the longest at rest.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.loop = asyncio.get_running_loop()
        self.mute: dict[Link, None] = {}
        self.resting: dict[Link, None] = {}
        self.open: dict[Link, int] = {}  # set-ups that are open, by link
        self.host: dict[Link, str] = {}
        self.calling: set[str] = set()  # parties that have calls
        self.standing: dict[Link, int] = {}  # calls that stand and came on the link
        self.leaving = False
        self.ready: Callable[[], bool] = lambda: True  # what a test of the front is told
        self.predecessor: Callable[[Left], None] | None = None  # hears of calls that are its own
        self.successor: Send | None = None  # has the callers' new connections

    @property
    def stall(self) -> float:
        """The time that a connection which comes now has for a message."""
        return SLOW_STALL if len(self.open) < ROOM * self.most else STALL

    def arrived(self, link: Link, host: str) -> None:
        self.open[link], self.standing[link], self.host[link] = 0, 0, host
        self.mute[link] = None
        self.loop.call_later(PROBATION, self._probation_over, link)
        if self.leaving:
            self.loop.call_later(MUTE_GRACE, self._leave, link)
        if len(self.open) > self.most:
            last = self._dearest(link)
            self.left(last)
            last.close(CloseReason.TOO_MANY)

    def calls(self, host: str, any_left: bool) -> None:
        """Whether the party has calls, or releases to hear: it may wait for them on quiet links."""
        if any_left:
            self.calling.add(host)
        else:
            self.calling.discard(host)

    def _dearest(self, newcomer: Link) -> Link:
        """The link to be closed: of a party without calls if there is one, mute before resting."""
        idle = [one for one in self._idle() if one is not newcomer]
        free = (one for one in (*idle, newcomer) if self.host[one] not in self.calling)
        return next(free, idle[0] if idle else newcomer)

    def _idle(self) -> list[Link]:
        """Links without a call, open or standing, the cheapest to lose first: mute before resting."""
        links = (*self.mute, *self.resting)
        return [one for one in links if not self.open.get(one) and not self.standing.get(one)]

    def free(self, count: int) -> int:
        """Close up to so many links at once, mute before resting; none with an open set-up, and none of a
        party that has calls while there are others."""
        idle = self._idle()
        idle.sort(key=lambda one: self.host[one] in self.calling)  # keeps the order otherwise
        for link in idle[:count]:
            self.left(link)
            link.close(CloseReason.TOO_MANY)
        return len(idle[:count])

    def left(self, link: Link) -> None:
        self.open.pop(link, None)
        self.standing.pop(link, None)
        self.host.pop(link, None)
        self.mute.pop(link, None)
        self.resting.pop(link, None)

    def opened(self, link: Link) -> None:
        """A set-up is open on the link."""
        if link in self.open:
            self.open[link] += 1
            self.resting.pop(link, None)

    def ended(self, link: Link, answered: bool) -> None:
        """A set-up on the link is open no more; ``answered``: it was told so."""
        if link in self.open:
            self.open[link] -= 1
            if answered:
                self.of_use(link)
            elif self.open[link] == 0 and link not in self.mute:
                self._rests(link)

    def stands(self, link: Link, by: int) -> None:
        """One call more (or fewer) stands that came on the link."""
        if link in self.standing:
            self.standing[link] += by
            if self.leaving and self.standing[link] == 0:
                self.loop.call_soon(self._leave, link)

    def of_use(self, link: Link) -> None:
        """Something on the link was answered."""
        self.mute.pop(link, None)
        self.resting.pop(link, None)
        if self.open.get(link) == 0:
            self._rests(link)

    def _rests(self, link: Link) -> None:
        self.resting[link] = None
        if self.leaving:
            self.loop.call_soon(self._leave, link)

    def leave(self, on: bool) -> None:
        """Close links as they come to rest, from now on (or keep them again): a drain."""
        self.leaving = on
        if on:
            for link in self.open:
                self.loop.call_soon(self._leave, link)

    def _leave(self, link: Link) -> None:
        """Close the link if it is at rest. One that carries a set-up or a call that stands is looked at when
        that ends, since its caller hears of it there; one on which something has begun, or that is too young
        to have brought anything, a little later."""
        if not self.leaving or self.open.get(link, 1) or self.standing.get(link, 1):
            return
        young = MUTE_GRACE - (self.loop.time() - link.opened_at) if link in self.mute else 0.0
        if young > 0 or not link.at_rest:
            self.loop.call_later(max(young, REST_AGAIN), self._leave, link)
            return
        self.left(link)
        link.close(CloseReason.DRAINED)

    def _probation_over(self, link: Link) -> None:
        if link not in self.mute:
            return
        # It waits for an answer or a release, or has begun a message, which has a limit of its own.
        if self.open[link] or self.host[link] in self.calling or (link.begun and link.stall > PROBATION):
            self.loop.call_later(PROBATION_AGAIN, self._probation_over, link)
            return
        self.left(link)
        link.close(CloseReason.MUTE)
