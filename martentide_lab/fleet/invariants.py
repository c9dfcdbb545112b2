"""Invariants of a fleet, checked on the log of what was done to processes and what *others* observed of them.

    found-dead     every other member holds a process that was killed or left as dead or left within
                   ``Bounds.detection``
    not-accused    no member holds a process as dead that runs and that it can reach
    not-raised     a process that was killed isn't held as alive again without having been started
    one-fleet      ``Bounds.healing`` after the last fault all running members know each other, and no other
    one-name       of two processes under one name at most one sends (not checked here)

A process is *disturbed* while it is stopped or cut off and for ``Bounds.settling`` after: nothing is required
of it then.
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
    """Limits that the invariants depend on; times in ms."""

    detection: float = 8_000.0  # from the end of a process until all others must hold it as dead or left
    settling: float = (
        6_000.0  # undisturbed time after which two members must hold the right state of each other
    )
    healing: float = 8_000.0  # from the last fault until all must know each other
    suspension: float = 700.0  # a process stopped for less must not be held as dead
    loss: float = 0.25  # share of datagrams; beyond it a false accusation is no violation
    delay: float = 40.0  # one way on all links; beyond it probes are too late


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant, at ``at`` ms of the log."""

    invariant: str
    at: float
    observer: str
    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.at / 1000:.3f} s: {self.observer} about {self.subject}: {self.text}"


@dataclass(slots=True)
class Process:
    """State of one process, derived from the log; times in ms of the log."""

    process_id: int  # random number of the process; ``life`` in events
    started_at: float
    stopped_at: float | None = None
    disturbed_at: float = -1e9  # end of the last disturbance
    ended_at: float | None = None
    left: bool = False


@dataclass
class FleetChecker:
    """Checks the events of a log in their order; ``finish`` returns the violations."""

    names: Sequence[str]
    bounds: Bounds = field(default_factory=Bounds)

    def __post_init__(self) -> None:
        self.processes: dict[str, Process] = {}
        self.views: dict[str, dict[str, tuple[int, int]]] = {name: {} for name in self.names}
        self.cut_links: dict[tuple[str, str], bool] = {}
        self.cut_ended_at: dict[tuple[str, str], float] = {}
        self.loss = self.delay = 0.0
        self.impaired_until = -1e9
        self.last_fault_at = 0.0
        self.pending_detections: list[
            tuple[float, str, str, int, float]
        ] = []  # due, observer, subject, process id, ended at
        self.ended_process_ids: dict[int, float] = {}  # by process id: end of the process
        self.violations: list[Violation] = []

    def check(self, log: Iterable[Event], end: float) -> list[Violation]:
        """Check a whole log, up to ``end`` (ms)."""
        for event in sorted(log, key=lambda event: event.at):
            self.handle_event(event)
        return self.finish(end)

    # ---- events -----------------------------------------------------------------------------------------

    def handle_event(self, event: Event) -> None:
        """Check one event; events come in the order of their time."""
        self._check_detections(event.at)
        match event.kind:
            case "started":
                self.processes[event.subject] = Process(event.fields["life"], event.at)
                self.views[event.subject] = {}
                self.last_fault_at = event.at
            case "killed" | "left":
                self._handle_end(event)
            case "stopped" | "starved":
                if (process := self.processes.get(event.subject)) is not None:
                    process.stopped_at = event.at
                    self.last_fault_at = event.at
            case "continued" | "fed":
                self._handle_continue(event)
            case "fault":
                self._handle_fault(event)
            case "member":
                self._handle_member(event)
            case "displaced":
                if (process := self.processes.get(event.observer)) is not None:
                    process.disturbed_at = float("inf")  # a displaced process isn't checked any more

    def _handle_end(self, event: Event) -> None:
        process = self.processes.get(event.subject)
        if process is None or process.ended_at is not None:
            return
        process.ended_at, process.left = event.at, event.kind == "left"
        self.ended_process_ids[process.process_id] = event.at
        self.last_fault_at = event.at
        for name in self.names:
            view = self.views[name].get(event.subject)
            if name != event.subject and self._is_running(name) and view is not None and view[1] < State.DEAD:
                due = event.at + self.bounds.detection
                if view[0] == process.process_id:
                    self.pending_detections.append((due, name, event.subject, process.process_id, event.at))

    def _handle_continue(self, event: Event) -> None:
        process = self.processes.get(event.subject)
        if process is not None and process.stopped_at is not None:
            if event.at - process.stopped_at > self.bounds.suspension:
                process.disturbed_at = event.at
                self.last_fault_at = event.at
            process.stopped_at = None

    def _handle_fault(self, event: Event) -> None:
        arguments: Sequence[Any] = event.fields.get("arguments", ())
        self.last_fault_at = event.at
        match event.subject:
            case "split" | "cut":
                sources, targets = (split_names(text) for text in arguments)
                pairs = {(a, b) for a in sources for b in targets}
                if event.subject == "split":
                    pairs |= {(b, a) for a, b in pairs}
                for pair in pairs:
                    self.cut_links[pair] = True
            case "heal":
                for pair in self.cut_links:
                    self.cut_ended_at[pair] = event.at
                self.cut_links.clear()
            case "loss":
                if self.loss > self.bounds.loss:
                    self.impaired_until = event.at
                self.loss = arguments[0]
            case "delay":
                if self.delay > self.bounds.delay:
                    self.impaired_until = event.at
                self.delay = arguments[0]

    def _is_running(self, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.ended_at is None

    def _is_undisturbed(self, name: str, at: float) -> bool:
        """Whether the process runs and has been undisturbed for long enough."""
        process = self.processes.get(name)
        if process is None or process.ended_at is not None:
            return False
        if process.stopped_at is not None and at - process.stopped_at > self.bounds.suspension:
            return False
        return at - process.disturbed_at > self.bounds.settling and at - process.started_at > 0

    def _is_reachable(self, a: str, b: str, at: float) -> bool:
        """Whether no link at either member was cut or impaired, now or within ``Bounds.settling`` before."""
        cut_now = any(a in pair or b in pair for pair in self.cut_links)
        recently_cut = any(
            at - until <= self.bounds.settling
            for pair, until in self.cut_ended_at.items()
            if {a, b} & set(pair)
        )
        impaired = (
            self.loss > self.bounds.loss
            or self.delay > self.bounds.delay
            or at - self.impaired_until <= self.bounds.settling
        )
        return not (cut_now or recently_cut or impaired)

    def _handle_member(self, event: Event) -> None:
        observer, subject, state, process_id = (
            event.observer,
            event.subject,
            event.fields["state"],
            event.fields["life"],
        )
        old_view = self.views[observer].get(subject)
        self.views[observer][subject] = (process_id, state)
        process = self.processes.get(subject)
        is_running = process is not None and process.process_id == process_id and process.ended_at is None
        if state == State.DEAD and is_running:
            undisturbed = self._is_undisturbed(observer, event.at) and self._is_undisturbed(subject, event.at)
            if undisturbed and self._is_reachable(observer, subject, event.at):
                self._report("not-accused", event, event.fields.get("evidence", ""))
        ended_at = self.ended_process_ids.get(process_id)
        late = ended_at is not None and event.at - ended_at > self.bounds.detection
        if (
            late
            and state < State.DEAD
            and (old_view is None or old_view[1] >= State.DEAD)
            and self._is_undisturbed(observer, event.at)
        ):
            self._report(
                "not-raised", event, f"its process ended {event.at - (ended_at or 0.0):.0f} ms before"
            )

    def _report(self, invariant: str, event: Event, text: str) -> None:
        self.violations.append(Violation(invariant, event.at, event.observer, event.subject, text))

    # ---- what must be detected --------------------------------------------------------------------------

    def _check_detections(self, now: float) -> None:
        while self.pending_detections and self.pending_detections[0][0] <= now:
            due, observer_name, subject, process_id, ended_at = self.pending_detections.pop(0)
            observer = self.processes.get(observer_name)
            if observer is None or observer.ended_at is not None or observer.started_at > ended_at:
                continue
            if observer.stopped_at is not None or observer.disturbed_at > ended_at - self.bounds.settling:
                continue
            view = self.views[observer_name].get(subject)
            if view is not None and view[0] == process_id and view[1] < State.DEAD:
                text = f"ended at {ended_at / 1000:.3f} s and still held as alive"
                self.violations.append(Violation("found-dead", due, observer_name, subject, text))

    def finish(self, end: float) -> list[Violation]:
        """Check what must hold at the end (ms); returns all violations."""
        self._check_detections(end)
        if (
            end - self.last_fault_at < self.bounds.healing
            or self.cut_links
            or self.loss > self.bounds.loss
            or self.delay > self.bounds.delay
        ):
            return self.violations
        running = {
            name
            for name, process in self.processes.items()
            if process.ended_at is None
            and process.stopped_at is None
            and process.disturbed_at != float("inf")
        }
        for name in sorted(running):
            alive = {subject for subject, (_, state) in self.views[name].items() if state < State.DEAD}
            if alive != running - {name}:
                missing, unexpected = sorted(running - {name} - alive), sorted(alive - running)
                text = f"does not know {missing}, holds {unexpected} as alive"
                self.violations.append(Violation("one-fleet", end, name, "", text))
        return self.violations


def check_withdrawn(server: SessionServer, since: float, bound: float) -> list[str]:
    """``withdrawn``: a server that a version removes receives no set-up later than ``bound`` ms after
    ``since`` (Unix ms), when a proposer was notified that the version is in force. Checked on the
    set-ups that the server received."""
    late = [
        set_up.received_at - since for set_up in server.received_set_ups if set_up.received_at > since + bound
    ]
    return [f"withdrawn: {len(late)} set-ups received up to {max(late):.0f} ms after"] if late else []


def check_attempts(
    servers: Iterable[SessionServer], since: float, until: float, max_attempts: int, bound: float
) -> list[str]:
    """``attempts``: a call that arrives later than ``bound`` ms after ``since`` and before ``until`` (Unix
    ms) gets at most ``max_attempts``; ``since`` is when a proposer was notified that this limit is in force.
    Checked on the set-ups that all servers received together."""
    received_at: dict[bytes, list[float]] = {}
    for server in servers:
        for set_up in server.received_set_ups:
            received_at.setdefault(set_up.call, []).append(set_up.received_at)
    late = [
        min(times) - since
        for times in received_at.values()
        if since + bound < min(times) < until and len(times) > max_attempts
    ]
    return (
        [f"attempts: {len(late)} calls got more than {max_attempts}, up to {max(late):.0f} ms after"]
        if late
        else []
    )
