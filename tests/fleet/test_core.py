"""Rules of the membership core one by one, and the invariant checker against injected faults."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.fleet.core import Membership
from martentide.fleet.events import Changed, DatagramReceived, Due, Learned, Publish, Send
from martentide.fleet.terms import Terms
from martentide.fleet.wire import Datagram, Kind, MemberRecord, State, StateEntry
from martentide_lab.fleet.invariants import FleetChecker
from martentide_lab.fleet.scenario import Step
from martentide_lab.fleet.simulated import SimulatedFleet

ADDRESS = ("127.0.0.1", 7_000)


def record(name: str = "b", state: State = State.ALIVE, incarnation: int = 1, **more: object) -> MemberRecord:
    """Return a record of another member."""
    fields = {
        "generation": 1, "process_id": 22, "zone": "z", "host": "127.0.0.1", "port": 7_001, "by": "",
    } | more  # fmt: skip
    return MemberRecord(name=name, incarnation=incarnation, state=state, **fields)  # type: ignore[arg-type]


def member() -> Membership:
    """Return the core of a member ``a`` that knows no other."""
    return Membership("a", "z", ADDRESS, (), Terms(), 1, 0.0, process_id=11)


def receive(
    core: Membership, now: float, *records: MemberRecord, sender: MemberRecord | None = None, **more: object
) -> list:  # type: ignore[type-arg]
    """Deliver a gossip datagram with these records; return the actions."""
    datagram = Datagram(Kind.GOSSIP, sender or record(), 11, 0, members=list(records), **more)  # type: ignore[arg-type]
    return core.handle(now, DatagramReceived(datagram))


@pytest.mark.parametrize(
    ("known", "received", "expected"),
    [
        (
            record(incarnation=2),
            record(state=State.SUSPECT, incarnation=1, by="c"),
            State.ALIVE,
        ),
        (
            record(incarnation=2),
            record(state=State.SUSPECT, incarnation=2, by="c"),
            State.SUSPECT,
        ),
        (
            record(incarnation=2),
            record(state=State.DEAD, incarnation=2, by="c"),
            State.SUSPECT,
        ),
        (record(incarnation=2), record(state=State.LEFT, incarnation=2), State.LEFT),
        (record(state=State.LEFT, incarnation=2), record(incarnation=9), State.LEFT),
        (
            record(state=State.LEFT, incarnation=2),
            record(state=State.ALIVE, generation=2, process_id=33),
            State.ALIVE,
        ),
        (record(generation=2, process_id=33), record(state=State.LEFT, incarnation=9), State.ALIVE),
        (
            record(),
            record(state=State.DEAD, process_id=44, by="c"),
            State.ALIVE,
        ),  # another instance of that generation
    ],
)
def test_the_newer_of_two_records_of_a_member_wins(
    known: MemberRecord, received: MemberRecord, expected: State
) -> None:
    core = member()
    receive(core, 1.0, sender=record("c", process_id=99, port=7_003))
    receive(core, 2.0, record("b"), sender=record("c", process_id=99, port=7_003))
    receive(core, 3.0, known, sender=record("c", process_id=99, port=7_003))
    receive(core, 4.0, received, sender=record("c", process_id=99, port=7_003))
    assert core.members["b"].state is expected


def test_an_unknown_member_is_not_added_as_suspect_dead_or_left() -> None:
    core = member()
    for state in (State.SUSPECT, State.DEAD, State.LEFT):
        receive(core, 1.0, record("d", state, process_id=55, by="c"))
    assert "d" not in core.members


def test_a_member_refutes_its_suspicion_and_starts_a_generation_above_an_earlier_instance() -> None:
    core = member()
    receive(core, 1.0, record("a", State.SUSPECT, 4, process_id=11, by="b", port=ADDRESS[1]))
    assert (core.me.incarnation, core.me.state, core.health_multiplier) == (5, State.ALIVE, 1)
    receive(core, 2.0, record("a", State.DEAD, 7, process_id=10, generation=6, port=ADDRESS[1]))
    assert (core.me.generation, core.me.incarnation) == (7, 1)


def test_the_echo_of_an_own_stamp_bounds_the_age_of_an_entry() -> None:
    core = member()
    entry = StateEntry("b", 1, 22, 5, 1, 1, 300, 2_000, b"x")
    receive(core, 1.0)
    assert not receive_entry(core, 1_000.0, entry, echo=-1)  # the transit time is unknown
    assert not receive_entry(core, 1_000.0, entry, echo=900, echo_delay=200)  # a stamp that wasn't sent yet
    [learned] = receive_entry(core, 1_000.0, entry, echo=100, echo_delay=300)
    assert 900 <= learned.entry.age <= 903  # age 300, and a transit time of at most 600
    assert not receive_entry(core, 1_100.0, entry, echo=100, echo_delay=300)  # already stored
    [(_, known, age)] = core.state_entries_of(5, 1_500.0)
    assert known.body == b"x" and 1_400 <= age <= 1_403
    assert not list(core.state_entries_of(5, 2_200.0))


def receive_entry(
    core: Membership, now: float, entry: StateEntry, echo: int, echo_delay: int = 0
) -> list[Learned]:
    """Deliver a gossip datagram with one state entry; return what was learned from it."""
    datagram = Datagram(Kind.GOSSIP, record(), 11, 0, echo, echo_delay, entries=[entry])
    while core.due < now:  # so that the elapsed time isn't taken for a stall
        core.handle(core.due, Due())
    return [action for action in core.handle(now, DatagramReceived(datagram)) if isinstance(action, Learned)]


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_the_age_of_an_entry_is_never_understated_under_delays_stalls_and_duplicates(seed: int) -> None:
    fleet = SimulatedFleet(5, seed)
    rng = random.Random(seed)
    fleet.network.set_all_links(delay=5.0, jitter=rng.choice([10.0, 900.0, 4_000.0]), duplicate=0.2, loss=0.1)
    published_at: dict[tuple[str, int], float] = {}
    for name in fleet.members:
        fleet.start(name)
    for _ in range(12):
        fleet.run(fleet.now + rng.uniform(100.0, 1_500.0))
        name = rng.choice(list(fleet.members))
        core = fleet.members[name].core
        if core is not None and not fleet.members[name].stopped:
            fleet.publish(name, 3, b"v", max_age=60_000)
            published_at[(name, core.own_entries[3].entry.counter)] = fleet.now
        one = rng.choice(list(fleet.members))
        (fleet.resume if fleet.members[one].stopped else fleet.stop)(one)
    for name in fleet.members:
        fleet.resume(name)
    fleet.run(fleet.now + 5_000.0)
    received = 0
    for node in fleet.members.values():
        assert node.core is not None
        for owner, entry, age in node.core.state_entries_of(3, node.local_time(fleet.now)):
            received += 1
            assert age >= fleet.now - published_at[(owner.name, entry.counter)] - 1.0
    assert received or fleet.network.base.jitter > 1_000.0


def test_datagrams_hold_whole_entries_and_respect_the_size_and_rate_limits() -> None:
    fleet = SimulatedFleet(40, 3)
    fleet.start_converged()
    for name in fleet.members:
        for kind in range(8):
            fleet.publish(name, kind, bytes(480))
    fleet.run(8_000.0)
    terms = fleet.terms
    for node in fleet.members.values():
        assert node.counts["largest"] <= 1_400 and not node.counts["malformed"]
        assert node.sent_bytes <= 8.0 * (terms.bytes_per_s + 2.0 * 5 * 400) + terms.burst_bytes


def test_tables_are_bounded() -> None:
    core = Membership("a", "z", ADDRESS, (), Terms(max_members=10, max_former_addresses=5), 1, 0.0)
    for index in range(50):
        receive(core, 1.0, sender=record(f"m{index}", process_id=100 + index, port=8_000 + index))
    assert len(core.members) == 10 and core.counts["no-room"] == 40
    for kind in range(30):
        datagram = Datagram(
            Kind.GOSSIP, record("m0", process_id=100, port=8_000), core.me.process_id, 0, 0, 0,
            entries=[StateEntry("m0", 1, 100, kind, 1, 1, 0, 9_000, b"x")],
        )  # fmt: skip
        core.handle(1.0, DatagramReceived(datagram))
    assert len(core.members["m0"].entries) == core.terms.max_entries
    with pytest.raises(ValueError, match="state entry 9"):
        core.handle(1.0, Publish(9, 1, 1_000, bytes(481)))


def test_a_member_discards_its_table_after_a_long_stall() -> None:
    core = member()
    receive(core, 1.0, record("c", process_id=33, port=7_003))
    core.handle(core.due + 100_000.0, Due())
    assert not core.members and core.joining and core.former_addresses


def test_a_stalled_member_accuses_no_other() -> None:
    core = member()
    receive(core, 1.0, sender=record())
    actions = []
    now = 1.0
    for _ in range(30):
        now = core.due + 800.0
        actions += core.handle(now, Due())
    assert not [one for one in actions if isinstance(one, Changed)]
    assert [one for one in actions if isinstance(one, Send)]


# ---- injected faults: the checker finds each in what the other members recorded -------------------------

ORIGINAL_REJOIN = Membership._rejoin
ORIGINAL_APPLY_NEWER_RECORD = Membership._apply_newer_record
Inject = Callable[[pytest.MonkeyPatch], None]
KILL = (Step(5_000, "kill", ("n1",)),)
STOP = tuple(
    step
    for at in range(4_000, 24_000, 4_000)
    for step in (Step(at, "stop", ("n1,n2",)), Step(at + 600, "continue", ("n1,n2",)))
)
PARTITION = (Step(5_000, "split", ("n0,n1", "n2,n3")), Step(12_000, "heal"))
INJECTED_FAULTS: dict[str, tuple[str, Inject, tuple[Step, ...], float]] = {
    "marks no member dead": (
        "found-dead", lambda m: m.setattr(Membership, "_mark_dead", lambda *_: None), KILL, 0.0),
    "refutes nothing": (
        "not-accused", lambda m: m.setattr(Membership, "_apply_own_record", lambda *_: None), (), 0.2),
    "rejoins no partition": (
        "one-fleet", lambda m: m.setattr(Membership, "_rejoin", lambda self, running_now: setattr(
            self, "rejoin_due", running_now + 500.0
            ) if self.members else ORIGINAL_REJOIN(self, running_now)), PARTITION, 0.0),
    "resurrects dead members": (
        "not-raised", lambda m: m.setattr(Membership, "_apply_newer_record", apply_and_resurrect), KILL, 0.0),
}  # fmt: skip


def apply_and_resurrect(
    self: Membership, known: object, received: MemberRecord, by: str, direct: bool
) -> bool:
    """Faulty merge: also queues a record by which ``n0`` later resurrects a dead member."""
    result = ORIGINAL_APPLY_NEWER_RECORD(self, known, received, by, direct)  # type: ignore[arg-type]
    if self.me.name == "n0" and received.state == State.DEAD:
        resurrected = record(
            received.name, State.ALIVE, 99, process_id=received.process_id, port=received.port
        )
        self.members[received.name].since = -1e9
        PENDING_RESURRECTIONS.append((self, resurrected))
    return result


PENDING_RESURRECTIONS: list[tuple[Membership, MemberRecord]] = []


@pytest.mark.parametrize("fault", INJECTED_FAULTS)
def test_the_checker_finds_an_injected_fault(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    invariant, inject, steps, loss = INJECTED_FAULTS[fault]
    end = 40_000.0

    def violated_invariants() -> set[str]:
        fleet = SimulatedFleet(4, 5)
        fleet.network.set_all_links(loss=loss)
        PENDING_RESURRECTIONS.clear()

        def resurrect_all() -> None:
            for core, resurrected in PENDING_RESURRECTIONS:
                fleet.handle_event(core.me.name, DatagramReceived(Datagram(Kind.GOSSIP, resurrected, 0, 0)))

        fleet.schedule(20_000.0, resurrect_all)
        log = fleet.play(steps, end)
        return {one.invariant for one in FleetChecker(list(fleet.members)).check(log, end)}

    assert violated_invariants() == set()
    inject(monkeypatch)
    assert invariant in violated_invariants()
