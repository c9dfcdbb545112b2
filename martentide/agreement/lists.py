"""Lists of servers, joined and not voted on: a server's state for one start only ever grows (ready,
draining, gone), so what one member hears of it holds for all, in whatever order and however often it comes.

A member's list is the join of all that its own board told it and what other members say of theirs. The number
that a board counts means nothing to others; the version of a list is its digest. So a board that is late,
dead or goes back at one member does not matter while another member's is well.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

MOST_SERVERS = 2_048
MOST_GONE = 4_096  # starts that are remembered as gone, so that old word can't raise them
MOST_TOLD = 12  # changes that one word names; the rest is asked for where digests differ
STATES = ("open", "draining", "gone")  # by their rank


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One start of a server, as some board told it; ``state`` is a rank of STATES."""

    name: str
    start: int
    state: int
    place: int
    zone: str
    size: float
    host: str
    port: int

    @property
    def sound(self) -> bool:
        return (
            1 <= len(self.name) <= 64
            and 0 <= self.start < 1 << 53
            and 0 <= self.state < len(STATES)
            and 0 <= self.place < 1 << 16
            and len(self.zone) <= 64
            and 0 < self.size < 1e9
            and 0 < self.port < 65_536
        )


class Book:
    """What one member holds of all servers."""

    def __init__(self) -> None:
        self.servers: dict[str, Record] = {}  # by name, the newest start that is not gone
        self.gone: OrderedDict[str, int] = OrderedDict()  # by name, the newest start that is
        self.changes: OrderedDict[str, Record] = OrderedDict()  # the last ones, newest last

    def hear(self, record: Record) -> Record | None:
        """What is new by it, as it stands then: None if nothing is."""
        known = self.servers.get(record.name)
        if not record.sound or record.start <= self.gone.get(record.name, -1):
            return None
        if known is not None and (record.start, record.state) <= (known.start, known.state):
            return None
        if known is None and len(self.servers) >= MOST_SERVERS:
            return None
        if record.state == STATES.index("gone"):
            self.servers.pop(record.name, None)
            self.gone[record.name] = record.start
            self.gone.move_to_end(record.name)
            if len(self.gone) > MOST_GONE:
                self.gone.popitem(last=False)
        else:
            self.servers[record.name] = record
        self.changes.pop(record.name, None)
        self.changes[record.name] = record
        while len(self.changes) > MOST_TOLD:
            self.changes.popitem(last=False)
        return record

    def whole(self, records: Iterable[Record], mine: Iterable[str]) -> list[Record]:
        """A whole list of the own board: what it leaves out of ``mine`` (names that this board told of
        before) is gone. What only others told of stays: their boards may be ahead."""
        told = list(records)
        names = {one.name for one in told}
        new = [one for record in told if (one := self.hear(record)) is not None]
        for name in mine:
            held = self.servers.get(name)
            if name not in names and held is not None:
                last = self.hear(msgspec.structs.replace(held, state=STATES.index("gone")))
                new += [last] if last is not None else []
        return new

    def digest(self) -> int:
        """The version of the list."""
        parts = sorted((one.name, one.start, one.state) for one in self.servers.values())
        return zlib.crc32(repr(parts).encode())

    def told(self) -> list[Record]:
        """What goes along with the digest: the last changes, newest first."""
        return list(reversed(self.changes.values()))

    def all(self) -> list[Record]:
        """For a member whose digest is another: also the gone that it may hold for ready."""
        last = [one for one in self.changes.values() if one.name not in self.servers]
        return [*self.servers.values(), *last]
