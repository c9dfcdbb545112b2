"""State of everybody to everybody by gossip, on the simulated flat fleet: what is missing, and the bytes."""

from __future__ import annotations

from benchmarks.scale.results import Row
from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.simulated import SimulatedFleet

KIND, LIFE, BODY = 9, 4_000, 60  # of the entry: its kind, ms that it counts, bytes
SECONDS, WARM = 8, 6


def measure(members: int, seed: int = 1) -> Row:
    """Each member says one entry a second that counts for four."""
    fleet = SimulatedFleet(members, seed, base=Link(delay=1.0, jitter=2.0))
    fleet.start_acquainted()

    def publish(name: str) -> None:
        fleet.publish(name, KIND, bytes(BODY), LIFE)
        fleet.schedule(1_000.0, lambda: publish(name))

    for name in fleet.members:
        fleet.schedule(fleet.rng.uniform(0.0, 1_000.0), lambda name=name: publish(name))  # type: ignore[misc]
    fleet.run(WARM * 1_000.0)
    sent = sum(node.sent_bytes for node in fleet.members.values())
    missing = wanted = 0
    for _ in range(SECONDS):
        fleet.run(fleet.now + 1_000.0)
        for node in fleet.members.values():
            assert node.core is not None
            held = sum(1 for _ in node.core.state_entries_of(KIND, node.own_time(fleet.now)))
            wanted += members - 1
            missing += members - 1 - held
    total = sum(node.sent_bytes for node in fleet.members.values()) - sent
    return {
        "members": members,
        "missing_share": round(missing / wanted, 4),
        "bytes_per_s_member": round(total / SECONDS / members, 1),
    }
