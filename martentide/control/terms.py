"""Figures of the control tier; ms and bytes. ``docs/design/scale.md`` derives them."""

from __future__ import annotations

from dataclasses import dataclass

IP_UDP_HEADER_BYTES = 28  # bytes of IP and UDP beside each datagram


@dataclass(frozen=True, slots=True)
class ControlTerms:
    """Defaults; all nodes and proxies of a fleet use the same."""

    heartbeat: float = 1_000.0  # between two heartbeats of a proxy
    lease: float = 3_300.0  # without a heartbeat, after which a proxy is held down: two may be lost
    node_timeout: float = 2_200.0  # without a word of its node, after which a proxy goes to another one
    full_retry: float = 250.0  # before a proxy that was turned away from a full node asks the next one
    join_retry: float = 1_000.0  # between two tries to join, times 0.5 to 1.5 by chance
    home_retry: float = 8_000.0  # within which a proxy goes back to its region, once that is heard of again
    joins_per_s: float = 100.0  # that one node grants
    joins_burst: float = 20.0
    load_bound: float = 1.25  # leases of one node, by the mean of its region's living nodes
    min_bound: int = 100  # leases that a node may hold whatever the mean: what it knows of others is late
    load_retention: float = 30_000.0  # for which a lost node's leases still count towards the mean
    flush: float = 200.0  # between two looks of a node at what is to be told
    update_bytes_per_s: float = 800.0  # to one subscriber, with headers
    update_burst: float = 500.0  # at once; rate and burst together bound any second
    max_queue_wait: float = 1_500.0  # of a change in a subscriber's queue, after which it goes first
    window: int = 32  # updates to one subscriber that are not acknowledged yet
    resend_after: float = 1_500.0  # for which an update may stay unacknowledged
    entry_ttl: float = 8_000.0  # ms of age from which a state entry is acted on no more
    peer_timeout: float = 6_000.0  # without a summary of a peer node, after which its shares count no more
    pressure_step: int = 50  # thousandths by which pressure has to move to be told
    max_subscriptions: int = 64  # services of one proxy
    max_leases: int = 4_096  # of one node
    max_service_name: int = 32  # bytes
