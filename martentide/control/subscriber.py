"""One proxy as its control node sees it: its lease, and what of its subscriptions waits to be told.

The queue holds each key once, however often it changes, so it is bounded by the subscriptions; what was told
and is not acknowledged in time waits again. Nobody waits for a slow subscriber.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable

from martentide.control.budget import TokenBucket
from martentide.control.messages import Heartbeat, Join, MemberState, StateEntry, Update
from martentide.control.shares import DetailKey, SizedEntry
from martentide.control.terms import HEADERS, ControlTerms
from martentide.fleet.terms import DATAGRAM
from martentide.fleet.wire import CHECK, HEAD

UPDATE_BASE = HEADERS + HEAD + CHECK + 24  # bytes of an update without ages and entries
AGE_BYTES = 4  # of one region's age, beside its name

Value = Callable[[DetailKey], SizedEntry]


class Subscriber:
    """``address`` is the host's own; nothing here looks at it."""

    def __init__(self, join: Join, address: Hashable, terms: ControlTerms, now: float) -> None:
        self.name, self.life, self.epoch = join.name, join.life, join.epoch
        self.region, self.zone, self.service = join.region, join.zone, join.service
        self.capacity, self.pressure = join.capacity, join.pressure
        self.services = frozenset(join.held)
        self.address, self.terms = address, terms
        self.heard = now
        self.waiting: OrderedDict[DetailKey, float] = OrderedDict()  # and since when
        self.told: dict[DetailKey, StateEntry] = {}  # what it holds, as far as nothing is known to be lost
        self.unacknowledged: OrderedDict[int, tuple[float, tuple[DetailKey, ...]]] = OrderedDict()
        self.number = 0
        self.beat = 0
        # Empty at first: the node before may have told a whole burst within this second.
        self.bucket = TokenBucket(terms.update_bytes_s, terms.update_burst, now, first=0.0)
        self.same: set[str] = set()  # services of which it held the same as this node as it joined

    @property
    def key(self) -> DetailKey:
        return (self.service, self.region, self.zone)

    def member(self) -> MemberState:
        return MemberState(self.name, self.epoch, self.capacity, self.pressure)

    def mark(self, keys: Iterable[DetailKey], now: float, first: bool = False) -> None:
        """These changed. Who died or came goes ``first``, ahead of changes of pressure; a key that waits
        already keeps its place, so that one which changes all the time is told as well."""
        for key in keys:
            self.waiting.setdefault(key, now)
            if first:
                self.waiting.move_to_end(key, last=False)

    def behind(self, now: float) -> int:
        """ms for which the oldest change waits, 0 where none does."""
        return math.ceil(now - min(self.waiting.values())) + 1 if self.waiting else 0

    def renewed(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; whether what is told of the member has changed by it."""
        self.heard = now
        self.beat = max(self.beat, heartbeat.beat)
        self._acknowledged(heartbeat, now)
        moved = abs(heartbeat.pressure - self.pressure) >= self.terms.pressure_step
        ended = heartbeat.pressure != self.pressure and heartbeat.pressure == 0
        changed = moved or ended or heartbeat.capacity != self.capacity
        if changed:
            self.capacity, self.pressure = heartbeat.capacity, heartbeat.pressure
        return changed

    def _acknowledged(self, heartbeat: Heartbeat, now: float) -> None:
        lost: list[DetailKey] = []
        for number, (sent, keys) in list(self.unacknowledged.items()):
            come = number <= heartbeat.received and number not in heartbeat.missing
            if not come and now - sent < self.terms.resend and number > heartbeat.received:
                continue
            del self.unacknowledged[number]
            if not come:
                lost += keys
        for key in lost:
            self.told.pop(key, None)
        self.mark(lost, now)

    def _next(self, now: float) -> DetailKey:
        """The first in the queue, but for one that has waited long: who comes and goes may not starve it."""
        oldest = min(self.waiting, key=self.waiting.__getitem__)
        return oldest if now - self.waiting[oldest] > self.terms.longest_wait else next(iter(self.waiting))

    def update(
        self, node: str, ages: dict[str, int], value: Value, now: float, answer: bool
    ) -> Update | None:
        """What may be told now; None where there is nothing, or no bytes for it. The ``answer`` to a
        heartbeat goes in any case and is counted."""
        base = UPDATE_BASE + sum(len(region) + AGE_BYTES for region in ages)
        room = min(self.bucket.left(now), DATAGRAM) - base
        if not answer and (not self.waiting or room <= 0 or len(self.unacknowledged) >= self.terms.window):
            return None
        entries: list[StateEntry] = []
        keys: list[DetailKey] = []
        while self.waiting and len(self.unacknowledged) < self.terms.window:
            key = self._next(now)
            sized = value(key)
            if self.told.get(key) == sized.entry:  # it changed back, or all of a node's was told anew
                del self.waiting[key]
                continue
            if sized.size > room:
                break
            room -= sized.size
            base += sized.size
            del self.waiting[key]
            self.told[key] = sized.entry
            entries.append(sized.entry)
            keys.append(key)
        if not entries and not answer:
            return None
        self.bucket.spend(now, base)
        self.number += 1
        if keys:
            self.unacknowledged[self.number] = (now, tuple(keys))
        return Update(node, self.epoch, self.beat, self.number, self.behind(now), ages, entries)
