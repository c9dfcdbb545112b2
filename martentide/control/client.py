"""The proxy side of the control tier: one lease, renewed by heartbeats, and the subscribed state.

Pure: events in, actions out. If no node grants a lease, the proxy works as one without a fleet: it reports
this once and retries at randomized, growing intervals, so that returning nodes are not overloaded.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from martentide.control.messages import (
    Heartbeat,
    Join,
    LeaseGranted,
    LeaseRefused,
    Leave,
    StateEntry,
    ToNode,
    ToProxy,
    Update,
)
from martentide.control.placement import NodeInfo, preference
from martentide.control.service_table import DetailKey, digest
from martentide.control.terms import ControlTerms

MAX_MISSING = 64  # update numbers reported missing in one heartbeat
MAX_JOIN_SLOWDOWN = 5.0  # upper bound of the factor on ``join_retry`` while no node answers


@dataclass(frozen=True, slots=True)
class ProxyInfo:
    """Identity of the proxy; ``services``: its own service and those it calls."""

    name: str
    region: str
    zone: str
    service: str
    services: frozenset[str]


@dataclass(frozen=True, slots=True)
class FromNode:
    """A message received from a control node."""

    message: ToProxy


@dataclass(frozen=True, slots=True)
class OwnState:
    """State of the own session server: ``capacity`` in set-ups per second, ``pressure`` in thousandths."""

    capacity: int
    pressure: int


@dataclass(frozen=True, slots=True)
class Depart:
    """The process stops: release the lease."""


@dataclass(frozen=True, slots=True)
class Due:
    """The time ``ControlClient.due`` has been reached."""


Event = FromNode | OwnState | Depart | Due


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Send ``message`` to that control node."""

    node: str
    message: ToNode


@dataclass(frozen=True, slots=True)
class Attached:
    """That node granted the proxy a lease."""

    node: str


@dataclass(frozen=True, slots=True)
class Isolated:
    """No node grants a lease: the proxy works as one without a fleet."""


Action = SendToNode | Attached | Isolated


@dataclass(slots=True)
class HeldEntry:
    """A received state entry; ``as_of``: the time in ms at which it was current."""

    entry: StateEntry
    as_of: float
    epoch: int  # epoch of the lease under which it was received or confirmed by digest


@dataclass(slots=True)
class MissingUpdate:
    """An update that was not received. ``reported_in_beat``: first heartbeat that reported it, 0 if
    none yet; ``as_of``: by region, the time up to which the state was known before it."""

    reported_in_beat: int
    as_of: dict[str, float]


class ControlClient:
    """State machine of one proxy's lease. Each process draws its own ``incarnation``; ``now`` is in ms of a
    monotonic clock. ``epoch`` of the first lease must exceed those of earlier processes of this name."""

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
        node_infos = tuple(nodes)
        self.order = preference(info.name, info.region, node_infos)
        self.home_nodes = {node.name for node in node_infos if node.region == info.region}
        self.home_return_at: float | None = None  # when to return to a node of the own region
        self.node_index = 0  # index in ``order`` of the node that is asked or holds the lease
        self.failed_joins = 0  # consecutive join attempts without a lease
        self.epoch = epoch
        self.attached = self.isolated = self.departed = False
        self.last_received_at = now
        self.own_state = OwnState(0, 0)
        self.entries: dict[DetailKey, HeldEntry] = {}
        self.confirmed_as_of: dict[str, float] = {}
        self.last_number = 0
        self.beat = 0
        self.missing: dict[int, MissingUpdate] = {}  # by number
        self.update_as_of: dict[str, float] = {}  # by region, from the last update alone
        self.synchronized = True  # whether entries of an earlier lease that this node lacks were removed
        self.due = now + self.rng.uniform(0.0, terms.join_retry)
        self.actions: list[Action] = []

    @property
    def node(self) -> str:
        """The node that is asked for a lease or holds it."""
        return self.order[self.node_index]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out."""
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

    # ---- received state ---------------------------------------------------------------------------------

    def age(self, key: DetailKey, now: float) -> float:
        """Return the ms since the entry was last known to be current; infinite for an unknown key."""
        held = self.entries.get(key)
        if held is None:
            return float("inf")
        as_of = held.as_of
        if held.epoch == self.epoch:
            as_of = max(as_of, self.confirmed_as_of.get(held.entry.region, as_of))
        return now - as_of

    def state(self, service: str, now: float) -> list[StateEntry]:
        """Return the entries of a service that are younger than ``entry_ttl``."""
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
        digests = {service: self._digest(service) for service in self.info.services}
        info, own = self.info, self.own_state
        join = Join(
            info.name, self.incarnation, self.epoch, info.region, info.zone, info.service, own.capacity,
            own.pressure, digests,
        )  # fmt: skip
        self.actions.append(SendToNode(self.node, join))
        slowdown = min(MAX_JOIN_SLOWDOWN, max(1.0, self.failed_joins / len(self.order)))
        self.due = now + self.terms.join_retry * slowdown * self.rng.uniform(0.5, 1.5)

    def _select_next_node(self, now: float) -> None:
        """Move to the next node if the last join got no answer; report isolation after a full round."""
        if self.failed_joins and self.failed_joins % len(self.order) == 0 and not self.isolated:
            self.isolated = True
            self.actions.append(Isolated())
        if self.failed_joins:
            self.node_index = (self.node_index + 1) % len(self.order)
            self.epoch += 1
        self.failed_joins += 1

    def _node_timed_out(self, now: float) -> None:
        """Give up a silent node. The delay is random, so that its proxies do not all join at once."""
        self.attached = False
        self.failed_joins = 1
        self.due = now + self.rng.uniform(0.0, self.terms.join_retry / 2.0)

    def _return_home(self, now: float) -> None:
        """Release the lease in another region and join the nodes of the own region, first choice first."""
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

    # ---- messages of the node ---------------------------------------------------------------------------

    def _from_node(self, message: ToProxy, now: float) -> None:
        if self.departed:
            return
        if message.epoch != self.epoch or message.node != self.node:
            if isinstance(message, LeaseGranted | Update) and message.epoch < self.epoch:
                # A former node still holds a lease and would send updates until its expiry.
                self.actions.append(SendToNode(message.node, Leave(self.info.name, message.epoch)))
            return
        match message:
            case LeaseGranted(_, _, matching_services):
                self._granted(frozenset(matching_services), now)
            case LeaseRefused():
                self._refused(message, now)
            case Update() if self.attached:
                self._update(message, now)

    def _granted(self, matching_services: frozenset[str], now: float) -> None:
        if self.attached:
            return
        for key, held in self.entries.items():
            if key[0] in matching_services:
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
            self.failed_joins = 0  # the node is alive but rate-limits joins: retry at the same node
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
        """Track missing updates. The node sends their entries again under a new number once it has received
        the heartbeat that reports them; an update that answers such a heartbeat clears them."""
        if update.number > self.last_number:
            for number in range(max(self.last_number + 1, update.number - MAX_MISSING), update.number):
                self.missing[number] = MissingUpdate(0, self.update_as_of)
            self.last_number = update.number
        self.missing.pop(update.number, None)
        resent = [number for number, one in self.missing.items() if 0 < one.reported_in_beat <= update.beat]
        for number in resent:
            del self.missing[number]

    def _schedule_home_return(self, update: Update, now: float) -> None:
        """Plan the return to the own region, at a random time, once this node reports that region as live."""
        region_reachable = update.ages.get(self.info.region, self.terms.lease) < self.terms.lease
        if self.node in self.home_nodes or not self.home_nodes or not region_reachable:
            self.home_return_at = None
        elif self.home_return_at is None:
            self.home_return_at = now + self.terms.home_retry * self.rng.random()

    def _confirm(self, update: Update, now: float) -> None:
        """Update the confirmed ages of the entries. Once the node has no backlog and no update is missing,
        the state is complete and entries of earlier leases are removed."""
        if not self.synchronized and not update.backlog_age and not self.missing:
            self.synchronized = True
            self.entries = {key: held for key, held in self.entries.items() if held.epoch == self.epoch}
        self.update_as_of = {region: now - age - update.backlog_age for region, age in update.ages.items()}
        for region, as_of in self.update_as_of.items():
            unconfirmed_as_of = [one.as_of.get(region, 0.0) for one in self.missing.values()]
            self.confirmed_as_of[region] = min([as_of, *unconfirmed_as_of])
