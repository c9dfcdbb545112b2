"""One member of a flat fleet with N others: bytes, processor time and memory.

The other members are simulated. Each answers probes, probes the member as often as N members would, and
exchanges digests that either match, as in a quiet fleet, or differ in every bucket, as they do while all
members have changes to publish. The measured member runs the product's core and codec.
"""

from __future__ import annotations

import dataclasses
import random
import time
import tracemalloc

from benchmarks.scale.results import Row
from martentide.fleet.core import Membership
from martentide.fleet.events import DatagramReceived, Due, Send
from martentide.fleet.terms import Terms
from martentide.fleet.wire import Datagram, Frame, Kind, MemberRecord, State

HEADER_BYTES = 28  # IPv4 and UDP headers
MEASURED_S, WARM_UP_S = 20, 3  # of simulated time; the warm-up is left out
TIMER_STEP_MS = 5.0  # interval at which the member's timers are checked


def member_record(index: int) -> MemberRecord:
    """Return the record of a live member by its index."""
    host = f"10.{index // 65536 % 256}.{index // 256 % 256}.{index % 256}"
    return MemberRecord(f"p{index}", 1, index + 1, 1, int(State.ALIVE), f"z{index % 13}", host, 7500)


class SimulatedPeers:
    """The other members of the fleet, connected to the measured member ``core``."""

    def __init__(self, members: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.frame = Frame("scale")
        self.records = [member_record(index) for index in range(1, members + 1)]
        self.by_process_id = {record.process_id: record for record in self.records}
        terms = dataclasses.replace(Terms(), max_members=max(Terms().max_members, members + 1))
        own_record = member_record(0)
        self.core = Membership(
            "p0", own_record.zone, (own_record.host, own_record.port), (), terms, seed, 0.0
        )
        self.sent_bytes = self.sent_datagrams = 0
        self.now = 0.0
        first = self.records[0]
        first_sync = Datagram(Kind.MISSING, first, self.core.me.process_id, 0, members=self.records[1:])
        self._handle_event(DatagramReceived(first_sync))

    def _handle_event(self, event: DatagramReceived | Due) -> None:
        for action in self.core.handle(self.now, event):
            if not isinstance(action, Send):
                continue
            data = self.frame.write(action.datagram)
            self.sent_bytes += len(data) + HEADER_BYTES
            self.sent_datagrams += 1
            self._acknowledge(action)

    def _acknowledge(self, sent: Send) -> None:
        datagram = sent.datagram
        recipient = self.by_process_id.get(datagram.to)
        if recipient is not None and datagram.kind == Kind.PING:
            self._send_to_member(
                Datagram(
                    Kind.ACK,
                    recipient,
                    self.core.me.process_id,
                    int(self.now),
                    datagram.stamp,
                    0,
                    datagram.probe,
                )
            )

    def _send_to_member(self, datagram: Datagram) -> None:
        self._handle_event(DatagramReceived(self.frame.read(self.frame.write(datagram))))

    def run(self, seconds: float, differing: bool = False) -> None:
        """Advance simulated time; ``differing`` makes every bucket of the digests differ."""
        until = self.now + seconds * 1_000.0
        last_probe_at, last_sync_at = self.now, self.now
        while self.now < until:
            self.now += TIMER_STEP_MS
            if self.now >= self.core.due:
                self._handle_event(Due())
            if self.now - last_probe_at >= self.core.terms.period:
                last_probe_at = self.now
                other = self.rng.choice(self.records)
                self._send_to_member(
                    Datagram(Kind.PING, other, self.core.me.process_id, int(self.now), probe=1)
                )
            if self.now - last_sync_at >= self.core.terms.sync_interval:
                last_sync_at = self.now
                other = self.rng.choice(self.records)
                digest = [checksum ^ differing for checksum in self.core._digest()]
                self._send_to_member(
                    Datagram(Kind.DIGEST, other, self.core.me.process_id, int(self.now), digest=digest)
                )


def measure(members: int, seed: int = 1) -> Row:
    """Measure a member that knows ``members`` others, with matching and then with differing digests."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    peers = SimulatedPeers(members, seed)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    peers.run(WARM_UP_S)
    peers.sent_bytes = peers.sent_datagrams = 0
    started = time.process_time()
    peers.run(MEASURED_S)
    processor_s = time.process_time() - started
    sent_bytes, sent_datagrams = peers.sent_bytes, peers.sent_datagrams
    started = time.process_time()
    peers.run(MEASURED_S, differing=True)
    differing_processor_s = time.process_time() - started
    return {
        "members": members,
        "bytes_per_s": round(sent_bytes / MEASURED_S, 1),
        "datagrams_per_s": round(sent_datagrams / MEASURED_S, 2),
        "processor_ms_per_s": round(1_000.0 * processor_s / MEASURED_S, 2),
        "differing_processor_ms_per_s": round(1_000.0 * differing_processor_s / MEASURED_S, 2),
        "memory_bytes_per_member": round(held_bytes / members),
    }
