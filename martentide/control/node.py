"""A control node: grants leases, aggregates the state of proxies and sends each the state it subscribes to.

Pure: events in, actions out; ``now`` is in ms of a monotonic clock. Membership among the nodes is detected by
the fleet protocol (``martentide/fleet/``): the host reports which nodes are up and carries their messages.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from martentide.control.messages import (
    BetweenNodes,
    Heartbeat,
    Join,
    LeaseGranted,
    LeaseRefused,
    Leave,
    SnapshotRequest,
    StateEntry,
    Summary,
    ToNode,
    ToProxy,
    entry_size,
)
from martentide.control.placement import NodeInfo
from martentide.control.service_table import DetailKey, ServiceTable, SumKey, digest
from martentide.control.subscriber import Subscriber
from martentide.control.terms import ControlTerms
from martentide.control.token_bucket import TokenBucket

SUMMARY_MAX_BYTES = 1_100  # bytes of entries in one message between nodes: it is carried inside a datagram
MAX_OUT_OF_ORDER = 512  # buffered summaries of one node that wait for an earlier one
GAP_TIMEOUT_MS = 500.0  # wait for a missing summary before a snapshot is requested
SUMMARY_KEEPALIVE_MS = 1_000.0  # without a change, after which an empty summary is sent as a keepalive
MAX_SHED_PER_PASS = 4  # leases that an overloaded node sheds in one pass
JOIN_RETRY_TOKENS = 3  # tokens that must be available when a refused proxy retries


@dataclass(frozen=True, slots=True)
class FromProxy:
    """A message received from a proxy; ``address`` is opaque to the core."""

    message: ToNode
    address: Hashable


@dataclass(frozen=True, slots=True)
class FromPeer:
    """A message received from another control node."""

    message: BetweenNodes


@dataclass(frozen=True, slots=True)
class PeerUp:
    """Membership found the node alive."""

    name: str


@dataclass(frozen=True, slots=True)
class PeerDown:
    """Membership found the node dead or gone."""

    name: str


@dataclass(frozen=True, slots=True)
class Due:
    """The time ``ControlNode.due`` has been reached."""


Event = FromProxy | FromPeer | PeerUp | PeerDown | Due


@dataclass(frozen=True, slots=True)
class SendToProxy:
    """Send ``message`` to the proxy at ``address``."""

    address: Hashable
    message: ToProxy


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send ``message`` to the control node named ``to``."""

    to: str
    message: BetweenNodes


Action = SendToProxy | SendToPeer


@dataclass(slots=True)
class Peer:
    """Another control node: its liveness, the summaries received from it and those sent to it."""

    info: NodeInfo
    up: bool = False
    last_received_at: float = -math.inf
    leases: int = 0
    series: int = -1  # of its summaries; ``applied_number`` is the last one applied
    applied_number: int = 0
    # Summaries by number, received before an earlier one.
    out_of_order: dict[int, Summary] = field(default_factory=dict)
    gap_since: float | None = None
    snapshot_requested_at: float = -math.inf
    sent_number: int = 0  # last summary sent to it, within ``sent_series``
    sent_series: int = 0
    pending: OrderedDict[DetailKey, None] = field(default_factory=OrderedDict)
    needs_snapshot: bool = True
    last_sent_at: float = -math.inf


class ControlNode:
    """State machine of one control node. ``nodes``: all control nodes of the fleet, including this one."""

    def __init__(
        self, name: str, nodes: Iterable[NodeInfo], terms: ControlTerms, now: float, series: int = 0
    ) -> None:
        """``series`` must exceed that of every earlier process of this name."""
        self.series = series
        infos = {info.name: info for info in nodes}
        self.info, self.terms = infos[name], terms
        self.name, self.region = name, self.info.region
        self.peers = {info.name: Peer(info) for info in infos.values() if info.name != name}
        self.service_table = ServiceTable(name)
        self.leases: dict[str, Subscriber] = {}
        self.by_service: dict[str, dict[str, Subscriber]] = {}
        self.pending: dict[str, Subscriber] = {}  # subscribers with queued changes
        self.join_bucket = TokenBucket(terms.joins_per_s, terms.joins_burst, now)
        self.counts: Counter[str] = Counter()
        self.now = now
        self.due = now + terms.flush
        self.expiry_due = now + terms.flush
        self.region_ages: dict[str, int] = {}
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out."""
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
                    peer.up, peer.series = False, -1  # a restarted process may begin at any series
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
                subscriber = self.leases.get(message.name)
                if subscriber is not None and subscriber.epoch == message.epoch:
                    self._end_lease(subscriber)

    def _join(self, join: Join, address: Hashable, now: float) -> None:
        subscriber = self.leases.get(join.name)
        if subscriber is not None and (
            subscriber.epoch > join.epoch and subscriber.incarnation == join.incarnation
        ):
            self.counts["old-join"] += 1
            return
        if subscriber is None or subscriber.epoch != join.epoch:
            if len(join.digests) > self.terms.max_subscriptions:
                self.counts["too-many-subscriptions"] += 1
                return
            if subscriber is None and self._exceeds_limit(1, now):
                self._refuse(join, address, full=True, retry=0.0)
                return
            if not self.join_bucket.take(now, 1.0):
                self._refuse(join, address, full=False, retry=self.join_bucket.time_until(JOIN_RETRY_TOKENS))
                return
            if subscriber is not None:
                self._end_lease(subscriber)
            self._grant(join, address, now)
        granted = LeaseGranted(self.name, join.epoch, sorted(self.leases[join.name].matching_services))
        self.actions.append(SendToProxy(address, granted))

    def _refuse(self, join: Join, address: Hashable, full: bool, retry: float) -> None:
        self.counts["full" if full else "hurried"] += 1
        answer = LeaseRefused(self.name, join.epoch, full, math.ceil(retry))
        self.actions.append(SendToProxy(address, answer))

    def _grant(self, join: Join, address: Hashable, now: float) -> None:
        subscriber = self.leases[join.name] = Subscriber(join, address, self.terms, now)
        for service in subscriber.services:
            self.by_service.setdefault(service, {})[join.name] = subscriber
        self.service_table.set_member(subscriber.key, subscriber.member())
        self._mark_own_changed(subscriber.key, urgent=True)
        for service, held_digest in join.digests.items():
            keys = self.service_table.keys(service, subscriber.region)
            if held_digest == digest(self.service_table.entry(key, subscriber.region).entry for key in keys):
                subscriber.matching_services.add(service)
            else:
                subscriber.mark_changed(keys, now)
                self.pending[join.name] = subscriber

    def _heartbeat(self, heartbeat: Heartbeat, address: Hashable, now: float) -> None:
        subscriber = self.leases.get(heartbeat.name)
        if subscriber is None or subscriber.epoch != heartbeat.epoch:
            answer = LeaseRefused(self.name, heartbeat.epoch, False, 0, unknown=True)
            self.actions.append(SendToProxy(address, answer))
            return
        subscriber.address = address
        if subscriber.apply_heartbeat(heartbeat, now):
            self.service_table.set_member(subscriber.key, subscriber.member())
            self._mark_own_changed(subscriber.key, urgent=False)
        self._send_update(subscriber, now, answer=True)

    def _end_lease(self, subscriber: Subscriber) -> None:
        del self.leases[subscriber.name]
        self.pending.pop(subscriber.name, None)
        for service in subscriber.services:
            table = self.by_service[service]
            del table[subscriber.name]
            if not table:
                del self.by_service[service]
        self.service_table.drop_member(subscriber.key, subscriber.name)
        self._mark_own_changed(subscriber.key, urgent=True)

    def _expire(self, now: float) -> None:
        for subscriber in [
            one for one in self.leases.values() if now - one.last_received_at > self.terms.lease
        ]:
            self.counts["expired"] += 1
            self._end_lease(subscriber)

    # ---- load -------------------------------------------------------------------------------------------

    def lease_limit(self, now: float) -> int:
        """Return the lease limit: ``load_bound`` times this node's weighted share of the region's leases."""
        peers = [peer for peer in self.peers.values() if peer.info.region == self.region]
        live_peers = [peer for peer in peers if peer.up]
        counted_peers = [peer for peer in peers if now - peer.last_received_at <= self.terms.load_retention]
        total = len(self.leases) + sum(peer.leases for peer in counted_peers)
        share = self.info.weight / (self.info.weight + sum(peer.info.weight for peer in live_peers))
        limit = max(self.terms.min_bound, math.floor(self.terms.load_bound * total * share))
        return min(self.terms.max_leases, limit if live_peers else self.terms.max_leases)

    def _exceeds_limit(self, more: int, now: float) -> bool:
        return len(self.leases) + more > self.lease_limit(now)

    def _shed(self, now: float) -> None:
        """Ask a few proxies to move while this node is over its limit, as after another node returned."""
        excess = len(self.leases) - self.lease_limit(now)
        if excess <= 0:
            return
        for subscriber in list(self.leases.values())[-min(excess, MAX_SHED_PER_PASS) :]:
            self.counts["shed"] += 1
            answer = LeaseRefused(self.name, subscriber.epoch, True, 0)
            self.actions.append(SendToProxy(subscriber.address, answer))

    # ---- updates to subscribers -------------------------------------------------------------------------

    def _mark_changed(self, key: DetailKey, urgent: bool) -> None:
        """Queue the key for all subscribers of the service: by zone in its region, as a sum in others."""
        service, region, zone = key
        for subscriber in self.by_service.get(service, {}).values():
            visible_key = key if zone and subscriber.region == region else (service, region, "")
            subscriber.mark_changed((visible_key,), self.now, urgent)
            self.pending[subscriber.name] = subscriber

    def _mark_own_changed(self, key: DetailKey, urgent: bool) -> None:
        self._mark_changed(key, urgent)
        for peer in self.peers.values():
            same_region = peer.info.region == self.region
            visible_key: DetailKey = key if same_region else (key[0], key[1], "")
            peer.pending[visible_key] = None

    def _send_update(self, subscriber: Subscriber, now: float, answer: bool) -> None:
        service_table, region = self.service_table, subscriber.region
        update = subscriber.build_update(
            self.name, self.region_ages, lambda key: service_table.entry(key, region), now, answer
        )  # fmt: skip
        if update is not None:
            self.actions.append(SendToProxy(subscriber.address, update))
        if not subscriber.pending:
            self.pending.pop(subscriber.name, None)

    def _region_ages(self, now: float) -> dict[str, int]:
        """Return per region the ms since the last summary of a node, the highest over all nodes whose entries
        are held."""
        ages = {self.region: 0.0}
        for peer in self.peers.values():
            if peer.last_received_at > -math.inf and peer.applied_number:
                region = peer.info.region
                ages[region] = max(ages.get(region, 0.0), now - peer.last_received_at)
        return {region: int(age) for region, age in ages.items()}

    # ---- the other nodes --------------------------------------------------------------------------------

    def _peer_up(self, name: str) -> None:
        peer = self.peers.get(name)
        if peer is not None and not peer.up:
            peer.up, peer.needs_snapshot = True, True

    def _from_peer(self, message: BetweenNodes, now: float) -> None:
        peer = self.peers.get(message.node)
        if peer is None:
            self.counts["stranger"] += 1
            return
        match message:
            case SnapshotRequest():
                peer.needs_snapshot = True
            case Summary():
                self._receive_summary(peer, message, now)

    def _receive_summary(self, peer: Peer, summary: Summary, now: float) -> None:
        """Apply summaries in order. Datagrams may be reordered, so later ones are buffered; after
        ``GAP_TIMEOUT_MS`` without the missing one a snapshot is requested."""
        if summary.series < peer.series:
            return
        if summary.series > peer.series:
            peer.series, peer.applied_number, peer.gap_since = summary.series, 0, None
            peer.out_of_order.clear()
        if summary.number > peer.applied_number and len(peer.out_of_order) < MAX_OUT_OF_ORDER:
            peer.out_of_order[summary.number] = summary
        while (following := peer.out_of_order.pop(peer.applied_number + 1, None)) is not None:
            self._apply_summary(peer, following, now)
        if not peer.out_of_order:
            peer.gap_since = None
        elif peer.gap_since is None:
            peer.gap_since = now
        elif now - max(peer.gap_since, peer.snapshot_requested_at) > GAP_TIMEOUT_MS:
            peer.snapshot_requested_at = now
            self.actions.append(SendToPeer(peer.info.name, SnapshotRequest(self.name)))

    def _apply_summary(self, peer: Peer, summary: Summary, now: float) -> None:
        is_snapshot = summary.number == 1
        if is_snapshot:
            for key in self.service_table.drop_source(peer.info.name):
                self._mark_changed(key, urgent=False)
        peer.last_received_at, peer.applied_number, peer.leases = now, summary.number, summary.leases
        for entry in summary.entries:
            members_changed = self.service_table.set_entry(peer.info.name, entry)
            self._mark_changed(entry.key, urgent=members_changed and not is_snapshot)

    def _send_summaries(self, peer: Peer, now: float) -> None:
        if not peer.up:
            return
        same_region = peer.info.region == self.region
        send_snapshot = peer.needs_snapshot
        if send_snapshot:
            keys = self.service_table.own_keys()
            peer.pending = OrderedDict.fromkeys(
                keys if same_region else [(key[0], key[1], "") for key in keys]
            )
            peer.needs_snapshot, peer.sent_number = False, 0
            self.series += 1
            peer.sent_series = self.series
        if not peer.pending and not send_snapshot and now - peer.last_sent_at < SUMMARY_KEEPALIVE_MS:
            return
        while True:
            entries: list[StateEntry] = []
            remaining_bytes = SUMMARY_MAX_BYTES
            while peer.pending:
                entry = self._own_entry(next(iter(peer.pending)))
                remaining_bytes -= entry_size(entry)
                if remaining_bytes < 0 and entries:
                    break
                peer.pending.popitem(last=False)
                entries.append(entry)
            peer.sent_number += 1
            peer.last_sent_at = now
            summary = Summary(
                self.name, self.region, len(self.leases), peer.sent_series, peer.sent_number, entries
            )
            self.actions.append(SendToPeer(peer.info.name, summary))
            if not peer.pending:
                return

    def _own_entry(self, key: DetailKey) -> StateEntry:
        service, region, zone = key
        sum_key: SumKey = (service, region)
        return self.service_table.own_entry(key) if zone else self.service_table.own_sum(sum_key)

    def _drop_silent_peers(self, now: float) -> None:
        """Drop the entries of a node silent for ``peer_timeout``: its proxies can have moved by now. If a
        whole region is silent, its last known entries stay and only their age grows."""
        reachable_regions = {
            peer.info.region
            for peer in self.peers.values()
            if now - peer.last_received_at <= self.terms.peer_timeout
        } | {self.region}
        for peer in self.peers.values():
            if (
                peer.applied_number
                and now - peer.last_received_at > self.terms.peer_timeout
                and peer.info.region in reachable_regions
            ):
                peer.applied_number, peer.series = 0, -1
                for key in self.service_table.drop_source(peer.info.name):
                    self._mark_changed(key, urgent=True)

    # ---- time -------------------------------------------------------------------------------------------

    def _due(self, now: float) -> None:
        if now < self.due:
            return
        self.due = now + self.terms.flush
        self.region_ages = self._region_ages(now)
        if now >= self.expiry_due:
            self.expiry_due = now + self.terms.flush
            self._expire(now)
            self._drop_silent_peers(now)
            self._shed(now)
        for subscriber in list(self.pending.values()):
            self._send_update(subscriber, now, answer=False)
        for peer in self.peers.values():
            self._send_summaries(peer, now)
