"""Load shedding by priority: classes above the threshold are admitted whole, below it not, at it in part.

Within the class at the threshold, a hash of the called number and the turn (a counter of time periods)
decides. So the redials of a call get the same verdict at every proxy, and its chance depends on its class,
not on the proxy. The verdict on a number changes only every TURNS_PER_VERDICT turns.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

MIN_RATE = 1e-9  # set-ups/s below which a class counts as empty
TURNS_PER_VERDICT = 8  # turns for which a verdict holds; it changes at different turns for different numbers


def admitted_shares(
    admitted: float, worths: Mapping[str, float], offered: Mapping[str, float]
) -> dict[str, float]:
    """Return the admitted share of each class if ``admitted`` (0 to 1) of all first tries is admitted.

    ``offered`` is a rate by class. Classes of equal worth get equal shares; a class without a rate
    takes none of the admitted total.
    """
    total = sum(max(0.0, offered.get(name, 0.0)) for name in worths)
    if admitted >= 1.0 or total <= 0.0:
        return dict.fromkeys(worths, 1.0 if admitted >= 1.0 else max(0.0, admitted))
    room = max(0.0, admitted) * total
    shares: dict[str, float] = {}
    for worth in sorted(set(worths.values()), reverse=True):
        names = [name for name in worths if worths[name] == worth]
        size = sum(max(0.0, offered.get(name, 0.0)) for name in names)
        share = min(1.0, room / size) if size > MIN_RATE else float(room > 0.0)
        room = max(0.0, room - size)
        shares |= dict.fromkeys(names, share)
    return shares


def unit_hash(number: str, turn: int) -> float:
    """Return a value from 0 to 1, uniform over numbers and equal at every proxy; admit if below the share."""
    name = number.encode()
    phase = int.from_bytes(hashlib.blake2b(name, digest_size=2).digest(), "big")
    mixed = hashlib.blake2b(b"%d/%s" % ((turn + phase) // TURNS_PER_VERDICT, name), digest_size=4).digest()
    return int.from_bytes(mixed, "big") / 2.0**32
