"""Test helpers for the decisions: settings, and a driver that feeds events to one Controller."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from martentide.interface import (
    Action,
    AttemptEnded,
    CallClass,
    Ending,
    Event,
    Fail,
    ListKind,
    Refuse,
    Repeat,
    Report,
    ReportBy,
    SendSetUp,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    SetUpOffered,
    Stands,
    TimerDue,
)
from martentide.rules import Controller

SETTINGS = Settings(
    proxies=6,
    own_slot=0,
    own_place=-1,
    classes=(
        CallClass("plain", 1.0, 2000.0, 9000.0, 0.2, Repeat.HARMLESS, None),
        CallClass("urgent", 4.0, 1500.0, 9000.0, 0.2, Repeat.HARMLESS, None),
    ),
    tenants=(),
    over_share_worth=1.0,
    report_by=ReportBy.ANSWERS,
    lists_pushed=True,
    may_probe=False,
    may_tell_peers=False,
    may_cancel=True,
    max_attempts=4,
    max_hold_off=2000.0,
    release=300.0,
    repeat_interval=500.0,
    answer_slack=20.0,
    cold_share=0.3,
    cold_time=12000.0,
    fall_multiple=2.5,
    fall_time=2000.0,
)


def entry(
    name: str, place: int, state: ServerState = ServerState.OPEN, started: float | None = None
) -> ServerEntry:
    """Return an entry of the server list; ``started`` in ms of the driver's clock."""
    return ServerEntry(name, place, "z", state, started, 1.0)


@dataclass
class ControllerDriver:
    """Feeds events to one Controller and records its actions."""

    settings: Settings = SETTINGS
    servers: int = 2
    now: float = 100_000.0
    seed: int = 7
    actions: list[tuple[float, Action]] = field(default_factory=list)
    ref: int = 0
    timers: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.controller = Controller(self.settings, self.seed)
        self.feed(ServerList(ListKind.REMEMBERED, tuple(entry(f"s{at}", at) for at in range(self.servers))))

    def feed(self, event: Event) -> list[Action]:
        """Deliver one event; return the actions and record them with their time and their timers."""
        actions = self.controller.handle(self.now, event)
        self.actions += [(self.now, action) for action in actions]
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, SetTimer)]
        return actions

    def advance(self, span: float) -> list[Action]:
        """Advance the clock by ``span`` ms and fire the timers due meanwhile; return the actions."""
        actions: list[Action] = []
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.feed(TimerDue(due[1]))
        self.now = max(self.now, end)
        return actions

    def offer(self, first: int = 0, name: str = "plain", left: float = 3000.0, **more: Any) -> list[Action]:
        """Offer a new call of class ``name`` with ``left`` ms; ``first``: place of its first choice."""
        self.ref += 1
        event = SetUpOffered(self.ref, name, None, None, left, first, False, False)
        return self.feed(replace(event, **more))

    def stand(self, send: SendSetUp, delay: float = 60.0, attempt: int = 0) -> list[Action]:
        """Report that the call stands, answered ``delay`` ms after its set-up was sent."""
        return self.feed(Stands(send.ref, attempt, send.server, delay))

    def end_attempt(
        self,
        ref: int,
        server: str,
        ending: Ending,
        attempt: int = 0,
        report: Report | None = None,
        settled: bool = False,
    ) -> list[Action]:
        """Report the end of an attempt."""
        return self.feed(AttemptEnded(ref, attempt, server, ending, settled, False, 60.0, report))

    def report_hold_back(self, server: str, share: float) -> list[Action]:
        """Deliver a report, from the end of an older call, that requests ``share`` to be held back."""
        report = Report(50.0, share, None)
        return self.end_attempt(999_999, server, Ending.DELIVERED, report=report, settled=True)


def sends(actions: list[Action]) -> list[SendSetUp]:
    """Return the set-ups among the actions."""
    return [action for action in actions if isinstance(action, SendSetUp)]


def finals(actions: list[Action]) -> list[Refuse | Fail]:
    """Return the negative final answers among the actions."""
    return [action for action in actions if isinstance(action, Refuse | Fail)]
