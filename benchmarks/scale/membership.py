"""One member of the flat fleet that knows N others: bytes, processor time, memory.

The others are played: each answers probes, probes in turn as often as N members would, and compares equal
sums in calm, or sums that differ everywhere, as they do while every member has state to tell. The member
itself is the real core with the real codec.
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

HEADERS = 28  # of IP and UDP
SECONDS, WARM = 20, 3  # measured, after so many that are not
STEP = 5.0  # ms between two looks at the member's timers


def word(at: int) -> MemberRecord:
    host = f"10.{at // 65536 % 256}.{at // 256 % 256}.{at % 256}"
    return MemberRecord(f"p{at}", 1, at + 1, 1, int(State.ALIVE), f"z{at % 13}", host, 7500)


class CalmFleet:
    """Everybody but the member that is measured."""

    def __init__(self, members: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.frame = Frame("scale")
        self.words = [word(at) for at in range(1, members + 1)]
        self.by_process_id = {one.process_id: one for one in self.words}
        terms = dataclasses.replace(Terms(), max_members=max(Terms().max_members, members + 1))
        me = word(0)
        self.core = Membership("p0", me.zone, (me.host, me.port), (), terms, seed, 0.0)
        self.sent = self.datagrams = 0
        self.now = 0.0
        first = self.words[0]
        news = Datagram(Kind.MISSING, first, self.core.me.process_id, 0, members=self.words[1:])
        self._feed(DatagramReceived(news))

    def _feed(self, event: DatagramReceived | Due) -> None:
        for action in self.core.handle(self.now, event):
            if not isinstance(action, Send):
                continue
            data = self.frame.write(action.datagram)
            self.sent += len(data) + HEADERS
            self.datagrams += 1
            self._answer(action)

    def _answer(self, action: Send) -> None:
        said = action.datagram
        other = self.by_process_id.get(said.to)
        if other is not None and said.kind == Kind.PING:
            self._say(
                Datagram(Kind.ACK, other, self.core.me.process_id, int(self.now), said.stamp, 0, said.probe)
            )

    def _say(self, datagram: Datagram) -> None:
        self._feed(DatagramReceived(self.frame.read(self.frame.write(datagram))))

    def run(self, seconds: float, differing: bool = False) -> None:
        until = self.now + seconds * 1_000.0
        probed, compared = self.now, self.now
        while self.now < until:
            self.now += STEP
            if self.now >= self.core.due:
                self._feed(Due())
            if self.now - probed >= self.core.terms.period:
                probed = self.now
                other = self.rng.choice(self.words)
                self._say(Datagram(Kind.PING, other, self.core.me.process_id, int(self.now), probe=1))
            if self.now - compared >= self.core.terms.sync_interval:
                compared = self.now
                other = self.rng.choice(self.words)
                digest = [one ^ differing for one in self.core._digest()]
                self._say(Datagram(Kind.DIGEST, other, self.core.me.process_id, int(self.now), digest=digest))


def measure(members: int, seed: int = 1) -> Row:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fleet = CalmFleet(members, seed)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    fleet.run(WARM)
    fleet.sent = fleet.datagrams = 0
    begun = time.process_time()
    fleet.run(SECONDS)
    used = time.process_time() - begun
    sent, datagrams = fleet.sent, fleet.datagrams
    begun = time.process_time()
    fleet.run(SECONDS, differing=True)
    differing = time.process_time() - begun
    return {
        "members": members,
        "bytes_per_s": round(sent / SECONDS, 1),
        "datagrams_per_s": round(datagrams / SECONDS, 2),
        "processor_ms_per_s": round(1_000.0 * used / SECONDS, 2),
        "differing_processor_ms_per_s": round(1_000.0 * differing / SECONDS, 2),
        "memory_bytes_per_member": round(held / members),
    }
