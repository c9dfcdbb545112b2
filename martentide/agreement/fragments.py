"""Long words in parts that fit one datagram each; a word of which a part is lost is said again by its
sender."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

PART = 900  # bytes of a word in one datagram
MOST_PARTS = 96
MOST_OPEN = 64  # words of which parts are still out, of all senders together
OPEN_FOR = 3_000.0  # ms
HEAD = 6  # number:4 place:1 count:1


class Splitter:
    def __init__(self) -> None:
        self.number = self.turn = 0

    def choose(self, names: Sequence[str]) -> str:
        """One after the other, so that each has its turn."""
        self.turn += 1
        return names[self.turn % len(names)]

    def split(self, word: bytes) -> list[bytes]:
        """Raises ValueError for a word that is too long."""
        count = max(1, -(-len(word) // PART))
        if count > MOST_PARTS:
            raise ValueError(f"a word of {len(word)} bytes, {MOST_PARTS * PART} at most")
        self.number = (self.number + 1) % (1 << 32)
        head = self.number.to_bytes(4, "big")
        return [head + bytes((at, count)) + word[at * PART : (at + 1) * PART] for at in range(count)]


@dataclass(slots=True)
class Open:
    at: float
    count: int
    parts: dict[int, bytes] = field(default_factory=dict)


class Joiner:
    """``take`` gives the whole word with its last part."""

    def __init__(self) -> None:
        self.open: OrderedDict[tuple[str, int], Open] = OrderedDict()

    def take(self, now: float, sender: str, part: bytes) -> bytes | None:
        if len(part) < HEAD or len(part) > HEAD + PART:
            return None
        number, place, count = int.from_bytes(part[:4], "big"), part[4], part[5]
        if not place < count <= MOST_PARTS:
            return None
        if count == 1:
            return part[HEAD:]
        while self.open and now - next(iter(self.open.values())).at > OPEN_FOR:
            self.open.popitem(last=False)
        key = (sender, number)
        known = self.open.setdefault(key, Open(now, count))
        if known.count != count:
            return None
        known.parts[place] = part[HEAD:]
        if len(known.parts) == count:
            del self.open[key]
            return b"".join(known.parts[at] for at in range(count))
        if len(self.open) > MOST_OPEN:
            self.open.popitem(last=False)
        return None
