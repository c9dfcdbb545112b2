"""Datagrams between members: frame, check and entries. Nothing here decides.

    datagram = "mt" version:1 fleet:4 body check:8      body is MessagePack, an array for each entry

``check`` is a keyed BLAKE2s over all before it; its key is the fleet's name and its secret, if one is set. So
noise, other fleets and (with a secret) strangers fall out at the same place, before anything is decoded.
Entries are arrays whose further elements a reader passes over, so that a later version may add some.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from enum import Enum, IntEnum

import msgspec

from martentide.fleet.terms import DATAGRAM

MAGIC, VERSION = b"mt", 1
HEAD = len(MAGIC) + 1 + 4
CHECK = 8


class DatagramFault(Enum):
    """Why a datagram was passed over; each has a counter."""

    STRANGE = "strange"  # not ours at all
    OTHER_FLEET = "other-fleet"
    OTHER_VERSION = "other-version"
    DAMAGED = "damaged"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"


class DatagramError(Exception):
    def __init__(self, why: DatagramFault) -> None:
        super().__init__(why.value)
        self.why = why


class State(IntEnum):
    """Ordered: of two words on one incarnation the later state counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    PING = 1  # answer me
    ACK = 2
    PING_REQUEST = 3  # ping ``target`` for me
    NACK = 4  # I tried, it has not answered yet: I am well at least
    GOSSIP = 5
    DIGEST = 6  # sums of all that I know, bucket by bucket
    VERSIONS = 7  # what I hold of the buckets that differ; send what I lack
    MISSING = 8  # what you lack by a comparison: none of it is news
    PAYLOAD = 9  # ``body`` is for another part of the process; nothing of it is spread


Name = str


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What is said of one member. ``life`` is drawn anew by each process, so that two under one name and one
    generation can be told apart."""

    name: Name
    generation: int
    life: int
    incarnation: int
    state: int
    zone: str
    host: str
    port: int
    by: str = ""  # who accuses it, where it is suspect or dead

    def rank(self) -> tuple[int, int, int]:
        """Of two words on one life the higher counts: the dead are raised only by their own refutation."""
        return (1 if self.state == State.LEFT else 0, self.incarnation, self.state)


class StateEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One facet of one member, as its owner said it; ``age`` in ms is the only thing that others change."""

    owner: Name
    generation: int
    life: int
    kind: int
    counter: int
    schema: int
    age: int
    max_age: int  # ms of age from which it counts for nothing
    body: bytes

    @property
    def version(self) -> tuple[int, int]:
        return (self.generation, self.counter)


class HeldVersions(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What a member holds of another: its word's place and the facets' counters."""

    name: Name
    generation: int
    life: int
    incarnation: int
    state: int
    counters: dict[int, int]


class Datagram(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """``stamp`` means nothing to the reader, who gives it back as ``echo`` with the ms it was kept: so the
    sender of that stamp can bound how old all in this datagram is, by its own clock alone."""

    kind: int
    sender: MemberRecord
    to: int  # life of the process meant, 0 where it is not known
    stamp: int
    echo: int = -1  # -1: none
    echo_delay: int = 0
    probe: int = 0
    target: Name = ""
    members: list[MemberRecord] = []
    entries: list[StateEntry] = []
    digest: list[int] = []
    buckets: list[int] = []
    held: list[HeldVersions] = []
    body: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Datagram)


class Frame:
    """Datagrams of one fleet."""

    def __init__(self, fleet: str, secret: str = "") -> None:
        self.key = hashlib.blake2s(f"{fleet}\0{secret}".encode()).digest()
        self.head = MAGIC + bytes((VERSION,)) + hashlib.blake2s(fleet.encode(), digest_size=4).digest()

    def _check(self, data: bytes) -> bytes:
        return hashlib.blake2s(data, digest_size=CHECK, key=self.key).digest()

    def seal(self, body: bytes) -> bytes:
        """The body as a datagram of this fleet."""
        data = self.head + body
        return data + self._check(data)

    def write(self, datagram: Datagram) -> bytes:
        return self.seal(_ENCODER.encode(datagram))

    def open(self, data: bytes) -> bytes:
        """The body of a datagram of this fleet; raises DatagramError."""
        if len(data) > DATAGRAM:
            raise DatagramError(DatagramFault.OVERSIZED)
        if len(data) < HEAD + CHECK or data[:2] != MAGIC:
            raise DatagramError(DatagramFault.STRANGE)
        if data[2] != VERSION:
            raise DatagramError(DatagramFault.OTHER_VERSION)
        if data[3:HEAD] != self.head[3:]:
            raise DatagramError(DatagramFault.OTHER_FLEET)
        if self._check(data[:-CHECK]) != data[-CHECK:]:
            raise DatagramError(DatagramFault.DAMAGED)
        return data[HEAD:-CHECK]

    def read(self, data: bytes) -> Datagram:
        """Raises DatagramError."""
        try:
            said = _DECODER.decode(self.open(data))
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            raise DatagramError(DatagramFault.MALFORMED) from None
        if not is_plausible(said):
            raise DatagramError(DatagramFault.MALFORMED)
        return said


def is_plausible(said: Datagram) -> bool:
    """Whether all figures are such as a member could have said: a liar may not fill tables with the rest."""
    if said.echo_delay < 0 or not _is_plausible_record(said.sender):
        return False
    for word in said.members:
        if not _is_plausible_record(word):
            return False
    for facet in said.entries:
        if not _is_plausible_entry(facet):
            return False
    return all(1 <= len(one.name) <= 64 and len(one.counters) <= 64 for one in said.held)


def _is_plausible_record(word: MemberRecord) -> bool:
    return (
        1 <= len(word.name) <= 64
        and len(word.zone) <= 64
        and len(word.by) <= 64
        and 7 <= len(word.host) <= 45
        and 0 < word.port < 65536
        and 0 <= word.state <= State.LEFT
        and 0 <= word.generation < 1 << 48
        and 0 <= word.incarnation < 1 << 48
        and 0 < word.life < 1 << 63
    )


def _is_plausible_entry(word: StateEntry) -> bool:
    return (
        1 <= len(word.owner) <= 64
        and 0 <= word.kind < 256
        and 0 <= word.generation < 1 << 48
        and 0 <= word.counter < 1 << 48
        and word.age >= 0
        and 0 < word.max_age <= 3_600_000
    )


def encoded_size(entry: MemberRecord | StateEntry | HeldVersions) -> int:
    """Bytes it takes in a datagram."""
    return len(_ENCODER.encode(entry))


def count_fitting(entries: Sequence[MemberRecord | StateEntry | HeldVersions], room: int) -> int:
    """How many of them, from the first on, fit whole into the room."""
    for count, entry in enumerate(entries):
        room -= encoded_size(entry)
        if room < 0:
            return count
    return len(entries)
