"""One proxy as its control node sees it: its lease, and what of its subscriptions waits to be told.

The queue holds each key once, however often it changes, so it is bounded by the subscriptions; what was told
and is not acknowledged in time waits again. Nobody waits for a slow subscriber.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable

from martentide.control.token_bucket import TokenBucket
from martentide.control.messages import Heartbeat, Join, MemberState, StateEntry, Update
from martentide.control.service_table import DetailKey, SizedEntry
from martentide.control.terms import IP_UDP_HEADER_BYTES, ControlTerms
from martentide.fleet.terms import DATAGRAM
from martentide.fleet.wire import CHECK, HEAD

UPDATE_BASE = IP_UDP_HEADER_BYTES + HEAD + CHECK + 24  # bytes of an update without ages and entries
AGE_BYTES = 4  # of one region's age, beside its name

Value = Callable[[DetailKey], SizedEntry]


class Subscriber:
    """``address`` is the host's own; nothing here looks at it."""

    def __init__(self, join: Join, address: Hashable, terms: ControlTerms, now: float) -> None:
        self.name, self.incarnation, self.epoch = join.name, join.incarnation, join.epoch
        self.region, self.zone, self.service = join.region, join.zone, join.service
        self.capacity, self.pressure = join.capacity, join.pressure
        self.services = frozenset(join.digests)
        self.address, self.terms = address, terms
        self.last_received_at = now
        self.pending: OrderedDict[DetailKey, float] = OrderedDict()  # and since when
        self.sent_entries: dict[DetailKey, StateEntry] = {}  # what it holds, as far as nothing is known to be lost
        self.unacknowledged: OrderedDict[int, tuple[float, tuple[DetailKey, ...]]] = OrderedDict()
        self.last_number = 0
        self.beat = 0
        # Empty at first: the node before may have told a whole burst within this second.
        self.bucket = TokenBucket(terms.update_bytes_per_s, terms.update_burst, now, initial=0.0)
        self.matching_services: set[str] = set()  # services of which it held the same as this node as it joined

    @property
    def key(self) -> DetailKey:
        return (self.service, self.region, self.zone)

    def member(self) -> MemberState:
        return MemberState(self.name, self.epoch, self.capacity, self.pressure)

    def mark_changed(self, keys: Iterable[DetailKey], now: float, urgent: bool = False) -> None:
        """These changed. Who died or came goes ``first``, ahead of changes of pressure; a key that waits
        already keeps its place, so that one which changes all the time is told as well."""
        for key in keys:
            self.pending.setdefault(key, now)
            if urgent:
                self.pending.move_to_end(key, last=False)

    def backlog_age(self, now: float) -> int:
        """ms for which the oldest change waits, 0 where none does."""
        return math.ceil(now - min(self.pending.values())) + 1 if self.pending else 0

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; whether what is told of the member has changed by it."""
        self.last_received_at = now
        self.beat = max(self.beat, heartbeat.beat)
        self._process_acknowledgements(heartbeat, now)
        moved = abs(heartbeat.pressure - self.pressure) >= self.terms.pressure_step
        ended = heartbeat.pressure != self.pressure and heartbeat.pressure == 0
        changed = moved or ended or heartbeat.capacity != self.capacity
        if changed:
            self.capacity, self.pressure = heartbeat.capacity, heartbeat.pressure
        return changed

    def _process_acknowledgements(self, heartbeat: Heartbeat, now: float) -> None:
        lost: list[DetailKey] = []
        for number, (sent, keys) in list(self.unacknowledged.items()):
            come = number <= heartbeat.received and number not in heartbeat.missing
            if not come and now - sent < self.terms.resend_after and number > heartbeat.received:
                continue
            del self.unacknowledged[number]
            if not come:
                lost += keys
        for key in lost:
            self.sent_entries.pop(key, None)
        self.mark_changed(lost, now)

    def _next_key(self, now: float) -> DetailKey:
        """The first in the queue, but for one that has waited long: who comes and goes may not starve it."""
        oldest = min(self.pending, key=self.pending.__getitem__)
        return oldest if now - self.pending[oldest] > self.terms.max_queue_wait else next(iter(self.pending))

    def build_update(
        self, node: str, ages: dict[str, int], value: Value, now: float, answer: bool
    ) -> Update | None:
        """What may be told now; None where there is nothing, or no bytes for it. The ``answer`` to a
        heartbeat goes in any case and is counted."""
        base = UPDATE_BASE + sum(len(region) + AGE_BYTES for region in ages)
        room = min(self.bucket.available(now), DATAGRAM) - base
        if not answer and (not self.pending or room <= 0 or len(self.unacknowledged) >= self.terms.window):
            return None
        entries: list[StateEntry] = []
        keys: list[DetailKey] = []
        while self.pending and len(self.unacknowledged) < self.terms.window:
            key = self._next_key(now)
            sized = value(key)
            if self.sent_entries.get(key) == sized.entry:  # it changed back, or all of a node's was told anew
                del self.pending[key]
                continue
            if sized.size > room:
                break
            room -= sized.size
            base += sized.size
            del self.pending[key]
            self.sent_entries[key] = sized.entry
            entries.append(sized.entry)
            keys.append(key)
        if not entries and not answer:
            return None
        self.bucket.spend(now, base)
        self.last_number += 1
        if keys:
            self.unacknowledged[self.last_number] = (now, tuple(keys))
        return Update(node, self.epoch, self.beat, self.last_number, self.backlog_age(now), ages, entries)
