"""A UDP endpoint whose datagrams go into a bounded mailbox: a flood costs a counter."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from martentide.fleet.events import Address


@dataclass(frozen=True, slots=True)
class Arrived:
    """A datagram as it came."""

    data: bytes
    source: Address


class Endpoint(asyncio.DatagramProtocol):
    """``post`` gets each datagram; ``counts`` those that a send could not deliver."""

    def __init__(self, post: Callable[[Arrived], object], counts: Counter[str]) -> None:
        self.post, self.counts = post, counts

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        self.post(Arrived(data, (str(address[0]), address[1])))

    def error_received(self, error: Exception) -> None:
        self.counts["unreachable"] += 1  # nobody listens there: as good as a lost datagram
