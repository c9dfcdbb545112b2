"""A member that lives in the test's own process: a core on a socket, whose datagrams a test may change, as a
later version, an older program or a liar would send them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from martentide.fleet.core import Membership
from martentide.fleet.events import DatagramReceived, Due, Event, Publish, Send
from martentide.fleet.terms import Terms
from martentide.fleet.wire import Datagram, DatagramError, Frame
from martentide_lab.fleet.hub import Hub


class HollowMember(asyncio.DatagramProtocol):
    """``transform`` turns each datagram into the bytes that go out; None: as the frame writes it."""

    def __init__(
        self,
        name: str,
        fleet: str = "rig",
        transform: Callable[[Frame, Datagram], bytes] | None = None,
    ) -> None:
        self.name, self.frame, self.transform = name, Frame(fleet), transform
        self.loop = asyncio.get_running_loop()
        self.core: Membership | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def join(self, hub: Hub, seeds: tuple[tuple[str, int], ...]) -> None:
        """Through the hub, as all others."""
        told = await hub.open(self.name)
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        hub.set_member_address(self.name, self.transport.get_extra_info("sockname"))
        now = self.loop.time() * 1000.0
        self.core = Membership(self.name, "varna", told, seeds, Terms(), 1, now)
        self._arm()

    def publish(self, kind: int, schema: int, body: bytes) -> None:
        self._feed(Publish(kind, schema, 60_000, body))

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        try:
            self._feed(DatagramReceived(self.frame.read(data)))
        except DatagramError:
            return

    def _feed(self, event: Event) -> None:
        if self.core is None or self.transport is None:
            return
        for action in self.core.handle(self.loop.time() * 1000.0, event):
            if isinstance(action, Send):
                said = action.datagram
                data = self.frame.write(said) if self.transform is None else self.transform(self.frame, said)
                self.transport.sendto(data, action.address)
        self._arm()

    def _arm(self) -> None:
        assert self.core is not None
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(self.core.due / 1000.0, self._feed, Due())

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
        self.core = self.transport = None
