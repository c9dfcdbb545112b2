"""The fleet's cores in simulated time: the same scripts, the same log, up to a thousand members.

Datagrams are written and read as on the wire, so that sizes and damage are what they would be.
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

MAX_QUEUED_DATAGRAMS = 200  # datagrams that the socket of a stopped process holds
# By which members' clocks run apart: within the core's MAX_CLOCK_DRIFT.
CLOCK_DRIFTS = (0.0, 0.0004, -0.0004, 0.0002, -0.0001)
Address = tuple[str, int]


@dataclass
class SimulatedMember:
    """One process: its core, and the clock it reads (``clock_offset``, ``clock_rate``)."""

    name: str
    zone: str
    address: Address
    clock_offset: float
    core: Membership | None = None
    stopped: bool = False
    queued: list[bytes | Datagram] = field(default_factory=list)
    due: float = 0.0  # what the queue holds for it
    sent_bytes: int = 0  # bytes
    sent_datagrams: int = 0
    incarnations: int = 0
    starved_incarnation: int = 0  # the life that is kept from the processor
    clock_rate: float = 1.0  # ms of its clock in one of the true ones
    counts: Counter[str] = field(default_factory=Counter)

    def own_time(self, now: float) -> float:
        return now * self.clock_rate + self.clock_offset

    def true_time(self, own: float) -> float:
        """The time at which its clock shows that."""
        return (own - self.clock_offset) / self.clock_rate


class SimulatedFleet(Simulation):
    """``zone_of`` names the zone of the n-th member; the first ``seeds`` members are everybody's seeds."""

    def __init__(
        self,
        members: int,
        seed: int,
        terms: Terms | None = None,
        base: Link | None = None,
        zones: int = 3,
        seeds: int = 3,
        name: str = "f",
        encode_datagrams: bool = True,  # False: datagrams go as they are (quicker); damaged ones are lost
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
        self.seeds = tuple(("127.0.0.1", 20_000 + at) for at in range(seeds))
        for at in range(members):
            address = ("127.0.0.1", 20_000 + at)
            offset = self.rng.uniform(0, 1e7)
            pace = 1.0 + CLOCK_DRIFTS[at % len(CLOCK_DRIFTS)]
            self.members[f"n{at}"] = SimulatedMember(
                f"n{at}", f"z{at % zones}", address, offset, clock_rate=pace
            )
            self.names_by_address[address] = f"n{at}"

    # ---- time -------------------------------------------------------------------------------------------

    def play(self, steps: tuple[Step, ...], until: float) -> list[Event]:
        """All members start at once; then the steps; the log of it all."""
        for step in steps:
            self.schedule(step.at - self.now, lambda step=step: self.execute_step(step))  # type: ignore[misc]
        for name in self.members:
            self.start(name)
        self.run(until)
        return self.log

    def start_acquainted(self) -> None:
        """All start, and know each other from the first moment: where the cold start is not the question."""
        for name in self.members:
            self.start(name)
        words = [node.core.me for node in self.members.values() if node.core is not None]
        for name, node in self.members.items():
            assert node.core is not None
            teller = words[0] if words[0].name != name else words[1]
            rest = [word for word in words if word.name != name]
            self.handle_event(
                name,
                DatagramReceived(Datagram(Kind.MISSING, teller, node.core.me.process_id, 0, members=rest)),
            )

    # ---- processes --------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        node = self.members[name]
        if node.core is not None:
            return
        node.incarnations += 1
        node.stopped, node.starved_incarnation = False, 0
        node.queued.clear()
        now = node.own_time(self.now)
        node.core = Membership(
            name, node.zone, node.address, self.seeds, self.terms, self.rng.getrandbits(48), now
        )
        self._log("started", name, name, life=node.core.me.process_id)
        self._schedule(node)

    def kill(self, name: str) -> None:
        node = self.members[name]
        if node.core is not None:
            node.core = None
            self._log("killed", name, name)

    def term(self, name: str) -> None:
        node = self.members[name]
        if node.core is not None:
            self.handle_event(name, Depart())
            node.core = None
            self._log("left", name, name)

    def stop(self, name: str) -> None:
        node = self.members[name]
        self.unstarve(name)
        if node.core is not None and not node.stopped:
            node.stopped = True
            self._log("stopped", name, name)

    def resume(self, name: str) -> None:
        node = self.members[name]
        if node.core is None or not node.stopped or node.starved_incarnation:
            return
        self._log("continued", name, name)
        self._run_on(node)

    def _run_on(self, node: SimulatedMember) -> None:
        """The process runs again, with what lay in its socket meanwhile."""
        node.stopped = False
        waiting, node.queued = node.queued, []
        if self.rng.random() < 0.5:  # the loop may turn to its timers or to its sockets first
            self.handle_event(node.name, Due())
        for data in waiting:
            self._arrive(node.name, data)
        self.handle_event(node.name, Due())

    def starve(self, name: str) -> None:
        """Kept from the processor nine tenths of the time, until ``unstarve``."""
        node = self.members[name]
        if node.core is None or node.stopped or node.starved_incarnation:
            return
        node.starved_incarnation = node.incarnations
        self._log("starved", name, name)
        self._pause(node, node.incarnations)

    def unstarve(self, name: str) -> None:
        node = self.members[name]
        if node.starved_incarnation:
            node.starved_incarnation = 0
            if node.core is not None:
                self._run_on(node)
                self._log("fed", name, name)

    def _pause(self, node: SimulatedMember, life: int) -> None:
        if node.starved_incarnation == life and node.core is not None:
            node.stopped = True
            self.schedule(250.0, lambda: self._breathe(node, life))

    def _breathe(self, node: SimulatedMember, life: int) -> None:
        if node.starved_incarnation == life and node.core is not None:
            self._run_on(node)
            self.schedule(30.0, lambda: self._pause(node, life))

    def handle_event(self, name: str, event: CoreEvent) -> None:
        node = self.members[name]
        if node.core is None:
            return
        if node.stopped:
            return
        for action in node.core.handle(node.own_time(self.now), event):
            self._act(node, action)
        self._schedule(node)

    def publish(self, name: str, kind: int, body: bytes, end: int = 10_000) -> None:
        self.handle_event(name, Publish(kind, 1, end, body))

    def _schedule(self, node: SimulatedMember) -> None:
        core = node.core
        if core is None or core.displaced:
            return
        due = max(self.now, node.true_time(core.due)) + 0.01  # rounding must not bring it before its time
        if node.due <= self.now or due < node.due:
            node.due = due
            self.schedule(due - self.now, lambda: self._due(node, core, due))

    def _due(self, node: SimulatedMember, core: Membership, due: float) -> None:
        if node.core is not core or node.due != due or node.stopped:
            return
        node.due = 0.0
        self.handle_event(node.name, Due())

    def _act(self, node: SimulatedMember, action: Action) -> None:
        match action:
            case Send(address, datagram):
                if not self.encode_datagrams:
                    node.sent_datagrams += 1
                    self._carry(node.name, address, datagram)
                    return
                data = self.frame.write(datagram)
                node.sent_bytes += len(data) + 28  # with the headers of IP and UDP
                node.sent_datagrams += 1
                node.counts["largest"] = max(node.counts["largest"], len(data))
                self._carry(node.name, address, data)
            case Changed(word, old, by, evidence):
                self._log(
                    "member", node.name, word.name, state=word.state, old=None if old is None else int(old),
                    by=by, evidence=evidence, life=word.process_id,
                )  # fmt: skip
            case Learned(word):
                self._log("facet", node.name, word.owner, facet=word.kind, counter=word.counter, age=word.age)
            case Displaced(by):
                self._log("displaced", node.name, by.name, life=by.process_id)
            case Stalled(span):
                self._log("late", node.name, node.name, span=span)
        for observe in self.observers:
            observe(node.name, action)

    def _carry(self, source: str, address: Address, data: bytes | Datagram) -> None:
        target = self.names_by_address.get(address)
        if target is None:
            return
        for fate in self.network.deliveries((source, target), self.rng):
            body = data
            if fate.corrupted:
                body = corrupt(data, self.rng) if isinstance(data, bytes) else b""
            self.schedule(fate.delay, lambda body=body: self._arrive(target, body))  # type: ignore[misc]

    def _arrive(self, name: str, data: bytes | Datagram) -> None:
        node = self.members[name]
        if node.core is None:
            return
        if node.stopped:
            if len(node.queued) < MAX_QUEUED_DATAGRAMS:
                node.queued.append(data)
            return
        if isinstance(data, Datagram):
            self.handle_event(name, DatagramReceived(data))
            return
        try:
            said = self.frame.read(data)
        except DatagramError as error:
            node.counts[error.why.value] += 1
            return
        self.handle_event(name, DatagramReceived(said))

    def _log(self, kind: str, who: str, about: str, **fields: object) -> None:
        self.log.append(Event(self.now, kind, who, about, fields))

    # ---- faults -----------------------------------------------------------------------------------------

    def execute_step(self, step: Step) -> None:
        """Carry out one step of a script; those that have no meaning here are passed over."""
        one: dict[str, Callable[[str], None]] = {
            "kill": self.kill, "term": self.term, "start": self.start, "stop": self.stop,
            "continue": self.resume, "starve": self.starve, "feed": self.unstarve,
        }  # fmt: skip
        if step.verb in one:
            for name in split_names(step.arguments[0]):
                if name in self.members:
                    one[step.verb](name)
        else:
            apply_to_network(self.network, step)
            self._log("fault", "network", step.verb, arguments=step.arguments)


def apply_to_network(network: Network, step: Step) -> None:
    match (step.verb, *step.arguments):
        case ("split", here, there):
            one, other = split_names(here), split_names(there)
            network.set(one, other, cut=True)
            network.set(other, one, cut=True)
        case ("cut", here, there):
            network.set(split_names(here), split_names(there), cut=True)
        case ("heal",):
            network.heal()
        case ("loss", share):
            network.set_all(loss=share)
        case ("delay", span, jitter):
            network.set_all(delay=span, jitter=jitter)
        case ("duplicate", share):
            network.set_all(duplicate=share)
        case ("damage", share):
            network.set_all(damage=share)
