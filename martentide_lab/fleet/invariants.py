"""What must hold in a fleet, read from the log of what was done to processes and what *others* saw of them.

    found-dead     a process that is killed, or left, is known as such to every other within
                   ``Bounds.detection``
    not-accused    a process that runs, and that an observer can reach, is not taken for dead by it
    not-raised     one that was killed is not alive again without having been started
    one-fleet      ``Bounds.healing`` after the last fault all that run know each other, and nobody else
    one-name       of two processes under one name at most one speaks

A process is *disturbed* while it is stopped or cut off, and for a while after: nothing is asked of it then.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from martentide.fleet.wire import State
from martentide_lab.fleet.scenario import Event, split_names
from martentide_lab.servers import SessionServer


@dataclass(frozen=True, slots=True)
class Bounds:
    """ms"""

    detection: float = 8_000.0
    settling: float = 6_000.0  # without a disturbance, after which two are owed the truth of each other
    healing: float = 8_000.0
    suspension: float = 700.0  # a shorter stop must not be taken for a death
    loss: float = 0.25  # share of datagrams lost, beyond which a false accusation is no fault
    delay: float = 40.0  # ms one way on all links, beyond which probes come too late


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    at: float
    observer: str
    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.at / 1000:.3f} s: {self.observer} about {self.subject}: {self.text}"


@dataclass(slots=True)
class Process:
    process_id: int
    since: float
    stopped: float | None = None
    disturbed: float = -1e9  # the last time it was
    ended: float | None = None
    left: bool = False


@dataclass
class FleetChecker:
    """Fed the log in order; ``finish`` gives what was broken."""

    names: Sequence[str]
    bounds: Bounds = field(default_factory=Bounds)

    def __post_init__(self) -> None:
        self.processes: dict[str, Process] = {}
        self.views: dict[str, dict[str, tuple[int, int]]] = {name: {} for name in self.names}
        self.cut: dict[tuple[str, str], bool] = {}
        self.cut_until: dict[tuple[str, str], float] = {}
        self.loss = self.delay = 0.0
        self.loss_until = -1e9
        self.last_fault = 0.0
        self.owed: list[tuple[float, str, str, int, float]] = []  # due, observer, about, process id, since
        self.ended: dict[int, float] = {}  # by process id: end of the process
        self.violations: list[Violation] = []

    def check(self, log: Iterable[Event], end: float) -> list[Violation]:
        for event in sorted(log, key=lambda event: event.at):
            self.handle_event(event)
        return self.finish(end)

    # ---- the log ----------------------------------------------------------------------------------------

    def handle_event(self, event: Event) -> None:
        self._pay(event.at)
        match event.kind:
            case "started":
                self.processes[event.subject] = Process(event.fields["life"], event.at)
                self.views[event.subject] = {}
                self.last_fault = event.at
            case "killed" | "left":
                self._ended(event)
            case "stopped" | "starved":
                if (one := self.processes.get(event.subject)) is not None:
                    one.stopped = event.at
                    self.last_fault = event.at
            case "continued" | "fed":
                self._continued(event)
            case "fault":
                self._fault(event)
            case "member":
                self._seen(event)
            case "displaced":
                if (one := self.processes.get(event.observer)) is not None:
                    one.disturbed = float("inf")  # it has no say any more

    def _ended(self, event: Event) -> None:
        one = self.processes.get(event.subject)
        if one is None or one.ended is not None:
            return
        one.ended, one.left = event.at, event.kind == "left"
        self.ended[one.process_id] = event.at
        self.last_fault = event.at
        for name in self.names:
            held = self.views[name].get(event.subject)
            if name != event.subject and self._runs(name) and held is not None and held[1] < State.DEAD:
                due = event.at + self.bounds.detection
                if held[0] == one.process_id:
                    self.owed.append((due, name, event.subject, one.process_id, event.at))

    def _continued(self, event: Event) -> None:
        one = self.processes.get(event.subject)
        if one is not None and one.stopped is not None:
            if event.at - one.stopped > self.bounds.suspension:
                one.disturbed = event.at
                self.last_fault = event.at
            one.stopped = None

    def _fault(self, event: Event) -> None:
        arguments: Sequence[Any] = event.fields.get("arguments", ())
        self.last_fault = event.at
        match event.subject:
            case "split" | "cut":
                here, there = (split_names(text) for text in arguments)
                pairs = {(a, b) for a in here for b in there}
                if event.subject == "split":
                    pairs |= {(b, a) for a, b in pairs}
                for pair in pairs:
                    self.cut[pair] = True
            case "heal":
                for pair in self.cut:
                    self.cut_until[pair] = event.at
                self.cut.clear()
            case "loss":
                if self.loss > self.bounds.loss:
                    self.loss_until = event.at
                self.loss = arguments[0]
            case "delay":
                if self.delay > self.bounds.delay:
                    self.loss_until = event.at
                self.delay = arguments[0]

    def _runs(self, name: str) -> bool:
        one = self.processes.get(name)
        return one is not None and one.ended is None

    def _calm(self, name: str, at: float) -> bool:
        """Whether the process runs and has been undisturbed for long enough."""
        one = self.processes.get(name)
        if one is None or one.ended is not None:
            return False
        if one.stopped is not None and at - one.stopped > self.bounds.suspension:
            return False
        return at - one.disturbed > self.bounds.settling and at - one.since > 0

    def _reach(self, a: str, b: str, at: float) -> bool:
        """Whether both have heard each other all the time, by whatever way: no link at either is cut."""
        cut_now = any(a in pair or b in pair for pair in self.cut)
        lately = any(
            at - until <= self.bounds.settling for pair, until in self.cut_until.items() if {a, b} & set(pair)
        )
        lossy = (
            self.loss > self.bounds.loss
            or self.delay > self.bounds.delay
            or at - self.loss_until <= self.bounds.settling
        )
        return not (cut_now or lately or lossy)

    def _seen(self, event: Event) -> None:
        who, about, state, process_id = (
            event.observer,
            event.subject,
            event.fields["state"],
            event.fields["life"],
        )
        old = self.views[who].get(about)
        self.views[who][about] = (process_id, state)
        one = self.processes.get(about)
        runs = one is not None and one.process_id == process_id and one.ended is None
        if state == State.DEAD and runs:
            calm = self._calm(who, event.at) and self._calm(about, event.at)
            if calm and self._reach(who, about, event.at):
                self._break("not-accused", event, event.fields.get("evidence", ""))
        ended = self.ended.get(process_id)
        late = ended is not None and event.at - ended > self.bounds.detection
        if (
            late
            and state < State.DEAD
            and (old is None or old[1] >= State.DEAD)
            and self._calm(who, event.at)
        ):
            self._break("not-raised", event, f"it ended {event.at - (ended or 0.0):.0f} ms before")

    def _break(self, rule: str, event: Event, text: str) -> None:
        self.violations.append(Violation(rule, event.at, event.observer, event.subject, text))

    # ---- what is owed ------------------------------------------------------------------------------------

    def _pay(self, now: float) -> None:
        while self.owed and self.owed[0][0] <= now:
            due, name, about, process_id, since = self.owed.pop(0)
            observer = self.processes.get(name)
            if observer is None or observer.ended is not None or observer.since > since:
                continue
            if observer.stopped is not None or observer.disturbed > since - self.bounds.settling:
                continue
            held = self.views[name].get(about)
            if held is not None and held[0] == process_id and held[1] < State.DEAD:
                text = f"ended at {since / 1000:.3f} s and still held for alive"
                self.violations.append(Violation("found-dead", due, name, about, text))

    def finish(self, end: float) -> list[Violation]:
        self._pay(end)
        if (
            end - self.last_fault < self.bounds.healing
            or self.cut
            or self.loss > self.bounds.loss
            or self.delay > self.bounds.delay
        ):
            return self.violations
        up = {
            name
            for name, one in self.processes.items()
            if one.ended is None and one.stopped is None and one.disturbed != float("inf")
        }
        for name in sorted(up):
            held = {about for about, (_, state) in self.views[name].items() if state < State.DEAD}
            if held != up - {name}:
                lacking, beyond = sorted(up - {name} - held), sorted(held - up)
                text = f"does not know {lacking}, holds {beyond} for alive"
                self.violations.append(Violation("one-fleet", end, name, "", text))
        return self.violations


def check_withdrawn(server: SessionServer, since: float, bound: float) -> list[str]:
    """``withdrawn``: a server that a version takes away gets nothing new later than ``bound`` ms after
    somebody heard that it is in force (Unix ms), by what came to the server itself."""
    late = [one.received_at - since for one in server.received_set_ups if one.received_at > since + bound]
    return [f"withdrawn: {len(late)} set-ups came up to {max(late):.0f} ms after"] if late else []


def check_attempts(
    servers: Iterable[SessionServer], since: float, until: float, most: int, bound: float
) -> list[str]:
    """``attempts``: a call that comes later than ``bound`` ms after somebody heard that so many attempts are
    in force (Unix ms), and before ``until``, gets no more of them; by what came to all servers together."""
    times: dict[bytes, list[float]] = {}
    for server in servers:
        for one in server.received_set_ups:
            times.setdefault(one.call, []).append(one.received_at)
    late = [min(at) - since for at in times.values() if since + bound < min(at) < until and len(at) > most]
    return (
        [f"attempts: {len(late)} calls got more than {most}, up to {max(late):.0f} ms after"] if late else []
    )
