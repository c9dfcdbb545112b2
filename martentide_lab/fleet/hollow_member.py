"""A member in the test's own process: a membership core on a socket, whose datagrams a test can rewrite as a
later version, an older version or a faulty peer would send them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from martentide.fleet.core import Membership
from martentide.fleet.events import DatagramReceived, Due, Event, Publish, Send
from martentide.fleet.terms import Terms
from martentide.fleet.wire import Datagram, DatagramError, Frame
from martentide_lab.fleet.hub import Hub


class HollowMember(asyncio.DatagramProtocol):
    """A membership core on a UDP socket.

    ``transform`` encodes each datagram; None: the frame's own encoding.
    """

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
        """Join the fleet through the hub, as the real members do."""
        public_address = await hub.open(self.name)
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        hub.set_member_address(self.name, self.transport.get_extra_info("sockname"))
        now = self.loop.time() * 1000.0
        self.core = Membership(self.name, "varna", public_address, seeds, Terms(), 1, now)
        self._schedule_timer()

    def publish(self, kind: int, schema: int, body: bytes) -> None:
        """Publish a state entry, valid for 60 s."""
        self._handle_event(Publish(kind, schema, 60_000, body))

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        """Pass a datagram to the core; an invalid one is dropped."""
        try:
            self._handle_event(DatagramReceived(self.frame.read(data)))
        except DatagramError:
            return

    def _handle_event(self, event: Event) -> None:
        if self.core is None or self.transport is None:
            return
        for action in self.core.handle(self.loop.time() * 1000.0, event):
            if isinstance(action, Send):
                datagram = action.datagram
                data = (
                    self.frame.write(datagram)
                    if self.transform is None
                    else self.transform(self.frame, datagram)
                )
                self.transport.sendto(data, action.address)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        assert self.core is not None
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(self.core.due / 1000.0, self._handle_event, Due())

    def close(self) -> None:
        """Stop without leaving the fleet."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
        self.core = self.transport = None
