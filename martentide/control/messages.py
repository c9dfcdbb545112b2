"""Messages of the control tier: between a proxy and its node, and between nodes. Sizes are encoded sizes.

Each is a MessagePack array that starts with a type number, inside the fleet's authenticated frame
(``martentide/fleet/wire.py``). Elements that a later version appends are ignored.
"""

from __future__ import annotations

import msgspec

from martentide.fleet.wire import DatagramError, DatagramFault

MAX_PRESSURE = 1_000  # thousandths


class MemberState(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One member of a service. ``epoch`` counts its leases: if two nodes hold one of this member, the later
    lease counts. ``capacity`` in set-ups per second; ``pressure``: thousandths of calls to hold back."""

    name: str
    epoch: int
    capacity: int
    pressure: int


class StateEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """State of a service in one zone or, with an empty zone, in a whole region other than the reader's.
    Entries carry the complete value, so that duplicates and late arrivals are harmless."""

    service: str
    region: str
    zone: str
    up: int
    capacity: int
    pressure: int
    members: list[MemberState] = []

    @property
    def key(self) -> tuple[str, str, str]:
        """Service, region and zone."""
        return (self.service, self.region, self.zone)


class Join(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """A proxy requests a lease. ``digests``: per subscribed service, a checksum of the entries it holds, or
    0 for none."""

    name: str
    incarnation: int
    epoch: int
    region: str
    zone: str
    service: str
    capacity: int
    pressure: int
    digests: dict[str, int]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """Renews a lease. ``beat`` numbers the heartbeats; ``received``: the highest update number received,
    ``missing``: lower numbers that were not received."""

    name: str
    epoch: int
    beat: int
    capacity: int
    pressure: int
    received: int
    missing: list[int]


class Leave(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """The proxy stops or has taken a lease at another node."""

    name: str
    epoch: int


class LeaseGranted(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """The lease is granted and expires a fixed time after the last heartbeat. ``matching_services``:
    services whose digest matches, so that their entries need not be sent."""

    node: str
    epoch: int
    matching_services: list[str]


class LeaseRefused(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """No lease at this node. ``full``: ask another node; otherwise retry after ``retry_after`` ms.
    ``unknown``: the node does not hold the lease, or no longer."""

    node: str
    epoch: int
    full: bool
    retry_after: int
    unknown: bool = False


class Update(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=6):
    """State for one subscriber, also the answer to its heartbeat. ``beat``: the last heartbeat received.
    ``backlog_age``: ms for which the oldest unsent change is queued, 0 for none. The age of the subscriber's
    state is this plus the age of the region in ``ages``, in ms."""

    node: str
    epoch: int
    beat: int
    number: int
    backlog_age: int
    ages: dict[str, int]
    entries: list[StateEntry]


class Summary(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=7):
    """Changed entries of one node's own leases, and the number of leases, sent to another node. A series
    starts with a snapshot that replaces everything before and numbers its messages from 1."""

    node: str
    region: str
    leases: int
    series: int
    number: int
    entries: list[StateEntry]


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=8):
    """A node missed a summary and requests a snapshot."""

    node: str


ToNode = Join | Heartbeat | Leave
ToProxy = LeaseGranted | LeaseRefused | Update
BetweenNodes = Summary | SnapshotRequest
ControlMessage = ToNode | ToProxy | BetweenNodes

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ControlMessage)


def encode_control(message: ControlMessage) -> bytes:
    """Encode one message."""
    return _ENCODER.encode(message)


def decode_control(body: bytes) -> ControlMessage:
    """Decode and validate one message. Raises DatagramError if it is malformed or a value is out of range."""
    try:
        message: ControlMessage = _DECODER.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        raise DatagramError(DatagramFault.MALFORMED) from None
    if not _is_valid(message):
        raise DatagramError(DatagramFault.MALFORMED)
    return message


def entry_size(entry: StateEntry) -> int:
    """Return the encoded size of the entry in bytes."""
    return len(_ENCODER.encode(entry))


def _is_valid(message: ControlMessage) -> bool:
    match message:
        case Join():
            return _is_valid_load(message.capacity, message.pressure) and 1 <= len(message.name) <= 64
        case Heartbeat():
            return _is_valid_load(message.capacity, message.pressure) and len(message.missing) <= 64
        case Update() | Summary():
            return all(_is_valid_entry(entry) for entry in message.entries)
    return True


def _is_valid_load(capacity: int, pressure: int) -> bool:
    return 0 <= capacity < 1 << 32 and 0 <= pressure <= MAX_PRESSURE


def _is_valid_entry(entry: StateEntry) -> bool:
    return (
        entry.up >= 0
        and _is_valid_load(entry.capacity, entry.pressure)
        and all(_is_valid_load(one.capacity, one.pressure) for one in entry.members)
    )
