"""One proxy as its control node sees it: its lease and the queue of changes to send to it.

The queue holds each key once, however often it changes, so the subscriptions bound its length. Entries that
are not acknowledged in time are queued again. A slow subscriber delays no other.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable

from martentide.control.messages import Heartbeat, Join, MemberState, StateEntry, Update
from martentide.control.service_table import DetailKey, SizedEntry
from martentide.control.terms import IP_UDP_HEADER_BYTES, ControlTerms
from martentide.control.token_bucket import TokenBucket
from martentide.fleet.terms import MAX_DATAGRAM_BYTES
from martentide.fleet.wire import CHECK_BYTES, HEADER_BYTES

# Bytes of an update without ages and entries.
UPDATE_BASE = IP_UDP_HEADER_BYTES + HEADER_BYTES + CHECK_BYTES + 24
AGE_BYTES = 4  # of one region's age, besides its name

EntryLookup = Callable[[DetailKey], SizedEntry]


class Subscriber:
    """A lease and its update queue. ``address`` is opaque here; only the host uses it."""

    def __init__(self, join: Join, address: Hashable, terms: ControlTerms, now: float) -> None:
        self.name, self.incarnation, self.epoch = join.name, join.incarnation, join.epoch
        self.region, self.zone, self.service = join.region, join.zone, join.service
        self.capacity, self.pressure = join.capacity, join.pressure
        self.services = frozenset(join.digests)
        self.address, self.terms = address, terms
        self.last_received_at = now
        self.pending: OrderedDict[DetailKey, float] = (
            OrderedDict()
        )  # key to the time in ms since which it is queued
        self.sent_entries: dict[
            DetailKey, StateEntry
        ] = {}  # entries the proxy holds, assuming that no update was lost
        self.unacknowledged: OrderedDict[int, tuple[float, tuple[DetailKey, ...]]] = OrderedDict()
        self.last_number = 0
        self.beat = 0
        # Starts empty: the previous node may have sent a whole burst within this second.
        self.bucket = TokenBucket(terms.update_bytes_per_s, terms.update_burst, now, initial=0.0)
        self.matching_services: set[str] = set()  # services whose digest matched at the join

    @property
    def key(self) -> DetailKey:
        """The zone that the proxy is a member of."""
        return (self.service, self.region, self.zone)

    def member(self) -> MemberState:
        """Return the published state of the member."""
        return MemberState(self.name, self.epoch, self.capacity, self.pressure)

    def mark_changed(self, keys: Iterable[DetailKey], now: float, urgent: bool = False) -> None:
        """Queue changed keys. ``urgent`` ones (members that joined or died) go to the front, ahead of
        changes of pressure. Other queued keys keep their position, so that a constantly changing key is
        sent too."""
        for key in keys:
            self.pending.setdefault(key, now)
            if urgent:
                self.pending.move_to_end(key, last=False)

    def backlog_age(self, now: float) -> int:
        """Return the ms for which the oldest change has been queued, 0 for an empty queue."""
        return math.ceil(now - min(self.pending.values())) + 1 if self.pending else 0

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Renew the lease; return whether the published state of the member changed."""
        self.last_received_at = now
        self.beat = max(self.beat, heartbeat.beat)
        self._process_acknowledgements(heartbeat, now)
        pressure_changed = abs(heartbeat.pressure - self.pressure) >= self.terms.pressure_step
        pressure_ended = heartbeat.pressure != self.pressure and heartbeat.pressure == 0
        changed = pressure_changed or pressure_ended or heartbeat.capacity != self.capacity
        if changed:
            self.capacity, self.pressure = heartbeat.capacity, heartbeat.pressure
        return changed

    def _process_acknowledgements(self, heartbeat: Heartbeat, now: float) -> None:
        lost: list[DetailKey] = []
        for number, (sent_at, keys) in list(self.unacknowledged.items()):
            arrived = number <= heartbeat.received and number not in heartbeat.missing
            if not arrived and now - sent_at < self.terms.resend_after and number > heartbeat.received:
                continue
            del self.unacknowledged[number]
            if not arrived:
                lost += keys
        for key in lost:
            self.sent_entries.pop(key, None)
        self.mark_changed(lost, now)

    def _next_key(self, now: float) -> DetailKey:
        """Return the front of the queue, or the oldest key once it has waited ``max_queue_wait``, so that
        urgent keys cannot starve it."""
        oldest = min(self.pending, key=self.pending.__getitem__)
        return oldest if now - self.pending[oldest] > self.terms.max_queue_wait else next(iter(self.pending))

    def build_update(
        self, node: str, ages: dict[str, int], lookup: EntryLookup, now: float, answer: bool
    ) -> Update | None:
        """Return the next update, or None if nothing is queued or the byte budget or the window is used up.
        The ``answer`` to a heartbeat is always sent and charged to the budget."""
        total_bytes = UPDATE_BASE + sum(len(region) + AGE_BYTES for region in ages)
        remaining_bytes = min(self.bucket.available(now), MAX_DATAGRAM_BYTES) - total_bytes
        if not answer and (
            not self.pending or remaining_bytes <= 0 or len(self.unacknowledged) >= self.terms.window
        ):
            return None
        entries: list[StateEntry] = []
        keys: list[DetailKey] = []
        while self.pending and len(self.unacknowledged) < self.terms.window:
            key = self._next_key(now)
            sized = lookup(key)
            if self.sent_entries.get(key) == sized.entry:  # it changed back, or a node repeated its whole set
                del self.pending[key]
                continue
            if sized.size > remaining_bytes:
                break
            remaining_bytes -= sized.size
            total_bytes += sized.size
            del self.pending[key]
            self.sent_entries[key] = sized.entry
            entries.append(sized.entry)
            keys.append(key)
        if not entries and not answer:
            return None
        self.bucket.spend(now, total_bytes)
        self.last_number += 1
        if keys:
            self.unacknowledged[self.last_number] = (now, tuple(keys))
        return Update(node, self.epoch, self.beat, self.last_number, self.backlog_age(now), ages, entries)
