"""Membership cores in simulated time, with the scenarios and the event log of the rig; up to 1000 members.

Datagrams are encoded and decoded as on the wire, so that sizes and the effects of corruption are real.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from martentide.fleet.core import Membership
from martentide.fleet.events import (
    Action,
    Changed,
    DatagramReceived,
    Depart,
    Displaced,
    Due,
    Learned,
    Publish,
    Send,
    Stalled,
)
from martentide.fleet.events import Event as CoreEvent
from martentide.fleet.terms import Terms
from martentide.fleet.wire import Datagram, DatagramError, Frame, Kind
from martentide_lab.fleet.faults import Link, Network, corrupt
from martentide_lab.fleet.scenario import Event, Step, split_names
from martentide_lab.simulation import Simulation

MAX_QUEUED_DATAGRAMS = 200  # capacity of the socket of a stopped process, in datagrams
# Drifts of the members' clocks, taken in turn; within the core's MAX_CLOCK_DRIFT.
CLOCK_DRIFTS = (0.0, 0.0004, -0.0004, 0.0002, -0.0001)
Address = tuple[str, int]


@dataclass
class SimulatedMember:
    """One process: its core, and the clock it reads (``clock_offset`` in ms, ``clock_rate``)."""

    name: str
    zone: str
    address: Address
    clock_offset: float
    core: Membership | None = None
    stopped: bool = False
    queued_datagrams: list[bytes | Datagram] = field(default_factory=list)
    scheduled_at: float = 0.0  # simulated time (ms) of its next timer; 0: none
    sent_bytes: int = 0  # with the headers of IP and UDP
    sent_datagrams: int = 0
    incarnations: int = 0  # starts of the process so far
    starved_incarnation: int = 0  # the incarnation that is starved of CPU time; 0: none
    clock_rate: float = 1.0  # ms of its clock per ms of simulated time
    counts: Counter[str] = field(default_factory=Counter)

    def local_time(self, simulated_time: float) -> float:
        """What its clock shows at a simulated time (ms)."""
        return simulated_time * self.clock_rate + self.clock_offset

    def simulated_time(self, local_time: float) -> float:
        """The simulated time (ms) at which its clock shows ``local_time``."""
        return (local_time - self.clock_offset) / self.clock_rate


class SimulatedFleet(Simulation):
    """A fleet with its members spread over ``zones`` zones.

    The first ``seed_count`` members are the seeds of all. ``seed`` is that of the random numbers.
    """

    def __init__(
        self,
        members: int,
        seed: int,
        terms: Terms | None = None,
        base: Link | None = None,
        zones: int = 3,
        seed_count: int = 3,
        name: str = "f",
        encode_datagrams: bool = True,  # False: passed unencoded (faster); corrupted ones are lost
    ) -> None:
        super().__init__()
        self.encode_datagrams = encode_datagrams
        self.rng = random.Random(seed)
        self.terms = terms or Terms()
        self.network = Network(base or Link(delay=1.0, jitter=2.0))
        self.frame = Frame(name)
        self.log: list[Event] = []
        self.observers: list[Callable[[str, Action], None]] = []
        self.members: dict[str, SimulatedMember] = {}
        self.names_by_address: dict[Address, str] = {}
        self.seeds = tuple(("127.0.0.1", 20_000 + number) for number in range(seed_count))
        for number in range(members):
            address = ("127.0.0.1", 20_000 + number)
            offset = self.rng.uniform(0, 1e7)
            clock_rate = 1.0 + CLOCK_DRIFTS[number % len(CLOCK_DRIFTS)]
            self.members[f"n{number}"] = SimulatedMember(
                f"n{number}", f"z{number % zones}", address, offset, clock_rate=clock_rate
            )
            self.names_by_address[address] = f"n{number}"

    # ---- time -------------------------------------------------------------------------------------------

    def play(self, steps: tuple[Step, ...], until: float) -> list[Event]:
        """Start all members at once, run the steps up to ``until`` (ms) and return the event log."""
        for step in steps:
            self.schedule(step.at - self.now, lambda step=step: self.execute_step(step))  # type: ignore[misc]
        for name in self.members:
            self.start(name)
        self.run(until)
        return self.log

    def start_converged(self) -> None:
        """Start all members with full knowledge of each other, for tests that aren't about the cold start."""
        for name in self.members:
            self.start(name)
        records = [member.core.me for member in self.members.values() if member.core is not None]
        for name, member in self.members.items():
            assert member.core is not None
            sender = records[0] if records[0].name != name else records[1]
            others = [record for record in records if record.name != name]
            self.handle_event(
                name,
                DatagramReceived(
                    Datagram(Kind.MISSING, sender, member.core.me.process_id, 0, members=others)
                ),
            )

    # ---- processes --------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start the member's process unless it runs."""
        member = self.members[name]
        if member.core is not None:
            return
        member.incarnations += 1
        member.stopped, member.starved_incarnation = False, 0
        member.queued_datagrams.clear()
        now = member.local_time(self.now)
        member.core = Membership(
            name, member.zone, member.address, self.seeds, self.terms, self.rng.getrandbits(48), now
        )
        self._log("started", name, name, life=member.core.me.process_id)
        self._schedule_timer(member)

    def kill(self, name: str) -> None:
        """End the process without notice, as SIGKILL."""
        member = self.members[name]
        if member.core is not None:
            member.core = None
            self._log("killed", name, name)

    def term(self, name: str) -> None:
        """End the process after it has left the fleet, as SIGTERM."""
        member = self.members[name]
        if member.core is not None:
            self.handle_event(name, Depart())
            member.core = None
            self._log("left", name, name)

    def stop(self, name: str) -> None:
        """Suspend the process, as SIGSTOP."""
        member = self.members[name]
        self.end_starvation(name)
        if member.core is not None and not member.stopped:
            member.stopped = True
            self._log("stopped", name, name)

    def resume(self, name: str) -> None:
        """Continue a suspended process, as SIGCONT; no effect on a starved one."""
        member = self.members[name]
        if member.core is None or not member.stopped or member.starved_incarnation:
            return
        self._log("continued", name, name)
        self._resume_process(member)

    def _resume_process(self, member: SimulatedMember) -> None:
        """Let the process run again; it receives the datagrams that were queued in its socket."""
        member.stopped = False
        queued, member.queued_datagrams = member.queued_datagrams, []
        if self.rng.random() < 0.5:  # the event loop may run timers or read sockets first
            self.handle_event(member.name, Due())
        for data in queued:
            self._deliver_datagram(member.name, data)
        self.handle_event(member.name, Due())

    def starve(self, name: str) -> None:
        """Suspend the process nine tenths of the time, until ``end_starvation``."""
        member = self.members[name]
        if member.core is None or member.stopped or member.starved_incarnation:
            return
        member.starved_incarnation = member.incarnations
        self._log("starved", name, name)
        self._suspend_starved(member, member.incarnations)

    def end_starvation(self, name: str) -> None:
        """Let a starved process run without interruption again."""
        member = self.members[name]
        if member.starved_incarnation:
            member.starved_incarnation = 0
            if member.core is not None:
                self._resume_process(member)
                self._log("fed", name, name)

    def _suspend_starved(self, member: SimulatedMember, incarnation: int) -> None:
        if member.starved_incarnation == incarnation and member.core is not None:
            member.stopped = True
            self.schedule(250.0, lambda: self._run_starved(member, incarnation))

    def _run_starved(self, member: SimulatedMember, incarnation: int) -> None:
        if member.starved_incarnation == incarnation and member.core is not None:
            self._resume_process(member)
            self.schedule(30.0, lambda: self._suspend_starved(member, incarnation))

    def handle_event(self, name: str, event: CoreEvent) -> None:
        """Pass an event to the member's core, if it runs, and carry out the core's actions."""
        member = self.members[name]
        if member.core is None:
            return
        if member.stopped:
            return
        for action in member.core.handle(member.local_time(self.now), event):
            self._perform(member, action)
        self._schedule_timer(member)

    def publish(self, name: str, kind: int, body: bytes, max_age: int = 10_000) -> None:
        """Publish a state entry of the member, valid for ``max_age`` ms."""
        self.handle_event(name, Publish(kind, 1, max_age, body))

    def _schedule_timer(self, member: SimulatedMember) -> None:
        core = member.core
        if core is None or core.displaced:
            return
        # The 0.01 ms keep rounding from making the timer run early.
        due = max(self.now, member.simulated_time(core.due)) + 0.01
        if member.scheduled_at <= self.now or due < member.scheduled_at:
            member.scheduled_at = due
            self.schedule(due - self.now, lambda: self._timer_expired(member, core, due))

    def _timer_expired(self, member: SimulatedMember, core: Membership, due: float) -> None:
        if member.core is not core or member.scheduled_at != due or member.stopped:
            return
        member.scheduled_at = 0.0
        self.handle_event(member.name, Due())

    def _perform(self, member: SimulatedMember, action: Action) -> None:
        match action:
            case Send(address, datagram):
                if not self.encode_datagrams:
                    member.sent_datagrams += 1
                    self._transmit_datagram(member.name, address, datagram)
                    return
                data = self.frame.write(datagram)
                member.sent_bytes += len(data) + 28  # with the headers of IP and UDP
                member.sent_datagrams += 1
                member.counts["largest"] = max(member.counts["largest"], len(data))
                self._transmit_datagram(member.name, address, data)
            case Changed(record, old, by, evidence):
                self._log(
                    "member", member.name, record.name, state=record.state,
                    old=None if old is None else int(old), by=by, evidence=evidence, life=record.process_id,
                )  # fmt: skip
            case Learned(entry):
                self._log(
                    "facet", member.name, entry.owner, facet=entry.kind, counter=entry.counter, age=entry.age
                )
            case Displaced(by):
                self._log("displaced", member.name, by.name, life=by.process_id)
            case Stalled(span):
                self._log("late", member.name, member.name, span=span)
        for observe in self.observers:
            observe(member.name, action)

    def _transmit_datagram(self, source: str, address: Address, data: bytes | Datagram) -> None:
        target = self.names_by_address.get(address)
        if target is None:
            return
        for delivery in self.network.deliveries((source, target), self.rng):
            body = data
            if delivery.corrupted:
                body = corrupt(data, self.rng) if isinstance(data, bytes) else b""
            self.schedule(delivery.delay, lambda body=body: self._deliver_datagram(target, body))  # type: ignore[misc]

    def _deliver_datagram(self, name: str, data: bytes | Datagram) -> None:
        member = self.members[name]
        if member.core is None:
            return
        if member.stopped:
            if len(member.queued_datagrams) < MAX_QUEUED_DATAGRAMS:
                member.queued_datagrams.append(data)
            return
        if isinstance(data, Datagram):
            self.handle_event(name, DatagramReceived(data))
            return
        try:
            datagram = self.frame.read(data)
        except DatagramError as error:
            member.counts[error.why.value] += 1
            return
        self.handle_event(name, DatagramReceived(datagram))

    def _log(self, kind: str, observer: str, subject: str, **fields: object) -> None:
        self.log.append(Event(self.now, kind, observer, subject, fields))

    # ---- faults -----------------------------------------------------------------------------------------

    def execute_step(self, step: Step) -> None:
        """Carry out one step of a scenario; steps without a meaning in simulated time are only logged."""
        handlers: dict[str, Callable[[str], None]] = {
            "kill": self.kill, "term": self.term, "start": self.start, "stop": self.stop,
            "continue": self.resume, "starve": self.starve, "feed": self.end_starvation,
        }  # fmt: skip
        if step.verb in handlers:
            for name in split_names(step.arguments[0]):
                if name in self.members:
                    handlers[step.verb](name)
        else:
            apply_to_network(self.network, step)
            self._log("fault", "network", step.verb, arguments=step.arguments)


def apply_to_network(network: Network, step: Step) -> None:
    """Carry out a step that changes links; any other step changes nothing."""
    match (step.verb, *step.arguments):
        case ("split", first, second):
            one_side, other_side = split_names(first), split_names(second)
            network.set_links(one_side, other_side, cut=True)
            network.set_links(other_side, one_side, cut=True)
        case ("cut", sources, targets):
            network.set_links(split_names(sources), split_names(targets), cut=True)
        case ("heal",):
            network.heal()
        case ("loss", share):
            network.set_all_links(loss=share)
        case ("delay", delay, jitter):
            network.set_all_links(delay=delay, jitter=jitter)
        case ("duplicate", share):
            network.set_all_links(duplicate=share)
        case ("damage", share):
            network.set_all_links(damage=share)
