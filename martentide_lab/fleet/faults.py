"""Network faults by directed pair of members, for real datagrams and simulated ones alike."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

Pair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Link:
    """Faults of one direction between two members; shares 0 to 1, times in ms."""

    cut: bool = False
    loss: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # uniform, added to the delay; reorders datagrams
    duplicate: float = 0.0
    damage: float = 0.0  # share of datagrams with one byte changed


@dataclass(frozen=True, slots=True)
class Delivery:
    """One arrival of a datagram, after ``delay`` ms; one byte is changed where ``corrupted``."""

    delay: float
    corrupted: bool


class Network:
    """The links of all pairs: ``base``, and in ``links`` the pairs that differ from it."""

    def __init__(self, base: Link | None = None) -> None:
        self.base = base or Link()
        self.links: dict[Pair, Link] = {}

    def link(self, pair: Pair) -> Link:
        """The link from the first member of the pair to the second."""
        return self.links.get(pair, self.base)

    def set_links(self, sources: Iterable[str], targets: Iterable[str], **changes: float | bool) -> None:
        """Change the links from each source to each target; a member has no link to itself."""
        target_names = list(targets)
        for source in sources:
            for target in target_names:
                if source != target:
                    pair = (source, target)
                    self.links[pair] = replace(self.link(pair), **changes)  # type: ignore[arg-type]

    def set_all_links(self, **changes: float | bool) -> None:
        """Change all links, those that differ from ``base`` included."""
        self.base = replace(self.base, **changes)  # type: ignore[arg-type]
        self.links = {pair: replace(link, **changes) for pair, link in self.links.items()}  # type: ignore[arg-type]

    def heal(self) -> None:
        """Reset every pair to ``base``, and undo a cut of ``base``."""
        self.links.clear()
        self.base = replace(self.base, cut=False)

    def deliveries(self, pair: Pair, rng: random.Random) -> list[Delivery]:
        """The arrivals of one datagram: none, one or two."""
        link = self.link(pair)
        if link.cut or rng.random() < link.loss:
            return []
        copies = 2 if link.duplicate and rng.random() < link.duplicate else 1
        return [
            Delivery(
                link.delay + link.jitter * rng.random(), bool(link.damage) and rng.random() < link.damage
            )
            for _ in range(copies)
        ]


def corrupt(data: bytes, rng: random.Random) -> bytes:
    """Return the datagram with one byte changed."""
    position = rng.randrange(len(data))
    return data[:position] + bytes((data[position] ^ rng.randrange(1, 256),)) + data[position + 1 :]
