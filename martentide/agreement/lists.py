"""Server lists that members merge without a vote. The state of one start of a server only moves forward
(open, draining, gone), so records can be merged in any order and any number of times (a join semilattice).

A member's list is the join of what its own discovery service reported and what other members report. The
sequence number of one discovery service means nothing to other members; the version of a list is its digest.
A discovery service that is late, down or reports older states at one member does no harm while another
member's works.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

MAX_SERVERS = 2_048
MAX_GONE = 4_096  # servers remembered as gone, so that outdated records cannot bring them back
MAX_CHANGES = 12  # changes in one status; the whole list is requested where digests differ
STATES = ("open", "draining", "gone")  # in order of rank


class ServerRecord(msgspec.Struct, array_like=True, frozen=True):
    """One start of a server as reported by a discovery service; ``state`` is an index into STATES."""

    name: str
    start: int
    state: int
    place: int
    zone: str
    size: float
    host: str
    port: int

    @property
    def is_valid(self) -> bool:
        """Whether all fields are within range."""
        return (
            1 <= len(self.name) <= 64
            and 0 <= self.start < 1 << 53
            and 0 <= self.state < len(STATES)
            and 0 <= self.place < 1 << 16
            and len(self.zone) <= 64
            and 0 < self.size < 1e9
            and 0 < self.port < 65_536
        )


class ServerList:
    """One member's view of all servers."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerRecord] = {}  # by name: the newest start that is not gone
        self.gone: OrderedDict[str, int] = OrderedDict()  # by name: the newest start that is gone
        self.changes: OrderedDict[str, ServerRecord] = OrderedDict()  # latest changes by name, newest last

    def merge(self, record: ServerRecord) -> ServerRecord | None:
        """Merge one record; returns it if it changed the list, else None."""
        known = self.servers.get(record.name)
        if not record.is_valid or record.start <= self.gone.get(record.name, -1):
            return None
        if known is not None and (record.start, record.state) <= (known.start, known.state):
            return None
        if known is None and len(self.servers) >= MAX_SERVERS:
            return None
        if record.state == STATES.index("gone"):
            self.servers.pop(record.name, None)
            self.gone[record.name] = record.start
            self.gone.move_to_end(record.name)
            if len(self.gone) > MAX_GONE:
                self.gone.popitem(last=False)
        else:
            self.servers[record.name] = record
        self.changes.pop(record.name, None)
        self.changes[record.name] = record
        while len(self.changes) > MAX_CHANGES:
            self.changes.popitem(last=False)
        return record

    def merge_full_list(
        self, records: Iterable[ServerRecord], own_names: Iterable[str]
    ) -> list[ServerRecord]:
        """Merge a full list of the member's own discovery service; returns the changes. A name of
        ``own_names`` (reported by this service before) that is missing from it is gone. Servers that only
        other members reported stay, since their discovery services may be ahead."""
        listed = list(records)
        names = {one.name for one in listed}
        new = [one for record in listed if (one := self.merge(record)) is not None]
        for name in own_names:
            held = self.servers.get(name)
            if name not in names and held is not None:
                removed = self.merge(msgspec.structs.replace(held, state=STATES.index("gone")))
                new += [removed] if removed is not None else []
        return new

    def digest(self) -> int:
        """The version of the list: a CRC-32 of names, starts and states."""
        parts = sorted((one.name, one.start, one.state) for one in self.servers.values())
        return zlib.crc32(repr(parts).encode())

    def recent_changes(self) -> list[ServerRecord]:
        """The latest changes, newest first; sent along with the digest."""
        return list(reversed(self.changes.values()))

    def all_records(self) -> list[ServerRecord]:
        """All records for a member with another digest, including recently gone servers that it may still
        hold as open."""
        recently_gone = [one for one in self.changes.values() if one.name not in self.servers]
        return [*self.servers.values(), *recently_gone]
