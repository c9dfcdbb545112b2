"""State of a front's own requests: the client side of ``martentide.decisions.v1``, without I/O.

It delivers each route and each final verdict once, even if messages are repeated or cross on the wire,
answers messages for requests that are already closed, and decides after a broken stream what is lost and what
is asked again.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from martentide.extproc.messages import (
    Ask,
    Cancel,
    Cancelled,
    Failed,
    FromFront,
    Outcome,
    Over,
    Refused,
    Release,
    Route,
    Standing,
    ToFront,
    Welcomed,
    Why,
    Withdrawn,
)
from martentide.interface import Ending

NOT_EXECUTED_ENDINGS = (Ending.FULL, Ending.UNREACHABLE, Ending.NOT_SENT)


class Phase(Enum):
    """Phase of an open request."""

    ASKED = "asked"  # no verdict yet
    ROUTED = "routed"  # an attempt may be in flight
    REPORTED = "reported"  # its outcome is reported, the next verdict is pending
    STANDS = "stands"


@dataclass(slots=True)
class OpenRequest:
    """One open request of this front."""

    ask: Ask
    phase: Phase = Phase.ASKED
    attempt: int = -1
    begun: bool = False
    outcome: Outcome | None = None
    report: str = ""
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Delivery:
    """A route, final verdict, withdrawal or release to deliver to the front's code, once each."""

    request: int
    message: ToFront


@dataclass(frozen=True, slots=True)
class Renumbered:
    """A question lost with its stream is asked again under a new number."""

    old_request: int
    new_request: int


Result = Delivery | Renumbered


class RequestTable:
    """All requests of one front. ``to_send`` collects the messages to write, in order."""

    def __init__(self) -> None:
        self.open_requests: dict[int, OpenRequest] = {}
        self.last_request = 0
        self.to_send: list[tuple[FromFront, str]] = []  # with the server's report, unparsed
        self.counts: Counter[str] = Counter()
        self.connected = False

    # ---- the front's own code -----------------------------------------------------------------------------

    def ask(
        self, call_class: str, number: str | None, time_left: float | None, first_choice: int, now: float
    ) -> int:
        """Open a request and return its number; ``time_left`` and ``now`` in ms."""
        self.last_request += 1
        ask = Ask(self.last_request, call_class, number, time_left, first_choice, now)
        self.open_requests[self.last_request] = OpenRequest(ask)
        if self.connected:
            self.to_send.append((ask, ""))
        return self.last_request

    def begin(self, request: int) -> bool:
        """Mark the attempt as begun, before its first byte is sent; False if it must no longer be sent."""
        entry = self.open_requests.get(request)
        if entry is None or entry.phase is not Phase.ROUTED:
            return False
        entry.begun = True
        return True

    def report(
        self,
        request: int,
        ending: Ending | None,
        lag: float,
        lines_full: bool = False,
        report: str = "",
    ) -> Outcome | None:
        """Report the outcome of the attempt; None if there is nothing left to report."""
        entry = self.open_requests.get(request)
        if entry is None or entry.phase is not Phase.ROUTED:
            return None
        outcome = entry.outcome = Outcome(request, entry.attempt, ending, lag, lines_full)
        entry.phase, entry.report = Phase.REPORTED, report
        entry.may_have_run = entry.may_have_run or ending not in NOT_EXECUTED_ENDINGS
        if self.connected:
            self.to_send.append((outcome, report))
        return outcome

    def cancel(self, request: int) -> None:
        """Close a request whose caller has left."""
        if self.open_requests.pop(request, None) is not None and self.connected:
            self.to_send.append((Cancel(request), ""))

    def over(self, request: int, cut: bool, report: str = "") -> None:
        """Report the end of a standing call."""
        entry = self.open_requests.get(request)
        if entry is not None and entry.phase is Phase.STANDS:
            del self.open_requests[request]
            if self.connected:
                self.to_send.append((Over(request, cut), report))

    # ---- the proxy ----------------------------------------------------------------------------------------

    def handle(self, message: ToFront, now: float) -> list[Result]:
        """Process a message of the proxy; ``now`` in ms."""
        if isinstance(message, Welcomed):
            return self._welcomed(message, now)
        request = message.request
        entry = self.open_requests.get(request)
        if entry is None:
            self._on_unknown_request(message)
            return []
        match message:
            case Route():
                return self._route(entry, message)
            case Withdrawn():
                return self._withdrawn(entry, message)
            case Standing():
                if entry.phase is not Phase.REPORTED:
                    self.counts["doubled"] += 1
                    return []
                entry.phase = Phase.STANDS
            case Refused() | Failed() | Cancelled():
                if entry.phase is Phase.STANDS:
                    self.counts["doubled"] += 1
                    return []
                del self.open_requests[request]
            case Release():
                del self.open_requests[request]
        return [Delivery(request, message)]

    def _route(self, entry: OpenRequest, route: Route) -> list[Result]:
        if route.attempt == entry.attempt:
            if entry.phase is Phase.REPORTED and entry.outcome is not None:
                self.to_send.append((entry.outcome, entry.report))  # it was lost with the last stream
            self.counts["repeated_routes"] += 1
            return []
        if entry.phase in (Phase.ROUTED, Phase.STANDS):
            # Enforces one attempt at a time even if the proxy routes a second one.
            self.counts["two_out"] += 1
            return []
        entry.phase, entry.attempt, entry.begun, entry.outcome = Phase.ROUTED, route.attempt, False, None
        return [Delivery(route.request, route)]

    def _withdrawn(self, entry: OpenRequest, withdrawn: Withdrawn) -> list[Result]:
        if withdrawn.attempt != entry.attempt:
            return []
        if withdrawn.if_unused:
            if entry.phase is Phase.ROUTED and not entry.begun:
                self.report(withdrawn.request, Ending.NOT_SENT, 0.0)
                return [Delivery(withdrawn.request, withdrawn)]
            return []
        if entry.phase in (Phase.ROUTED, Phase.REPORTED):
            entry.phase, entry.outcome = Phase.REPORTED, None
            entry.may_have_run = True
            return [Delivery(withdrawn.request, withdrawn)]
        if entry.phase is Phase.STANDS:
            del self.open_requests[withdrawn.request]
            return [Delivery(withdrawn.request, Release(withdrawn.request, withdrawn.why))]
        return []

    def _on_unknown_request(self, message: ToFront) -> None:
        """Handle a message for a request that was cancelled or has its final verdict."""
        if isinstance(message, Route):
            unused = Outcome(message.request, message.attempt, Ending.NOT_SENT, 0.0)
            self.to_send.append((unused, ""))
        elif not isinstance(message, Cancelled | Withdrawn):
            self.counts["unwanted"] += 1

    # ---- broken streams -----------------------------------------------------------------------------------

    def stream_ended(self) -> None:
        """Discard unsent messages; nothing is sent until the next welcome."""
        self.connected = False
        self.to_send.clear()

    def _welcomed(self, welcome: Welcomed, now: float) -> list[Result]:
        """Resume the requests the proxy still has, ask again those without a verdict, and settle the rest."""
        self.connected = True
        standing, results = set(welcome.standing), list[Result]()
        known_to_proxy = standing.union(welcome.routed)
        for request in known_to_proxy - self.open_requests.keys():
            self.to_send.append((Cancel(request), ""))
        for request, entry in list(self.open_requests.items()):
            if request in known_to_proxy:
                if entry.phase is Phase.REPORTED and request in standing:
                    entry.phase = Phase.STANDS  # its final was lost with the last stream
                    results.append(Delivery(request, Standing(request)))
                continue
            if entry.phase is Phase.STANDS or (entry.outcome is not None and entry.outcome.ending is None):
                # The call stands between caller and server; only the proxy's count of it is lost.
                del self.open_requests[request]
                if entry.phase is not Phase.STANDS:
                    results.append(Delivery(request, Standing(request)))
                self.counts["uncounted"] += 1
                continue
            del self.open_requests[request]
            if entry.phase is Phase.ASKED:
                time_left = entry.ask.time_left
                time_left = None if time_left is None else time_left - (now - entry.ask.at)
                if time_left is None or time_left > 0:
                    ask = entry.ask
                    new_request = self.ask(ask.call_class, ask.number, time_left, ask.first_choice, now)
                    results.append(Renumbered(request, new_request))
                else:
                    results.append(Delivery(request, Refused(request, 0.0, Why.DEADLINE)))
            elif entry.phase is Phase.ROUTED and entry.begun:
                results.append(Delivery(request, Withdrawn(request, entry.attempt, False, Why.LATE)))
                results.append(Delivery(request, Failed(request, Why.LATE)))
            elif entry.may_have_run:
                results.append(Delivery(request, Failed(request, Why.LATE)))
            else:
                results.append(Delivery(request, Refused(request, 0.0, Why.LATE)))
        return results
