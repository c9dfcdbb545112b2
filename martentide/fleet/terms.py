"""Figures of the fleet; ms and bytes. A member works with its own, and need not know those of others."""

from __future__ import annotations

import math
from dataclasses import dataclass

DATAGRAM = 1_400  # bytes a datagram holds at most: fits one frame on every link, with room for tunnels


@dataclass(frozen=True, slots=True)
class Terms:
    """Defaults are for sites some tens of ms apart; ``docs/design/fleet.md`` derives them."""

    period: float = 200.0  # between two probes of this member
    probe_timeout: float = 90.0  # for an answer to a direct probe, before others are asked to try
    indirect_probes: int = 4  # members that are asked to try
    suspicion_least: float = 1_200.0  # a stop of half a second must end before it
    suspicion_most: float = 2_400.0  # without a second accuser
    accusers: int = 3  # independent ones that bring suspicion down to its least
    gossip_gap: float = 100.0  # between two rounds of news, while there is any
    fanout: int = 3  # members a round goes to
    transmissions: float = 1.5  # times log2 of the fleet's size that a piece of news is sent
    short_lived_max_age: float = (
        4_000.0  # ms: a facet that ends by then is told ``brief_rounds`` times by each member:
    )
    short_lived_rounds: int = 2  # the next word comes sooner than a repetition would help
    sync_interval: float = 1_000.0  # between two comparisons with one other member
    rejoin_interval: float = 1_000.0  # between two tries at one that is dead, past, or a seed not heard of
    dead_retention: float = (
        120_000.0  # a dead or departed member is remembered, so that old word can't raise it
    )
    max_former_addresses: int = 256  # addresses of the dead beyond that, still tried now and then
    stall: float = 150.0  # own lateness from which a member doubts itself
    isolation_timeout: float = (
        2_000.0  # without a word from anybody, after which a member takes itself for cut off
    )
    max_health_multiplier: int = (
        4  # steps of own doubt; two make probes slower by a period, four double suspicion
    )
    bytes_s: float = 5_000.0  # of news and comparisons that a member sends at most; probes come on top
    burst_bytes: float = 8_000.0
    most_members: int = 2_048
    max_entries: int = 8  # of one member
    max_entry_bytes: int = 480  # bytes of a facet

    def suspicion(self, members: int, accusers: int, health: int) -> float:
        """How long a suspect may refute, by the accusers that agree (Lifeguard's formula)."""
        scale = max(1.0, math.log10(max(1, members)) / 1.4)  # 1 up to 25 members
        least, most = self.suspicion_least * scale, self.suspicion_most * scale
        wanted = max(1, min(self.accusers, members - 2))
        part = math.log(accusers + 1) / math.log(wanted + 1)
        return max(least, most - (most - least) * part) * (1.0 + health / 4.0)

    def rounds(self, members: int) -> int:
        """Times one piece of news is sent by each member that holds it."""
        return math.ceil(self.transmissions * math.log2(max(2, members + 1)))
