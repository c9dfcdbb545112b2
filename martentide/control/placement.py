"""Which control nodes a proxy asks for a lease, in what order: weighted rendezvous hashing.

Thaler, Ravishankar, "Using name-based mappings to increase hit rates" (1998). A node that is lost moves its
own proxies only, each to the next of its order. The bound on a node's load is the nodes' to keep: they turn
away who comes beyond it (Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded loads", 2018).
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass

DRAW_BITS = 53


@dataclass(frozen=True, slots=True)
class NodeInfo:
    """A control node as proxies are configured with it; ``weight`` > 0."""

    name: str
    region: str
    weight: float = 1.0


def draw(proxy: str, node: str) -> float:
    """Evenly over 0 to 1, both left out, and the same everywhere."""
    digest = hashlib.blake2s(f"{proxy}\0{node}".encode(), digest_size=8).digest()
    return ((int.from_bytes(digest) >> (64 - DRAW_BITS)) + 0.5) / (1 << DRAW_BITS)


def preference(proxy: str, region: str, nodes: Iterable[NodeInfo]) -> list[str]:
    """All nodes, the own region's first, each group by its weighted draw for this proxy."""

    def rank(node: NodeInfo) -> tuple[bool, float, str]:
        return (node.region != region, -math.log(draw(proxy, node.name)) / node.weight, node.name)

    return [node.name for node in sorted(nodes, key=rank)]
