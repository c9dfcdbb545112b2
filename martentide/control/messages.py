"""Messages of the control tier: between a proxy and its node, and between nodes. Sizes are those of the wire.

Each is a MessagePack array with a number for its type in front, in the fleet's sealed frame
(``martentide/fleet/wire.py``). Elements that a later version adds at the end are passed over.
"""

from __future__ import annotations

import msgspec

from martentide.fleet.wire import DatagramError, DatagramFault

MAX_PRESSURE = 1_000  # thousandths


class MemberState(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One member of a service. ``epoch`` counts the leases that it took: of two nodes that both hold it, the
    later lease counts. ``capacity`` in set-ups a second, ``pressure`` in thousandths to be held back."""

    name: str
    epoch: int
    capacity: int
    pressure: int


class StateEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What is known of a service in one zone, or, with an empty zone, in a whole region that is not the
    reader's own. Always the whole value, so that an entry which comes twice or late does no harm."""

    service: str
    region: str
    zone: str
    up: int
    capacity: int
    pressure: int
    members: list[MemberState] = []

    @property
    def key(self) -> tuple[str, str, str]:
        return (self.service, self.region, self.zone)


class Join(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """A proxy asks a node for a lease. ``held``: a digest of what it holds, for each service that it
    subscribes to, 0 for nothing."""

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
    """The lease is renewed. ``beat`` counts them; ``received``: the last update that came, ``missing``: those
    before it that did not."""

    name: str
    epoch: int
    beat: int
    capacity: int
    pressure: int
    received: int
    missing: list[int]


class Leave(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """The proxy ends, or has taken a lease elsewhere."""

    name: str
    epoch: int


class Granted(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """The lease is given, and runs from the last heartbeat on. ``same``: services of which the proxy holds
    what the node would tell it."""

    node: str
    epoch: int
    matching_services: list[str]


class LeaseRefused(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """No lease here. ``full``: another node has room; otherwise try again after ``retry`` ms. ``unknown``:
    the node holds no such lease (any more)."""

    node: str
    epoch: int
    full: bool
    retry_after: int
    unknown: bool = False


class Update(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=6):
    """State for one subscriber, and the answer to its heartbeat. ``beat``: the last that was heard.
    ``behind``: ms for which the oldest change waits that is not told yet, 0 for none: so all that it holds
    is as old as that and what ``ages`` says of the region, in ms."""

    node: str
    epoch: int
    beat: int
    number: int
    backlog_age: int
    ages: dict[str, int]
    entries: list[StateEntry]


class Summary(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=7):
    """What one node tells another of its own leases: entries that changed, and how many it holds. A series
    begins with the whole set, which takes the place of all before, and numbers its messages from 1."""

    node: str
    region: str
    leases: int
    series: int
    number: int
    entries: list[StateEntry]


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=8):
    """A node missed a summary and asks for the whole set."""

    node: str


ToNode = Join | Heartbeat | Leave
ToProxy = Granted | LeaseRefused | Update
BetweenNodes = Summary | SnapshotRequest
ControlMessage = ToNode | ToProxy | BetweenNodes

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ControlMessage)


def encode_control(message: ControlMessage) -> bytes:
    return _ENCODER.encode(message)


def decode_control(body: bytes) -> ControlMessage:
    """Raises DatagramError, also for figures that nobody could mean."""
    try:
        message: ControlMessage = _DECODER.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        raise DatagramError(DatagramFault.MALFORMED) from None
    if not _is_valid(message):
        raise DatagramError(DatagramFault.MALFORMED)
    return message


def entry_size(entry: StateEntry) -> int:
    """Bytes it takes in a message."""
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
