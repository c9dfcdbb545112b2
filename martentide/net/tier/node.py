"""The actor of one control node: owns its core, the membership among the nodes and two UDP endpoints.

One endpoint serves proxies, the other control nodes; both post into one bounded mailbox.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import Counter
from dataclasses import dataclass

from martentide.control import node
from martentide.control.messages import BetweenNodes, Heartbeat, Join, Leave, decode_control, encode_control
from martentide.control.node import (
    ControlNode,
    FromPeer,
    FromProxy,
    PeerDown,
    PeerUp,
    SendToPeer,
    SendToProxy,
)
from martentide.control.terms import ControlTerms
from martentide.extras import ControlNodePart
from martentide.fleet import events as fleet
from martentide.fleet.core import Membership
from martentide.fleet.terms import Terms
from martentide.fleet.wire import DatagramError, Frame, State
from martentide.net.close_reason import LOG, log_event
from martentide.net.due_timer import DueTimer
from martentide.net.tier.datagrams import Arrived, Endpoint

MAILBOX_SIZE = 4_096  # datagrams; further ones are dropped, as by a full socket buffer
ITEMS_PER_TURN = 64  # items processed before other tasks may run
REPORT_INTERVAL_S = 10.0  # between log lines on leases and datagrams


@dataclass(frozen=True, slots=True)
class OfProxies:
    """A datagram received from a proxy."""

    arrived: Arrived


@dataclass(frozen=True, slots=True)
class OfNodes:
    """A datagram received from a control node."""

    arrived: Arrived


class Tick:
    """A deadline of the core or of the membership has been reached."""


Item = OfProxies | OfNodes | Tick


class ControlHost:
    """A control node on sockets. ``run`` opens the endpoints and serves until ``stop``."""

    def __init__(self, part: ControlNodePart, terms: ControlTerms | None = None) -> None:
        self.part = part
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue(MAILBOX_SIZE)
        self.counts: Counter[str] = Counter()
        self.frame = Frame(part.fleet, part.secret)
        now = self._now()
        self.core = ControlNode(
            part.name, part.infos(), terms or ControlTerms(), now, int(time.time()) * 1_000
        )
        others = tuple(one.gossip for one in part.nodes if one.name != part.name)
        own = part.own()
        incarnation = secrets.randbits(62) + 1
        self.membership = Membership(
            part.name, own.region, own.gossip, others, Terms(), incarnation, now, incarnation
        )
        self.stopping = asyncio.Event()
        self.timer = DueTimer(lambda: self._post(Tick()))
        self.proxy_transport: asyncio.DatagramTransport | None = None
        self.node_transport: asyncio.DatagramTransport | None = None

    def _now(self) -> float:
        return self.loop.time() * 1_000.0

    def stop(self) -> None:
        """Announce the departure to the other nodes and stop; proxies move once this node stops answering."""
        self.stopping.set()

    async def run(self) -> None:
        """Serve until ``stop``. Raises OSError if an address is in use."""
        own = self.part.own()
        open_endpoint = self.loop.create_datagram_endpoint
        self.proxy_transport, _ = await open_endpoint(
            lambda: Endpoint(lambda arrived: self._post(OfProxies(arrived)), self.counts), own.address
        )
        self.node_transport, _ = await open_endpoint(
            lambda: Endpoint(lambda arrived: self._post(OfNodes(arrived)), self.counts), own.gossip
        )
        log_event(
            "control-serving", name=self.part.name, region=own.region,
            address=f"{own.address[0]}:{own.address[1]}", gossip=f"{own.gossip[0]}:{own.gossip[1]}",
        )  # fmt: skip
        mailbox_task = self.loop.create_task(self._process_mailbox(), name="control node")
        report_task = self.loop.create_task(self._report(), name="control report")
        await self.stopping.wait()
        self._run_membership_actions(self.membership.handle(self._now(), fleet.Depart()))
        for task in (mailbox_task, report_task):
            task.cancel()
        self.timer.cancel()
        self.proxy_transport.close()
        self.node_transport.close()
        log_event("control-stopped", leases=len(self.core.leases))

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            log_event("control-leases", leases=len(self.core.leases), **dict(self.counts + self.core.counts))

    def _post(self, item: Item) -> bool:
        if self.mailbox.full():
            self.counts["overrun"] += 1
            return False
        self.mailbox.put_nowait(item)
        return True

    # ---- items ------------------------------------------------------------------------------------------

    async def _process_mailbox(self) -> None:
        self._arm()
        taken = 0
        while True:
            item = await self.mailbox.get()
            taken += 1
            if taken % ITEMS_PER_TURN == 0:
                await asyncio.sleep(0)
            try:
                self._process_item(item)
            except Exception:  # one unexpected message must not stop the node
                LOG.exception("internal-error control", item=type(item).__name__)
            self._arm()

    def _process_item(self, item: Item) -> None:
        match item:
            case OfProxies(arrived):
                self._from_proxy(arrived)
            case OfNodes(arrived):
                self._from_node(arrived)
            case Tick():
                now = self._now()
                if now >= self.membership.due:
                    self._run_membership_actions(self.membership.handle(now, fleet.Due()))
                self._handle_event(node.Due())

    def _arm(self) -> None:
        self.timer.arm(min(self.core.due, self.membership.due) / 1_000.0)

    def _from_proxy(self, arrived: Arrived) -> None:
        self.counts["received"] += 1
        try:
            message = decode_control(self.frame.open(arrived.data))
        except DatagramError as error:
            self.counts[error.why.value] += 1
            return
        if isinstance(message, Join | Heartbeat | Leave):
            self._handle_event(FromProxy(message, arrived.source))
        else:
            self.counts["misplaced"] += 1

    def _from_node(self, arrived: Arrived) -> None:
        try:
            datagram = self.frame.read(arrived.data)
        except DatagramError as error:
            self.counts[error.why.value] += 1
            return
        self._run_membership_actions(self.membership.handle(self._now(), fleet.DatagramReceived(datagram)))

    # ---- actions ----------------------------------------------------------------------------------------

    def _handle_event(self, event: node.Event) -> None:
        for action in self.core.handle(self._now(), event):
            match action:
                case SendToProxy(address, message):
                    assert isinstance(address, tuple)
                    data = self.frame.seal(encode_control(message))
                    self.counts["sent"] += 1
                    if self.proxy_transport is not None:
                        self.proxy_transport.sendto(data, address)
                case SendToPeer(to, between):
                    payload = fleet.SendPayload(to, encode_control(between))
                    self._run_membership_actions(self.membership.handle(self._now(), payload))

    def _run_membership_actions(self, actions: list[fleet.Action]) -> None:
        for action in actions:
            match action:
                case fleet.Send(address, datagram):
                    if self.node_transport is not None:
                        self.node_transport.sendto(self.frame.write(datagram), address)
                case fleet.Changed(member, _, _, evidence):
                    up = member.state < State.DEAD
                    state = State(member.state).name.lower()
                    log_event("control-node", node=member.name, state=state, evidence=repr(evidence))
                    self._handle_event(PeerUp(member.name) if up else PeerDown(member.name))
                case fleet.PayloadReceived(_, body):
                    self._from_peer(body)

    def _from_peer(self, body: bytes) -> None:
        try:
            message = decode_control(body)
        except DatagramError as error:
            self.counts[error.why.value] += 1
            return
        if isinstance(message, BetweenNodes):
            self._handle_event(FromPeer(message))
