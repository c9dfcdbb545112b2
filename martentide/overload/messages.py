"""Load messages between members: one small state entry per member, in which every figure has its own age."""

from __future__ import annotations

import msgspec

LOAD_KIND = 3  # kind of the gossiped state entries that carry load messages
SCHEMA = 1  # version of the format
LOAD_EXPIRY = 4_000  # ms after which a message is ignored
MAX_SERVERS = 24  # reported in one message
MAX_CLASSES = 12
MAX_TRANSFERS = 8


class ServerPressure(msgspec.Struct, array_like=True, frozen=True):
    """The owner's last observation of a server, never another member's.

    ``hold_back`` is the share of new set-ups that each sender should hold back, in thousandths, observed
    ``age`` ms before the message was sent.
    """

    server: str
    hold_back: int
    age: int


class Transfer(msgspec.Struct, array_like=True, frozen=True):
    """A transfer of retry tokens to one process of one member.

    ``number`` counts the owner's transfers; it was made ``age`` ms before the message was sent.
    """

    to: str
    process_id: int
    number: int
    tokens: int
    age: int


class Load(msgspec.Struct, array_like=True, frozen=True):
    """One member's load message.

    ``baseline`` is the slow part of the admitted share, in thousandths of the first tries; ``turn`` the
    turn of the admission threshold, begun ``turn_age`` ms ago; ``offered`` the first tries by class, in
    hundredths per second; ``tokens_wanted`` the retry tokens that it is short of;
    ``received_transfers`` the last transfer received, as sender, the sender's process id and its number.
    """

    baseline: int
    turn: int
    turn_age: int
    phase: int
    offered: dict[str, int]
    pressed: list[ServerPressure]
    tokens_wanted: int = 0
    transfers: list[Transfer] = []
    received_transfers: list[tuple[str, int, int]] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Load)


def write_load(load: Load) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(load)


def read_load(body: bytes) -> Load:
    """Decode a message; raises msgspec.DecodeError or ValidationError, also for values out of range."""
    load = _DECODER.decode(body)
    in_range = (
        0 <= load.baseline <= 1_000
        and 0 <= load.turn < 1 << 48
        and load.turn_age >= 0
        and len(load.offered) <= MAX_CLASSES
        and len(load.pressed) <= MAX_SERVERS
        and len(load.transfers) <= MAX_TRANSFERS
        and all(0 <= rate < 1 << 32 for rate in load.offered.values())
        and all(0 <= one.hold_back <= 1_000 and one.age >= 0 for one in load.pressed)
        and all(one.tokens > 0 and one.number > 0 and one.age >= 0 for one in load.transfers)
        and 0 <= load.tokens_wanted < 1 << 16
    )
    if not in_range:
        raise msgspec.ValidationError("a value in the load message is out of range")
    return load
