"""A control node: grants leases, gathers what proxies say, and tells each what it subscribed to.

Pure: events in, actions out; ``now`` is ms of a clock that never runs backwards. Membership among the nodes
is the fleet's own (``martentide/fleet/``): the host hands in who of them is up, and carries their messages.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from martentide.control.budget import TokenBucket
from martentide.control.messages import (
    AskAnew,
    BetweenNodes,
    Granted,
    Heartbeat,
    Join,
    Leave,
    StateEntry,
    Summary,
    ToNode,
    ToProxy,
    TurnedAway,
    size,
)
from martentide.control.placement import NodeInfo
from martentide.control.shares import DetailKey, Shares, SumKey, digest
from martentide.control.subscriber import Subscriber
from martentide.control.terms import ControlTerms

SUMMARY_ROOM = 1_100  # bytes of entries in one message between nodes: it travels inside a datagram
MOST_EARLY = 512  # summaries of one node that wait for one before them
GAP_LIMIT = 500.0  # ms for which they wait, before the whole set is asked for
SUMMARY_GAP = 1_000.0  # ms without a change after which a node says all the same that it lives
SHED_AT_A_TIME = 4  # leases that a node with too many gives up at one look
HURRIED_JOIN = 3  # times the join pace after which a proxy is told to come back


@dataclass(frozen=True, slots=True)
class FromProxy:
    message: ToNode
    address: Hashable


@dataclass(frozen=True, slots=True)
class FromPeer:
    message: BetweenNodes


@dataclass(frozen=True, slots=True)
class PeerUp:
    name: str


@dataclass(frozen=True, slots=True)
class PeerDown:
    name: str


@dataclass(frozen=True, slots=True)
class Due:
    """The time ``due`` has come."""


Event = FromProxy | FromPeer | PeerUp | PeerDown | Due


@dataclass(frozen=True, slots=True)
class SendToProxy:
    address: Hashable
    message: ToProxy


@dataclass(frozen=True, slots=True)
class SendToPeer:
    to: str
    message: BetweenNodes


Action = SendToProxy | SendToPeer


@dataclass(slots=True)
class Peer:
    """Another control node as this one knows it."""

    info: NodeInfo
    up: bool = False
    heard: float = -math.inf
    leases: int = 0
    series: int = -1  # of its summaries, and the number of the last one that was taken
    number: int = 0
    early: dict[int, Summary] = field(default_factory=dict)  # that came ahead of one before them
    gap_since: float | None = None
    asked_at: float = -math.inf  # for the whole set
    told: int = 0  # number of the last summary to it, and its series
    told_series: int = 0
    waiting: OrderedDict[DetailKey, None] = field(default_factory=OrderedDict)
    anew: bool = True
    sent: float = -math.inf


class ControlNode:
    """``nodes`` are all control nodes of the fleet, this one among them."""

    def __init__(
        self, name: str, nodes: Iterable[NodeInfo], terms: ControlTerms, now: float, series: int = 0
    ) -> None:
        """``series``: above those of earlier processes of that name."""
        self.series = series
        infos = {info.name: info for info in nodes}
        self.info, self.terms = infos[name], terms
        self.name, self.region = name, self.info.region
        self.peers = {info.name: Peer(info) for info in infos.values() if info.name != name}
        self.shares = Shares(name)
        self.leases: dict[str, Subscriber] = {}
        self.by_service: dict[str, dict[str, Subscriber]] = {}
        self.pending: dict[str, Subscriber] = {}  # who has something waiting
        self.joins = TokenBucket(terms.joins_s, terms.joins_burst, now)
        self.counts: Counter[str] = Counter()
        self.now = now
        self.due = now + terms.flush
        self.expiry_due = now + terms.flush
        self.ages: dict[str, int] = {}
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        self.now = now
        match event:
            case FromProxy(message, address):
                self._from_proxy(message, address, now)
            case FromPeer(message):
                self._from_peer(message, now)
            case PeerUp(name):
                self._peer_up(name)
            case PeerDown(name):
                if (peer := self.peers.get(name)) is not None:
                    peer.up, peer.series = False, -1  # its next process may count from anywhere
            case Due():
                self._due(now)
        return self.actions

    # ---- leases -----------------------------------------------------------------------------------------

    def _from_proxy(self, message: ToNode, address: Hashable, now: float) -> None:
        match message:
            case Join():
                self._join(message, address, now)
            case Heartbeat():
                self._heartbeat(message, address, now)
            case Leave():
                known = self.leases.get(message.name)
                if known is not None and known.epoch == message.epoch:
                    self._end_lease(known)

    def _join(self, join: Join, address: Hashable, now: float) -> None:
        known = self.leases.get(join.name)
        if known is not None and (known.epoch > join.epoch and known.life == join.life):
            self.counts["old-join"] += 1
            return
        if known is None or known.epoch != join.epoch:
            if len(join.held) > self.terms.most_subscriptions:
                self.counts["too-many-subscriptions"] += 1
                return
            if known is None and self._over_bound(1, now):
                self._turn_away(join, address, full=True, retry=0.0)
                return
            if not self.joins.take(now, 1.0):
                self._turn_away(join, address, full=False, retry=self.joins.wait(HURRIED_JOIN))
                return
            if known is not None:
                self._end_lease(known)
            self._grant(join, address, now)
        granted = Granted(self.name, join.epoch, sorted(self.leases[join.name].same))
        self.actions.append(SendToProxy(address, granted))

    def _turn_away(self, join: Join, address: Hashable, full: bool, retry: float) -> None:
        self.counts["full" if full else "hurried"] += 1
        answer = TurnedAway(self.name, join.epoch, full, math.ceil(retry))
        self.actions.append(SendToProxy(address, answer))

    def _grant(self, join: Join, address: Hashable, now: float) -> None:
        subscriber = self.leases[join.name] = Subscriber(join, address, self.terms, now)
        for service in subscriber.services:
            self.by_service.setdefault(service, {})[join.name] = subscriber
        self.shares.set_member(subscriber.key, subscriber.member())
        self._changed_own(subscriber.key, urgent=True)
        for service, held in join.held.items():
            keys = self.shares.keys(service, subscriber.region)
            if held == digest(self.shares.value(key, subscriber.region).entry for key in keys):
                subscriber.same.add(service)
            else:
                subscriber.mark(keys, now)
                self.pending[join.name] = subscriber

    def _heartbeat(self, heartbeat: Heartbeat, address: Hashable, now: float) -> None:
        known = self.leases.get(heartbeat.name)
        if known is None or known.epoch != heartbeat.epoch:
            answer = TurnedAway(self.name, heartbeat.epoch, False, 0, unknown=True)
            self.actions.append(SendToProxy(address, answer))
            return
        known.address = address
        if known.renewed(heartbeat, now):
            self.shares.set_member(known.key, known.member())
            self._changed_own(known.key, urgent=False)
        self._tell(known, now, answer=True)

    def _end_lease(self, subscriber: Subscriber) -> None:
        del self.leases[subscriber.name]
        self.pending.pop(subscriber.name, None)
        for service in subscriber.services:
            table = self.by_service[service]
            del table[subscriber.name]
            if not table:
                del self.by_service[service]
        self.shares.drop_member(subscriber.key, subscriber.name)
        self._changed_own(subscriber.key, urgent=True)

    def _expire(self, now: float) -> None:
        for subscriber in [one for one in self.leases.values() if now - one.heard > self.terms.lease]:
            self.counts["expired"] += 1
            self._end_lease(subscriber)

    # ---- load -------------------------------------------------------------------------------------------

    def bound(self, now: float) -> int:
        """The most leases that this node may hold, by the mean of its region's nodes that are up."""
        peers = [peer for peer in self.peers.values() if peer.info.region == self.region]
        living = [peer for peer in peers if peer.up]
        remembered = [peer for peer in peers if now - peer.heard <= self.terms.load_memory]
        total = len(self.leases) + sum(peer.leases for peer in remembered)
        share = self.info.weight / (self.info.weight + sum(peer.info.weight for peer in living))
        most = max(self.terms.least_bound, math.floor(self.terms.load_bound * total * share))
        return min(self.terms.most_leases, most if living else self.terms.most_leases)

    def _over_bound(self, more: int, now: float) -> bool:
        return len(self.leases) + more > self.bound(now)

    def _shed(self, now: float) -> None:
        """Ask a few proxies to go elsewhere where this node holds too many: a node has come back."""
        beyond = len(self.leases) - self.bound(now)
        if beyond <= 0:
            return
        for subscriber in list(self.leases.values())[-min(beyond, SHED_AT_A_TIME) :]:
            self.counts["shed"] += 1
            answer = TurnedAway(self.name, subscriber.epoch, True, 0)
            self.actions.append(SendToProxy(subscriber.address, answer))

    # ---- telling subscribers ----------------------------------------------------------------------------

    def _changed(self, key: DetailKey, urgent: bool) -> None:
        """Mark the key for all that may hold it: as it is in its own region, as a sum in the others."""
        service, region, zone = key
        for subscriber in self.by_service.get(service, {}).values():
            mine = key if zone and subscriber.region == region else (service, region, "")
            subscriber.mark((mine,), self.now, urgent)
            self.pending[subscriber.name] = subscriber

    def _changed_own(self, key: DetailKey, urgent: bool) -> None:
        self._changed(key, urgent)
        for peer in self.peers.values():
            near = peer.info.region == self.region
            mine: DetailKey = key if near else (key[0], key[1], "")
            peer.waiting[mine] = None

    def _tell(self, subscriber: Subscriber, now: float, answer: bool) -> None:
        shares, region = self.shares, subscriber.region
        update = subscriber.update(
            self.name, self.ages, lambda key: shares.value(key, region), now, answer
        )  # fmt: skip
        if update is not None:
            self.actions.append(SendToProxy(subscriber.address, update))
        if not subscriber.waiting:
            self.pending.pop(subscriber.name, None)

    def _region_ages(self, now: float) -> dict[str, int]:
        """ms since the last word of the least heard node of each region that counts here."""
        ages = {self.region: 0.0}
        for peer in self.peers.values():
            if peer.heard > -math.inf and peer.number:
                region = peer.info.region
                ages[region] = max(ages.get(region, 0.0), now - peer.heard)
        return {region: int(age) for region, age in ages.items()}

    # ---- the other nodes --------------------------------------------------------------------------------

    def _peer_up(self, name: str) -> None:
        peer = self.peers.get(name)
        if peer is not None and not peer.up:
            peer.up, peer.anew = True, True

    def _from_peer(self, message: BetweenNodes, now: float) -> None:
        peer = self.peers.get(message.node)
        if peer is None:
            self.counts["stranger"] += 1
            return
        match message:
            case AskAnew():
                peer.anew = True
            case Summary():
                self._summary(peer, message, now)

    def _summary(self, peer: Peer, summary: Summary, now: float) -> None:
        """Take summaries in their order: datagrams overtake each other, and a few are waited for."""
        if summary.series < peer.series:
            return
        if summary.series > peer.series:
            peer.series, peer.number, peer.gap_since = summary.series, 0, None
            peer.early.clear()
        if summary.number > peer.number and len(peer.early) < MOST_EARLY:
            peer.early[summary.number] = summary
        while (following := peer.early.pop(peer.number + 1, None)) is not None:
            self._take_summary(peer, following, now)
        if not peer.early:
            peer.gap_since = None
        elif peer.gap_since is None:
            peer.gap_since = now
        elif now - max(peer.gap_since, peer.asked_at) > GAP_LIMIT:
            peer.asked_at = now
            self.actions.append(SendToPeer(peer.info.name, AskAnew(self.name)))

    def _take_summary(self, peer: Peer, summary: Summary, now: float) -> None:
        whole = summary.number == 1
        if whole:
            for key in self.shares.drop_source(peer.info.name):
                self._changed(key, urgent=False)
        peer.heard, peer.number, peer.leases = now, summary.number, summary.leases
        for entry in summary.entries:
            moved = self.shares.set_share(peer.info.name, entry)
            self._changed(entry.key, urgent=moved and not whole)

    def _tell_peer(self, peer: Peer, now: float) -> None:
        if not peer.up:
            return
        near = peer.info.region == self.region
        anew = peer.anew
        if anew:
            keys = self.shares.own_keys()
            peer.waiting = OrderedDict.fromkeys(keys if near else [(key[0], key[1], "") for key in keys])
            peer.anew, peer.told = False, 0
            self.series += 1
            peer.told_series = self.series
        if not peer.waiting and not anew and now - peer.sent < SUMMARY_GAP:
            return
        while True:
            entries: list[StateEntry] = []
            room = SUMMARY_ROOM
            while peer.waiting:
                entry = self._own(next(iter(peer.waiting)))
                room -= size(entry)
                if room < 0 and entries:
                    break
                peer.waiting.popitem(last=False)
                entries.append(entry)
            peer.told += 1
            peer.sent = now
            told = Summary(self.name, self.region, len(self.leases), peer.told_series, peer.told, entries)
            self.actions.append(SendToPeer(peer.info.name, told))
            if not peer.waiting:
                return

    def _own(self, key: DetailKey) -> StateEntry:
        service, region, zone = key
        sum_key: SumKey = (service, region)
        return self.shares.own_share(key) if zone else self.shares.own_sum(sum_key)

    def _forget_peers(self, now: float) -> None:
        """A node that is silent counts no more, where its proxies can be elsewhere by now. Of a region that
        is cut off whole, what was last known stays, marked by its age."""
        heard = {
            peer.info.region for peer in self.peers.values() if now - peer.heard <= self.terms.peer_end
        } | {self.region}
        for peer in self.peers.values():
            if peer.number and now - peer.heard > self.terms.peer_end and peer.info.region in heard:
                peer.number, peer.series = 0, -1
                for key in self.shares.drop_source(peer.info.name):
                    self._changed(key, urgent=True)

    # ---- time -------------------------------------------------------------------------------------------

    def _due(self, now: float) -> None:
        if now < self.due:
            return
        self.due = now + self.terms.flush
        self.ages = self._region_ages(now)
        if now >= self.expiry_due:
            self.expiry_due = now + self.terms.flush
            self._expire(now)
            self._forget_peers(now)
            self._shed(now)
        for subscriber in list(self.pending.values()):
            self._tell(subscriber, now, answer=False)
        for peer in self.peers.values():
            self._tell_peer(peer, now)
