"""One voter's part in a replicated log: Raft (Ongaro, Ousterhout, 2014) with pre-vote, check-quorum, leader's
lease, leadership transfer, single-member changes and snapshots (Ongaro's thesis, 2014).

Pure: events in, actions out; ``now`` is ms of the own monotonic clock, and the host calls with ``Due`` at
``due``. After a ``Save`` the host makes ``saved()`` durable before it carries out what follows in the list.
What is said may be lost, doubled, late or reordered. A process that stood still finds by its own clock that
its lease as a leader is over before it does anything in that name.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

Name = str  # of a voter; one whose disk was lost comes back under another
MOST_LOG = 48  # entries kept beyond the snapshot before the host is asked to compact
MOST_SENT = 16  # entries in one message
MOST_BYTES = 33_000  # and bytes of them, but for the first
MOST_VOTERS = 7
FOREVER = 1e18


class Kind(IntEnum):
    """Of entries."""

    NOTHING = 0  # with which a new leader commits what came before
    VOTERS = 1  # body: names
    ENTRY = 2  # the host's


class Entry(msgspec.Struct, array_like=True, frozen=True):
    term: int
    kind: int
    body: bytes


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All up to ``index``, as the host's ``state``."""

    index: int
    term: int
    voters: tuple[Name, ...]
    state: bytes


class Saved(msgspec.Struct, array_like=True, frozen=True):
    """What has to outlive the process."""

    me: Name
    term: int
    vote: Name  # "" for none
    snapshot: Snapshot
    log: tuple[Entry, ...]


class Say(IntEnum):
    PRE_VOTE = 1
    PRE_VOTED = 2
    VOTE = 3
    VOTED = 4
    APPEND = 5
    APPENDED = 6
    SNAPSHOT = 7
    TIME_OUT_NOW = 8


class Message(msgspec.Struct, array_like=True, frozen=True):
    """``index`` and ``index_term``: of the last entry (votes), of the one before ``entries``, or the last
    that is held (answers). ``stamp`` is the leader's clock, given back by answers."""

    say: int
    sender: Name
    to: Name
    term: int
    index: int = 0
    index_term: int = 0
    yes: bool = False
    commit: int = 0
    stamp: float = 0.0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Told:
    message: Message


@dataclass(frozen=True, slots=True)
class Due:
    """``due`` has come."""


@dataclass(frozen=True, slots=True)
class Propose:
    """An entry for the log; only a leader takes it."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """One voter more or less; only a leader takes it, one change at a time."""

    voters: tuple[Name, ...]


@dataclass(frozen=True, slots=True)
class Compact:
    """The host's state as of an index that it applied."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Transfer:
    """Lead no more; the other is to be elected at once."""

    to: Name


@dataclass(frozen=True, slots=True)
class Elect:
    """Stand for election now."""


Event = Told | Due | Propose | ChangeVoters | Compact | Transfer | Elect

# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    message: Message


@dataclass(frozen=True, slots=True)
class Save:
    """Make ``saved()`` durable before what follows."""


@dataclass(frozen=True, slots=True)
class Apply:
    """Committed: no history will say otherwise."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Install:
    """The host's state is this one now."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Led:
    """This one leads from now on, or no more."""

    leads: bool
    term: int


Action = Send | Save | Apply | Install | Led


class Role(IntEnum):
    FOLLOWER = 0
    ASKING = 1  # whether it would be elected
    CANDIDATE = 2
    LEADER = 3


@dataclass(frozen=True, slots=True)
class Terms:
    """ms. Who heard a leader within ``election`` votes for nobody, so a leader's word holds for as long."""

    election: float = 900.0  # to twice as much, at random, without a word of a leader
    beat: float = 200.0
    drift: float = 0.001  # by which two clocks' paces may differ
    pre_vote: bool = True


@dataclass(slots=True)
class Peer:
    """What a leader knows of another voter."""

    next: int
    match: int = 0
    acked: float = -FOREVER  # own clock at which what it last answered was said
    sent: float = -FOREVER


@dataclass(slots=True)
class Round:
    """Votes given to this one in one election."""

    yes: set[Name] = field(default_factory=set)


def fresh(me: Name, voters: Sequence[Name]) -> Saved:
    """A voter's books before anything was said."""
    return Saved(me, 0, "", Snapshot(0, 0, tuple(voters), b""), ())


class Raft:
    def __init__(self, saved: Saved, terms: Terms, seed: int, now: float) -> None:
        self.me, self.terms, self.random = saved.me, terms, random.Random(seed)
        self.term, self.vote, self.snapshot = saved.term, saved.vote, saved.snapshot
        self.log = list(saved.log)
        self.role = Role.FOLLOWER
        self.leader: Name = ""
        self.commit = self.applied = saved.snapshot.index
        self.peers: dict[Name, Peer] = {}
        self.round = Round()
        self.now = now
        self.heard = now if terms.pre_vote else -FOREVER  # of a leader; after a start it may have just been
        self.elect_due = now + self._patience()
        self.beat_due = FOREVER
        self.term_began = -FOREVER
        self.actions: list[Action] = []

    # ---- what the host sees -----------------------------------------------------------------------------

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.log)

    @property
    def voters(self) -> tuple[Name, ...]:
        """By the newest entry about them, committed or not."""
        for entry in reversed(self.log):
            if entry.kind == Kind.VOTERS:
                return msgspec.msgpack.decode(entry.body, type=tuple[Name, ...])
        return self.snapshot.voters

    @property
    def due(self) -> float:
        return self.beat_due if self.role is Role.LEADER else self.elect_due

    def saved(self) -> Saved:
        return Saved(self.me, self.term, self.vote, self.snapshot, tuple(self.log))

    def leads(self, now: float) -> bool:
        """Whether nobody else can have been elected until now: a majority heard this one so lately that it
        votes for nobody yet."""
        return self.role is Role.LEADER and now < self._lease_end()

    def term_at(self, index: int) -> int | None:
        """None where it is not held any more, or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else None

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        self.now = now = max(now, self.now)
        match event:
            case Told(message):
                self._told(message)
            case Due():
                self._due()
            case Propose(body) if self.role is Role.LEADER:
                self._append(Entry(self.term, Kind.ENTRY, body))
            case ChangeVoters(voters) if self.role is Role.LEADER:
                self._change_voters(voters)
            case Compact(index, state):
                self._compact(index, state)
            case Transfer(to) if self.role is Role.LEADER and to in self.peers:
                self._replicate(to)
                self._say(Say.TIME_OUT_NOW, to)
                self._follow(self.term, "")  # from now on another may lead, however late that comes
            case Elect():
                self._stand(forced=False)
        return self.actions

    # ---- time -------------------------------------------------------------------------------------------

    def _patience(self) -> float:
        return self.terms.election * (1.0 + self.random.random())

    def _due(self) -> None:
        if self.role is Role.LEADER:
            if self.now >= self._lease_end() and self.term_began + self.terms.election <= self.now:
                self._follow(self.term, "")  # no majority answers: it can't know that it still leads
            elif self.now >= self.beat_due:
                self.beat_due = self.now + self.terms.beat
                for name in self.peers:
                    self._replicate(name)
        elif self.now >= self.elect_due:
            self.elect_due = self.now + self._patience()
            self._stand(forced=False)

    def _lease_end(self) -> float:
        """Own time until which no majority votes for another, by what was answered."""
        voters = self.voters
        acked = sorted(
            (self.now if one == self.me else self._peer(one).acked for one in voters), reverse=True
        )
        if len(voters) == 1 and voters == (self.me,):
            return FOREVER
        return acked[len(voters) // 2] + self.terms.election * (1.0 - self.terms.drift)

    def _peer(self, name: Name) -> Peer:
        return self.peers.get(name) or Peer(self.last + 1)

    # ---- elections --------------------------------------------------------------------------------------

    def _stand(self, forced: bool) -> None:
        """Ask for votes; first whether there would be any, so that one that was cut off deposes nobody."""
        if self.role is Role.LEADER or self.me not in self.voters:
            return  # a learner elects nobody
        if self.terms.pre_vote and not forced:
            self.role, self.leader, self.round = Role.ASKING, "", Round({self.me})
            self._ask(Say.PRE_VOTE, self.term + 1)
            self._count_votes()
        else:
            self._be_candidate(forced)
        self.elect_due = self.now + self._patience()

    def _ask(self, say: Say, term: int, yes: bool = False) -> None:
        for name in self.voters:
            if name != self.me:
                last = self.term_at(self.last) or 0
                self.actions.append(Send(Message(say, self.me, name, term, self.last, last, yes)))

    def _count_votes(self) -> None:
        voters = set(self.voters)
        if 2 * len(self.round.yes & voters) <= len(voters):
            return
        if self.role is Role.ASKING:
            self._be_candidate(forced=False)
        elif self.role is Role.CANDIDATE:
            self._lead()

    def _be_candidate(self, forced: bool) -> None:
        self.role, self.leader, self.round = Role.CANDIDATE, "", Round({self.me})
        self.term, self.vote = self.term + 1, self.me
        self.actions.append(Save())
        self._ask(Say.VOTE, self.term, yes=forced)
        self._count_votes()

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.peers = {name: Peer(self.last + 1) for name in self.voters if name != self.me}
        self.term_began = self.beat_due = self.now
        self.actions.append(Led(True, self.term))
        self._append(Entry(self.term, Kind.NOTHING, b""))

    def _follow(self, term: int, leader: Name) -> None:
        if self.role is Role.LEADER:
            self.actions.append(Led(False, self.term))
        if term > self.term:
            self.term, self.vote = term, ""
            self.actions.append(Save())
        self.role, self.leader, self.beat_due = Role.FOLLOWER, leader, FOREVER
        self.elect_due = self.now + self._patience()

    def _would_vote(self, message: Message) -> bool:
        """Whether the other's log holds all that may be committed, and no leader was heard of late (unless
        that leader itself sent it)."""
        mine = (self.term_at(self.last) or 0, self.last)
        sticky = self.now - self.heard < self.terms.election and self.terms.pre_vote and not message.yes
        leads = self.role is Role.LEADER and self.terms.pre_vote and not message.yes
        return (message.index_term, message.index) >= mine and not sticky and not leads

    # ---- what others say --------------------------------------------------------------------------------

    def _told(self, message: Message) -> None:
        if message.to != self.me or message.sender == self.me:
            return
        match Say(message.say) if message.say in Say.__members__.values() else None:
            case Say.PRE_VOTE:
                yes = message.term > self.term and self._would_vote(message)
                self._say(Say.PRE_VOTED, message.sender, term=message.term if yes else self.term, yes=yes)
            case Say.PRE_VOTED:
                if message.yes and self.role is Role.ASKING and message.term == self.term + 1:
                    self.round.yes.add(message.sender)
                    self._count_votes()
                elif not message.yes and message.term > self.term:
                    self._follow(message.term, "")
            case Say.VOTE:
                self._asked(message)
            case Say.VOTED:
                if message.term > self.term:
                    self._follow(message.term, "")
                elif message.yes and self.role is Role.CANDIDATE and message.term == self.term:
                    self.round.yes.add(message.sender)
                    self._count_votes()
            case Say.APPEND | Say.SNAPSHOT:
                self._appended(message)
            case Say.APPENDED:
                self._answered(message)
            case Say.TIME_OUT_NOW:
                if message.term == self.term and self.leader == message.sender:
                    self._stand(forced=True)

    def _asked(self, message: Message) -> None:
        would = self._would_vote(message)
        if message.term > self.term and would:
            self._follow(message.term, "")
        yes = message.term == self.term and self.vote in ("", message.sender) and would
        if yes and self.vote != message.sender:
            self.vote = message.sender
            self.elect_due = self.now + self._patience()
            self.actions.append(Save())
        self._say(Say.VOTED, message.sender, yes=yes)

    def _say(self, say: Say, to: Name, term: int | None = None, yes: bool = False, **more: object) -> None:
        message = Message(say, self.me, to, self.term if term is None else term, yes=yes, **more)  # type: ignore[arg-type]
        self.actions.append(Send(message))

    # ---- the log ----------------------------------------------------------------------------------------

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self.actions.append(Save())
        for name in self.voters:
            if name != self.me and name not in self.peers:
                self.peers[name] = Peer(self.last)
        for name in self.peers:
            self._replicate(name)
        self._advance()

    def _change_voters(self, voters: tuple[Name, ...]) -> None:
        """By one name at most, and after an entry of this term is committed: so any two majorities meet."""
        pending = any(one.kind == Kind.VOTERS for one in self.log[self.commit - self.snapshot.index :])
        apart = set(voters) ^ set(self.voters)
        if pending or len(apart) != 1 or not 1 <= len(voters) <= MOST_VOTERS:
            return
        if self.term_at(self.commit) == self.term:
            self._append(Entry(self.term, Kind.VOTERS, msgspec.msgpack.encode(voters)))

    def _replicate(self, name: Name) -> None:
        peer = self.peers[name]
        peer.sent = self.now
        before = self.term_at(peer.next - 1)
        if before is None:
            self._say(Say.SNAPSHOT, name, stamp=self.now, commit=self.commit, snapshot=self.snapshot)
            return
        start = peer.next - self.snapshot.index - 1
        entries = self.log[start : start + MOST_SENT]
        while len(entries) > 1 and sum(len(one.body) for one in entries) > MOST_BYTES:
            entries.pop()
        self._say(
            Say.APPEND, name, index=peer.next - 1, index_term=before, entries=tuple(entries),
            commit=self.commit, stamp=self.now,
        )  # fmt: skip

    def _appended(self, message: Message) -> None:
        """A leader's word."""
        if message.term < self.term:
            self._say(Say.APPENDED, message.sender, index=self.last, stamp=-1.0)
            return
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != message.sender:
            self._follow(message.term, message.sender)
        self.heard = self.now
        self.elect_due = self.now + self._patience()
        if message.snapshot is not None:
            self._install(message.snapshot)
            match = message.snapshot.index
        else:
            match = self._match(message)
            if match < 0:
                self._say(Say.APPENDED, message.sender, index=self._hint(message), stamp=message.stamp)
                return
        self._commit(min(message.commit, match))
        self._say(Say.APPENDED, message.sender, yes=True, index=match, stamp=message.stamp)

    def _hint(self, message: Message) -> int:
        return min(self.last, max(self.snapshot.index, message.index - 1))

    def _match(self, message: Message) -> int:
        """Take the entries; the index up to which the log is the leader's now, -1 where it can't be told."""
        entries, before = message.entries, message.index
        if before < self.snapshot.index:  # what the snapshot holds is committed, so it is the same
            entries = entries[self.snapshot.index - before :]
            before = self.snapshot.index
        elif self.term_at(before) != message.index_term:
            return -1
        for at, entry in enumerate(entries):
            held = self.term_at(before + 1 + at)
            if held == entry.term:
                continue  # a late or doubled message must not cut off what came after
            del self.log[before + at - self.snapshot.index :]
            self.log += entries[at:]
            self.actions.append(Save())
            break
        return max(before + len(entries), before)

    def _install(self, snapshot: Snapshot) -> None:
        if snapshot.index <= self.commit:
            return
        if self.term_at(snapshot.index) == snapshot.term:
            self.log = self.log[snapshot.index - self.snapshot.index :]  # what is beyond it is kept
        else:
            self.log = []
        self.snapshot = snapshot
        self.commit = self.applied = snapshot.index
        self.actions += [Save(), Install(snapshot)]

    def _answered(self, message: Message) -> None:
        if message.term > self.term:
            self._follow(message.term, "")
            return
        peer = self.peers.get(message.sender)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return
        peer.acked = max(peer.acked, min(message.stamp, self.now))
        if message.yes:
            peer.match = max(peer.match, message.index)
            peer.next = max(peer.next, peer.match + 1)
            self._advance()
            if peer.next <= self.last:
                self._replicate(message.sender)
        elif message.index < peer.next - 1:
            peer.next = max(peer.match + 1, message.index + 1)
            self._replicate(message.sender)

    def _advance(self) -> None:
        """Commit what a majority holds; of an older term's only what a newer entry carries with it."""
        voters = self.voters
        held = sorted(
            (self.last if one == self.me else self._peer(one).match for one in voters), reverse=True
        )
        index = held[len(voters) // 2]
        if index > self.commit and self.term_at(index) == self.term:
            self._commit(index)
            if self.me not in self.voters:
                self._follow(self.term, "")

    def _commit(self, index: int) -> None:
        self.commit = max(self.commit, min(index, self.last))
        while self.applied < self.commit:
            self.applied += 1
            self.actions.append(Apply(self.applied, self.log[self.applied - self.snapshot.index - 1]))

    def _compact(self, index: int, state: bytes) -> None:
        if not self.snapshot.index < index <= self.applied:
            return
        term = self.term_at(index)
        assert term is not None
        voters = self.snapshot.voters
        for entry in self.log[: index - self.snapshot.index]:
            if entry.kind == Kind.VOTERS:
                voters = msgspec.msgpack.decode(entry.body, type=tuple[Name, ...])
        self.log = self.log[index - self.snapshot.index :]
        self.snapshot = Snapshot(index, term, voters, state)
        self.actions.append(Save())


_MESSAGES, _ENCODER = msgspec.msgpack.Decoder(Message), msgspec.msgpack.Encoder()


def write_message(message: Message) -> bytes:
    return _ENCODER.encode(message)


def read_message(body: bytes) -> Message:
    """Raises msgspec.DecodeError or ValidationError, also for figures that no voter could mean."""
    said = _MESSAGES.decode(body)
    sound = 0 <= said.term < 1 << 48 and 0 <= said.index < 1 << 48 and len(said.entries) <= MOST_SENT
    sound = sound and all(0 <= one.term <= said.term for one in said.entries)
    if not sound:
        raise msgspec.ValidationError("figures out of range")
    return said
