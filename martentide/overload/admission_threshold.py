"""Who is shed: classes by worth, above the cut whole, at the cut a share, below none.

The share at the cut is settled by the number called and a slowly turning epoch, so that a story's redials
meet one verdict at every proxy, and a call's chance hangs on its class and not on the proxy it came to.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

LEAST_SIZE = 1e-9  # set-ups a second
TURNS = 8  # of the epoch for which one number's verdict holds; numbers turn at different ones


def shares(admitted: float, worths: Mapping[str, float], offered: Mapping[str, float]) -> dict[str, float]:
    """By class, the share let in, where ``admitted`` (0 to 1) of all that is offered first is let in at all.
    Classes of one worth are cut alike; a class of which nothing is offered is treated as one of no size."""
    total = sum(max(0.0, offered.get(name, 0.0)) for name in worths)
    if admitted >= 1.0 or total <= 0.0:
        return dict.fromkeys(worths, 1.0 if admitted >= 1.0 else max(0.0, admitted))
    room = max(0.0, admitted) * total
    cut: dict[str, float] = {}
    for worth in sorted(set(worths.values()), reverse=True):
        names = [name for name in worths if worths[name] == worth]
        size = sum(max(0.0, offered.get(name, 0.0)) for name in names)
        share = min(1.0, room / size) if size > LEAST_SIZE else float(room > 0.0)
        room = max(0.0, room - size)
        cut |= dict.fromkeys(names, share)
    return cut


def draw(number: str, turn: int) -> float:
    """0 to 1, evenly over numbers, the same at every proxy: below its class's share the call is let in."""
    name = number.encode()
    phase = int.from_bytes(hashlib.blake2b(name, digest_size=2).digest(), "big")
    mixed = hashlib.blake2b(b"%d/%s" % ((turn + phase) // TURNS, name), digest_size=4).digest()
    return int.from_bytes(mixed, "big") / 2.0**32
