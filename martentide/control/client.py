"""A proxy's side of the control tier: one lease, renewed by heartbeats, and the state it subscribed to.

Pure: events in, actions out. Without any node the proxy goes on as one without a fleet; it says so once, and
tries again, by chance and ever more slowly, so that nodes which come back are not overrun.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from martentide.control.messages import (
    Granted,
    Heartbeat,
    Join,
    Leave,
    StateEntry,
    ToNode,
    ToProxy,
    TurnedAway,
    Update,
)
from martentide.control.placement import NodeInfo, preference
from martentide.control.shares import DetailKey, digest
from martentide.control.terms import ControlTerms

MOST_MISSING = 64  # numbers of updates that are asked for again in one heartbeat
SLOWEST = 5.0  # times the join pace between two tries of one that has found no node at all


@dataclass(frozen=True, slots=True)
class ProxyInfo:
    """Who the proxy is; ``services``: its own and those that it calls."""

    name: str
    region: str
    zone: str
    service: str
    services: frozenset[str]


@dataclass(frozen=True, slots=True)
class FromNode:
    message: ToProxy


@dataclass(frozen=True, slots=True)
class OwnState:
    """The proxy's own server: ``capacity`` in set-ups a second, ``pressure`` in thousandths."""

    capacity: int
    pressure: int


@dataclass(frozen=True, slots=True)
class Depart:
    """The process ends."""


@dataclass(frozen=True, slots=True)
class Due:
    """The time ``due`` has come."""


Event = FromNode | OwnState | Depart | Due


@dataclass(frozen=True, slots=True)
class SendToNode:
    node: str
    message: ToNode


@dataclass(frozen=True, slots=True)
class Attached:
    """The proxy holds a lease of that node."""

    node: str


@dataclass(frozen=True, slots=True)
class Alone:
    """No node grants a lease: the proxy acts as one without a fleet."""


Action = SendToNode | Attached | Alone


@dataclass(slots=True)
class HeldEntry:
    entry: StateEntry
    as_of: float
    grant: int  # the epoch under which it came or was found to be the same


@dataclass(slots=True)
class MissingUpdate:
    """An update that did not come. ``beat``: the first that told of it, 0 for none yet; ``as_of``: what was
    known by the one before it, by region."""

    beat: int
    as_of: dict[str, float]


class ControlClient:
    """``life`` is drawn anew by each process; ``now`` is ms of a clock that never runs backwards. ``epoch``:
    of its first lease, above those of earlier processes of that name."""

    def __init__(
        self,
        info: ProxyInfo,
        nodes: Iterable[NodeInfo],
        terms: ControlTerms,
        seed: int,
        now: float,
        epoch: int = 1,
    ) -> None:
        self.info, self.terms = info, terms
        self.random = random.Random(seed)
        self.life = self.random.getrandbits(62) + 1
        infos = tuple(nodes)
        self.order = preference(info.name, info.region, infos)
        self.home = {node.name for node in infos if node.region == info.region}
        self.home_due: float | None = None  # when to go back to a node of the own region
        self.at = 0  # place in the order of the node that is asked or held
        self.tried = 0  # nodes in a row that gave no lease
        self.epoch = epoch
        self.attached = self.alone = self.departed = False
        self.heard = now
        self.own = OwnState(0, 0)
        self.entries: dict[DetailKey, HeldEntry] = {}
        self.confirmed_as_of: dict[str, float] = {}
        self.received = 0
        self.beat = 0
        self.missing: dict[int, MissingUpdate] = {}  # by number
        self.heard_as_of: dict[str, float] = {}  # by region, by the last update alone
        self.swept = True  # what an earlier node told and this one does not is gone
        self.due = now + self.random.uniform(0.0, terms.join_retry)
        self.actions: list[Action] = []

    @property
    def node(self) -> str:
        return self.order[self.at]

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        match event:
            case FromNode(message):
                self._from_node(message, now)
            case OwnState():
                self.own = event
            case Depart():
                self._depart()
            case Due():
                self._due(now)
        return self.actions

    # ---- what the decisions may use ---------------------------------------------------------------------

    def age(self, key: DetailKey, now: float) -> float:
        """ms since the entry was known to hold; infinite for one that is not held."""
        held = self.entries.get(key)
        if held is None:
            return float("inf")
        as_of = held.as_of
        if held.grant == self.epoch:
            as_of = max(as_of, self.confirmed_as_of.get(held.entry.region, as_of))
        return now - as_of

    def state(self, service: str, now: float) -> list[StateEntry]:
        """The entries of a service that may be acted on: none that is past its end."""
        return [
            held.entry
            for key, held in self.entries.items()
            if key[0] == service and self.age(key, now) < self.terms.entry_end
        ]

    # ---- the lease --------------------------------------------------------------------------------------

    def _due(self, now: float) -> None:
        if self.departed or now < self.due:
            return
        if not self.attached:
            self._no_lease(now)
            self._join(now)
        elif now - self.heard > self.terms.unanswered:
            self._lost(now)
        elif self.home_due is not None and now >= self.home_due:
            self._go_home(now)
        else:
            self._heartbeat(now)

    def _join(self, now: float) -> None:
        held = {service: self._digest(service) for service in self.info.services}
        info, own = self.info, self.own
        join = Join(
            info.name, self.life, self.epoch, info.region, info.zone, info.service, own.capacity,
            own.pressure, held,
        )  # fmt: skip
        self.actions.append(SendToNode(self.node, join))
        slower = min(SLOWEST, max(1.0, self.tried / len(self.order)))
        self.due = now + self.terms.join_retry * slower * self.random.uniform(0.5, 1.5)

    def _no_lease(self, now: float) -> None:
        """The last try, if there was one, has had no answer."""
        if self.tried and self.tried % len(self.order) == 0 and not self.alone:
            self.alone = True
            self.actions.append(Alone())
        if self.tried:
            self.at = (self.at + 1) % len(self.order)
            self.epoch += 1
        self.tried += 1

    def _lost(self, now: float) -> None:
        """The node is silent: to the next one, each proxy at its own moment."""
        self.attached = False
        self.tried = 1
        self.due = now + self.random.uniform(0.0, self.terms.join_retry / 2.0)

    def _go_home(self, now: float) -> None:
        """Give the lease in another region back, and ask the own region's nodes from the first on."""
        self.actions.append(SendToNode(self.node, Leave(self.info.name, self.epoch)))
        self.attached, self.home_due = False, None
        self.at, self.tried = 0, 1
        self.epoch += 1
        self._join(now)

    def _heartbeat(self, now: float) -> None:
        self.beat += 1
        missing = sorted(self.missing)[:MOST_MISSING]
        for number in missing:
            self.missing[number].beat = self.missing[number].beat or self.beat
        own = self.own
        beat = Heartbeat(
            self.info.name, self.epoch, self.beat, own.capacity, own.pressure, self.received, missing
        )
        self.actions.append(SendToNode(self.node, beat))
        self.due = now + self.terms.heartbeat * self.random.uniform(0.95, 1.05)

    def _depart(self) -> None:
        if self.attached:
            self.actions.append(SendToNode(self.node, Leave(self.info.name, self.epoch)))
        self.departed, self.attached = True, False

    # ---- what the node says -----------------------------------------------------------------------------

    def _from_node(self, message: ToProxy, now: float) -> None:
        if self.departed:
            return
        if message.epoch != self.epoch or message.node != self.node:
            if isinstance(message, Granted | Update) and message.epoch < self.epoch:
                # A node that is given up holds a lease still, and would go on telling until that ends.
                self.actions.append(SendToNode(message.node, Leave(self.info.name, message.epoch)))
            return
        match message:
            case Granted(_, _, same):
                self._granted(frozenset(same), now)
            case TurnedAway():
                self._turned_away(message, now)
            case Update() if self.attached:
                self._update(message, now)

    def _granted(self, same: frozenset[str], now: float) -> None:
        if self.attached:
            return
        for key, held in self.entries.items():
            if key[0] in same:
                held.grant = self.epoch
        self.attached, self.alone, self.tried = True, False, 0
        self.heard, self.received, self.swept = now, 0, False
        self.heard_as_of = {}
        self.missing.clear()
        self.actions.append(Attached(self.node))
        self.due = now + self.terms.heartbeat * self.random.uniform(0.0, 1.0)

    def _turned_away(self, answer: TurnedAway, now: float) -> None:
        if answer.unknown or (answer.full and self.attached):
            if self.attached and not answer.unknown:
                self.actions.append(SendToNode(self.node, Leave(self.info.name, self.epoch)))
            self.attached, self.tried = False, 0 if answer.unknown else 1
            self.epoch += 1 if answer.unknown else 0
            self.due = now
        elif answer.full:
            self.due = now + self.terms.after_full * self.random.uniform(0.8, 1.2)
        elif not self.attached:
            self.tried = 0  # it is there: to the same node again, when it has time
            self.due = now + answer.retry + self.random.uniform(0.0, self.terms.join_retry)

    # ---- state ------------------------------------------------------------------------------------------

    def _digest(self, service: str) -> int:
        held = [one.entry for key, one in self.entries.items() if key[0] == service]
        return digest(held) if held else 0

    def _update(self, update: Update, now: float) -> None:
        self.heard = now
        self._count(update)
        for entry in update.entries:
            as_of = now - update.ages.get(entry.region, 0)
            if not entry.up:
                self.entries.pop(entry.key, None)
            else:
                self.entries[entry.key] = HeldEntry(entry, as_of, self.epoch)
        self._confirm(update, now)
        self._look_homeward(update, now)

    def _count(self, update: Update) -> None:
        """Which updates are missing: the node tells what they held again, under a new number, once it has
        heard the beat that says so."""
        if update.number > self.received:
            for number in range(max(self.received + 1, update.number - MOST_MISSING), update.number):
                self.missing[number] = MissingUpdate(0, self.heard_as_of)
            self.received = update.number
        self.missing.pop(update.number, None)
        told_again = [number for number, one in self.missing.items() if 0 < one.beat <= update.beat]
        for number in told_again:
            del self.missing[number]

    def _look_homeward(self, update: Update, now: float) -> None:
        """Away from home, go back once nodes of the own region are heard of there, at a moment by chance."""
        there = update.ages.get(self.info.region, self.terms.lease) < self.terms.lease
        if self.node in self.home or not self.home or not there:
            self.home_due = None
        elif self.home_due is None:
            self.home_due = now + self.terms.home_retry * self.random.random()

    def _confirm(self, update: Update, now: float) -> None:
        """What came under this lease is as old as the node says; once nothing waits, it is all there is."""
        if not self.swept and not update.behind and not self.missing:
            self.swept = True
            self.entries = {key: held for key, held in self.entries.items() if held.grant == self.epoch}
        self.heard_as_of = {region: now - age - update.behind for region, age in update.ages.items()}
        for region, as_of in self.heard_as_of.items():
            before = [one.as_of.get(region, 0.0) for one in self.missing.values()]
            self.confirmed_as_of[region] = min([as_of, *before])
