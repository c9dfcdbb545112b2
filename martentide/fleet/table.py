"""What a member holds of the others: entries of its table, and the probes that are under way."""

from __future__ import annotations

import functools
import zlib
from dataclasses import dataclass, field

from martentide.fleet.events import Address
from martentide.fleet.wire import MemberRecord, Name, State, StateEntry

BUCKETS = 32  # of the sums that two members compare
STATES = tuple(State)


@dataclass(slots=True)
class StoredEntry:
    entry: StateEntry
    recorded_at: float  # when it had the age in the word

    def age(self, now: float) -> float:
        return self.entry.age + (now - self.recorded_at)

    def is_valid(self, now: float) -> bool:
        return bool(self.entry.body) and self.age(now) < self.entry.max_age


@dataclass(slots=True)
class KnownMember:
    """Another member as this one knows it. Times with ``own`` are of the clock that stands still while this
    process does."""

    record: MemberRecord
    since: float
    last_received_at: float  # own clock of its last datagram or of the news of it
    accusers: set[Name] = field(default_factory=set)
    suspected_at: float = 0.0
    stamp: int = -1
    stamp_received_at: float = 0.0
    stamp_life: int = 0
    entries: dict[int, StoredEntry] = field(default_factory=dict)
    checksum: int = 0  # what of it is in the sums

    @property
    def state(self) -> State:
        return STATES[self.record.state]

    @property
    def up(self) -> bool:
        """Not known to be dead or gone."""
        return self.record.state < State.DEAD

    @property
    def address(self) -> Address:
        return (self.record.host, self.record.port)


@dataclass(slots=True)
class Probe:
    name: Name
    life: int
    number: int
    indirect_due: float | None  # own clock
    deadline: float
    indirect_probes: int = 0
    nacks: int = 0


@dataclass(slots=True)
class RelayedProbe:
    requester: Name
    probe_number: int
    target: Name
    deadline: float


@functools.lru_cache(4096)
def bucket_of(name: Name) -> int:
    return zlib.crc32(name.encode()) % BUCKETS
