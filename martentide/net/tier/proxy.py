"""The actor of a proxy's lease: owns the client core and exchanges datagrams with control nodes.

The received state is meant for the consumers of the state that a fleet without a control tier gossips. Until
they use it, only the operator's call ``/control/fleet`` shows it. The proxy's own pressure is taken from the
load reports of its session server.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter

from martentide.control import client
from martentide.control.client import (
    Attached,
    ControlClient,
    FromNode,
    Isolated,
    OwnState,
    ProxyInfo,
    SendToNode,
)
from martentide.control.messages import (
    MAX_PRESSURE,
    LeaseGranted,
    LeaseRefused,
    StateEntry,
    Update,
    decode_control,
    encode_control,
)
from martentide.control.terms import ControlTerms
from martentide.extras import ControlTierPart
from martentide.fleet.wire import DatagramError, Frame
from martentide.interface import AttemptEnded, Event, ProbeEnded
from martentide.net.close_reason import LOG, log_event
from martentide.net.dispatcher import Dispatcher
from martentide.net.due_timer import DueTimer
from martentide.net.tier.datagrams import Arrived, Endpoint

MAILBOX_SIZE = 256  # items; further ones are dropped, as by a full socket buffer
CAPACITY_PER_SIZE = 100  # published capacity of a session server of size 1


class Tick:
    """The core's deadline has been reached."""


Item = Arrived | Tick


class TierMember:
    """This proxy's lease; ``join`` after ``retire`` requests a new one."""

    def __init__(self, part: ControlTierPart, name: str, dispatcher: Dispatcher, seed: int) -> None:
        self.part, self.name, self.dispatcher, self.seed = part, name, dispatcher, seed
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue(MAILBOX_SIZE)
        self.counts: Counter[str] = Counter()
        self.frame = Frame(part.fleet, part.secret)
        self.addresses = {one.name: one.address for one in part.nodes}
        self.own_state = OwnState(CAPACITY_PER_SIZE, 0)
        self.core: ControlClient | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.timer = DueTimer(lambda: self.post(Tick()))
        dispatcher.event_observers.append(self._observe_event)

    def _now(self) -> float:
        return self.loop.time() * 1_000.0

    # ---- life cycle -------------------------------------------------------------------------------------

    async def join(self) -> None:
        """Open a UDP endpoint at an ephemeral port and request a lease."""
        if self.core is not None:
            return
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: Endpoint(self.post, self.counts), ("0.0.0.0", 0)
        )
        self.transport = transport
        part = self.part
        info = ProxyInfo(
            self.name, part.region, part.zone, part.service, frozenset((part.service, *part.calls))
        )
        # Leases of a later process under this name take precedence over those of an earlier one.
        epoch = int(time.time())
        self.core = ControlClient(
            info, part.infos(), ControlTerms(), self.seed ^ time.monotonic_ns(), self._now(), epoch
        )
        self._handle_event(self.own_state)
        self._arm()

    def retire(self) -> None:
        """Stop without releasing the lease: a successor takes over the name."""
        self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
        self.core = self.transport = None

    def depart(self) -> None:
        """Release the lease, then stop."""
        if self.core is not None:
            self._handle_event(client.Depart())
        self.retire()

    async def run(self) -> None:
        """Process the mailbox until cancelled."""
        while True:
            item = await self.mailbox.get()
            try:
                self._process_item(item)
            except Exception:  # one unexpected message must not end the lease
                LOG.exception("internal-error tier", item=type(item).__name__)
            if self.core is not None:
                self._arm()

    def post(self, item: Item) -> bool:
        """Put an item into the mailbox; return False and count it if the mailbox is full."""
        if self.mailbox.full():
            self.counts["overrun"] += 1
            return False
        self.mailbox.put_nowait(item)
        return True

    # ---- items ------------------------------------------------------------------------------------------

    def _process_item(self, item: Item) -> None:
        if self.core is None:
            return
        if isinstance(item, Tick):
            self._handle_event(client.Due())
            return
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(item.data)
        try:
            message = decode_control(self.frame.open(item.data))
        except DatagramError as error:
            self.counts[error.why.value] += 1
            return
        if isinstance(message, LeaseGranted | LeaseRefused | Update):
            self._handle_event(FromNode(message))
        else:
            self.counts["misplaced"] += 1

    def _arm(self) -> None:
        assert self.core is not None
        self.timer.arm(self.core.due / 1_000.0)

    def _handle_event(self, event: client.Event) -> None:
        assert self.core is not None
        for action in self.core.handle(self._now(), event):
            match action:
                case SendToNode(node, message):
                    data = self.frame.seal(encode_control(message))
                    self.counts["sent"] += 1
                    self.counts["sent_bytes"] += len(data)
                    if self.transport is not None:
                        self.transport.sendto(data, self.addresses[node])
                case Attached(node):
                    log_event("tier-attached", node=node, epoch=self.core.epoch)
                case Isolated():
                    log_event("tier-alone", nodes=len(self.addresses))

    # ---- the proxy's own state --------------------------------------------------------------------------

    def _observe_event(self, _: float, event: Event) -> None:
        """Update the own state from a load report of the own session server. Called by the dispatcher."""
        if not isinstance(event, ProbeEnded | AttemptEnded) or event.server != self.part.server:
            return
        if event.report is None or event.report.hold_back is None:
            return
        listed = self.dispatcher.listed.get(event.server)
        capacity = (
            CAPACITY_PER_SIZE if listed is None else max(1, round(CAPACITY_PER_SIZE * listed.entry.size))
        )
        pressure = min(MAX_PRESSURE, max(0, round(event.report.hold_back * MAX_PRESSURE)))
        own = OwnState(capacity, pressure)
        if own != self.own_state:
            self.own_state = own
            if self.core is not None:
                self._handle_event(own)

    # ---- status -----------------------------------------------------------------------------------------

    def state(self, service: str) -> list[StateEntry]:
        """Return the usable entries of a service; none if the control tier has sent nothing in time."""
        return [] if self.core is None else self.core.state(service, self._now())

    def status(self) -> str:
        """Return JSON with the lease and the entries with their ages in ms."""
        core = self.core
        if core is None:
            return json.dumps({"fleet": self.part.fleet, "name": self.name, "state": "retired"})
        now = self._now()
        entries = [
            {"service": held.entry.service, "region": held.entry.region, "zone": held.entry.zone,
             "up": held.entry.up, "pressure": held.entry.pressure, "age": round(core.age(key, now)),
             "members": [one.name for one in held.entry.members]}
            for key, held in sorted(core.entries.items())
        ]  # fmt: skip
        state = "attached" if core.attached else "alone" if core.isolated else "joining"
        return json.dumps(
            {"fleet": self.part.fleet, "name": self.name, "state": state, "node": core.node,
             "counts": dict(self.counts), "entries": entries}
        )  # fmt: skip
