"""The order in which a proxy asks control nodes for a lease, by weighted rendezvous hashing.

Thaler, Ravishankar, "Using name-based mappings to increase hit rates" (1998). The loss of a node moves only
its own proxies, each to the next node of its order. The nodes themselves enforce a load bound and refuse
further leases (Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded loads", 2018).
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass

DRAW_BITS = 53


@dataclass(frozen=True, slots=True)
class NodeInfo:
    """A control node in the configuration of proxies; ``weight`` > 0."""

    name: str
    region: str
    weight: float = 1.0


def draw(proxy: str, node: str) -> float:
    """Return a hash of both names, uniform in the open interval (0, 1) and equal on all hosts."""
    digest = hashlib.blake2s(f"{proxy}\0{node}".encode(), digest_size=8).digest()
    return ((int.from_bytes(digest) >> (64 - DRAW_BITS)) + 0.5) / (1 << DRAW_BITS)


def preference(proxy: str, region: str, nodes: Iterable[NodeInfo]) -> list[str]:
    """Return all node names, those of the own region first, each group by weighted rendezvous rank."""

    def rank(node: NodeInfo) -> tuple[bool, float, str]:
        return (node.region != region, -math.log(draw(proxy, node.name)) / node.weight, node.name)

    return [node.name for node in sorted(nodes, key=rank)]
