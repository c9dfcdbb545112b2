"""Test harness of the external processor: a ledger between models of the decision module and of a front."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import replace
from typing import Any

from martentide.attempt_messages import Ended, Stood
from martentide.extproc.ledger import (
    CallClosed,
    CancelTimer,
    Carry,
    Decided,
    Due,
    Effect,
    Event,
    Ledger,
    LifecycleSettings,
    ListChanged,
    ListedServer,
    NewCall,
    Send,
    SetTimer,
)
from martentide.extproc.limits import Admission, Limits
from martentide.extproc.messages import (
    Ask,
    Cancelled,
    Failed,
    Outcome,
    Refused,
    Release,
    Route,
    Standing,
    ToFront,
    Welcomed,
    Withdrawn,
)
from martentide.interface import CallClass, Ending, Repeat, ServerState
from tests.support import entry

CLASSES = {
    "plain": CallClass("plain", 1.0, 1500.0, 9000.0, 0.1, Repeat.HARMLESS, None),
    "urgent": CallClass("urgent", 6.0, 1000.0, 6000.0, 0.2, Repeat.HARMLESS, None),
}
FINALS = (Refused, Failed, Cancelled, Standing)
START = 1_000_000.0


def listed_server(
    name: str, state: ServerState = ServerState.OPEN, started: float | None = None
) -> ListedServer:
    """Return an entry of the server list; the place and port follow from the digits of the name."""
    return ListedServer(entry(name, int(name[1:]), state, started), f"127.0.0.1:{7000 + int(name[1:])}")


class LedgerHarness:
    """Feeds events to one ledger, runs its timers, and checks the invariants on every effect."""

    def __init__(self, settings: LifecycleSettings | None = None, limits: Limits | None = None) -> None:
        self.now = START
        self.admission = Admission(limits or Limits(), 6.0, 1)
        self.settings = settings or LifecycleSettings()
        self.ledger = Ledger("f", self.settings, CLASSES, self.admission, itertools.count(1))
        self.timers: dict[tuple[int, str], float] = {}
        self.sent: list[ToFront] = []
        self.effects: list[Effect] = []
        self.requests_by_key: dict[int, int] = {}  # number given by the front, by the ledger's key
        self.deadlines: dict[int, float] = {}  # caller's deadline by request
        self.finals: Counter[int] = Counter()
        self.routes: Counter[tuple[int, int]] = Counter()
        self.in_flight: dict[int, int] = {}  # attempt in flight at the front, by request
        self.owed_ends: dict[tuple[int, int], int] = {}  # 1 until the order has ended, by ref and attempt
        self.closed: set[int] = set()
        self.ended: dict[int, set[int]] = {}  # ended attempts by request
        self.release_over_at: dict[int, float] = {}  # end of the release wait by request
        self.feed(ListChanged((listed_server("s0"), listed_server("s1"))))

    def feed(self, event: Event) -> list[Effect]:
        """Deliver an event; return its effects after checking them."""
        if isinstance(event, Carry):
            self.owed_ends[event.ref, event.attempt] = 1
        effects = list(self.ledger.handle(self.now, event))
        self.effects += effects
        for effect in effects:
            self._check_effect(effect)
        return effects

    def _check_effect(self, effect: Effect) -> None:
        match effect:
            case SetTimer(key, kind, at):
                self.timers[key, kind] = at
            case CancelTimer(key, kind):
                self.timers.pop((key, kind), None)
            case NewCall(key=key):
                self.requests_by_key[key] = max(self.deadlines)
            case CallClosed(key):
                assert key not in self.closed, "closed twice"
                self.closed.add(key)
            case Ended(ref=ref, attempt=attempt):
                request = self.requests_by_key[ref]
                if effect.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED):
                    self.release_over_at[request] = self.now + self.settings.release_wait
                if effect.ending is not Ending.NOT_SENT:
                    self.ended.setdefault(request, set()).add(attempt)
                self.owed_ends[ref, attempt] -= 1
                assert self.owed_ends[ref, attempt] == 0, "two ends for one order"
            case Stood(ref=ref, attempt=attempt):
                assert self.owed_ends[ref, attempt] == 1, "stands, but had ended"
            case Send(message):
                self.sent.append(message)
                self._check_message(message)

    def _check_message(self, message: ToFront) -> None:
        if isinstance(message, Welcomed):
            open_requests = {open_request.request_id for open_request in self.ledger.requests.values()}
            assert {*message.routed, *message.standing} == open_requests, (
                "pending requests outlived their stream"
            )
            return
        request = message.request
        if isinstance(message, Route):
            assert request not in self.in_flight or self.in_flight[request] == message.attempt, (
                "two attempts in flight"
            )
            assert not self.finals[request], "a route after the final"
            assert message.attempt not in self.ended.get(request, set()), (
                "a route of an attempt that has ended"
            )
            release_over_at = self.release_over_at.get(request, 0.0)
            assert self.now >= release_over_at, "a route before the release wait is over"
            assert self.now + message.patience <= self.deadlines[request], (
                "an attempt beyond the caller's deadline"
            )
            state = self.ledger.servers[message.server].entry.state
            assert state is ServerState.OPEN, "a route to a server that drains"
            assert 0 <= message.valid_for <= self.settings.valid_for and message.patience > 0
            self.in_flight[request] = message.attempt
            self.routes[request, message.attempt] += 1
        elif isinstance(message, Withdrawn):
            if not message.if_unused and self.in_flight.get(request) == message.attempt:
                del self.in_flight[request]
        elif not isinstance(message, Release):
            self.finals[request] += 1
            assert self.finals[request] == 1, "two finals"
            assert self.now <= self.deadlines[request], "a final after the caller's deadline"
            if not isinstance(message, Standing):
                assert request not in self.in_flight, "a final while an attempt is in flight"

    def ask(
        self, request: int, left: float | None = 3000.0, name: str = "plain", **more: Any
    ) -> list[Effect]:
        """Deliver a front's question about a request; ``left`` is the time left in ms."""
        kind = CLASSES.get(name)
        time_left = left if left is not None and 0 <= left <= 600_000 else (kind.deadline if kind else 0.0)
        self.deadlines[request] = self.now + max(0.0, time_left)
        return self.feed(replace(Ask(request, name, "n", left, 0, self.now), **more))

    def key(self, request: int) -> int:
        """Return the ledger's key of a front's request."""
        return next(key for key, number in self.requests_by_key.items() if number == request)

    def carry(
        self, request: int, attempt: int = 0, server: str = "s0", patience: float = 800.0
    ) -> list[Effect]:
        """Deliver the decision module's order of an attempt."""
        key = self.key(request)
        return self.feed(Carry(key, key, attempt, server, patience))

    def outcome(self, request: int, ending: Ending | None, attempt: int = 0, **more: Any) -> list[Effect]:
        """Deliver the front's report on an attempt; ``ending`` is None if the call stands."""
        if self.in_flight.get(request) == attempt:
            del self.in_flight[request]
        return self.feed(Outcome(request, attempt, ending, 12.0, **more))

    def decide(self, request: int, hold_off: float | None) -> list[Effect]:
        """Deliver the decision module's final: a refusal, or a failure if ``hold_off`` is None."""
        return self.feed(Decided(self.key(request), hold_off))

    def advance(self, span: float) -> None:
        """Advance the clock by ``span`` ms and run the timers due meanwhile."""
        end = self.now + span
        while self.timers and min(self.timers.values()) <= end:
            (key, kind), at = min(self.timers.items(), key=lambda item: (item[1], item[0]))
            del self.timers[key, kind]
            self.now = max(self.now, at)
            self.feed(Due(key, kind))
        self.now = end

    def assert_settled(self) -> None:
        """Check that nothing is open: every order has its end and all counts are zero."""
        assert not self.ledger.requests and not self.ledger.by_request_id and not self.timers
        assert not any(self.owed_ends.values()), "an order without its end"
        assert self.admission.pending == self.admission.open == 0
        front = self.admission.fronts.get("f")
        assert front is None or front.pending == front.open == 0


def kinds(effects: list[Effect]) -> list[str]:
    """Return the type name of each effect, for ``Send`` that of the message; timer effects are left out."""
    shown = [effect for effect in effects if not isinstance(effect, SetTimer | CancelTimer)]
    return [type(e.message if isinstance(e, Send) else e).__name__ for e in shown]
