"""What a network does to each directed pair of members; the same for real datagrams and simulated ones."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

Pair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Link:
    """One direction between two members; shares 0 to 1, times in ms."""

    cut: bool = False
    loss: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # on top of the delay, evenly up to this: what makes order change
    duplicate: float = 0.0
    damage: float = 0.0  # one byte of the datagram is another


@dataclass(frozen=True, slots=True)
class Delivery:
    """One arrival: after ``delay`` ms, with a byte changed where ``corrupted``."""

    delay: float
    corrupted: bool


class Network:
    """Links of all pairs: what all have (``base``), and what single ones have beside it."""

    def __init__(self, base: Link | None = None) -> None:
        self.base = base or Link()
        self.links: dict[Pair, Link] = {}

    def link(self, pair: Pair) -> Link:
        return self.links.get(pair, self.base)

    def set(self, sources: Iterable[str], targets: Iterable[str], **figures: float | bool) -> None:
        """Change the links from each source to each target; a name is never linked to itself."""
        there = list(targets)
        for source in sources:
            for target in there:
                if source != target:
                    pair = (source, target)
                    self.links[pair] = replace(self.link(pair), **figures)  # type: ignore[arg-type]

    def set_all(self, **figures: float | bool) -> None:
        """Change what all links have."""
        self.base = replace(self.base, **figures)  # type: ignore[arg-type]
        self.links = {pair: replace(one, **figures) for pair, one in self.links.items()}  # type: ignore[arg-type]

    def heal(self) -> None:
        """Every pair is as all are, and nothing is cut."""
        self.links.clear()
        self.base = replace(self.base, cut=False)

    def deliveries(self, pair: Pair, dice: random.Random) -> list[Delivery]:
        """What becomes of one datagram: no arrival, one, or two."""
        one = self.link(pair)
        if one.cut or dice.random() < one.loss:
            return []
        copies = 2 if one.duplicate and dice.random() < one.duplicate else 1
        return [
            Delivery(one.delay + one.jitter * dice.random(), bool(one.damage) and dice.random() < one.damage)
            for _ in range(copies)
        ]


def corrupt(data: bytes, dice: random.Random) -> bytes:
    """The datagram with one byte changed."""
    at = dice.randrange(len(data))
    return data[:at] + bytes((data[at] ^ dice.randrange(1, 256),)) + data[at + 1 :]
