"""Datagram relay between the members: one socket for each member, whose address the member advertises.

Every datagram passes through the hub, also one to an address that was learned by gossip only.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from martentide_lab.fleet.faults import Network, corrupt

Address = tuple[str, int]


class _Endpoint(asyncio.DatagramProtocol):
    """The socket at one member's advertised address."""

    def __init__(self, hub: Hub, name: str) -> None:
        self.hub, self.name = hub, name
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.hub.forward(address, self.name, data)

    def error_received(self, error: Exception) -> None:
        self.hub.counts["refused"] += 1  # no process listens at the member's own address


class Hub:
    """Forwards datagrams between members with the faults of ``network``.

    ``member_addresses`` holds the address at which each member listens.
    """

    def __init__(self, network: Network, seed: int) -> None:
        self.network, self.rng = network, random.Random(seed)
        self.endpoints: dict[str, _Endpoint] = {}
        self.member_addresses: dict[str, Address] = {}
        self.names_by_address: dict[Address, str] = {}
        self.counts: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()  # by member; with the headers of IP and UDP
        self.loop = asyncio.get_running_loop()

    async def open(self, name: str) -> Address:
        """Open the member's endpoint and return the address that the member advertises."""
        transport, endpoint = await self.loop.create_datagram_endpoint(
            lambda: _Endpoint(self, name), local_addr=("127.0.0.1", 0)
        )
        endpoint.transport = transport
        self.endpoints[name] = endpoint
        return self.public_address(name)

    def public_address(self, name: str) -> Address:
        """The address that the member advertises."""
        transport = self.endpoints[name].transport
        assert transport is not None
        address: Address = transport.get_extra_info("sockname")
        return address

    def set_member_address(self, name: str, address: Address) -> None:
        """Set the address at which the member listens now."""
        old_address = self.member_addresses.get(name)
        if old_address is not None and self.names_by_address.get(old_address) == name:
            del self.names_by_address[old_address]
        self.member_addresses[name] = address
        self.names_by_address[address] = name

    def forward(self, source: Address, target: str, data: bytes) -> None:
        """Forward a datagram that arrived at the target's endpoint, with the faults of that link."""
        name = self.names_by_address.get(source)
        if name is None:
            self.counts["strangers"] += 1  # a process that ended, or one without an address set yet
            return
        self.sent_bytes[name] += len(data) + 28
        for delivery in self.network.deliveries((name, target), self.rng):
            body = corrupt(data, self.rng) if delivery.corrupted else data
            if delivery.delay <= 0.0:
                self._deliver(name, target, body)
            else:
                self.loop.call_later(delivery.delay / 1000.0, self._deliver, name, target, body)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        address, transport = self.member_addresses.get(target), self.endpoints[source].transport
        if address is not None and transport is not None and not transport.is_closing():
            transport.sendto(
                data, address
            )  # from the sender's endpoint, so that a reply passes through the hub

    def inject(self, target: str, data: bytes) -> None:
        """Send invalid data or another fleet's datagram to the member, unaffected by network faults."""
        address = self.member_addresses.get(target)
        transport = next(iter(self.endpoints.values())).transport
        if address is not None and transport is not None:
            transport.sendto(data, address)

    def close(self) -> None:
        """Close all endpoints."""
        for endpoint in self.endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()
