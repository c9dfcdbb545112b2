"""The replicated log under exhaustive search: every order of few events, from a few starts; planted faults
are found. Messages stay where they are once said, so they are lost, doubled, late and reordered at will."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import msgspec
import pytest

from martentide.agreement import raft
from martentide.agreement.raft import (
    Apply,
    ChangeVoters,
    Compact,
    Elect,
    Event,
    Install,
    Led,
    Message,
    Propose,
    Raft,
    Role,
    Round,
    Save,
    Saved,
    Say,
    Send,
    Snapshot,
    Told,
    fresh,
    read_message,
    write_message,
)

VOTERS = ("a", "b", "c")
TERMS = raft.Terms(pre_vote=False)


class Even:
    """Dice that always fall alike: time has no part in the search."""

    @staticmethod
    def random() -> float:
        return 0.5


@dataclass(frozen=True)
class World:
    """All processes, what each has on disk, all that was ever said, and what was committed or led."""

    nodes: dict[str, Raft]
    disks: dict[str, Saved]
    said: frozenset[bytes]
    applied: frozenset[tuple[int, bytes]]
    leaders: frozenset[tuple[int, str]]
    proposals: int = 0
    crashes: int = 0
    broken: str = ""

    def key(self) -> tuple[object, ...]:
        return (
            tuple(
                (
                    one.saved(), one.role, one.leader, one.commit, frozenset(one.round.yes),
                    tuple((name, peer.next, peer.match) for name, peer in one.peers.items()),
                )
                for one in self.nodes.values()
            ),
            tuple(self.disks.values()), self.said, self.proposals, self.crashes,
        )  # fmt: skip


def clone(one: Raft) -> Raft:
    new = copy.copy(one)
    new.log, new.actions = list(one.log), []
    new.peers = {name: copy.copy(peer) for name, peer in one.peers.items()}
    new.round = Round(set(one.round.yes))
    return new


def start(kind: type[Raft], disk: Saved) -> Raft:
    node = kind(disk, TERMS, 1, 0.0)
    node.random = Even()  # type: ignore[assignment]
    return node


def begin(kind: type[Raft] = Raft, names: tuple[str, ...] = VOTERS) -> World:
    disks = {name: fresh(name, VOTERS) for name in names}
    nodes = {name: start(kind, disk) for name, disk in disks.items()}
    return World(nodes, disks, frozenset(), frozenset(), frozenset())


def step(world: World, name: str, event: Event, forgets: bool = False) -> World:
    """One process takes one event; what it says is said, what it saves is on disk, unless it forgets."""
    node = clone(world.nodes[name])
    said, applied, leaders, disks = set(world.said), set(world.applied), set(world.leaders), dict(world.disks)
    broken = world.broken
    for action in node.handle(0.0, event):
        match action:
            case Save() if not forgets:
                disks[name] = node.saved()
            case Send(message):
                said.add(write_message(message))
            case Apply(index, entry):
                body = raft._ENCODER.encode(entry)
                if any(at == index and other != body for at, other in applied):
                    broken = f"two entries are committed at {index}"
                applied.add((index, body))
            case Led(True, term):
                if any(one == term and other != name for one, other in leaders):
                    broken = f"two lead in term {term}"
                leaders.add((term, name))
            case Install() | Led():
                pass
    return replace(
        world, nodes={**world.nodes, name: node}, disks=disks, said=frozenset(said),
        applied=frozenset(applied), leaders=frozenset(leaders), broken=broken,
    )  # fmt: skip


def crash(world: World, name: str) -> World:
    node = start(type(world.nodes[name]), world.disks[name])
    return replace(world, nodes={**world.nodes, name: node}, crashes=world.crashes + 1)


@dataclass(frozen=True)
class Bounds:
    depth: int
    states: int = 60_000
    term: int = 3
    proposals: int = 2
    crashes: int = 1
    forgets: bool = False


def following(world: World, bounds: Bounds) -> Iterator[World]:
    for body in world.said:
        message = read_message(body)
        if message.to in world.nodes:
            yield step(world, message.to, Told(message), bounds.forgets)
    for name, node in world.nodes.items():
        if node.role is Role.LEADER and world.proposals < bounds.proposals:
            after = step(world, name, Propose(b"%d" % world.proposals), bounds.forgets)
            yield replace(after, proposals=world.proposals + 1)
        if node.role is not Role.LEADER and node.term < bounds.term:
            yield step(world, name, Elect(), bounds.forgets)
        if world.crashes < bounds.crashes:
            yield crash(world, name)


def search(world: World, bounds: Bounds) -> tuple[str, int]:
    """What is broken first, and how many states were looked at."""
    seen = {world.key()}
    queue = deque([(world, 0)])
    while queue:
        one, depth = queue.popleft()
        if one.broken:
            return one.broken, len(seen)
        if depth == bounds.depth or len(seen) >= bounds.states:
            continue
        for after in following(one, bounds):
            key = after.key()
            if key not in seen:
                seen.add(key)
                if after.broken:
                    return after.broken, len(seen)
                queue.append((after, depth + 1))
    return "", len(seen)


def tell(world: World, to: str, say: Say, which: Callable[[Message], bool] = lambda _: True) -> World:
    """Deliver all such messages to the process, the oldest term first."""
    messages = sorted((read_message(body) for body in world.said), key=lambda one: (one.term, one.index))
    for message in messages:
        if message.to == to and message.say == say and which(message):
            world = step(world, to, Told(message))
    return world


def elected(world: World, name: str, by: str) -> World:
    world = step(world, name, Elect())
    term = world.nodes[name].term
    world = tell(world, by, Say.VOTE, lambda one: one.term == term)
    return tell(world, name, Say.VOTED)


def led(kind: type[Raft] = Raft) -> World:
    """``a`` leads, and ``b`` holds its first entry."""
    world = tell(elected(begin(kind), "a", "b"), "b", Say.APPEND)
    return tell(world, "a", Say.APPENDED)


def outdated(kind: type[Raft] = Raft) -> World:
    """The case of the older term: ``a`` has entries of term 1 that nobody else held; ``c`` has led since,
    with an entry of its own; ``a`` leads again, ``b`` holds the first of the old ones, and ``c`` stands for
    election."""
    world = step(elected(begin(kind), "a", "b"), "a", Propose(b"old"))
    world = replace(world, said=frozenset())
    world = elected(step(world, "c", Elect()), "c", "b")  # at the second try: b has voted in term 1
    world = replace(world, said=frozenset())
    world = elected(step(crash(world, "a"), "a", Elect()), "a", "b")
    assert [world.nodes[name].role == Role.LEADER for name in VOTERS] == [True, False, True]
    for _ in range(3):  # turned down, and sent again from further back
        world = tell(world, "a", Say.APPENDED)
        world = tell(world, "b", Say.APPEND, lambda one: one.index < 2 and one.term == 3)
        if world.nodes["b"].last == 1:
            break
        world = tell(world, "b", Say.APPEND, lambda one: one.term == 3)
    world = replace(tell(world, "a", Say.APPENDED), said=frozenset())
    world = step(step(crash(world, "c"), "c", Elect()), "c", Elect())
    return replace(world, proposals=2, crashes=0)


def compacted(kind: type[Raft] = Raft) -> World:
    """``c`` lags; ``a`` has put what came before into a snapshot and sent it."""
    world = led(kind)
    world = step(world, "a", Propose(b"1"))
    world = tell(tell(world, "b", Say.APPEND), "a", Say.APPENDED)
    world = replace(world, said=frozenset())
    world = step(world, "a", Compact(2, b"state"))
    world.nodes["a"].peers["c"].next = 1
    world = step(world, "a", Propose(b"2"))
    world = tell(world, "c", Say.SNAPSHOT)
    world = tell(world, "a", Say.APPENDED)
    world = tell(world, "c", Say.APPEND)
    return replace(tell(world, "a", Say.APPENDED), proposals=1)


STARTS = {"nothing": begin, "led": led, "an older term": outdated, "a snapshot": compacted}


@pytest.fixture(autouse=True)
def one_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(raft, "MOST_SENT", 1)  # an entry of an older term comes without the newer one


@pytest.mark.parametrize("name", STARTS)
def test_every_order_of_events_leaves_one_log(name: str) -> None:
    depth = {"nothing": 6, "led": 5, "an older term": 6, "a snapshot": 5}[name]
    broken, states = search(STARTS[name](), Bounds(depth, states=12_000, term=6))
    assert not broken and states > 2_000, (broken, states)


class VotesTwice(Raft):
    def _asked(self, message: Message) -> None:
        if message.term == self.term:
            self.vote = ""
        super()._asked(message)


class CountsOlder(Raft):
    def _advance(self) -> None:
        held = sorted(self.last if one == self.me else self._peer(one).match for one in self.voters)
        if held[1] > self.commit:
            self._commit(held[1])


class CountsLearners(Raft):
    @property
    def voters(self) -> tuple[str, ...]:
        return (*super().voters, "l")

    def _count_votes(self) -> None:
        if self.role is Role.CANDIDATE and len(self.round.yes) >= 2:
            self._lead()


class TakesAnySnapshot(Raft):
    def _install(self, snapshot: Snapshot) -> None:
        self.log, self.snapshot = [], snapshot
        self.commit = self.applied = snapshot.index
        self.actions.append(Save())


FAULTS: dict[str, tuple[Callable[[], World], Bounds]] = {
    "vote twice in a term": (lambda: begin(VotesTwice), Bounds(7, term=1, proposals=0, crashes=0)),
    "commit by count of an older term": (
        lambda: outdated(CountsOlder), Bounds(8, term=4, proposals=0, crashes=0)),
    "forgotten fsync": (lambda: begin(), Bounds(8, term=1, proposals=0, forgets=True)),
    "a learner that votes": (
        lambda: begin(CountsLearners, (*VOTERS, "l")), Bounds(7, term=1, proposals=0, crashes=0)),
    "snapshot over a longer log": (lambda: compacted(TakesAnySnapshot), Bounds(7, term=3, proposals=2)),
}  # fmt: skip


START_OF: dict[str, Callable[..., World]] = dict.fromkeys(FAULTS, begin) | {
    "commit by count of an older term": outdated, "snapshot over a longer log": compacted}  # fmt: skip


@pytest.mark.parametrize("fault", FAULTS)
def test_a_planted_fault_is_found(fault: str) -> None:
    world, bounds = FAULTS[fault]
    broken, states = search(world(), bounds)
    assert broken, f"not found in {states} states"
    assert (
        search(START_OF[fault](), replace(bounds, states=4 * states, forgets=False))[0] == ""
    )  # and nothing else


def test_a_voter_more_is_taken_alone_and_after_an_entry_of_the_term() -> None:
    world = led()
    assert world.nodes["a"].commit == 1
    world = step(world, "a", ChangeVoters(("a", "b", "c", "d")))
    assert world.nodes["a"].voters == ("a", "b", "c", "d")
    world = step(world, "a", ChangeVoters(("a", "b", "c", "d", "e")))  # one change at a time
    assert world.nodes["a"].voters == ("a", "b", "c", "d")
    world = step(led(), "a", ChangeVoters(("a", "d")))  # two names apart
    assert world.nodes["a"].voters == VOTERS


def test_a_message_of_a_liar_is_turned_down() -> None:
    for bad in (Message(5, "a", "b", -1), Message(5, "a", "b", 1, entries=(raft.Entry(2, 0, b""),))):
        with pytest.raises(msgspec.ValidationError):
            read_message(write_message(bad))
