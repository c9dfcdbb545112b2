"""What members tell each other about load: one facet each, small, and every figure with its own age."""

from __future__ import annotations

import msgspec

LOAD = 3  # kind of facet
SCHEMA = 1
END = 4_000  # ms a word counts
MOST_SERVERS = 24  # named in one word
MOST_CLASSES = 12
MOST_GIFTS = 8


class Pressed(msgspec.Struct, array_like=True, frozen=True):
    """What the owner saw last of a server: the share of new set-ups that it asks each sender to hold back, in
    thousandths, as of ``ago`` ms before the facet was said. Never another member's word."""

    server: str
    hold: int
    ago: int


class Gift(msgspec.Struct, array_like=True, frozen=True):
    """Tokens for further attempts, to one process of one member; ``number`` counts this owner's gifts, and
    ``ago`` ms before the facet was said it was given."""

    to: str
    life: int
    number: int
    tokens: int
    ago: int


class Load(msgspec.Struct, array_like=True, frozen=True):
    """``lasting``: the slow part of what the owner lets in, in thousandths of the first tries;
    ``offered``: first tries by class, in hundredths a second; ``wants``: tokens it is short of; ``taken``:
    the last gift it took, by giver and the giver's life."""

    lasting: int
    turn: int
    turn_age: int
    phase: int
    offered: dict[str, int]
    pressed: list[Pressed]
    wants: int = 0
    gifts: list[Gift] = []
    taken: list[tuple[str, int, int]] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Load)


def write_load(load: Load) -> bytes:
    return _ENCODER.encode(load)


def read_load(body: bytes) -> Load:
    """Raises msgspec.DecodeError or ValidationError, also for figures that no member could mean."""
    load = _DECODER.decode(body)
    sound = (
        0 <= load.lasting <= 1_000
        and 0 <= load.turn < 1 << 48
        and load.turn_age >= 0
        and len(load.offered) <= MOST_CLASSES
        and len(load.pressed) <= MOST_SERVERS
        and len(load.gifts) <= MOST_GIFTS
        and all(0 <= rate < 1 << 32 for rate in load.offered.values())
        and all(0 <= one.hold <= 1_000 and one.ago >= 0 for one in load.pressed)
        and all(one.tokens > 0 and one.number > 0 and one.ago >= 0 for one in load.gifts)
        and 0 <= load.wants < 1 << 16
    )
    if not sound:
        raise msgspec.ValidationError("figures out of range")
    return load
