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
    LeaseRefused,
    Update,
)
from martentide.control.placement import NodeInfo, preference
from martentide.control.service_table import DetailKey, digest
from martentide.control.terms import ControlTerms

MAX_MISSING = 64  # numbers of updates that are asked for again in one heartbeat
MAX_JOIN_SLOWDOWN = 5.0  # times the join pace between two tries of one that has found no node at all


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
class Isolated:
    """No node grants a lease: the proxy acts as one without a fleet."""


Action = SendToNode | Attached | Isolated


@dataclass(slots=True)
class HeldEntry:
    entry: StateEntry
    as_of: float
    epoch: int  # the epoch under which it came or was found to be the same


@dataclass(slots=True)
class MissingUpdate:
    """An update that did not come. ``beat``: the first that told of it, 0 for none yet; ``as_of``: what was
    known by the one before it, by region."""

    reported_in_beat: int
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
        self.rng = random.Random(seed)
        self.incarnation = self.rng.getrandbits(62) + 1
        infos = tuple(nodes)
        self.order = preference(info.name, info.region, infos)
        self.home_nodes = {node.name for node in infos if node.region == info.region}
        self.home_return_at: float | None = None  # when to go back to a node of the own region
        self.node_index = 0  # place in the order of the node that is asked or held
        self.failed_joins = 0  # nodes in a row that gave no lease
        self.epoch = epoch
        self.attached = self.isolated = self.departed = False
        self.last_received_at = now
        self.own_state = OwnState(0, 0)
        self.entries: dict[DetailKey, HeldEntry] = {}
        self.confirmed_as_of: dict[str, float] = {}
        self.last_number = 0
        self.beat = 0
        self.missing: dict[int, MissingUpdate] = {}  # by number
        self.update_as_of: dict[str, float] = {}  # by region, by the last update alone
        self.synchronized = True  # what an earlier node told and this one does not is gone
        self.due = now + self.rng.uniform(0.0, terms.join_retry)
        self.actions: list[Action] = []

    @property
    def node(self) -> str:
        return self.order[self.node_index]

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        match event:
            case FromNode(message):
                self._from_node(message, now)
            case OwnState():
                self.own_state = event
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
        if held.epoch == self.epoch:
            as_of = max(as_of, self.confirmed_as_of.get(held.entry.region, as_of))
        return now - as_of

    def state(self, service: str, now: float) -> list[StateEntry]:
        """The entries of a service that may be acted on: none that is past its end."""
        return [
            held.entry
            for key, held in self.entries.items()
            if key[0] == service and self.age(key, now) < self.terms.entry_ttl
        ]

    # ---- the lease --------------------------------------------------------------------------------------

    def _due(self, now: float) -> None:
        if self.departed or now < self.due:
            return
        if not self.attached:
            self._select_next_node(now)
            self._join(now)
        elif now - self.last_received_at > self.terms.node_timeout:
            self._node_timed_out(now)
        elif self.home_return_at is not None and now >= self.home_return_at:
            self._return_home(now)
        else:
            self._heartbeat(now)

    def _join(self, now: float) -> None:
        held = {service: self._digest(service) for service in self.info.services}
        info, own = self.info, self.own_state
        join = Join(
            info.name, self.incarnation, self.epoch, info.region, info.zone, info.service, own.capacity,
            own.pressure, held,
        )  # fmt: skip
        self.actions.append(SendToNode(self.node, join))
        slower = min(MAX_JOIN_SLOWDOWN, max(1.0, self.failed_joins / len(self.order)))
        self.due = now + self.terms.join_retry * slower * self.rng.uniform(0.5, 1.5)

    def _select_next_node(self, now: float) -> None:
        """The last try, if there was one, has had no answer."""
        if self.failed_joins and self.failed_joins % len(self.order) == 0 and not self.isolated:
            self.isolated = True
            self.actions.append(Isolated())
        if self.failed_joins:
            self.node_index = (self.node_index + 1) % len(self.order)
            self.epoch += 1
        self.failed_joins += 1

    def _node_timed_out(self, now: float) -> None:
        """The node is silent: to the next one, each proxy at its own moment."""
        self.attached = False
        self.failed_joins = 1
        self.due = now + self.rng.uniform(0.0, self.terms.join_retry / 2.0)

    def _return_home(self, now: float) -> None:
        """Give the lease in another region back, and ask the own region's nodes from the first on."""
        self.actions.append(SendToNode(self.node, Leave(self.info.name, self.epoch)))
        self.attached, self.home_return_at = False, None
        self.node_index, self.failed_joins = 0, 1
        self.epoch += 1
        self._join(now)

    def _heartbeat(self, now: float) -> None:
        self.beat += 1
        missing = sorted(self.missing)[:MAX_MISSING]
        for number in missing:
            self.missing[number].reported_in_beat = self.missing[number].reported_in_beat or self.beat
        own = self.own_state
        beat = Heartbeat(
            self.info.name, self.epoch, self.beat, own.capacity, own.pressure, self.last_number, missing
        )
        self.actions.append(SendToNode(self.node, beat))
        self.due = now + self.terms.heartbeat * self.rng.uniform(0.95, 1.05)

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
            case LeaseRefused():
                self._refused(message, now)
            case Update() if self.attached:
                self._update(message, now)

    def _granted(self, same: frozenset[str], now: float) -> None:
        if self.attached:
            return
        for key, held in self.entries.items():
            if key[0] in same:
                held.epoch = self.epoch
        self.attached, self.isolated, self.failed_joins = True, False, 0
        self.last_received_at, self.last_number, self.synchronized = now, 0, False
        self.update_as_of = {}
        self.missing.clear()
        self.actions.append(Attached(self.node))
        self.due = now + self.terms.heartbeat * self.rng.uniform(0.0, 1.0)

    def _refused(self, answer: LeaseRefused, now: float) -> None:
        if answer.unknown or (answer.full and self.attached):
            if self.attached and not answer.unknown:
                self.actions.append(SendToNode(self.node, Leave(self.info.name, self.epoch)))
            self.attached, self.failed_joins = False, 0 if answer.unknown else 1
            self.epoch += 1 if answer.unknown else 0
            self.due = now
        elif answer.full:
            self.due = now + self.terms.full_retry * self.rng.uniform(0.8, 1.2)
        elif not self.attached:
            self.failed_joins = 0  # it is there: to the same node again, when it has time
            self.due = now + answer.retry_after + self.rng.uniform(0.0, self.terms.join_retry)

    # ---- state ------------------------------------------------------------------------------------------

    def _digest(self, service: str) -> int:
        held = [one.entry for key, one in self.entries.items() if key[0] == service]
        return digest(held) if held else 0

    def _update(self, update: Update, now: float) -> None:
        self.last_received_at = now
        self._track_missing(update)
        for entry in update.entries:
            as_of = now - update.ages.get(entry.region, 0)
            if not entry.up:
                self.entries.pop(entry.key, None)
            else:
                self.entries[entry.key] = HeldEntry(entry, as_of, self.epoch)
        self._confirm(update, now)
        self._schedule_home_return(update, now)

    def _track_missing(self, update: Update) -> None:
        """Which updates are missing: the node tells what they held again, under a new number, once it has
        heard the beat that says so."""
        if update.number > self.last_number:
            for number in range(max(self.last_number + 1, update.number - MAX_MISSING), update.number):
                self.missing[number] = MissingUpdate(0, self.update_as_of)
            self.last_number = update.number
        self.missing.pop(update.number, None)
        told_again = [number for number, one in self.missing.items() if 0 < one.reported_in_beat <= update.beat]
        for number in told_again:
            del self.missing[number]

    def _schedule_home_return(self, update: Update, now: float) -> None:
        """Away from home, go back once nodes of the own region are heard of there, at a moment by chance."""
        there = update.ages.get(self.info.region, self.terms.lease) < self.terms.lease
        if self.node in self.home_nodes or not self.home_nodes or not there:
            self.home_return_at = None
        elif self.home_return_at is None:
            self.home_return_at = now + self.terms.home_retry * self.rng.random()

    def _confirm(self, update: Update, now: float) -> None:
        """What came under this lease is as old as the node says; once nothing waits, it is all there is."""
        if not self.synchronized and not update.backlog_age and not self.missing:
            self.synchronized = True
            self.entries = {key: held for key, held in self.entries.items() if held.epoch == self.epoch}
        self.update_as_of = {region: now - age - update.backlog_age for region, age in update.ages.items()}
        for region, as_of in self.update_as_of.items():
            before = [one.as_of.get(region, 0.0) for one in self.missing.values()]
            self.confirmed_as_of[region] = min([as_of, *before])
