"""Parameters of fleet membership, in ms and bytes. Members need not have the same ones."""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_DATAGRAM_BYTES = 1_400  # bytes, maximum: fits one frame on every usual link, with room for tunnel headers


@dataclass(frozen=True, slots=True)
class Terms:
    """Parameters of one member; times in ms.

    The defaults are for sites some tens of ms apart; ``docs/design/fleet.md`` derives them.
    """

    period: float = 200.0  # between two probes of this member
    probe_timeout: float = 90.0  # of a direct probe, after which indirect probes are requested
    indirect_probes: int = 4  # members asked for an indirect probe
    min_suspicion: float = 1_200.0  # a process stalled for half a second must be able to refute in time
    max_suspicion: float = 2_400.0  # with a single accuser
    accusers: int = 3  # independent accusers that shorten suspicion to ``min_suspicion``
    gossip_interval: float = 100.0  # between two rounds of gossip, while updates are queued
    fanout: int = 3  # members per round
    transmissions: float = 1.5  # times an update is sent, as a multiple of log2 of the fleet's size
    # An entry valid for no longer than this is sent ``short_lived_rounds`` times by each member, as the owner
    # publishes a newer one before further repetitions would help:
    short_lived_max_age: float = 4_000.0
    short_lived_rounds: int = 2
    sync_interval: float = 1_000.0  # between two anti-entropy syncs, each with one member
    rejoin_interval: float = 1_000.0  # between two pings to a dead member, a former address or an unused seed
    dead_retention: float = 120_000.0  # dead or left members are kept, lest old records resurrect them
    max_former_addresses: int = 256  # of dropped dead members, still pinged occasionally
    stall: float = 150.0  # lateness from which this process counts as stalled
    isolation_timeout: float = 2_000.0  # without any datagram, after which this member suspects all others
    max_health_multiplier: int = 4  # 2 steps add one period between probes, 4 double the suspicion timeout
    bytes_per_s: float = 5_000.0  # per second, for gossip and syncs together; probes are not limited
    burst_bytes: float = 8_000.0
    max_members: int = 2_048
    max_entries: int = 8  # per member
    max_entry_bytes: int = 480  # body of a state entry

    def suspicion(self, members: int, accusers: int, health_multiplier: int) -> float:
        """Time in ms that a suspect has to refute, by the number of accusers (Lifeguard's formula)."""
        scale = max(1.0, math.log10(max(1, members)) / 1.4)  # 1 up to 25 members
        least, most = self.min_suspicion * scale, self.max_suspicion * scale
        wanted = max(1, min(self.accusers, members - 2))
        progress = math.log(accusers + 1) / math.log(wanted + 1)
        return max(least, most - (most - least) * progress) * (1.0 + health_multiplier / 4.0)

    def rounds(self, members: int) -> int:
        """Times that each member sends an update."""
        return math.ceil(self.transmissions * math.log2(max(2, members + 1)))
