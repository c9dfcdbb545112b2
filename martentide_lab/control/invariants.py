"""Invariants of the control tier, by what proxies hold against what processes truly did.

``held-dead``: no living member is missing, for longer than stated, from what its service's subscribers in
its region hold, while no fault disturbs either. ``held-alive``: no dead one stays longer than stated.
``past-end``: nothing is offered to the decisions that was last confirmed longer ago than its end. ``bytes``:
no proxy's datagrams, both ways, go over its bound in any second. ``load``: no node holds more leases than
its bound, once the counts have settled. ``away``: no proxy stays at another region's node while its own
region has nodes. ``flaps``: no proxy goes from node to node without an end.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from martentide_lab.control.simulated import SimulatedProxy, SimulatedTier

TURN = 10.0  # ms by which two readings of one moment may differ


@dataclass(frozen=True, slots=True)
class TierBounds:
    """ms, bytes and shares that the invariants state."""

    detection: float = 6_000.0  # for a death to be known, or a new member
    settling: float = 10_000.0  # after a fault, before which nothing is asked of whom it met
    bytes_per_second: int = 2_000
    load_bound: float = 1.25
    leases_per_incarnation: int = 12  # leases of one life over a whole play: more, and it goes to and fro
    return_home: float = 14_000.0  # after a fault, for proxies to be back at their region's nodes


@dataclass(frozen=True, slots=True)
class TierViolation:
    rule: str
    at: float
    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.subject} at {self.at / 1000:.1f} s: {self.text}"


@dataclass
class TierChecker:
    """``check`` is called now and then while the simulation runs; ``calm_since`` by whoever plays faults."""

    tier: SimulatedTier
    bounds: TierBounds = field(default_factory=TierBounds)
    calm_since: float = 0.0  # of the tier and the network; proxies that come and go are no fault
    violations: list[TierViolation] = field(default_factory=list)
    missing_since: dict[tuple[str, str, str], float] = field(
        default_factory=dict
    )  # since when, by who lacks whom

    def record_fault(self) -> None:
        """A fault of nodes or the network begins, ends, or goes on."""
        self.calm_since = self.tier.now

    def check(self, sample: list[SimulatedProxy]) -> None:
        now = self.tier.now
        for proxy in sample:
            if proxy.client is not None:
                self._past_end(proxy, now)
                if self._settled(proxy, now):
                    self._members(proxy, now)
        if now - self.calm_since > self.bounds.settling:
            self._load(now)

    def _settled(self, proxy: SimulatedProxy, now: float) -> bool:
        if proxy.attached_at is None:
            return False
        return now - max(self.calm_since, proxy.changed_at, proxy.attached_at) > self.bounds.settling

    def _past_end(self, proxy: SimulatedProxy, now: float) -> None:
        """By the last datagram that came to the proxy at all: nothing can be newer than that."""
        core = proxy.client
        assert core is not None
        silent = now - proxy.received_at
        if silent <= self.tier.terms.entry_ttl + TURN:
            return
        for service in core.info.services:
            if core.state(service, now):
                text = f"{service} is offered {silent:.0f} ms after the last word of any node"
                self.violations.append(TierViolation("past-end", now, proxy.info.name, text))

    def _members(self, proxy: SimulatedProxy, now: float) -> None:
        core = proxy.client
        assert core is not None
        if not core.attached:
            return
        if core.node not in core.home_nodes:  # there it is told sums of its own region
            if now - max(self.calm_since, proxy.changed_at) > self.bounds.return_home:
                self.violations.append(
                    TierViolation("away", now, proxy.info.name, f"its lease is at {core.node}")
                )
            return
        for service in core.info.services:
            held = {
                member.name
                for entry in core.state(service, now)
                if entry.region == proxy.info.region
                for member in entry.members
            }
            for other in self.tier.by_service.get(service, ()):
                if other.info.region != proxy.info.region or now - other.changed_at <= self.bounds.detection:
                    continue
                lives = other.client is not None
                lacked = lives and other.info.name not in held and self._settled(other, now)
                if self._lasts((proxy.info.name, service, other.info.name), lacked, now):
                    self._break("held-dead", now, proxy, other)
                elif not lives and other.info.name in held:
                    self._break("held-alive", now, proxy, other)

    def _lasts(self, key: tuple[str, str, str], lacked: bool, now: float) -> bool:
        """Whether the member has been lacked at each look for as long as it may be."""
        if not lacked:
            self.missing_since.pop(key, None)
            return False
        return now - self.missing_since.setdefault(key, now) > self.bounds.detection

    def _break(self, rule: str, now: float, proxy: SimulatedProxy, other: SimulatedProxy) -> None:
        text = f"{other.info.name} is so for {now - other.changed_at:.0f} ms"
        self.violations.append(TierViolation(rule, now, proxy.info.name, text))

    def _load(self, now: float) -> None:
        by_region: dict[str, list[int]] = {}
        for core in self.tier.nodes.values():
            by_region.setdefault(core.region, []).append(len(core.leases))
        for region, leases in by_region.items():
            most = max(self.tier.terms.min_bound, self.bounds.load_bound * sum(leases) / len(leases)) + 1
            if max(leases) > most:
                text = f"{max(leases)} leases at one node, {most:.0f} at most"
                self.violations.append(TierViolation("load", now, region, text))

    def all_attached(self) -> bool:
        """Whether every living proxy holds a lease."""
        return all(one.client.attached for one in self.tier.proxies.values() if one.client is not None)

    def finish(self) -> list[TierViolation]:
        for proxy in self.tier.proxies.values():
            if proxy.lease_count > self.bounds.leases_per_incarnation * proxy.incarnations:
                self.violations.append(
                    TierViolation("flaps", self.tier.now, proxy.info.name, f"{proxy.lease_count} leases")
                )
            if proxy.max_bytes_per_second > self.bounds.bytes_per_second:
                text = f"{proxy.max_bytes_per_second} bytes in a second"
                self.violations.append(TierViolation("bytes", self.tier.now, proxy.info.name, text))
        return self.violations
