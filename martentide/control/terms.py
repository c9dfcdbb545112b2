"""Parameters of the control tier, in ms and bytes. ``docs/design/scale.md`` derives them."""

from __future__ import annotations

from dataclasses import dataclass

IP_UDP_HEADER_BYTES = 28  # bytes of IPv4 and UDP headers per datagram


@dataclass(frozen=True, slots=True)
class ControlTerms:
    """Protocol parameters; all nodes and proxies of a fleet use the same."""

    heartbeat: float = 1_000.0  # interval between heartbeats of a proxy
    lease: float = 3_300.0  # lifetime without a heartbeat: two may be lost
    node_timeout: float = 2_200.0  # silence of its node after which a proxy moves to another one
    full_retry: float = 250.0  # delay before a proxy refused by a full node asks the next one
    join_retry: float = 1_000.0  # between join attempts, times a random factor of 0.5 to 1.5
    home_retry: float = 8_000.0  # window for the return to the own region once that is reachable again
    joins_per_s: float = 100.0  # joins that one node grants per second
    joins_burst: float = 20.0
    load_bound: float = 1.25  # leases of one node, relative to the mean of its region's live nodes
    min_bound: int = 100  # leases always allowed, because lease counts of other nodes arrive late
    load_retention: float = 30_000.0  # for which leases of a lost node count towards the mean
    flush: float = 200.0  # interval at which a node sends queued changes
    update_bytes_per_s: float = 800.0  # to one subscriber, including headers
    update_burst: float = 500.0  # bytes at once; no second sees more than rate plus burst
    max_queue_wait: float = 1_500.0  # queueing time after which a change is sent first
    window: int = 32  # unacknowledged updates to one subscriber
    resend_after: float = 1_500.0  # for which an update may stay unacknowledged before it is sent again
    entry_ttl: float = 8_000.0  # age from which a state entry is no longer used
    peer_timeout: float = 6_000.0  # without a summary of a node, after which its entries are dropped
    pressure_step: int = 50  # thousandths; smaller changes of pressure are not published
    max_subscriptions: int = 64  # services per proxy
    max_leases: int = 4_096  # per node
    max_service_name: int = 32  # bytes
