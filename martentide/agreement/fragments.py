"""Splits long messages into fragments of one datagram each and reassembles them. Lost fragments are not
requested again; the sender repeats the whole message."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_FRAGMENT_BYTES = 900  # of payload in one datagram
MAX_FRAGMENTS = 96
MAX_INCOMPLETE = 64  # partially received messages, over all senders
REASSEMBLY_TIMEOUT = 3_000.0  # ms
HEADER_BYTES = 6  # message number: 4, index: 1, count: 1


class Fragmenter:
    """Splits outgoing messages and numbers them."""

    def __init__(self) -> None:
        self.message_number = self.turn = 0

    def choose_in_turn(self, names: Sequence[str]) -> str:
        """Choose one of ``names`` in round-robin order."""
        self.turn += 1
        return names[self.turn % len(names)]

    def split(self, message: bytes) -> list[bytes]:
        """Split a message into datagrams. Raises ValueError if it is too long."""
        count = max(1, -(-len(message) // MAX_FRAGMENT_BYTES))
        if count > MAX_FRAGMENTS:
            raise ValueError(
                f"message of {len(message)} bytes exceeds the limit of {MAX_FRAGMENTS * MAX_FRAGMENT_BYTES}"
            )
        self.message_number = (self.message_number + 1) % (1 << 32)
        message_id = self.message_number.to_bytes(4, "big")
        return [
            message_id
            + bytes((index, count))
            + message[index * MAX_FRAGMENT_BYTES : (index + 1) * MAX_FRAGMENT_BYTES]
            for index in range(count)
        ]


@dataclass(slots=True)
class PartialMessage:
    """A message with missing fragments; ``started_at`` in ms."""

    started_at: float
    count: int
    fragments: dict[int, bytes] = field(default_factory=dict)


class Reassembler:
    """Reassembles incoming messages."""

    def __init__(self) -> None:
        self.incomplete: OrderedDict[tuple[str, int], PartialMessage] = OrderedDict()

    def add(self, now: float, sender: str, fragment: bytes) -> bytes | None:
        """Add a fragment received at ``now`` (ms); returns the message if it is complete, else None."""
        if len(fragment) < HEADER_BYTES or len(fragment) > HEADER_BYTES + MAX_FRAGMENT_BYTES:
            return None
        number, index, count = int.from_bytes(fragment[:4], "big"), fragment[4], fragment[5]
        if not index < count <= MAX_FRAGMENTS:
            return None
        if count == 1:
            return fragment[HEADER_BYTES:]
        while self.incomplete and now - next(iter(self.incomplete.values())).started_at > REASSEMBLY_TIMEOUT:
            self.incomplete.popitem(last=False)
        key = (sender, number)
        partial = self.incomplete.setdefault(key, PartialMessage(now, count))
        if partial.count != count:
            return None
        partial.fragments[index] = fragment[HEADER_BYTES:]
        if len(partial.fragments) == count:
            del self.incomplete[key]
            return b"".join(partial.fragments[at] for at in range(count))
        if len(self.incomplete) > MAX_INCOMPLETE:
            self.incomplete.popitem(last=False)
        return None
