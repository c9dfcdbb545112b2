"""Datagrams between members: framing, authentication and the MessagePack schema.

    datagram = "mt" version:1 fleet:4 body check:8      body is MessagePack, an array for each entry

``check`` is a keyed BLAKE2s over all bytes before it, keyed with the fleet's name and its secret, if one is
set. So noise, datagrams of other fleets and (with a secret) of unauthorized senders are rejected before
anything is decoded. Readers ignore extra elements at the end of an array, so that a later version may add
some.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from enum import Enum, IntEnum

import msgspec

from martentide.fleet.terms import MAX_DATAGRAM_BYTES

MAGIC, VERSION = b"mt", 1
HEADER_BYTES = len(MAGIC) + 1 + 4
CHECK_BYTES = 8


class DatagramFault(Enum):
    """Why a datagram was rejected; each reason has a counter."""

    STRANGE = "strange"  # not of this protocol
    OTHER_FLEET = "other-fleet"
    OTHER_VERSION = "other-version"
    DAMAGED = "damaged"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"


class DatagramError(Exception):
    """A received datagram is rejected; ``why`` is the reason."""

    def __init__(self, why: DatagramFault) -> None:
        super().__init__(why.value)
        self.why = why


class State(IntEnum):
    """State of a member, in ascending precedence among records of one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    """Kind of a datagram."""

    PING = 1  # requests an ack
    ACK = 2
    PING_REQUEST = 3  # asks the recipient to ping ``target`` on the sender's behalf
    NACK = 4  # the requested ping wasn't answered yet; shows that the helper itself is reachable
    GOSSIP = 5
    DIGEST = 6  # checksums of the sender's table, one per bucket
    VERSIONS = 7  # versions held in the buckets that differ; requests what the sender is missing
    MISSING = 8  # what the recipient is missing by a sync; not gossiped further
    PAYLOAD = 9  # ``body`` is for another component of the process; not gossiped


Name = str


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What is known of a member.

    ``process_id`` is a random number of each process instance; it distinguishes two instances of the
    same name and generation.
    """

    name: Name
    generation: int
    process_id: int
    incarnation: int
    state: int
    zone: str
    host: str
    port: int
    by: str = ""  # the accuser of a suspect or dead member

    def rank(self) -> tuple[int, int, int]:
        """Precedence among records of one process instance.

        A dead member is resurrected only by its own refutation, which has a higher incarnation.
        """
        return (1 if self.state == State.LEFT else 0, self.incarnation, self.state)


class StateEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Gossiped state of one kind, as its owner published it; others update only ``age`` (ms)."""

    owner: Name
    generation: int
    process_id: int
    kind: int
    counter: int
    schema: int
    age: int
    max_age: int  # ms; expired from this age on
    body: bytes

    @property
    def version(self) -> tuple[int, int]:
        """Generation and counter; the higher one is newer."""
        return (self.generation, self.counter)


class HeldVersions(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Versions that a member holds of another: of its record, and the counters of its entries by kind."""

    name: Name
    generation: int
    process_id: int
    incarnation: int
    state: int
    counters: dict[int, int]


class Datagram(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Body of a datagram.

    ``stamp`` is opaque to the receiver, which returns it as ``echo`` with the time it held it
    (``echo_delay``, ms). From these the sender of the stamp computes an upper bound of this datagram's
    transit time by its own clock alone. ``probe`` is the number of the probe that a PING,
    ACK, PING_REQUEST or NACK belongs to, ``target`` the member that an indirect probe is for. In VERSIONS a
    non-empty ``target`` marks a request that must not be answered by another request.
    """

    kind: int
    sender: MemberRecord
    to: int  # ``process_id`` of the intended recipient, 0 if unknown
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
    """Seals and opens the datagrams of one fleet."""

    def __init__(self, fleet: str, secret: str = "") -> None:
        self.key = hashlib.blake2s(f"{fleet}\0{secret}".encode()).digest()
        self.head = MAGIC + bytes((VERSION,)) + hashlib.blake2s(fleet.encode(), digest_size=4).digest()

    def _check(self, data: bytes) -> bytes:
        return hashlib.blake2s(data, digest_size=CHECK_BYTES, key=self.key).digest()

    def seal(self, body: bytes) -> bytes:
        """Frame an encoded body as a datagram of this fleet."""
        data = self.head + body
        return data + self._check(data)

    def write(self, datagram: Datagram) -> bytes:
        """Encode and frame a datagram."""
        return self.seal(_ENCODER.encode(datagram))

    def open(self, data: bytes) -> bytes:
        """Verify a datagram and return its encoded body; raises DatagramError."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError(DatagramFault.OVERSIZED)
        if len(data) < HEADER_BYTES + CHECK_BYTES or data[:2] != MAGIC:
            raise DatagramError(DatagramFault.STRANGE)
        if data[2] != VERSION:
            raise DatagramError(DatagramFault.OTHER_VERSION)
        if data[3:HEADER_BYTES] != self.head[3:]:
            raise DatagramError(DatagramFault.OTHER_FLEET)
        if self._check(data[:-CHECK_BYTES]) != data[-CHECK_BYTES:]:
            raise DatagramError(DatagramFault.DAMAGED)
        return data[HEADER_BYTES:-CHECK_BYTES]

    def read(self, data: bytes) -> Datagram:
        """Verify, decode and validate a datagram; raises DatagramError."""
        try:
            datagram = _DECODER.decode(self.open(data))
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            raise DatagramError(DatagramFault.MALFORMED) from None
        if not is_plausible(datagram):
            raise DatagramError(DatagramFault.MALFORMED)
        return datagram


def is_plausible(datagram: Datagram) -> bool:
    """Whether all values are in the ranges that members use, so that forged ones can't fill the tables."""
    if datagram.echo_delay < 0 or not _is_plausible_record(datagram.sender):
        return False
    for record in datagram.members:
        if not _is_plausible_record(record):
            return False
    for entry in datagram.entries:
        if not _is_plausible_entry(entry):
            return False
    return all(1 <= len(one.name) <= 64 and len(one.counters) <= 64 for one in datagram.held)


def _is_plausible_record(record: MemberRecord) -> bool:
    return (
        1 <= len(record.name) <= 64
        and len(record.zone) <= 64
        and len(record.by) <= 64
        and 7 <= len(record.host) <= 45
        and 0 < record.port < 65536
        and 0 <= record.state <= State.LEFT
        and 0 <= record.generation < 1 << 48
        and 0 <= record.incarnation < 1 << 48
        and 0 < record.process_id < 1 << 63
    )


def _is_plausible_entry(entry: StateEntry) -> bool:
    return (
        1 <= len(entry.owner) <= 64
        and 0 <= entry.kind < 256
        and 0 <= entry.generation < 1 << 48
        and 0 <= entry.counter < 1 << 48
        and entry.age >= 0
        and 0 < entry.max_age <= 3_600_000
    )


def encoded_size(entry: MemberRecord | StateEntry | HeldVersions) -> int:
    """Bytes that the entry takes in a datagram."""
    return len(_ENCODER.encode(entry))


def count_fitting(entries: Sequence[MemberRecord | StateEntry | HeldVersions], room: int) -> int:
    """Number of leading entries that fit whole into ``room`` bytes."""
    for count, entry in enumerate(entries):
        room -= encoded_size(entry)
        if room < 0:
            return count
    return len(entries)
