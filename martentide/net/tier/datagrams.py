"""A UDP endpoint that puts datagrams into a bounded mailbox, so that a flood only raises a counter."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from martentide.fleet.events import Address


@dataclass(frozen=True, slots=True)
class Arrived:
    """A received datagram and its sender."""

    data: bytes
    source: Address


class Endpoint(asyncio.DatagramProtocol):
    """Calls ``post`` for each datagram; counts send errors in ``counts``."""

    def __init__(self, post: Callable[[Arrived], object], counts: Counter[str]) -> None:
        self.post, self.counts = post, counts

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        """Post the datagram."""
        self.post(Arrived(data, (str(address[0]), address[1])))

    def error_received(self, error: Exception) -> None:
        """Count an ICMP error of an earlier send."""
        self.counts["unreachable"] += 1  # no socket at the destination: equivalent to a lost datagram
