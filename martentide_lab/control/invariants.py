"""Invariants of the control tier: what proxies hold, compared with which processes are in fact running.

Each name stands here with the condition that violates the invariant.

``held-dead``: a subscriber lacks a running member of its own region for longer than ``detection``, although
no fault affects either of them. ``held-alive``: a subscriber still holds a member that ended longer ago than
``detection``. ``past-end``: a proxy uses state that was last confirmed longer ago than its lifetime.
``bytes``: a proxy sends and receives more bytes in one second than its bound. ``load``: a node holds more
leases than its bound after the lease counts have settled. ``away``: a proxy stays at a node of another region
although its own region has nodes. ``flaps``: a proxy keeps moving between nodes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from martentide_lab.control.simulated import SimulatedProxy, SimulatedTier

CLOCK_TOLERANCE_MS = 10.0  # by which two clock readings of the same event may differ


@dataclass(frozen=True, slots=True)
class TierBounds:
    """Limits of the invariants; times are in ms."""

    detection: float = 6_000.0  # until the end or the start of a member is known
    # Wait after a fault before members and load are checked; for the members that a proxy holds also after
    # its start and its latest lease. Expiry is always checked.
    settling: float = 10_000.0
    bytes_per_second: int = 2_000  # of one proxy, both directions
    load_bound: float = 1.25  # leases of one node, relative to the mean of its region
    leases_per_incarnation: int = 12  # mean over a run; a proxy with more is flapping
    return_home: float = 14_000.0  # after a fault or its start, until a proxy is at a node of its region


@dataclass(frozen=True, slots=True)
class TierViolation:
    """One violation of an invariant."""

    invariant: str  # name of the invariant
    at: float  # ms
    subject: str  # name of the proxy or the region
    text: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.subject} at {self.at / 1000:.1f} s: {self.text}"


@dataclass
class TierChecker:
    """Checks the invariants of a tier.

    The caller runs ``check`` periodically during the simulation, ``record_fault`` whenever a fault changes,
    and ``finish`` at the end.
    """

    tier: SimulatedTier
    bounds: TierBounds = field(default_factory=TierBounds)
    last_fault_at: float = 0.0  # ms, of nodes or the network; starts and ends of proxies don't count
    violations: list[TierViolation] = field(default_factory=list)
    # ms, by subscriber, service and missing member
    missing_since: dict[tuple[str, str, str], float] = field(default_factory=dict)

    def record_fault(self) -> None:
        """Record that a fault of nodes or of the network begins, continues or ends now."""
        self.last_fault_at = self.tier.now

    def check(self, sample: list[SimulatedProxy]) -> None:
        """Check the given proxies and the load of all nodes."""
        now = self.tier.now
        for proxy in sample:
            if proxy.client is not None:
                self._check_expiry(proxy, now)
                if self._is_settled(proxy, now):
                    self._check_members(proxy, now)
        if now - self.last_fault_at > self.bounds.settling:
            self._check_load(now)

    def _is_settled(self, proxy: SimulatedProxy, now: float) -> bool:
        if proxy.attached_at is None:
            return False
        return now - max(self.last_fault_at, proxy.changed_at, proxy.attached_at) > self.bounds.settling

    def _check_expiry(self, proxy: SimulatedProxy, now: float) -> None:
        """Check against the last datagram received by the proxy; its state can't be newer than that."""
        core = proxy.client
        assert core is not None
        silence_ms = now - proxy.received_at
        if silence_ms <= self.tier.terms.entry_ttl + CLOCK_TOLERANCE_MS:
            return
        for service in core.info.services:
            if core.state(service, now):
                text = f"{service} is offered {silence_ms:.0f} ms after the last datagram of any node"
                self.violations.append(TierViolation("past-end", now, proxy.info.name, text))

    def _check_members(self, proxy: SimulatedProxy, now: float) -> None:
        core = proxy.client
        assert core is not None
        if not core.attached:
            return
        if core.node not in core.home_nodes:  # such a node sends only sums for the proxy's own region
            if now - max(self.last_fault_at, proxy.changed_at) > self.bounds.return_home:
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
                alive = other.client is not None
                missing = alive and other.info.name not in held and self._is_settled(other, now)
                if self._is_missing_too_long((proxy.info.name, service, other.info.name), missing, now):
                    self._record_violation("held-dead", now, proxy, other)
                elif not alive and other.info.name in held:
                    self._record_violation("held-alive", now, proxy, other)

    def _is_missing_too_long(self, key: tuple[str, str, str], missing: bool, now: float) -> bool:
        """Whether the member was missing in every check for longer than allowed."""
        if not missing:
            self.missing_since.pop(key, None)
            return False
        return now - self.missing_since.setdefault(key, now) > self.bounds.detection

    def _record_violation(
        self, invariant: str, now: float, proxy: SimulatedProxy, other: SimulatedProxy
    ) -> None:
        text = f"{other.info.name} changed state {now - other.changed_at:.0f} ms ago"
        self.violations.append(TierViolation(invariant, now, proxy.info.name, text))

    def _check_load(self, now: float) -> None:
        by_region: dict[str, list[int]] = {}
        for core in self.tier.nodes.values():
            by_region.setdefault(core.region, []).append(len(core.leases))
        for region, leases in by_region.items():
            limit = max(self.tier.terms.min_bound, self.bounds.load_bound * sum(leases) / len(leases)) + 1
            if max(leases) > limit:
                text = f"{max(leases)} leases at one node, {limit:.0f} at most"
                self.violations.append(TierViolation("load", now, region, text))

    def all_attached(self) -> bool:
        """Whether every running proxy holds a lease."""
        return all(proxy.client.attached for proxy in self.tier.proxies.values() if proxy.client is not None)

    def finish(self) -> list[TierViolation]:
        """Check lease counts and byte rates of the whole run; return all violations."""
        for proxy in self.tier.proxies.values():
            if proxy.lease_count > self.bounds.leases_per_incarnation * proxy.incarnations:
                self.violations.append(
                    TierViolation("flaps", self.tier.now, proxy.info.name, f"{proxy.lease_count} leases")
                )
            if proxy.max_bytes_per_second > self.bounds.bytes_per_second:
                text = f"{proxy.max_bytes_per_second} bytes in a second"
                self.violations.append(TierViolation("bytes", self.tier.now, proxy.info.name, text))
        return self.violations
