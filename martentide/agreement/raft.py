"""One voter of a replicated log: Raft (Ongaro, Ousterhout, 2014) with pre-vote, check-quorum, leader lease,
leadership transfer, single-server membership changes and snapshots (Ongaro's thesis, 2014).

Without I/O: events in, actions out. ``now`` is the local monotonic clock in ms. The host sends
``TimerExpired`` at ``next_deadline``. After a ``Persist`` action the host makes ``persistent_state()``
durable before it carries out the actions that follow in the list. Messages may be lost, duplicated, delayed
or reordered. A process that was suspended finds by its own clock that its leader lease has expired before it
does anything as leader.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

NodeId = str  # a voter whose disk was lost comes back under a new id
MAX_LOG_ENTRIES = 48  # log entries after the snapshot
MAX_MESSAGE_ENTRIES = 16
MAX_MESSAGE_BYTES = 33_000  # of entry bodies; a single entry may be larger
MAX_VOTERS = 7
FOREVER = 1e18  # ms


class EntryKind(IntEnum):
    """Kinds of log entries."""

    NO_OP = 0  # lets a new leader commit the entries of earlier terms
    CONFIGURATION = 1  # body: the ids of the voters
    COMMAND = 2  # body: opaque to this module, applied by the host


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry; ``kind`` is an ``EntryKind``."""

    term: int
    kind: int
    body: bytes


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """Replaces all entries up to ``index``; ``state`` is the host's state at that index."""

    index: int
    term: int
    voters: tuple[NodeId, ...]
    state: bytes


class PersistentState(msgspec.Struct, array_like=True, frozen=True):
    """What a voter must keep on disk: its id, current term, vote, snapshot and log."""

    voter_id: NodeId
    term: int
    voted_for: NodeId  # "" for none
    snapshot: Snapshot
    log: tuple[Entry, ...]


class MessageType(IntEnum):
    """Kinds of messages; the numbers go on the wire."""

    PRE_VOTE = 1
    PRE_VOTE_REPLY = 2
    REQUEST_VOTE = 3
    VOTE_REPLY = 4
    APPEND_ENTRIES = 5
    APPEND_REPLY = 6
    INSTALL_SNAPSHOT = 7
    TIMEOUT_NOW = 8


class Message(msgspec.Struct, array_like=True, frozen=True):
    """A message between two voters; ``message_type`` is a ``MessageType``.

    ``index`` and ``index_term`` describe the sender's last entry (vote requests), the entry before
    ``entries`` (append requests) or the last matching entry (replies). ``accepted`` is the result in a reply;
    in a vote request it marks an election that the leader asked for by a leadership transfer. ``timestamp``
    is the leader's clock in ms, echoed by replies.
    """

    message_type: int
    sender: NodeId
    to: NodeId
    term: int
    index: int = 0
    index_term: int = 0
    accepted: bool = False
    commit: int = 0
    timestamp: float = 0.0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived from another voter."""

    message: Message


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time ``next_deadline`` has been reached."""


@dataclass(frozen=True, slots=True)
class Propose:
    """Append a command to the log; ignored unless this node is the leader."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Add or remove one voter; ignored unless this node is the leader and no other change is uncommitted."""

    voters: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class Compact:
    """Replace the log up to an applied ``index`` by a snapshot of the host's state."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Step down and have the voter ``to`` start an election at once."""

    to: NodeId


@dataclass(frozen=True, slots=True)
class StartElection:
    """Start an election now."""


Event = Received | TimerExpired | Propose | ChangeVoters | Compact | TransferLeadership | StartElection

# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may be lost."""

    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Make ``persistent_state()`` durable before carrying out the actions that follow."""


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed entry to the host's state."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the host's state by that of the snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This node became the leader of ``term``, or stopped being it."""

    is_leader: bool
    term: int


Action = Send | Persist | Apply | InstallSnapshot | LeadershipChanged


class Role(IntEnum):
    """Roles of a voter."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1  # asks whether it could win an election, without changing its term
    CANDIDATE = 2
    LEADER = 3


@dataclass(frozen=True, slots=True)
class RaftTimings:
    """Timeouts in ms. A voter that received a message from a leader within ``election_timeout`` grants no
    vote, so a leader's lease lasts as long."""

    election_timeout: float = 900.0  # lower bound; the actual timeout is random, up to twice as long
    heartbeat_interval: float = 200.0
    clock_drift: float = 0.001  # bound on the relative rate difference of two clocks
    pre_vote: bool = True


@dataclass(slots=True)
class Peer:
    """A leader's replication state of another voter."""

    next_index: int
    match_index: int = 0
    acked_at: float = -FOREVER  # local send time (ms) of the newest message that it answered
    sent_at: float = -FOREVER


@dataclass(slots=True)
class VoteTally:
    """The voters that granted this node their vote in the current election."""

    granted_by: set[NodeId] = field(default_factory=set)


def initial_state(voter_id: NodeId, voters: Sequence[NodeId]) -> PersistentState:
    """The state of a voter that has exchanged no message yet."""
    return PersistentState(voter_id, 0, "", Snapshot(0, 0, tuple(voters), b""), ())


class Raft:
    """One voter. ``seed`` makes the random election timeouts reproducible."""

    def __init__(self, saved: PersistentState, timings: RaftTimings, seed: int, now: float) -> None:
        self.voter_id, self.timings, self.rng = saved.voter_id, timings, random.Random(seed)
        self.term, self.voted_for, self.snapshot = saved.term, saved.voted_for, saved.snapshot
        self.log = list(saved.log)
        self.role = Role.FOLLOWER
        self.leader: NodeId = ""
        self.commit_index = self.last_applied = saved.snapshot.index
        self.peers: dict[NodeId, Peer] = {}
        self.tally = VoteTally()
        self.now = now
        self.leader_contact_at = now if timings.pre_vote else -FOREVER  # unknown after a restart: assume now
        self.election_deadline = now + self._random_election_timeout()
        self.heartbeat_deadline = FOREVER
        self.elected_at = -FOREVER
        self.actions: list[Action] = []

    # ---- interface to the host --------------------------------------------------------------------------

    @property
    def last_index(self) -> int:
        """Index of the last log entry, committed or not."""
        return self.snapshot.index + len(self.log)

    @property
    def voters(self) -> tuple[NodeId, ...]:
        """The voters of the newest configuration in the log, committed or not."""
        for entry in reversed(self.log):
            if entry.kind == EntryKind.CONFIGURATION:
                return msgspec.msgpack.decode(entry.body, type=tuple[NodeId, ...])
        return self.snapshot.voters

    @property
    def next_deadline(self) -> float:
        """When the host is to send ``TimerExpired``, in ms."""
        return self.heartbeat_deadline if self.role is Role.LEADER else self.election_deadline

    def persistent_state(self) -> PersistentState:
        """What the host writes to disk at ``Persist``."""
        return PersistentState(self.voter_id, self.term, self.voted_for, self.snapshot, tuple(self.log))

    def has_leader_lease(self, now: float) -> bool:
        """Whether this node is the leader and no other can have been elected by ``now``, since a majority
        received a message from it within the election timeout and so grants no vote yet."""
        return self.role is Role.LEADER and now < self._lease_expiry()

    def term_at(self, index: int) -> int | None:
        """Term of the entry at ``index``; None if it was compacted away or does not exist yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else None

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event; returns the actions to carry out, in order."""
        self.actions = []
        self.now = now = max(now, self.now)
        match event:
            case Received(message):
                self._receive(message)
            case TimerExpired():
                self._on_timer()
            case Propose(body) if self.role is Role.LEADER:
                self._append(Entry(self.term, EntryKind.COMMAND, body))
            case ChangeVoters(voters) if self.role is Role.LEADER:
                self._change_voters(voters)
            case Compact(index, state):
                self._compact(index, state)
            case TransferLeadership(to) if self.role is Role.LEADER and to in self.peers:
                self._replicate(to)
                self._send(MessageType.TIMEOUT_NOW, to)
                # Another may lead from now on, however late the message arrives, so the own lease ends here.
                self._become_follower(self.term, "")
            case StartElection():
                self._start_election(forced=False)
        return self.actions

    # ---- timers -----------------------------------------------------------------------------------------

    def _random_election_timeout(self) -> float:
        return self.timings.election_timeout * (1.0 + self.rng.random())

    def _on_timer(self) -> None:
        if self.role is Role.LEADER:
            if (
                self.now >= self._lease_expiry()
                and self.elected_at + self.timings.election_timeout <= self.now
            ):
                # Check-quorum: without answers of a majority it cannot know whether it is still the leader.
                self._become_follower(self.term, "")
            elif self.now >= self.heartbeat_deadline:
                self.heartbeat_deadline = self.now + self.timings.heartbeat_interval
                for name in self.peers:
                    self._replicate(name)
        elif self.now >= self.election_deadline:
            self.election_deadline = self.now + self._random_election_timeout()
            self._start_election(forced=False)

    def _lease_expiry(self) -> float:
        """Local time until which no majority can elect another leader, by the replies received."""
        voters = self.voters
        acked = sorted(
            (self.now if one == self.voter_id else self._peer(one).acked_at for one in voters), reverse=True
        )
        if len(voters) == 1 and voters == (self.voter_id,):
            return FOREVER
        return acked[len(voters) // 2] + self.timings.election_timeout * (1.0 - self.timings.clock_drift)

    def _peer(self, name: NodeId) -> Peer:
        return self.peers.get(name) or Peer(self.last_index + 1)

    # ---- elections --------------------------------------------------------------------------------------

    def _start_election(self, forced: bool) -> None:
        """Request votes; with pre-vote, check first that the election can be won, so that a node that was
        partitioned away does not depose a working leader."""
        if self.role is Role.LEADER or self.voter_id not in self.voters:
            return  # a learner does not start elections
        if self.timings.pre_vote and not forced:
            self.role, self.leader, self.tally = Role.PRE_CANDIDATE, "", VoteTally({self.voter_id})
            self._request_votes(MessageType.PRE_VOTE, self.term + 1)
            self._count_votes()
        else:
            self._become_candidate(forced)
        self.election_deadline = self.now + self._random_election_timeout()

    def _request_votes(self, message_type: MessageType, term: int, forced: bool = False) -> None:
        for name in self.voters:
            if name != self.voter_id:
                last_term = self.term_at(self.last_index) or 0
                self.actions.append(
                    Send(Message(message_type, self.voter_id, name, term, self.last_index, last_term, forced))
                )

    def _count_votes(self) -> None:
        voters = set(self.voters)
        if 2 * len(self.tally.granted_by & voters) <= len(voters):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._become_candidate(forced=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_candidate(self, forced: bool) -> None:
        self.role, self.leader, self.tally = Role.CANDIDATE, "", VoteTally({self.voter_id})
        self.term, self.voted_for = self.term + 1, self.voter_id
        self.actions.append(Persist())
        self._request_votes(MessageType.REQUEST_VOTE, self.term, forced=forced)
        self._count_votes()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.voter_id
        self.peers = {name: Peer(self.last_index + 1) for name in self.voters if name != self.voter_id}
        self.elected_at = self.heartbeat_deadline = self.now
        self.actions.append(LeadershipChanged(True, self.term))
        self._append(Entry(self.term, EntryKind.NO_OP, b""))

    def _become_follower(self, term: int, leader: NodeId) -> None:
        if self.role is Role.LEADER:
            self.actions.append(LeadershipChanged(False, self.term))
        if term > self.term:
            self.term, self.voted_for = term, ""
            self.actions.append(Persist())
        self.role, self.leader, self.heartbeat_deadline = Role.FOLLOWER, leader, FOREVER
        self.election_deadline = self.now + self._random_election_timeout()

    def _may_vote_for(self, message: Message) -> bool:
        """Whether the candidate's log is at least as up to date as the local one, so that it holds every
        entry that may be committed, and no leader message was received within the election timeout (unless
        that leader asked for this election)."""
        own_position = (self.term_at(self.last_index) or 0, self.last_index)
        leader_recent = (
            self.now - self.leader_contact_at < self.timings.election_timeout
            and self.timings.pre_vote
            and not message.accepted
        )
        refuses_as_leader = self.role is Role.LEADER and self.timings.pre_vote and not message.accepted
        return (
            (message.index_term, message.index) >= own_position
            and not leader_recent
            and not refuses_as_leader
        )

    # ---- messages ---------------------------------------------------------------------------------------

    def _receive(self, message: Message) -> None:
        if message.to != self.voter_id or message.sender == self.voter_id:
            return
        match (
            MessageType(message.message_type)
            if message.message_type in MessageType.__members__.values()
            else None
        ):
            case MessageType.PRE_VOTE:
                yes = message.term > self.term and self._may_vote_for(message)
                self._send(
                    MessageType.PRE_VOTE_REPLY,
                    message.sender,
                    term=message.term if yes else self.term,
                    accepted=yes,
                )
            case MessageType.PRE_VOTE_REPLY:
                if message.accepted and self.role is Role.PRE_CANDIDATE and message.term == self.term + 1:
                    self.tally.granted_by.add(message.sender)
                    self._count_votes()
                elif not message.accepted and message.term > self.term:
                    self._become_follower(message.term, "")
            case MessageType.REQUEST_VOTE:
                self._on_vote_request(message)
            case MessageType.VOTE_REPLY:
                if message.term > self.term:
                    self._become_follower(message.term, "")
                elif message.accepted and self.role is Role.CANDIDATE and message.term == self.term:
                    self.tally.granted_by.add(message.sender)
                    self._count_votes()
            case MessageType.APPEND_ENTRIES | MessageType.INSTALL_SNAPSHOT:
                self._on_append(message)
            case MessageType.APPEND_REPLY:
                self._on_append_reply(message)
            case MessageType.TIMEOUT_NOW:
                if message.term == self.term and self.leader == message.sender:
                    self._start_election(forced=True)

    def _on_vote_request(self, message: Message) -> None:
        eligible = self._may_vote_for(message)
        if message.term > self.term and eligible:
            self._become_follower(message.term, "")
        granted = message.term == self.term and self.voted_for in ("", message.sender) and eligible
        if granted and self.voted_for != message.sender:
            self.voted_for = message.sender
            self.election_deadline = self.now + self._random_election_timeout()
            self.actions.append(Persist())
        self._send(MessageType.VOTE_REPLY, message.sender, accepted=granted)

    def _send(
        self,
        message_type: MessageType,
        to: NodeId,
        term: int | None = None,
        accepted: bool = False,
        **fields: object,
    ) -> None:
        message = Message(
            message_type, self.voter_id, to, self.term if term is None else term, accepted=accepted,
            **fields,  # type: ignore[arg-type]
        )  # fmt: skip
        self.actions.append(Send(message))

    # ---- the log ----------------------------------------------------------------------------------------

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self.actions.append(Persist())
        for name in self.voters:
            if name != self.voter_id and name not in self.peers:
                self.peers[name] = Peer(self.last_index)
        for name in self.peers:
            self._replicate(name)
        self._advance_commit()

    def _change_voters(self, voters: tuple[NodeId, ...]) -> None:
        """Change one voter at a time, and only after an entry of this term is committed, so that any two
        majorities overlap."""
        pending = any(
            one.kind == EntryKind.CONFIGURATION for one in self.log[self.commit_index - self.snapshot.index :]
        )
        changed = set(voters) ^ set(self.voters)
        if pending or len(changed) != 1 or not 1 <= len(voters) <= MAX_VOTERS:
            return
        if self.term_at(self.commit_index) == self.term:
            self._append(Entry(self.term, EntryKind.CONFIGURATION, msgspec.msgpack.encode(voters)))

    def _replicate(self, name: NodeId) -> None:
        peer = self.peers[name]
        peer.sent_at = self.now
        previous_term = self.term_at(peer.next_index - 1)
        if previous_term is None:
            self._send(
                MessageType.INSTALL_SNAPSHOT,
                name,
                timestamp=self.now,
                commit=self.commit_index,
                snapshot=self.snapshot,
            )
            return
        start = peer.next_index - self.snapshot.index - 1
        entries = self.log[start : start + MAX_MESSAGE_ENTRIES]
        while len(entries) > 1 and sum(len(one.body) for one in entries) > MAX_MESSAGE_BYTES:
            entries.pop()
        self._send(
            MessageType.APPEND_ENTRIES, name, index=peer.next_index - 1, index_term=previous_term,
            entries=tuple(entries), commit=self.commit_index, timestamp=self.now,
        )  # fmt: skip

    def _on_append(self, message: Message) -> None:
        """Handle entries or a snapshot from a leader."""
        if message.term < self.term:
            self._send(MessageType.APPEND_REPLY, message.sender, index=self.last_index, timestamp=-1.0)
            return
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != message.sender:
            self._become_follower(message.term, message.sender)
        self.leader_contact_at = self.now
        self.election_deadline = self.now + self._random_election_timeout()
        if message.snapshot is not None:
            self._install_snapshot(message.snapshot)
            match_index = message.snapshot.index
        else:
            match_index = self._merge_entries(message)
            if match_index < 0:
                self._send(
                    MessageType.APPEND_REPLY,
                    message.sender,
                    index=self._next_index_hint(message),
                    timestamp=message.timestamp,
                )
                return
        self._commit_up_to(min(message.commit, match_index))
        self._send(
            MessageType.APPEND_REPLY,
            message.sender,
            accepted=True,
            index=match_index,
            timestamp=message.timestamp,
        )

    def _next_index_hint(self, message: Message) -> int:
        return min(self.last_index, max(self.snapshot.index, message.index - 1))

    def _merge_entries(self, message: Message) -> int:
        """Merge the entries into the log; returns the index up to which it matches the leader's, or -1 if the
        preceding entry does not match."""
        entries, previous_index = message.entries, message.index
        if previous_index < self.snapshot.index:  # entries in the snapshot are committed, so they match
            entries = entries[self.snapshot.index - previous_index :]
            previous_index = self.snapshot.index
        elif self.term_at(previous_index) != message.index_term:
            return -1
        for offset, entry in enumerate(entries):
            held_term = self.term_at(previous_index + 1 + offset)
            if held_term == entry.term:
                continue  # a delayed or duplicated message must not truncate later entries
            del self.log[previous_index + offset - self.snapshot.index :]
            self.log += entries[offset:]
            self.actions.append(Persist())
            break
        return max(previous_index + len(entries), previous_index)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        if snapshot.index <= self.commit_index:
            return
        if self.term_at(snapshot.index) == snapshot.term:
            self.log = self.log[snapshot.index - self.snapshot.index :]  # keep the entries after the snapshot
        else:
            self.log = []
        self.snapshot = snapshot
        self.commit_index = self.last_applied = snapshot.index
        self.actions += [Persist(), InstallSnapshot(snapshot)]

    def _on_append_reply(self, message: Message) -> None:
        if message.term > self.term:
            self._become_follower(message.term, "")
            return
        peer = self.peers.get(message.sender)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return
        peer.acked_at = max(peer.acked_at, min(message.timestamp, self.now))
        if message.accepted:
            peer.match_index = max(peer.match_index, message.index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            self._advance_commit()
            if peer.next_index <= self.last_index:
                self._replicate(message.sender)
        elif message.index < peer.next_index - 1:
            peer.next_index = max(peer.match_index + 1, message.index + 1)
            self._replicate(message.sender)

    def _advance_commit(self) -> None:
        """Commit what a majority holds. Entries of earlier terms are committed only along with one of this
        term, since a majority alone does not keep them from being overwritten (Raft, section 5.4.2)."""
        voters = self.voters
        match_indexes = sorted(
            (self.last_index if one == self.voter_id else self._peer(one).match_index for one in voters),
            reverse=True,
        )
        index = match_indexes[len(voters) // 2]
        if index > self.commit_index and self.term_at(index) == self.term:
            self._commit_up_to(index)
            if self.voter_id not in self.voters:
                self._become_follower(self.term, "")

    def _commit_up_to(self, index: int) -> None:
        self.commit_index = max(self.commit_index, min(index, self.last_index))
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            self.actions.append(
                Apply(self.last_applied, self.log[self.last_applied - self.snapshot.index - 1])
            )

    def _compact(self, index: int, state: bytes) -> None:
        if not self.snapshot.index < index <= self.last_applied:
            return
        term = self.term_at(index)
        assert term is not None
        voters = self.snapshot.voters
        for entry in self.log[: index - self.snapshot.index]:
            if entry.kind == EntryKind.CONFIGURATION:
                voters = msgspec.msgpack.decode(entry.body, type=tuple[NodeId, ...])
        self.log = self.log[index - self.snapshot.index :]
        self.snapshot = Snapshot(index, term, voters, state)
        self.actions.append(Persist())


_MESSAGES, _ENCODER = msgspec.msgpack.Decoder(Message), msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return _ENCODER.encode(message)


def decode_message(body: bytes) -> Message:
    """Decode a message. Raises msgspec.DecodeError or ValidationError, also for terms, indexes or entry
    counts out of range."""
    message = _MESSAGES.decode(body)
    in_range = (
        0 <= message.term < 1 << 48
        and 0 <= message.index < 1 << 48
        and len(message.entries) <= MAX_MESSAGE_ENTRIES
    )
    in_range = in_range and all(0 <= one.term <= message.term for one in message.entries)
    if not in_range:
        raise msgspec.ValidationError("term, index or number of entries out of range")
    return message
