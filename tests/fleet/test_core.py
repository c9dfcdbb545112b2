"""The core's single rules, and that the checker finds each planted fault."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.fleet.core import Membership
from martentide.fleet.events import Changed, Due, Heard, Learned, Publish, Send
from martentide.fleet.terms import Terms
from martentide.fleet.wire import Datagram, Kind, MemberRecord, State, StateEntry
from martentide_lab.fleet.invariants import Checker
from martentide_lab.fleet.simulated import SimulatedFleet
from martentide_lab.fleet.story import Step

AT = ("127.0.0.1", 7_000)


def word(name: str = "b", state: State = State.ALIVE, incarnation: int = 1, **more: object) -> MemberRecord:
    figures = {"generation": 1, "life": 22, "zone": "z", "host": "127.0.0.1", "port": 7_001, "by": ""} | more
    return MemberRecord(name=name, incarnation=incarnation, state=state, **figures)  # type: ignore[arg-type]


def member() -> Membership:
    return Membership("a", "z", AT, (), Terms(), 1, 0.0, life=11)


def tell(
    core: Membership, now: float, *words: MemberRecord, sender: MemberRecord | None = None, **more: object
) -> list:  # type: ignore[type-arg]
    said = Datagram(Kind.GOSSIP, sender or word(), 11, 0, members=list(words), **more)  # type: ignore[arg-type]
    return core.handle(now, Heard(said))


@pytest.mark.parametrize(
    ("known", "told", "then"),
    [
        (
            word(incarnation=2),
            word(state=State.SUSPECT, incarnation=1, by="c"),
            State.ALIVE,
        ),
        (
            word(incarnation=2),
            word(state=State.SUSPECT, incarnation=2, by="c"),
            State.SUSPECT,
        ),
        (
            word(incarnation=2),
            word(state=State.DEAD, incarnation=2, by="c"),
            State.SUSPECT,
        ),
        (word(incarnation=2), word(state=State.LEFT, incarnation=2), State.LEFT),
        (word(state=State.LEFT, incarnation=2), word(incarnation=9), State.LEFT),
        (word(state=State.LEFT, incarnation=2), word(state=State.ALIVE, generation=2, life=33), State.ALIVE),
        (word(generation=2, life=33), word(state=State.LEFT, incarnation=9), State.ALIVE),
        (word(), word(state=State.DEAD, life=44, by="c"), State.ALIVE),  # another process of that generation
    ],
)
def test_of_two_words_on_one_member_the_newer_counts(
    known: MemberRecord, told: MemberRecord, then: State
) -> None:
    core = member()
    tell(core, 1.0, sender=word("c", life=99, port=7_003))
    tell(core, 2.0, word("b"), sender=word("c", life=99, port=7_003))
    tell(core, 3.0, known, sender=word("c", life=99, port=7_003))
    tell(core, 4.0, told, sender=word("c", life=99, port=7_003))
    assert core.members["b"].state is then


def test_nobody_is_made_known_as_dead_or_suspect() -> None:
    core = member()
    for state in (State.SUSPECT, State.DEAD, State.LEFT):
        tell(core, 1.0, word("d", state, life=55, by="c"))
    assert "d" not in core.members


def test_it_refutes_what_is_said_of_itself_and_begins_anew_above_a_former_life() -> None:
    core = member()
    tell(core, 1.0, word("a", State.SUSPECT, 4, life=11, by="b", port=AT[1]))
    assert (core.me.incarnation, core.me.state, core.health_multiplier) == (5, State.ALIVE, 1)
    tell(core, 2.0, word("a", State.DEAD, 7, life=10, generation=6, port=AT[1]))
    assert (core.me.generation, core.me.incarnation) == (7, 1)


def test_the_age_of_a_facet_is_bounded_by_the_echo_of_an_own_stamp() -> None:
    core = member()
    facet = StateEntry("b", 1, 22, 5, 1, 1, 300, 2_000, b"x")
    tell(core, 1.0)
    assert not tell_facet(core, 1_000.0, facet, echo=-1)  # nobody can say how long it was on its way
    assert not tell_facet(core, 1_000.0, facet, echo=900, kept=200)  # echoes a stamp of the future
    [learned] = tell_facet(core, 1_000.0, facet, echo=100, kept=300)
    assert 900 <= learned.entry.age <= 903  # 300 of age, and 600 on the way at most
    assert not tell_facet(core, 1_100.0, facet, echo=100, kept=300)  # known already
    [(_, known, age)] = core.state_entries_of(5, 1_500.0)
    assert known.body == b"x" and 1_400 <= age <= 1_403
    assert not list(core.state_entries_of(5, 2_200.0))


def tell_facet(core: Membership, now: float, facet: StateEntry, echo: int, kept: int = 0) -> list[Learned]:
    said = Datagram(Kind.GOSSIP, word(), 11, 0, echo, kept, entries=[facet])
    while core.due < now:  # so that the time gone by is not taken for an own stop
        core.handle(core.due, Due())
    return [action for action in core.handle(now, Heard(said)) if isinstance(action, Learned)]


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_no_facet_is_younger_than_it_is_under_delays_stops_and_doubles(seed: int) -> None:
    fleet = SimulatedFleet(5, seed)
    dice = random.Random(seed)
    fleet.network.all(delay=5.0, jitter=dice.choice([10.0, 900.0, 4_000.0]), duplicate=0.2, loss=0.1)
    born: dict[tuple[str, int], float] = {}
    for name in fleet.nodes:
        fleet.start(name)
    for _ in range(12):
        fleet.run(fleet.now + dice.uniform(100.0, 1_500.0))
        name = dice.choice(list(fleet.nodes))
        core = fleet.nodes[name].core
        if core is not None and not fleet.nodes[name].stopped:
            fleet.publish(name, 3, b"v", end=60_000)
            born[(name, core.own_entries[3].entry.counter)] = fleet.now
        one = dice.choice(list(fleet.nodes))
        (fleet.wake if fleet.nodes[one].stopped else fleet.stop)(one)
    for name in fleet.nodes:
        fleet.wake(name)
    fleet.run(fleet.now + 5_000.0)
    heard = 0
    for node in fleet.nodes.values():
        assert node.core is not None
        for owner, facet, age in node.core.state_entries_of(3, node.clock(fleet.now)):
            heard += 1
            assert age >= fleet.now - born[(owner.name, facet.counter)] - 1.0
    assert heard or fleet.network.base.jitter > 1_000.0


def test_datagrams_hold_whole_entries_and_stay_within_their_bytes() -> None:
    fleet = SimulatedFleet(40, 3)
    fleet.acquaint()
    for name in fleet.nodes:
        for kind in range(8):
            fleet.publish(name, kind, bytes(480))
    fleet.run(8_000.0)
    terms = fleet.terms
    for node in fleet.nodes.values():
        assert node.counts["largest"] <= 1_400 and not node.counts["malformed"]
        assert node.sent <= 8.0 * (terms.bytes_s + 2.0 * 5 * 400) + terms.burst_bytes


def test_tables_have_their_bounds() -> None:
    core = Membership("a", "z", AT, (), Terms(most_members=10, max_former_addresses=5), 1, 0.0)
    for at in range(50):
        tell(core, 1.0, sender=word(f"m{at}", life=100 + at, port=8_000 + at))
    assert len(core.members) == 10 and core.counts["no-room"] == 40
    for kind in range(30):
        said = Datagram(
            Kind.GOSSIP, word("m0", life=100, port=8_000), core.me.life, 0, 0, 0,
            entries=[StateEntry("m0", 1, 100, kind, 1, 1, 0, 9_000, b"x")],
        )  # fmt: skip
        core.handle(1.0, Heard(said))
    assert len(core.members["m0"].entries) == core.terms.max_entries
    with pytest.raises(ValueError, match="state entry 9"):
        core.handle(1.0, Publish(9, 1, 1_000, bytes(481)))


def test_one_that_stood_still_for_long_tells_nobody_who_lives() -> None:
    core = member()
    tell(core, 1.0, word("c", life=33, port=7_003))
    core.handle(core.due + 100_000.0, Due())
    assert not core.members and core.joining and core.former_addresses


def test_who_stood_still_accuses_nobody() -> None:
    core = member()
    tell(core, 1.0, sender=word())
    actions = []
    now = 1.0
    for _ in range(30):
        now = core.due + 800.0
        actions += core.handle(now, Due())
    assert not [one for one in actions if isinstance(one, Changed)]
    assert [one for one in actions if isinstance(one, Send)]


# ---- planted faults: the checker finds each by what others saw ------------------------------------------

REACH = Membership._rejoin
BETTER = Membership._apply_newer_record
Plant = Callable[[pytest.MonkeyPatch], None]
KILL = (Step(5_000, "kill", ("n1",)),)
STOP = tuple(
    step
    for at in range(4_000, 24_000, 4_000)
    for step in (Step(at, "stop", ("n1,n2",)), Step(at + 600, "continue", ("n1,n2",)))
)
SPLIT = (Step(5_000, "split", ("n0,n1", "n2,n3")), Step(12_000, "heal"))
PLANTED: dict[str, tuple[str, Plant, tuple[Step, ...], float]] = {
    "buries nobody": (
        "found-dead", lambda m: m.setattr(Membership, "_mark_dead", lambda *_: None), KILL, 0.0),
    "refutes nothing": (
        "not-accused", lambda m: m.setattr(Membership, "_apply_own_record", lambda *_: None), (), 0.2),
    "seeks no other half": (
        "one-fleet", lambda m: m.setattr(Membership, "_rejoin", lambda self, own: setattr(
            self, "rejoin_due", own + 500.0) if self.members else REACH(self, own)), SPLIT, 0.0),
    "raises the dead": (
        "not-raised", lambda m: m.setattr(Membership, "_apply_newer_record", raising), KILL, 0.0),
}  # fmt: skip


def raising(self: Membership, known: object, told: MemberRecord, by: str, direct: bool) -> bool:
    """A member that holds the dead for alive again after a while."""
    result = BETTER(self, known, told, by, direct)  # type: ignore[arg-type]
    if self.me.name == "n0" and told.state == State.DEAD:
        raised = word(told.name, State.ALIVE, 99, life=told.life, port=told.port)
        self.members[told.name].since = -1e9
        PENDING.append((self, raised))
    return result


PENDING: list[tuple[Membership, MemberRecord]] = []


@pytest.mark.parametrize("fault", PLANTED)
def test_a_planted_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    rule, plant, steps, loss = PLANTED[fault]
    end = 40_000.0

    def rules() -> set[str]:
        fleet = SimulatedFleet(4, 5)
        fleet.network.all(loss=loss)
        PENDING.clear()

        def raise_them() -> None:
            for core, raised in PENDING:
                fleet.feed(core.me.name, Heard(Datagram(Kind.GOSSIP, raised, 0, 0)))

        fleet.later(20_000.0, raise_them)
        log = fleet.play(steps, end)
        return {one.rule for one in Checker(list(fleet.nodes)).check(log, end)}

    assert rules() == set()
    plant(monkeypatch)
    assert rule in rules()
