"""A member's table: records and state entries of the other members, and the probes in flight."""

from __future__ import annotations

import functools
import zlib
from dataclasses import dataclass, field

from martentide.fleet.events import Address
from martentide.fleet.wire import MemberRecord, Name, State, StateEntry

BUCKETS = 32  # groups of members with a checksum each, compared by anti-entropy syncs
STATES = tuple(State)


@dataclass(slots=True)
class StoredEntry:
    """A state entry and the time, in ms of the host's clock, at which ``entry.age`` was right."""

    entry: StateEntry
    recorded_at: float

    def age(self, now: float) -> float:
        """Current age in ms."""
        return self.entry.age + (now - self.recorded_at)

    def is_valid(self, now: float) -> bool:
        """Whether the entry is neither withdrawn (empty body) nor expired."""
        return bool(self.entry.body) and self.age(now) < self.entry.max_age


@dataclass(slots=True)
class KnownMember:
    """Another member as this one knows it.

    Times are in ms of the running clock, which excludes stalls of this process, except
    ``stamp_received_at``, which is of the host's clock.
    """

    record: MemberRecord
    since: float  # last change of the record
    last_received_at: float  # its last datagram; before that, when it was added
    accusers: set[Name] = field(default_factory=set)
    suspected_at: float = 0.0
    stamp: int = -1
    stamp_received_at: float = 0.0
    stamp_process_id: int = 0
    entries: dict[int, StoredEntry] = field(default_factory=dict)
    checksum: int = 0  # its contribution to the checksum of its bucket

    @property
    def state(self) -> State:
        """State by its current record."""
        return STATES[self.record.state]

    @property
    def up(self) -> bool:
        """Whether it is alive or suspect."""
        return self.record.state < State.DEAD

    @property
    def address(self) -> Address:
        """Host and port of its datagram endpoint."""
        return (self.record.host, self.record.port)


@dataclass(slots=True)
class Probe:
    """A probe of this member in flight; times are in ms of the running clock."""

    name: Name
    process_id: int
    number: int
    indirect_due: float | None  # when to request indirect probes; None once requested
    deadline: float
    indirect_probes: int = 0
    nacks: int = 0


@dataclass(slots=True)
class RelayedProbe:
    """An indirect probe in flight on behalf of ``requester``; ``deadline`` is of the running clock, in ms."""

    requester: Name
    probe_number: int
    target: Name
    deadline: float


@functools.lru_cache(4096)
def bucket_of(name: Name) -> int:
    """Bucket that a member's checksum goes into."""
    return zlib.crc32(name.encode()) % BUCKETS
