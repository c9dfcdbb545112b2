"""Control nodes and proxies on one simulated clock, with the same network faults as the flat fleet.

Membership of the control nodes runs in ``SimulatedFleet`` with the product's membership core. Messages are
encoded to count their size on the wire. A proxy uses the network link of its zone; cuts are therefore given
by the names of zones and control nodes.
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

DATAGRAM_OVERHEAD_BYTES = IP_UDP_HEADER_BYTES + HEADER_BYTES + CHECK_BYTES
RATE_WINDOW_MS = 1_000.0  # over which a proxy's bytes are bounded


@dataclass
class SimulatedProxy:
    """One proxy: its client, and counts of its datagrams and leases. Times are in ms."""

    info: ProxyInfo
    client: ControlClient | None = None
    incarnations: int = 0
    changed_at: float = 0.0  # start of the running incarnation, or end of the last one
    capacity: int = 100  # set-ups a second
    pressure: int = 0  # thousandths of the calls to be held back
    bytes_in: int = 0
    bytes_out: int = 0
    recent_datagrams: deque[tuple[float, int]] = field(default_factory=deque)  # time and bytes of each
    recent_bytes: int = 0
    max_bytes_per_second: int = 0
    attached_at: float | None = None
    received_at: float = 0.0  # last datagram of any node
    isolations: int = 0  # times that the client became isolated
    lease_count: int = 0  # leases granted, over all incarnations

    def count_bytes(self, now: float, size: int) -> None:
        """Count a datagram sent or received; both directions count towards the bound."""
        self.recent_datagrams.append((now, size))
        self.recent_bytes += size
        while self.recent_datagrams[0][0] <= now - RATE_WINDOW_MS:
            self.recent_bytes -= self.recent_datagrams.popleft()[1]
        self.max_bytes_per_second = max(self.max_bytes_per_second, self.recent_bytes)


class SimulatedTier:
    """Control nodes and proxies of a layout; ``start`` starts all of them.

    ``loaded_share`` is the share of the services whose proxies change their pressure at random.
    """

    def __init__(
        self,
        layout: Layout,
        seed: int,
        terms: ControlTerms | None = None,
        base_link: Link | None = None,
        loaded_share: float = 0.1,
    ) -> None:
        self.layout, self.terms = layout, terms or ControlTerms()
        self.rng = random.Random(seed)
        self.fleet = SimulatedFleet(layout.nodes, seed, base=base_link, name="control")
        self.fleet.observers.append(self._on_membership_action)
        self.node_infos = layout.node_infos()
        self.nodes: dict[str, ControlNode] = {}
        self.node_bytes = dict.fromkeys((info.name for info in self.node_infos), 0)
        self.queued_events: dict[str, list[Callable[[], None]]] = {}
        self.proxies: dict[str, SimulatedProxy] = {}
        for index in range(layout.proxies):
            info = layout.proxy_info(index, self.rng)
            self.proxies[info.name] = SimulatedProxy(info)
        loaded = round(loaded_share * layout.services)
        self.loaded_services = {f"s{index}" for index in self.rng.sample(range(layout.services), loaded)}
        self.by_service: dict[str, list[SimulatedProxy]] = {}
        for proxy in self.proxies.values():
            self.by_service.setdefault(proxy.info.service, []).append(proxy)

    @property
    def now(self) -> float:
        """Simulated time in ms."""
        return self.fleet.now

    def run(self, until: float) -> None:
        """Run the simulation up to ``until`` (ms)."""
        self.fleet.run(until)

    def start(self) -> None:
        """Start all control nodes and proxies."""
        for info in self.node_infos:
            self.start_node(info.name)
        for proxy in self.proxies.values():
            self.start_proxy(proxy)

    # ---- processes --------------------------------------------------------------------------------------

    def start_node(self, name: str) -> None:
        """Start a control node with empty state."""
        self.fleet.start(name)
        core = self.nodes[name] = ControlNode(
            name, self.node_infos, self.terms, self.now, int(self.now) * 1_000
        )
        self._run_node_timers(name, core)

    def kill_node(self, name: str) -> None:
        """End a control node without notice to others."""
        self.fleet.kill(name)
        self.nodes.pop(name, None)
        self.queued_events.pop(name, None)

    def stop_node(self, name: str) -> None:
        """Suspend a control node as SIGSTOP does; its incoming events are queued."""
        self.fleet.stop(name)
        self.queued_events[name] = []

    def continue_node(self, name: str) -> None:
        """Resume a suspended control node and process its queued events."""
        queued = self.queued_events.pop(name, [])
        self.fleet.resume(name)
        for event in queued:
            event()
        if (core := self.nodes.get(name)) is not None:
            self._run_node_timers(name, core)

    def start_proxy(self, proxy: SimulatedProxy) -> None:
        """Start the next incarnation of a proxy; no effect on a running one."""
        if proxy.client is not None:
            return
        proxy.incarnations += 1
        proxy.changed_at, proxy.attached_at = self.now, None
        proxy.client = ControlClient(
            proxy.info, self.node_infos, self.terms, self.rng.getrandbits(48), self.now
        )  # fmt: skip
        self._run_proxy_timers(proxy, proxy.client)

    def kill_proxy(self, proxy: SimulatedProxy) -> None:
        """End a proxy without notice to its node."""
        if proxy.client is not None:
            proxy.client, proxy.changed_at, proxy.attached_at = None, self.now, None

    def shut_down_proxy(self, proxy: SimulatedProxy) -> None:
        """Shut down a proxy: it sends a leave to its node before it ends."""
        if proxy.client is not None:
            self._handle_proxy_event(proxy, client.Depart())
            self.kill_proxy(proxy)

    def cut_network(self, group: Iterable[str], other_group: Iterable[str]) -> None:
        """Drop all datagrams between the two groups of zones and control nodes."""
        first, second = list(group), list(other_group)
        self.fleet.network.set_links(first, second, cut=True)
        self.fleet.network.set_links(second, first, cut=True)

    def split_by_region(self, region: str) -> tuple[list[str], list[str]]:
        """Return the zones and control nodes of a region, and all others."""
        in_region = self.layout.zones_of(region) + [
            info.name for info in self.node_infos if info.region == region
        ]
        all_names = [f"z{index}" for index in range(self.layout.zones)] + [
            info.name for info in self.node_infos
        ]
        return in_region, [name for name in all_names if name not in in_region]

    # ---- proxies ----------------------------------------------------------------------------------------

    def _run_proxy_timers(self, proxy: SimulatedProxy, core: ControlClient) -> None:
        if proxy.client is not core:
            return
        if core.due <= self.now:
            self._report_own_state(proxy)
            self._handle_proxy_event(proxy, client.Due())
        if not core.departed:
            due = max(core.due, self.now + 1.0)
            self.fleet.schedule(due - self.now, lambda: self._run_proxy_timers(proxy, core))

    def _report_own_state(self, proxy: SimulatedProxy) -> None:
        """Pass capacity and pressure to the client; in a loaded service, change pressure at random first."""
        if proxy.info.service in self.loaded_services:
            pressure = proxy.pressure + self.rng.randrange(-150, 151)
            proxy.pressure = min(900, max(0, pressure))
        self._handle_proxy_event(proxy, client.OwnState(proxy.capacity, proxy.pressure))

    def _handle_proxy_event(self, proxy: SimulatedProxy, event: client.Event) -> None:
        if proxy.client is None:
            return
        for action in proxy.client.handle(self.now, event):
            match action:
                case client.SendToNode(name, message):
                    self._send_to_node(proxy, name, message)
                case client.Attached():
                    proxy.attached_at = self.now
                    proxy.lease_count += 1
                case client.Isolated():
                    proxy.isolations += 1

    def _send_to_node(self, proxy: SimulatedProxy, name: str, message: ToNode) -> None:
        assert isinstance(message, Join | Heartbeat | Leave)
        size = len(encode_control(message)) + DATAGRAM_OVERHEAD_BYTES
        proxy.bytes_out += size
        proxy.count_bytes(self.now, size)
        for delivery in self.fleet.network.deliveries((proxy.info.zone, name), self.rng):
            if not delivery.corrupted:
                event = FromProxy(message, proxy.info.name)
                self.fleet.schedule(delivery.delay, lambda event=event: self._handle_node_event(name, event))  # type: ignore[misc]

    # ---- control nodes ----------------------------------------------------------------------------------

    def _run_node_timers(self, name: str, core: ControlNode) -> None:
        if self.nodes.get(name) is not core or name in self.queued_events:
            return
        self._handle_node_event(name, node.Due())
        self.fleet.schedule(max(1.0, core.due - self.now), lambda: self._run_node_timers(name, core))

    def _handle_node_event(self, name: str, event: node.Event) -> None:
        if name in self.queued_events:
            self.queued_events[name].append(lambda: self._handle_node_event(name, event))
            return
        core = self.nodes.get(name)
        if core is None:
            return
        for action in core.handle(self.now, event):
            match action:
                case SendToProxy(address, message):
                    self._send_to_proxy(name, str(address), message)
                case SendToPeer(to, between):
                    self.fleet.handle_event(name, SendPayload(to, encode_control(between)))

    def _send_to_proxy(self, name: str, address: str, message: ToProxy) -> None:
        proxy = self.proxies[address]
        size = len(encode_control(message)) + DATAGRAM_OVERHEAD_BYTES
        self.node_bytes[name] += size
        incarnation = proxy.incarnations
        for delivery in self.fleet.network.deliveries((name, proxy.info.zone), self.rng):
            if not delivery.corrupted:
                self.fleet.schedule(
                    delivery.delay, lambda: self._receive_at_proxy(proxy, incarnation, message, size)
                )

    def _receive_at_proxy(self, proxy: SimulatedProxy, incarnation: int, message: ToProxy, size: int) -> None:
        proxy.bytes_in += size
        proxy.count_bytes(self.now, size)
        proxy.received_at = self.now
        if proxy.incarnations == incarnation:
            self._handle_proxy_event(proxy, client.FromNode(message))

    def _on_membership_action(self, name: str, action: Action) -> None:
        """Pass results of the control nodes' membership on to the node cores."""
        match action:
            case PayloadReceived(_, body):
                message = decode_control(body)
                assert isinstance(message, BetweenNodes)
                self._handle_node_event(name, FromPeer(message))
            case Changed(record, _, _, _):
                up = record.state < State.DEAD
                self._handle_node_event(name, PeerUp(record.name) if up else PeerDown(record.name))
