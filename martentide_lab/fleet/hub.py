"""What stands between the members' datagrams: one socket for each member, which all others are told as its
address. So every datagram comes by here, also one to an address that was learned by gossip only."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from martentide_lab.fleet.faults import Network, corrupt

Address = tuple[str, int]


class _Door(asyncio.DatagramProtocol):
    def __init__(self, hub: Hub, name: str) -> None:
        self.hub, self.name = hub, name
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.hub.forward(address, self.name, data)

    def error_received(self, error: Exception) -> None:
        self.hub.counts["refused"] += 1  # nobody listens at a member's true address


class Hub:
    """Carries datagrams between members by the rules of ``network``. ``member_addresses`` holds where each
    really is."""

    def __init__(self, network: Network, seed: int) -> None:
        self.network, self.rng = network, random.Random(seed)
        self.endpoints: dict[str, _Door] = {}
        self.member_addresses: dict[str, Address] = {}
        self.by_address: dict[Address, str] = {}
        self.counts: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()  # bytes by member, with headers
        self.loop = asyncio.get_running_loop()

    async def open(self, name: str) -> Address:
        """The address that the others are told for the member."""
        transport, door = await self.loop.create_datagram_endpoint(
            lambda: _Door(self, name), local_addr=("127.0.0.1", 0)
        )
        door.transport = transport
        self.endpoints[name] = door
        return self.public_address(name)

    def public_address(self, name: str) -> Address:
        door = self.endpoints[name].transport
        assert door is not None
        address: Address = door.get_extra_info("sockname")
        return address

    def set_member_address(self, name: str, true: Address) -> None:
        """The member listens there now."""
        old = self.member_addresses.get(name)
        if old is not None and self.by_address.get(old) == name:
            del self.by_address[old]
        self.member_addresses[name] = true
        self.by_address[true] = name

    def forward(self, source: Address, target: str, data: bytes) -> None:
        name = self.by_address.get(source)
        if name is None:
            self.counts["strangers"] += 1  # a process that has ended, or one that nobody has settled yet
            return
        self.sent_bytes[name] += len(data) + 28
        for fate in self.network.deliveries((name, target), self.rng):
            body = corrupt(data, self.rng) if fate.corrupted else data
            if fate.delay <= 0.0:
                self._deliver(name, target, body)
            else:
                self.loop.call_later(fate.delay / 1000.0, self._deliver, name, target, body)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        true, door = self.member_addresses.get(target), self.endpoints[source].transport
        if true is not None and door is not None and not door.is_closing():
            door.sendto(data, true)  # from the door of the sender: there an answer comes by here again

    def inject(self, target: str, data: bytes) -> None:
        """A datagram from nowhere: garbage, another fleet's."""
        true = self.member_addresses.get(target)
        door = next(iter(self.endpoints.values())).transport
        if true is not None and door is not None:
            door.sendto(data, true)

    def close(self) -> None:
        for door in self.endpoints.values():
            if door.transport is not None:
                door.transport.close()
