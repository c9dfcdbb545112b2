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
from martentide_lab.fleet.faults import Link, Network, damaged
from martentide_lab.fleet.story import Event, Step, split_names
from martentide_lab.simulation import Simulation

MOST_WAITING = 200  # datagrams that the socket of a stopped process holds
# By which members' clocks run apart: within the core's MAX_CLOCK_DRIFT.
PACES = (0.0, 0.0004, -0.0004, 0.0002, -0.0001)
Address = tuple[str, int]


@dataclass
class Node:
    """One process: its core, and the clock it reads (``offset``, ``pace``)."""

    name: str
    zone: str
    address: Address
    offset: float
    core: Membership | None = None
    stopped: bool = False
    waiting: list[bytes | Datagram] = field(default_factory=list)
    due: float = 0.0  # what the queue holds for it
    sent: int = 0  # bytes
    datagrams: int = 0
    lives: int = 0
    starving: int = 0  # the life that is kept from the processor
    pace: float = 1.0  # ms of its clock in one of the true ones
    counts: Counter[str] = field(default_factory=Counter)

    def clock(self, now: float) -> float:
        return now * self.pace + self.offset

    def true(self, own: float) -> float:
        """The time at which its clock shows that."""
        return (own - self.offset) / self.pace


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
        wire: bool = True,  # False: datagrams go as they are, which is quicker; damaged ones are lost
    ) -> None:
        super().__init__()
        self.wire = wire
        self.dice = random.Random(seed)
        self.terms = terms or Terms()
        self.network = Network(base or Link(delay=1.0, jitter=2.0))
        self.frame = Frame(name)
        self.log: list[Event] = []
        self.observers: list[Callable[[str, Action], None]] = []
        self.nodes: dict[str, Node] = {}
        self.at: dict[Address, str] = {}
        self.seeds = tuple(("127.0.0.1", 20_000 + at) for at in range(seeds))
        for at in range(members):
            address = ("127.0.0.1", 20_000 + at)
            offset = self.dice.uniform(0, 1e7)
            pace = 1.0 + PACES[at % len(PACES)]
            self.nodes[f"n{at}"] = Node(f"n{at}", f"z{at % zones}", address, offset, pace=pace)
            self.at[address] = f"n{at}"

    # ---- time -------------------------------------------------------------------------------------------

    def play(self, steps: tuple[Step, ...], until: float) -> list[Event]:
        """All members start at once; then the steps; the log of it all."""
        for step in steps:
            self.later(step.at - self.now, lambda step=step: self.do(step))  # type: ignore[misc]
        for name in self.nodes:
            self.start(name)
        self.run(until)
        return self.log

    def acquaint(self) -> None:
        """All start, and know each other from the first moment: where the cold start is not the question."""
        for name in self.nodes:
            self.start(name)
        words = [node.core.me for node in self.nodes.values() if node.core is not None]
        for name, node in self.nodes.items():
            assert node.core is not None
            teller = words[0] if words[0].name != name else words[1]
            rest = [word for word in words if word.name != name]
            self.feed(
                name,
                DatagramReceived(Datagram(Kind.MISSING, teller, node.core.me.process_id, 0, members=rest)),
            )

    # ---- processes --------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        node = self.nodes[name]
        if node.core is not None:
            return
        node.lives += 1
        node.stopped, node.starving = False, 0
        node.waiting.clear()
        now = node.clock(self.now)
        node.core = Membership(
            name, node.zone, node.address, self.seeds, self.terms, self.dice.getrandbits(48), now
        )
        self._log("started", name, name, life=node.core.me.process_id)
        self._schedule(node)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        if node.core is not None:
            node.core = None
            self._log("killed", name, name)

    def term(self, name: str) -> None:
        node = self.nodes[name]
        if node.core is not None:
            self.feed(name, Depart())
            node.core = None
            self._log("left", name, name)

    def stop(self, name: str) -> None:
        node = self.nodes[name]
        self.satisfy(name)
        if node.core is not None and not node.stopped:
            node.stopped = True
            self._log("stopped", name, name)

    def wake(self, name: str) -> None:
        node = self.nodes[name]
        if node.core is None or not node.stopped or node.starving:
            return
        self._log("continued", name, name)
        self._run_on(node)

    def _run_on(self, node: Node) -> None:
        """The process runs again, with what lay in its socket meanwhile."""
        node.stopped = False
        waiting, node.waiting = node.waiting, []
        if self.dice.random() < 0.5:  # the loop may turn to its timers or to its sockets first
            self.feed(node.name, Due())
        for data in waiting:
            self._arrive(node.name, data)
        self.feed(node.name, Due())

    def starve(self, name: str) -> None:
        """Kept from the processor nine tenths of the time, until ``satisfy``."""
        node = self.nodes[name]
        if node.core is None or node.stopped or node.starving:
            return
        node.starving = node.lives
        self._log("starved", name, name)
        self._pause(node, node.lives)

    def satisfy(self, name: str) -> None:
        node = self.nodes[name]
        if node.starving:
            node.starving = 0
            if node.core is not None:
                self._run_on(node)
                self._log("fed", name, name)

    def _pause(self, node: Node, life: int) -> None:
        if node.starving == life and node.core is not None:
            node.stopped = True
            self.later(250.0, lambda: self._breathe(node, life))

    def _breathe(self, node: Node, life: int) -> None:
        if node.starving == life and node.core is not None:
            self._run_on(node)
            self.later(30.0, lambda: self._pause(node, life))

    def feed(self, name: str, event: CoreEvent) -> None:
        node = self.nodes[name]
        if node.core is None:
            return
        if node.stopped:
            return
        for action in node.core.handle(node.clock(self.now), event):
            self._act(node, action)
        self._schedule(node)

    def publish(self, name: str, kind: int, body: bytes, end: int = 10_000) -> None:
        self.feed(name, Publish(kind, 1, end, body))

    def _schedule(self, node: Node) -> None:
        core = node.core
        if core is None or core.displaced:
            return
        due = max(self.now, node.true(core.due)) + 0.01  # rounding must not bring it before its time
        if node.due <= self.now or due < node.due:
            node.due = due
            self.later(due - self.now, lambda: self._due(node, core, due))

    def _due(self, node: Node, core: Membership, due: float) -> None:
        if node.core is not core or node.due != due or node.stopped:
            return
        node.due = 0.0
        self.feed(node.name, Due())

    def _act(self, node: Node, action: Action) -> None:
        match action:
            case Send(address, datagram):
                if not self.wire:
                    node.datagrams += 1
                    self._carry(node.name, address, datagram)
                    return
                data = self.frame.write(datagram)
                node.sent += len(data) + 28  # with the headers of IP and UDP
                node.datagrams += 1
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
        target = self.at.get(address)
        if target is None:
            return
        for fate in self.network.fates((source, target), self.dice):
            body = data
            if fate.damaged:
                body = damaged(data, self.dice) if isinstance(data, bytes) else b""
            self.later(fate.delay, lambda body=body: self._arrive(target, body))  # type: ignore[misc]

    def _arrive(self, name: str, data: bytes | Datagram) -> None:
        node = self.nodes[name]
        if node.core is None:
            return
        if node.stopped:
            if len(node.waiting) < MOST_WAITING:
                node.waiting.append(data)
            return
        if isinstance(data, Datagram):
            self.feed(name, DatagramReceived(data))
            return
        try:
            said = self.frame.read(data)
        except DatagramError as error:
            node.counts[error.why.value] += 1
            return
        self.feed(name, DatagramReceived(said))

    def _log(self, kind: str, who: str, about: str, **fields: object) -> None:
        self.log.append(Event(self.now, kind, who, about, fields))

    # ---- faults -----------------------------------------------------------------------------------------

    def do(self, step: Step) -> None:
        """Carry out one step of a script; those that have no meaning here are passed over."""
        one: dict[str, Callable[[str], None]] = {
            "kill": self.kill, "term": self.term, "start": self.start, "stop": self.stop,
            "continue": self.wake, "starve": self.starve, "feed": self.satisfy,
        }  # fmt: skip
        if step.verb in one:
            for name in split_names(step.arguments[0]):
                if name in self.nodes:
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
            network.all(loss=share)
        case ("delay", span, jitter):
            network.all(delay=span, jitter=jitter)
        case ("duplicate", share):
            network.all(duplicate=share)
        case ("damage", share):
            network.all(damage=share)
