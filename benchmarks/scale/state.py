"""State entries of all members gossiped in a simulated flat fleet: share of missing entries, and bytes."""

from __future__ import annotations

from benchmarks.scale.results import Row
from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.simulated import SimulatedFleet

ENTRY_KIND, ENTRY_TTL_MS, ENTRY_BYTES = 9, 4_000, 60
MEASURED_S, WARM_UP_S = 8, 6  # of simulated time; the warm-up is left out


def measure(members: int, seed: int = 1) -> Row:
    """Measure with one entry published per member and second, which expires after ``ENTRY_TTL_MS``."""
    fleet = SimulatedFleet(members, seed, base=Link(delay=1.0, jitter=2.0))
    fleet.start_converged()

    def publish(name: str) -> None:
        fleet.publish(name, ENTRY_KIND, bytes(ENTRY_BYTES), ENTRY_TTL_MS)
        fleet.schedule(1_000.0, lambda: publish(name))

    for name in fleet.members:
        fleet.schedule(fleet.rng.uniform(0.0, 1_000.0), lambda name=name: publish(name))  # type: ignore[misc]
    fleet.run(WARM_UP_S * 1_000.0)
    sent_before = sum(member.sent_bytes for member in fleet.members.values())
    missing = expected = 0
    for _ in range(MEASURED_S):
        fleet.run(fleet.now + 1_000.0)
        for member in fleet.members.values():
            assert member.core is not None
            held = sum(1 for _ in member.core.state_entries_of(ENTRY_KIND, member.local_time(fleet.now)))
            expected += members - 1
            missing += members - 1 - held
    sent = sum(member.sent_bytes for member in fleet.members.values()) - sent_before
    return {
        "members": members,
        "missing_share": round(missing / expected, 4),
        "bytes_per_s_member": round(sent / MEASURED_S / members, 1),
    }
