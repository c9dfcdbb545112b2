"""Bounded exhaustive search over the replicated log: every order of a few events from several initial states,
and injected faults that the search must find. A message once sent stays deliverable, so loss, duplication,
delay and reordering are all covered."""

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
    Event,
    InstallSnapshot,
    LeadershipChanged,
    Message,
    MessageType,
    Persist,
    PersistentState,
    Propose,
    Raft,
    Received,
    Role,
    Send,
    Snapshot,
    StartElection,
    VoteTally,
    decode_message,
    encode_message,
    initial_state,
)

VOTERS = ("a", "b", "c")
TIMINGS = raft.RaftTimings(pre_vote=False)


class ConstantRandom:
    """A constant random source, since the search does not model time."""

    @staticmethod
    def random() -> float:
        """Return 0.5."""
        return 0.5


@dataclass(frozen=True)
class World:
    """All processes, their disks, all messages ever sent, all committed entries and all leaders by term."""

    nodes: dict[str, Raft]
    disks: dict[str, PersistentState]
    sent: frozenset[bytes]
    applied: frozenset[tuple[int, bytes]]
    leaders: frozenset[tuple[int, str]]
    proposals: int = 0
    crashes: int = 0
    violation: str = ""

    def key(self) -> tuple[object, ...]:
        """Return what distinguishes two states of the search."""
        return (
            tuple(
                (
                    one.persistent_state(), one.role, one.leader, one.commit_index,
                    frozenset(one.tally.granted_by),
                    tuple((name, peer.next_index, peer.match_index) for name, peer in one.peers.items()),
                )
                for one in self.nodes.values()
            ),
            tuple(self.disks.values()), self.sent, self.proposals, self.crashes,
        )  # fmt: skip


def clone(one: Raft) -> Raft:
    """Return a copy of a process whose changes don't affect the original."""
    new = copy.copy(one)
    new.log, new.actions = list(one.log), []
    new.peers = {name: copy.copy(peer) for name, peer in one.peers.items()}
    new.tally = VoteTally(set(one.tally.granted_by))
    return new


def start_node(kind: type[Raft], disk: PersistentState) -> Raft:
    """Start a process from what its disk holds."""
    node = kind(disk, TIMINGS, 1, 0.0)
    node.rng = ConstantRandom()  # type: ignore[assignment]
    return node


def initial_world(kind: type[Raft] = Raft, names: tuple[str, ...] = VOTERS) -> World:
    """Return the state in which all processes have started and nothing has been sent."""
    disks = {name: initial_state(name, VOTERS) for name in names}
    nodes = {name: start_node(kind, disk) for name, disk in disks.items()}
    return World(nodes, disks, frozenset(), frozenset(), frozenset())


def step(world: World, name: str, event: Event, omits_fsync: bool = False) -> World:
    """One process handles one event; its messages are sent and its state is written to disk, unless
    ``omits_fsync``."""
    node = clone(world.nodes[name])
    sent, applied, leaders, disks = set(world.sent), set(world.applied), set(world.leaders), dict(world.disks)
    violation = world.violation
    for action in node.handle(0.0, event):
        match action:
            case Persist() if not omits_fsync:
                disks[name] = node.persistent_state()
            case Send(message):
                sent.add(encode_message(message))
            case Apply(index, entry):
                body = raft._ENCODER.encode(entry)
                if any(at == index and other != body for at, other in applied):
                    violation = f"two entries are committed at {index}"
                applied.add((index, body))
            case LeadershipChanged(True, term):
                if any(one == term and other != name for one, other in leaders):
                    violation = f"two lead in term {term}"
                leaders.add((term, name))
            case InstallSnapshot() | LeadershipChanged():
                pass
    return replace(
        world, nodes={**world.nodes, name: node}, disks=disks, sent=frozenset(sent),
        applied=frozenset(applied), leaders=frozenset(leaders), violation=violation,
    )  # fmt: skip


def crash(world: World, name: str) -> World:
    """Restart a process from its disk."""
    node = start_node(type(world.nodes[name]), world.disks[name])
    return replace(world, nodes={**world.nodes, name: node}, crashes=world.crashes + 1)


@dataclass(frozen=True)
class Bounds:
    """Limits of a search; ``omits_fsync``: state is never written to disk."""

    depth: int
    states: int = 60_000
    term: int = 3
    proposals: int = 2
    crashes: int = 1
    omits_fsync: bool = False


def successors(world: World, bounds: Bounds) -> Iterator[World]:
    """Yield each state that one event leads to."""
    for body in world.sent:
        message = decode_message(body)
        if message.to in world.nodes:
            yield step(world, message.to, Received(message), bounds.omits_fsync)
    for name, node in world.nodes.items():
        if node.role is Role.LEADER and world.proposals < bounds.proposals:
            after = step(world, name, Propose(b"%d" % world.proposals), bounds.omits_fsync)
            yield replace(after, proposals=world.proposals + 1)
        if node.role is not Role.LEADER and node.term < bounds.term:
            yield step(world, name, StartElection(), bounds.omits_fsync)
        if world.crashes < bounds.crashes:
            yield crash(world, name)


def search(world: World, bounds: Bounds) -> tuple[str, int]:
    """The first violated invariant ("" for none) and the number of states visited."""
    seen = {world.key()}
    queue = deque([(world, 0)])
    while queue:
        one, depth = queue.popleft()
        if one.violation:
            return one.violation, len(seen)
        if depth == bounds.depth or len(seen) >= bounds.states:
            continue
        for after in successors(one, bounds):
            key = after.key()
            if key not in seen:
                seen.add(key)
                if after.violation:
                    return after.violation, len(seen)
                queue.append((after, depth + 1))
    return "", len(seen)


def deliver(
    world: World, to: str, kind: MessageType, matching: Callable[[Message], bool] = lambda _: True
) -> World:
    """Deliver all messages of that kind to the process, the oldest term first."""
    messages = sorted((decode_message(body) for body in world.sent), key=lambda one: (one.term, one.index))
    for message in messages:
        if message.to == to and message.message_type == kind and matching(message):
            world = step(world, to, Received(message))
    return world


def elect(world: World, name: str, by: str) -> World:
    """Let a process start an election and ``by`` vote for it."""
    world = step(world, name, StartElection())
    term = world.nodes[name].term
    world = deliver(world, by, MessageType.REQUEST_VOTE, lambda one: one.term == term)
    return deliver(world, name, MessageType.VOTE_REPLY)


def with_leader(kind: type[Raft] = Raft) -> World:
    """``a`` is the leader, and ``b`` holds its first entry."""
    world = deliver(elect(initial_world(kind), "a", "b"), "b", MessageType.APPEND_ENTRIES)
    return deliver(world, "a", MessageType.APPEND_REPLY)


def with_older_term(kind: type[Raft] = Raft) -> World:
    """The case of an entry of an earlier term: ``a`` has entries of term 1 that no other voter held; ``c``
    was the leader since, with an entry of its own; ``a`` is the leader again, ``b`` holds the first of the
    old entries, and ``c`` starts an election."""
    world = step(elect(initial_world(kind), "a", "b"), "a", Propose(b"old"))
    world = replace(world, sent=frozenset())
    world = elect(step(world, "c", StartElection()), "c", "b")  # the second election: b voted in term 1
    world = replace(world, sent=frozenset())
    world = elect(step(crash(world, "a"), "a", StartElection()), "a", "b")
    assert [world.nodes[name].role == Role.LEADER for name in VOTERS] == [True, False, True]
    for _ in range(3):  # rejected, and sent again from an earlier index
        world = deliver(world, "a", MessageType.APPEND_REPLY)
        world = deliver(world, "b", MessageType.APPEND_ENTRIES, lambda one: one.index < 2 and one.term == 3)
        if world.nodes["b"].last_index == 1:
            break
        world = deliver(world, "b", MessageType.APPEND_ENTRIES, lambda one: one.term == 3)
    world = replace(deliver(world, "a", MessageType.APPEND_REPLY), sent=frozenset())
    world = step(step(crash(world, "c"), "c", StartElection()), "c", StartElection())
    return replace(world, proposals=2, crashes=0)


def with_snapshot(kind: type[Raft] = Raft) -> World:
    """``c`` lags behind; ``a`` has compacted its log into a snapshot and sent it."""
    world = with_leader(kind)
    world = step(world, "a", Propose(b"1"))
    world = deliver(deliver(world, "b", MessageType.APPEND_ENTRIES), "a", MessageType.APPEND_REPLY)
    world = replace(world, sent=frozenset())
    world = step(world, "a", Compact(2, b"state"))
    world.nodes["a"].peers["c"].next_index = 1
    world = step(world, "a", Propose(b"2"))
    world = deliver(world, "c", MessageType.INSTALL_SNAPSHOT)
    world = deliver(world, "a", MessageType.APPEND_REPLY)
    world = deliver(world, "c", MessageType.APPEND_ENTRIES)
    return replace(deliver(world, "a", MessageType.APPEND_REPLY), proposals=1)


INITIAL_WORLDS = {
    "nothing": initial_world,
    "led": with_leader,
    "an older term": with_older_term,
    "a snapshot": with_snapshot,
}


@pytest.fixture(autouse=True)
def one_entry_per_message(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send one entry per message, so that one of an earlier term arrives without the newer one."""
    monkeypatch.setattr(raft, "MAX_MESSAGE_ENTRIES", 1)


@pytest.mark.parametrize("name", INITIAL_WORLDS)
def test_every_order_of_events_keeps_logs_consistent(name: str) -> None:
    depth = {"nothing": 6, "led": 5, "an older term": 6, "a snapshot": 5}[name]
    violation, states = search(INITIAL_WORLDS[name](), Bounds(depth, states=12_000, term=6))
    assert not violation and states > 2_000, (violation, states)


class VotesTwice(Raft):
    """Fault: a process forgets its vote and can vote twice in a term."""

    def _on_vote_request(self, message: Message) -> None:
        if message.term == self.term:
            self.voted_for = ""
        super()._on_vote_request(message)


class CommitsOlderTermByCount(Raft):
    """Fault: a leader commits entries of an older term by their count."""

    def _advance_commit(self) -> None:
        held = sorted(
            self.last_index if one == self.voter_id else self._peer(one).match_index for one in self.voters
        )
        if held[1] > self.commit_index:
            self._commit_up_to(held[1])


class CountsLearners(Raft):
    """Fault: a learner counts as a voter."""

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters and the learner ``l``."""
        return (*super().voters, "l")

    def _count_votes(self) -> None:
        if self.role is Role.CANDIDATE and len(self.tally.granted_by) >= 2:
            self._become_leader()


class InstallsAnySnapshot(Raft):
    """Fault: a process installs any snapshot, also one older than its committed entries."""

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.log, self.snapshot = [], snapshot
        self.commit_index = self.last_applied = snapshot.index
        self.actions.append(Persist())


FAULTS: dict[str, tuple[Callable[[], World], Bounds]] = {
    "vote twice in a term": (lambda: initial_world(VotesTwice), Bounds(7, term=1, proposals=0, crashes=0)),
    "commit by count of an older term": (
        lambda: with_older_term(CommitsOlderTermByCount), Bounds(8, term=4, proposals=0, crashes=0)),
    "forgotten fsync": (lambda: initial_world(), Bounds(8, term=1, proposals=0, omits_fsync=True)),
    "a learner that votes": (
        lambda: initial_world(CountsLearners, (*VOTERS, "l")), Bounds(7, term=1, proposals=0, crashes=0)),
    "snapshot over a longer log": (
        lambda: with_snapshot(InstallsAnySnapshot), Bounds(7, term=3, proposals=2)),
}  # fmt: skip


FAULTLESS_WORLDS: dict[str, Callable[..., World]] = dict.fromkeys(FAULTS, initial_world) | {
    "commit by count of an older term": with_older_term,
    "snapshot over a longer log": with_snapshot,
}  # fmt: skip


@pytest.mark.parametrize("fault", FAULTS)
def test_an_injected_fault_is_found(fault: str) -> None:
    world, bounds = FAULTS[fault]
    violation, states = search(world(), bounds)
    assert violation, f"not found in {states} states"
    # Without the fault nothing is found.
    assert search(FAULTLESS_WORLDS[fault](), replace(bounds, states=4 * states, omits_fsync=False))[0] == ""


def test_voters_change_one_at_a_time_and_after_an_entry_of_the_term() -> None:
    world = with_leader()
    assert world.nodes["a"].commit_index == 1
    world = step(world, "a", ChangeVoters(("a", "b", "c", "d")))
    assert world.nodes["a"].voters == ("a", "b", "c", "d")
    world = step(world, "a", ChangeVoters(("a", "b", "c", "d", "e")))  # one change at a time
    assert world.nodes["a"].voters == ("a", "b", "c", "d")
    world = step(with_leader(), "a", ChangeVoters(("a", "d")))  # two voters changed
    assert world.nodes["a"].voters == VOTERS


def test_a_message_with_values_out_of_range_is_rejected() -> None:
    for bad in (Message(5, "a", "b", -1), Message(5, "a", "b", 1, entries=(raft.Entry(2, 0, b""),))):
        with pytest.raises(msgspec.ValidationError):
            decode_message(encode_message(bad))
