"""Control nodes and proxies on one simulated clock, with the same network faults as the flat fleet.

The nodes' membership is the fleet's own core in the fleet's own simulation. Messages are encoded as on the
wire, for their sizes. A proxy's link is that of its zone, so that a cut names zones and control nodes.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from martentide.control import client, node
from martentide.control.client import ControlClient, ProxyInfo
from martentide.control.messages import (
    BetweenNodes,
    Heartbeat,
    Join,
    Leave,
    ToNode,
    ToProxy,
    decode_control,
    encode_control,
)
from martentide.control.node import (
    ControlNode,
    FromPeer,
    FromProxy,
    PeerDown,
    PeerUp,
    SendToPeer,
    SendToProxy,
)
from martentide.control.terms import IP_UDP_HEADER_BYTES, ControlTerms
from martentide.fleet.events import Action, Changed, PayloadReceived, SendPayload
from martentide.fleet.wire import CHECK_BYTES, HEADER_BYTES, State
from martentide_lab.control.layout import Layout
from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.simulated import SimulatedFleet

FRAMING = IP_UDP_HEADER_BYTES + HEADER_BYTES + CHECK_BYTES
WINDOW = 1_000.0  # ms over which a proxy's bytes are bounded


@dataclass
class SimulatedProxy:
    """One proxy: its client, and what went to and from it."""

    info: ProxyInfo
    client: ControlClient | None = None
    incarnations: int = 0
    changed_at: float = 0.0  # of this life, or of its end
    capacity: int = 100
    pressure: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    recent_datagrams: deque[tuple[float, int]] = field(default_factory=deque)
    recent_bytes: int = 0
    max_bytes_per_second: int = 0
    attached_at: float | None = None
    received_at: float = 0.0  # of any datagram of a node
    isolations: int = 0
    lease_count: int = 0  # leases taken

    def count_bytes(self, now: float, size: int) -> None:
        """Bytes of one datagram, to or from it; both count towards its bound."""
        self.recent_datagrams.append((now, size))
        self.recent_bytes += size
        while self.recent_datagrams[0][0] <= now - WINDOW:
            self.recent_bytes -= self.recent_datagrams.popleft()[1]
        self.max_bytes_per_second = max(self.max_bytes_per_second, self.recent_bytes)


class SimulatedTier:
    """``start`` begins all; ``run`` goes on until a time in ms."""

    def __init__(
        self,
        layout: Layout,
        seed: int,
        terms: ControlTerms | None = None,
        base: Link | None = None,
        pressed_share: float = 0.1,
    ) -> None:
        self.layout, self.terms = layout, terms or ControlTerms()
        self.rng = random.Random(seed)
        self.fleet = SimulatedFleet(layout.nodes, seed, base=base, name="control")
        self.fleet.observers.append(self._observe)
        self.infos = layout.node_infos()
        self.nodes: dict[str, ControlNode] = {}
        self.node_bytes = dict.fromkeys((info.name for info in self.infos), 0)
        self.queued_events: dict[str, list[Callable[[], None]]] = {}
        self.proxies: dict[str, SimulatedProxy] = {}
        for at in range(layout.proxies):
            info = layout.proxy(at, self.rng)
            self.proxies[info.name] = SimulatedProxy(info)
        pressed = round(pressed_share * layout.services)
        self.pressed_services = {f"s{at}" for at in self.rng.sample(range(layout.services), pressed)}
        self.by_service: dict[str, list[SimulatedProxy]] = {}
        for proxy in self.proxies.values():
            self.by_service.setdefault(proxy.info.service, []).append(proxy)

    @property
    def now(self) -> float:
        return self.fleet.now

    def run(self, until: float) -> None:
        self.fleet.run(until)

    def start(self) -> None:
        for info in self.infos:
            self.start_node(info.name)
        for proxy in self.proxies.values():
            self.start_proxy(proxy)

    # ---- processes --------------------------------------------------------------------------------------

    def start_node(self, name: str) -> None:
        self.fleet.start(name)
        core = self.nodes[name] = ControlNode(name, self.infos, self.terms, self.now, int(self.now) * 1_000)
        self._node_due(name, core)

    def kill_node(self, name: str) -> None:
        self.fleet.kill(name)
        self.nodes.pop(name, None)
        self.queued_events.pop(name, None)

    def stop_node(self, name: str) -> None:
        self.fleet.stop(name)
        self.queued_events[name] = []

    def continue_node(self, name: str) -> None:
        waiting = self.queued_events.pop(name, [])
        self.fleet.resume(name)
        for event in waiting:
            event()
        if (core := self.nodes.get(name)) is not None:
            self._node_due(name, core)

    def start_proxy(self, proxy: SimulatedProxy) -> None:
        if proxy.client is not None:
            return
        proxy.incarnations += 1
        proxy.changed_at, proxy.attached_at = self.now, None
        proxy.client = ControlClient(
            proxy.info, self.infos, self.terms, self.rng.getrandbits(48), self.now
        )  # fmt: skip
        self._proxy_due(proxy, proxy.client)

    def kill_proxy(self, proxy: SimulatedProxy) -> None:
        if proxy.client is not None:
            proxy.client, proxy.changed_at, proxy.attached_at = None, self.now, None

    def end_proxy(self, proxy: SimulatedProxy) -> None:
        """A planned end, which the node is told of."""
        if proxy.client is not None:
            self._feed_proxy(proxy, client.Depart())
            self.kill_proxy(proxy)

    def cut_network(self, here: Iterable[str], there: Iterable[str]) -> None:
        """Nothing passes between the two groups of zones and control nodes."""
        one, other = list(here), list(there)
        self.fleet.network.set(one, other, cut=True)
        self.fleet.network.set(other, one, cut=True)

    def split_by_region(self, region: str) -> tuple[list[str], list[str]]:
        """Zones and control nodes of a region, and all others."""
        inside = self.layout.zones_of(region) + [one.name for one in self.infos if one.region == region]
        every = [f"z{at}" for at in range(self.layout.zones)] + [one.name for one in self.infos]
        return inside, [name for name in every if name not in inside]

    # ---- proxies ----------------------------------------------------------------------------------------

    def _proxy_due(self, proxy: SimulatedProxy, core: ControlClient) -> None:
        if proxy.client is not core:
            return
        if core.due <= self.now:
            self._move_pressure(proxy)
            self._feed_proxy(proxy, client.Due())
        if not core.departed:
            due = max(core.due, self.now + 1.0)
            self.fleet.schedule(due - self.now, lambda: self._proxy_due(proxy, core))

    def _move_pressure(self, proxy: SimulatedProxy) -> None:
        if proxy.info.service in self.pressed_services:
            moved = proxy.pressure + self.rng.randrange(-150, 151)
            proxy.pressure = min(900, max(0, moved))
        self._feed_proxy(proxy, client.OwnState(proxy.capacity, proxy.pressure))

    def _feed_proxy(self, proxy: SimulatedProxy, event: client.Event) -> None:
        if proxy.client is None:
            return
        for action in proxy.client.handle(self.now, event):
            match action:
                case client.SendToNode(name, message):
                    self._to_node(proxy, name, message)
                case client.Attached():
                    proxy.attached_at = self.now
                    proxy.lease_count += 1
                case client.Isolated():
                    proxy.isolations += 1

    def _to_node(self, proxy: SimulatedProxy, name: str, message: ToNode) -> None:
        assert isinstance(message, Join | Heartbeat | Leave)
        size = len(encode_control(message)) + FRAMING
        proxy.bytes_out += size
        proxy.count_bytes(self.now, size)
        for fate in self.fleet.network.deliveries((proxy.info.zone, name), self.rng):
            if not fate.corrupted:
                event = FromProxy(message, proxy.info.name)
                self.fleet.schedule(fate.delay, lambda event=event: self._feed_node(name, event))  # type: ignore[misc]

    # ---- control nodes ----------------------------------------------------------------------------------

    def _node_due(self, name: str, core: ControlNode) -> None:
        if self.nodes.get(name) is not core or name in self.queued_events:
            return
        self._feed_node(name, node.Due())
        self.fleet.schedule(max(1.0, core.due - self.now), lambda: self._node_due(name, core))

    def _feed_node(self, name: str, event: node.Event) -> None:
        if name in self.queued_events:
            self.queued_events[name].append(lambda: self._feed_node(name, event))
            return
        core = self.nodes.get(name)
        if core is None:
            return
        for action in core.handle(self.now, event):
            match action:
                case SendToProxy(address, message):
                    self._to_proxy(name, str(address), message)
                case SendToPeer(to, between):
                    self.fleet.handle_event(name, SendPayload(to, encode_control(between)))

    def _to_proxy(self, name: str, address: str, message: ToProxy) -> None:
        proxy = self.proxies[address]
        size = len(encode_control(message)) + FRAMING
        self.node_bytes[name] += size
        life = proxy.incarnations
        for fate in self.fleet.network.deliveries((name, proxy.info.zone), self.rng):
            if not fate.corrupted:
                self.fleet.schedule(fate.delay, lambda: self._at_proxy(proxy, life, message, size))

    def _at_proxy(self, proxy: SimulatedProxy, life: int, message: ToProxy, size: int) -> None:
        proxy.bytes_in += size
        proxy.count_bytes(self.now, size)
        proxy.received_at = self.now
        if proxy.incarnations == life:
            self._feed_proxy(proxy, client.FromNode(message))

    def _observe(self, name: str, action: Action) -> None:
        """What the nodes' own membership says."""
        match action:
            case PayloadReceived(_, body):
                message = decode_control(body)
                assert isinstance(message, BetweenNodes)
                self._feed_node(name, FromPeer(message))
            case Changed(word, _, _, _):
                up = word.state < State.DEAD
                self._feed_node(name, PeerUp(word.name) if up else PeerDown(word.name))
