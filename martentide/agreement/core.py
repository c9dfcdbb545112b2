"""One member's part in agreeing on versions of rules. Every member acts on the agreed version while it holds
a lease; a voter also replicates the log; the leader grants leases and brings versions into force.

Without I/O: events in, actions out; ``now`` is the local monotonic clock in ms.

    no-contradiction   at no time do two members act on rule sets that contradict each other
    one-order          all members that act on a version see the versions before it in the same order
    not-lost           a version confirmed to its proposer as in force is replaced only by a later version

Why these hold. A member acts on the state that came with a lease grant until its lease expires: ``lease`` ms
after it *requested* the lease, by its own clock, less the clock drift. The leader counts each lease from the
later time at which it *granted* it. It brings a contradicting version into force only when every member whose
lease may still be valid has reported that it already acts on the meet of both versions. It grants leases only
while ``Raft.has_leader_lease``, so a deposed leader grants none once a new one may exist; and a new leader,
which knows no leases, first waits for the longest possible one. A member without a lease acts on safe rules,
which contradict no version.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from martentide.agreement import raft
from martentide.agreement.messages import (
    MAX_REASON_LENGTH,
    AgreementMessage,
    BeginJointPhase,
    EndJointPhase,
    LeaseGrant,
    LeaseRequest,
    PriorStateQuery,
    Proposal,
    RaftMessage,
    ReplicatedState,
    StateChanged,
    Verdict,
    Version,
    VoterReplacement,
    decode_command,
    decode_message,
    decode_state,
    encode,
)
from martentide.agreement.raft import NodeId, PersistentState, Raft, Role
from martentide.agreement.ruleset import RuleSet, contradictions, decode_rules, meet

MAX_PREVIOUS, MAX_PREVIOUS_BYTES = 8, 16_000  # earlier versions (and their bytes) kept for a rollback
VOTER_ID_SEPARATOR = "#"  # between member name and log index in the id of a voter that replaced another
MAX_KNOWN_VOTERS = 64  # voters, present and past
MAX_HISTORY = 16  # versions whose outcome the replicated state keeps
MAX_LEASES = 4_096  # members to which a leader grants leases
MAX_PENDING_REQUESTS = 64  # proposals without a verdict
MAX_RULES_BYTES = 32_000  # of one rule set: two of them with their metadata fit into one message
PROPOSAL_TIMEOUT = 15_000.0  # ms after which the proposer is notified that the outcome is unknown
RESEND_INTERVAL = 500.0  # ms between two sends of a pending proposal or of a prior-state query
MAX_INDEX_LEAD = 10_000  # entries; a ``StateChanged`` that is further ahead is ignored as invalid
CHECK_RETRY_INTERVAL = 1_000.0  # ms after which a host that did not answer a check is asked again
PREPARE_TIMEOUT = 10_000.0  # ms after which a version is dropped if a live member has not prepared it
LEADER_HINT_DELAY = 20.0  # ms from a hint naming the leader to the lease request
COMPACTION_THRESHOLD = 24  # entries after which the log is compacted into a snapshot


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Times in ms. ``bound``: two members act on contradicting rules for no longer than this, even if a
    process is suspended between checking its lease and acting. The lease is shorter, so that a partitioned
    member stops in time."""

    bound: float = 2_000.0
    clock_drift: float = 0.001

    @property
    def lease(self) -> float:
        """Length of a lease."""
        return 0.6 * self.bound

    @property
    def renewal_interval(self) -> float:
        """Time between two lease requests."""
        return 0.15 * self.bound

    def raft_timings(self) -> raft.RaftTimings:
        """The timeouts of the replicated log that go with this bound."""
        return raft.RaftTimings(
            election_timeout=0.2 * self.bound,
            heartbeat_interval=0.06 * self.bound,
            clock_drift=self.clock_drift,
        )


# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Received:
    """A complete message of another member; one that cannot be decoded is ignored."""

    sender: NodeId
    body: bytes


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time ``next_deadline`` has been reached."""


@dataclass(frozen=True, slots=True)
class Propose:
    """A version is proposed at this member; ``base`` -1: based on whatever is in force."""

    request: str
    base: int
    rules: bytes
    by: str
    why: str


@dataclass(frozen=True, slots=True)
class Checked:
    """The host's answer to ``Check``: "" or an objection with the key, what was found and what was
    expected."""

    number: int
    objection: str


@dataclass(frozen=True, slots=True)
class ReplaceVoter:
    """An operator wants the member ``new`` to replace the voter id ``old``."""

    request: str
    old: NodeId
    new: NodeId


Event = Received | TimerExpired | Propose | Checked | ReplaceVoter

# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another member."""

    to: NodeId
    message: AgreementMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Make this state durable before carrying out the actions that follow."""

    state: VoterState


@dataclass(frozen=True, slots=True)
class Check:
    """Ask the host whether this process can act on the version; it answers with ``Checked``."""

    version: Version


@dataclass(frozen=True, slots=True)
class ApplyRules:
    """Act on these rules until ``until`` by the local clock; None: on safe rules. ``number`` is the version
    in force, ``joint`` the one prepared beside it (0: none)."""

    rules: RuleSet | None
    number: int
    joint: int
    until: float


@dataclass(frozen=True, slots=True)
class ProposalResolved:
    """The outcome of a proposal that was made at this member."""

    request: str
    done: bool
    number: int
    text: str


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event for the host's log."""

    event: str
    detail: str


Action = Send | Persist | Check | ApplyRules | ProposalResolved | LogEvent


@dataclass(slots=True)
class MemberLease:
    """A leader's record of a member's lease; ``expires_at`` is by the leader's clock, clock drift
    included."""

    process_id: int
    expires_at: float
    prepared: int


@dataclass(slots=True)
class PendingRequest:
    """A proposal or voter replacement made at this member that has no verdict yet."""

    submission: Proposal | VoterReplacement
    created_at: float
    sent_at: float


class VoterState(msgspec.Struct, array_like=True, frozen=True):
    """What a voter keeps on disk: its replicated log, and the voters from which it ever received a message of
    the log."""

    raft_state: PersistentState
    known_voters: tuple[NodeId, ...]


EMPTY_STATE = ReplicatedState(0, Version(0, 0, b"", "", "nothing was proposed yet"), None, ())


class Agreement:
    """One member. ``voters`` are the names from the settings; ``stored`` is a voter's state from its disk,
    None if there is none (or no disk)."""

    def __init__(
        self,
        name: NodeId,
        process_id: int,
        voters: Collection[NodeId],
        timings: LeaseTimings,
        seed: int,
        now: float,
        stored: VoterState | None = None,
    ) -> None:
        self.name, self.process_id, self.timings = name, process_id, timings
        self.rng = random.Random(seed)
        self.voters = tuple(voters)
        self.now = now
        self.raft: Raft | None = None
        self.known_voters: set[NodeId] = set()  # from which a message of the log was received
        # By voter: whether it ever received a message of the log from this one; "": own state isn't durable.
        self.prior_state_answers: dict[NodeId, bool] = {}
        self.state = EMPTY_STATE
        self.leases: OrderedDict[NodeId, MemberLease] = OrderedDict()
        self.joint_since = -raft.FOREVER
        self.joining_member: NodeId = ""  # becomes a voter once the removal of another is committed
        self.deciding_index = 0  # index of the newest own entry; no lease is granted before it is committed
        self.leading_since: float | None = None  # commit time of the first entry of its own term
        self.pending_requests: dict[str, PendingRequest] = {}
        self.verdict_recipients: OrderedDict[str, NodeId] = OrderedDict()  # by request, kept by the leader
        # State of the member, voter or not:
        self.known_state = EMPTY_STATE  # from lease grants
        self.decoded_rules: dict[int, RuleSet] = {}
        self.lease_expiry = -raft.FOREVER
        self.last_granted_at = -raft.FOREVER  # send time of the newest lease request that was granted
        self.prepared = self.refused = self.checking = 0  # version numbers; 0: none
        self.check_sent_at = -raft.FOREVER
        self.objection = ""
        self.leader: NodeId = ""
        self.leader_hint_at = -raft.FOREVER  # when another voter last named the leader
        self.voter_turn = self.rng.randrange(max(1, len(self.voters)))
        self.renewal_deadline = now + self.rng.random() * timings.renewal_interval
        self.prior_state_deadline = now
        self.acting_on: tuple[int, int] | None = None  # version in force and joint version; None: safe rules
        self.actions: list[Action] = []
        if stored is not None:
            self.known_voters.update(stored.known_voters)
            self._become_voter(stored.raft_state)

    # ---- interface to the host --------------------------------------------------------------------------

    @property
    def is_voter(self) -> bool:
        """Whether this member takes part in the replicated log."""
        return self.raft is not None

    @property
    def next_deadline(self) -> float:
        """When the host is to send ``TimerExpired``, in ms."""
        first = self.renewal_deadline
        if self.raft is not None:
            first = min(first, self.raft.next_deadline)
        elif self.name in self.voters:
            first = min(first, self.prior_state_deadline)
        if self.acting_on is not None:
            first = min(first, self.lease_expiry)
        return first

    def lease_valid(self, now: float) -> bool:
        """Whether the lease is valid; to be checked right before acting, since the process may have been
        suspended."""
        return now < self.lease_expiry

    def rules(self) -> RuleSet | None:
        """The rules this member acts on; None: safe rules, or nothing was agreed on yet."""
        if self.acting_on is None:
            return None
        in_force, joint = self.known_state.in_force, self.known_state.joint if self.acting_on[1] else None
        if joint is None:
            return self._decoded(in_force) if in_force.number else None
        if not in_force.number:
            return self._decoded(joint)  # no version in force to form the meet with: act on the prepared one
        return meet(self._decoded(in_force), self._decoded(joint))

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event; returns the actions to carry out, in order."""
        self.actions = []
        self.now = now = max(now, self.now)
        self._expire_lease()
        match event:
            case Received(sender, body):
                self._receive(sender, body)
            case Propose():
                self._propose(event)
            case Checked(number, objection):
                self._on_checked(number, objection)
            case ReplaceVoter(request, old, new):
                self._submit(VoterReplacement(f"{self.name}/{self.process_id}/{request}", old, new))
            case TimerExpired():
                pass
        self._run_timers()
        return self.actions

    def lose_persistent_state(self, why: str) -> None:
        """State could not be made durable: do not vote until the next start, because a restart would forget
        what this voter promised."""
        self.prior_state_answers[""] = True
        if self.raft is not None:
            self.raft, self.leading_since = None, None
            self.leases.clear()
            self.actions.append(LogEvent("votes-no-more", why))

    # ---- timers -----------------------------------------------------------------------------------------

    def _run_timers(self) -> None:
        if self.raft is not None and self.now >= self.raft.next_deadline:
            self._step_raft(raft.TimerExpired())
        if self.raft is None and self.name in self.voters and self.now >= self.prior_state_deadline:
            self._query_prior_state()
        if self.now >= self.renewal_deadline:
            self.renewal_deadline = self.now + self.timings.renewal_interval * self.rng.uniform(0.8, 1.2)
            self._request_lease()
        self._advance_joint_phase()
        for request, pending in list(self.pending_requests.items()):
            if self.now - pending.created_at >= PROPOSAL_TIMEOUT:
                del self.pending_requests[request]
                text = "no verdict received; check `fleet versions` before proposing again"
                self.actions.append(ProposalResolved(request, False, 0, text))
            elif self.now - pending.sent_at >= RESEND_INTERVAL:
                pending.sent_at = self.now
                self._send_to_leader(pending.submission)

    def _expire_lease(self) -> None:
        """Fall back to safe rules if the lease has expired. Runs before each event, since the process may
        have been suspended past the expiry."""
        if self.acting_on is not None and self.now >= self.lease_expiry:
            self.acting_on = None
            self.actions.append(LogEvent("lease-over", "no lease from a leader with a majority: safe rules"))
            self._update_rules()

    # ---- member -----------------------------------------------------------------------------------------

    def _request_lease(self) -> None:
        self._request_check()
        message = LeaseRequest(
            self.now, self.process_id, self.known_state.index, self.prepared, self.refused, self.objection
        )
        self._send_to_leader(message)

    def _send_to_leader(self, message: LeaseRequest | Proposal | VoterReplacement) -> None:
        """Send to the leader if it is known, else to the voters in turn; a message to itself is handled
        directly."""
        if (
            not self.leader
            or self.now - max(self.last_granted_at, self.leader_hint_at) > 1.5 * self.timings.renewal_interval
        ):
            self.voter_turn += 1
            self.leader = self.voters[self.voter_turn % len(self.voters)] if self.voters else ""
        if self.leader == self.name:
            self._handle_message(self.name, message)
        elif self.leader:
            self.actions.append(Send(self.leader, message))

    def _on_lease_grant(self, sender: NodeId, grant: LeaseGrant) -> None:
        if grant.lease <= 0.0:
            self._on_leader_hint(grant.leader)
            return
        state = grant.state or self.known_state
        if not self.last_granted_at < grant.timestamp <= self.now or state.index < self.known_state.index:
            return  # duplicate, overtaken, not requested, or from a leader whose state is older
        if grant.index != state.index or grant.lease > self.timings.lease:
            return  # the state is missing, or the lease is longer than allowed
        if not self._is_readable(state):
            return
        self.last_granted_at, self.leader = grant.timestamp, sender
        if state.index != self.known_state.index:
            self._adopt_state(state)
        self.lease_expiry = max(
            self.lease_expiry, grant.timestamp + grant.lease * (1.0 - self.timings.clock_drift)
        )
        if self.now < self.lease_expiry:
            self._update_rules()

    def _on_leader_hint(self, leader: NodeId) -> None:
        """Another voter, or the local log, names the leader."""
        if leader and leader != self.leader:
            self.leader, self.leader_hint_at = leader, self.now
            self.renewal_deadline = min(self.renewal_deadline, self.now + LEADER_HINT_DELAY)

    def _is_readable(self, state: ReplicatedState) -> bool:
        """Whether this build can decode the rule sets in it."""
        try:
            for version in (state.in_force, state.joint):
                if version is not None and version.number:
                    self._decoded(version)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return False
        return True

    def _decoded(self, version: Version) -> RuleSet:
        if version.number not in self.decoded_rules:
            while len(self.decoded_rules) >= 4:
                del self.decoded_rules[min(self.decoded_rules)]
            self.decoded_rules[version.number] = decode_rules(version.rules)
        return self.decoded_rules[version.number]

    def _adopt_state(self, state: ReplicatedState) -> None:
        joint = state.joint
        if joint is None or joint.number != self.prepared:
            self.prepared = 0
        if joint is None or joint.number != self.refused:
            self.refused, self.objection = 0, ""
        old = self.known_state.in_force.number
        self.known_state = state
        if state.in_force.number != old:
            self.actions.append(
                LogEvent("in-force", f"version {state.in_force.number} by {state.in_force.by}")
            )
        self._request_check()

    def _request_check(self) -> None:
        """Ask the host whether it can act on the joint version; repeat if it does not answer."""
        joint = self.known_state.joint
        if joint is None or joint.number in (self.prepared, self.refused):
            return
        if joint.number != self.checking or self.now - self.check_sent_at >= CHECK_RETRY_INTERVAL:
            self.checking, self.check_sent_at = joint.number, self.now
            self.actions.append(Check(joint))

    def _on_checked(self, number: int, objection: str) -> None:
        joint = self.known_state.joint
        self.checking = 0 if number == self.checking else self.checking
        if joint is None or joint.number != number:
            return
        if objection:
            self.refused, self.objection = number, objection[:MAX_REASON_LENGTH]
        else:
            self.prepared = number
            self._update_rules()  # acts on the meet before reporting the version as prepared
        self.renewal_deadline = self.now

    def _update_rules(self) -> None:
        acting_on: tuple[int, int] | None = None
        if self.now < self.lease_expiry:
            acting_on = (self.known_state.in_force.number, self.prepared)
        if acting_on != self.acting_on or acting_on is None:
            self.acting_on = acting_on
            self.actions.append(
                ApplyRules(
                    self.rules(), *(acting_on or (self.known_state.in_force.number, 0)), self.lease_expiry
                )
            )

    # ---- messages ---------------------------------------------------------------------------------------

    def _receive(self, sender: NodeId, body: bytes) -> None:
        try:
            message = decode_message(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        self._handle_message(sender, message)

    def _handle_message(self, sender: NodeId, message: AgreementMessage) -> None:
        match message:
            case RaftMessage(body):
                self._on_raft_message(sender, body)
            case LeaseRequest():
                self._on_lease_request(sender, message)
            case LeaseGrant():
                self._on_lease_grant(sender, message)
            case Proposal():
                self._on_proposal(sender, message)
            case Verdict(request, done, number, text):
                if self.pending_requests.pop(request, None) is not None:
                    self.actions.append(ProposalResolved(request, done, number, text))
            case PriorStateQuery():
                self._on_prior_state_query(sender, message)
            case VoterReplacement():
                self._on_voter_replacement(sender, message)
            case StateChanged(index) if (
                self.known_state.index < index <= self.known_state.index + MAX_INDEX_LEAD
            ):
                self.renewal_deadline = min(self.renewal_deadline, self.now)

    def _send(self, to: NodeId, message: AgreementMessage) -> None:
        if to == self.name:
            self._handle_message(self.name, message)
        else:
            self.actions.append(Send(to, message))

    # ---- voter ------------------------------------------------------------------------------------------

    def _become_voter(self, stored: PersistentState) -> None:
        self.raft = Raft(stored, self.timings.raft_timings(), self.rng.getrandbits(32), self.now)
        if stored.snapshot.state:
            self.state = decode_state(stored.snapshot.state)

    def _query_prior_state(self) -> None:
        """Ask the other voters whether this one ever had state. A voter without state is either new or has
        lost its disk; in the second case its votes were already counted and it must not vote again. So it
        starts voting only once every other voter reports that it never received a message from it."""
        self.prior_state_deadline = self.now + RESEND_INTERVAL
        others = [one for one in self.voters if one != self.name]
        if any(self.prior_state_answers.values()):
            return  # its state was lost: it does not vote until it is added under a new id
        if all(one in self.prior_state_answers for one in others):
            self._become_voter(raft.initial_state(self.name, self.voters))
            assert self.raft is not None
            self.actions += [
                self._persist(),
                LogEvent("votes", "no other voter ever received a message from this one"),
            ]
            return
        for one in others:
            self.actions.append(Send(one, PriorStateQuery(self.process_id, False, False)))

    def _on_prior_state_query(self, sender: NodeId, query: PriorStateQuery) -> None:
        if not query.is_answer:
            self.actions.append(
                Send(sender, PriorStateQuery(query.process_id, True, sender in self.known_voters))
            )
        elif query.process_id == self.process_id and self.raft is None:
            if query.known and not self.prior_state_answers.get(sender):
                self.actions.append(
                    LogEvent(
                        "disk-lost",
                        f"{sender} received messages from this voter before: it follows without a vote",
                    )
                )
            self.prior_state_answers[sender] = query.known

    def _on_raft_message(self, sender: NodeId, body: bytes) -> None:
        try:
            message = raft.decode_message(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        if member_of(message.sender) != sender or member_of(message.to) != self.name:
            return
        if self.raft is None and not self._start_under_new_id(message):
            return
        assert self.raft is not None
        if member_of(message.sender) not in self.known_voters and len(self.known_voters) < MAX_KNOWN_VOTERS:
            self.known_voters.add(sender)
            # Durable before its vote counts, so that the sender cannot vote again if it loses its disk.
            self.actions.append(self._persist())
        self._step_raft(raft.Received(message))

    def _start_under_new_id(self, message: raft.Message) -> bool:
        """Become a voter under a new id of this member that a leader addresses, since no vote was ever
        counted for that id; returns whether it did."""
        from_leader = message.message_type in (
            raft.MessageType.APPEND_ENTRIES,
            raft.MessageType.INSTALL_SNAPSHOT,
        )
        if not from_leader or VOTER_ID_SEPARATOR not in message.to or "" in self.prior_state_answers:
            return False
        self._become_voter(raft.initial_state(message.to, ()))
        self.actions += [self._persist(), LogEvent("votes", f"as {message.to}, replacing another voter")]
        return True

    def _persist(self) -> Persist:
        assert self.raft is not None
        return Persist(VoterState(self.raft.persistent_state(), tuple(sorted(self.known_voters))))

    def _step_raft(self, event: raft.Event) -> None:
        assert self.raft is not None
        for action in self.raft.handle(self.now, event):
            match action:
                case raft.Send(message):
                    self.actions.append(
                        Send(member_of(message.to), RaftMessage(raft.encode_message(message)))
                    )
                case raft.Persist():
                    self.actions.append(self._persist())
                case raft.Apply(index, entry):
                    self._apply(index, entry)
                case raft.InstallSnapshot(snapshot):
                    self.state = decode_state(snapshot.state) if snapshot.state else EMPTY_STATE
                case raft.LeadershipChanged(is_leader, term):
                    self.leading_since, self.deciding_index, self.joining_member = None, 0, ""
                    self.leases.clear()
                    self.actions.append(LogEvent("leads" if is_leader else "leads-no-more", f"term {term}"))
        if self.state.index - self.raft.snapshot.index >= COMPACTION_THRESHOLD:
            state = encode(self.state)
            index = self.state.index
            for action in self.raft.handle(self.now, raft.Compact(index, state)):
                if isinstance(action, raft.Persist):
                    self.actions.append(self._persist())

    def _apply(self, index: int, entry: raft.Entry) -> None:
        """Apply one committed entry; deterministic, so that every voter reaches the same state."""
        assert self.raft is not None
        if self.raft.role is Role.LEADER and entry.term == self.raft.term and self.leading_since is None:
            self.leading_since = self.now
        state = msgspec.structs.replace(self.state, index=index)
        if entry.kind == raft.EntryKind.COMMAND:
            match decode_command(entry.body):
                case BeginJointPhase(version):
                    applicable = state.joint is None and version.base == state.in_force.number
                    if applicable and version.number == state.last_number + 1:
                        state = msgspec.structs.replace(state, joint=version, last_number=version.number)
                        self.joint_since = self.now
                    else:
                        text = f"version {state.in_force.number} is in force"
                        self._resolve(version, False, f"turned down: it builds on {version.base}, {text}")
                case EndJointPhase(number, dropped) if (
                    state.joint is not None and state.joint.number == number
                ):
                    joint = state.joint
                    history = (*state.history, (number, joint.by, joint.why, dropped or "in force"))[
                        -MAX_HISTORY:
                    ]
                    if dropped:
                        state = msgspec.structs.replace(state, joint=None, history=history)
                        self._resolve(joint, False, dropped)
                    else:
                        state = ReplicatedState(
                            index, joint, None, history, state.last_number, _previous_versions(state)
                        )
                        self._resolve(joint, True, f"version {number} is in force")
                case EndJointPhase():
                    pass
        changed = (state.in_force, state.joint) != (self.state.in_force, self.state.joint)
        self.state = state
        if changed and self.raft.role is Role.LEADER:
            self.renewal_deadline = self.now
            self.actions += [Send(name, StateChanged(index)) for name in self.leases if name != self.name]

    def _resolve(self, version: Version, done: bool, text: str) -> None:
        to = self.verdict_recipients.pop(version.request, None)
        if to is not None:
            self._send(to, Verdict(version.request, done, version.number if done else 0, text))

    # ---- leader -----------------------------------------------------------------------------------------

    def _is_effective_leader(self) -> bool:
        """Whether this node may grant leases and decide as the leader at this moment."""
        return (
            self.raft is not None and self.leading_since is not None and self.raft.has_leader_lease(self.now)
        )

    def _on_lease_request(self, sender: NodeId, request: LeaseRequest) -> None:
        if not self._is_effective_leader():
            leader = member_of(self.raft.leader) if self.raft is not None else ""
            if sender != self.name:
                known_leader = leader if leader != self.name else ""
                self.actions.append(Send(sender, LeaseGrant(request.timestamp, 0.0, 0, known_leader)))
            elif leader != self.name:
                self._on_leader_hint(leader)
            return
        held = self.leases.get(sender)
        if held is None and len(self.leases) >= MAX_LEASES:
            return
        expires_at = self.now + self.timings.lease * (1.0 + self.timings.clock_drift)
        # Two processes with one name (an upgrade or a restart): until the lease of the earlier one expires,
        # the lower of the two versions that they have prepared counts.
        earlier_valid = (
            held is not None and held.process_id != request.process_id and self.now < held.expires_at
        )
        prepared = (
            min(request.prepared, held.prepared) if held is not None and earlier_valid else request.prepared
        )
        if earlier_valid and held is not None:
            expires_at = max(expires_at, held.expires_at)
        self.leases[sender] = MemberLease(request.process_id, expires_at, prepared)
        self.leases.move_to_end(sender)
        if self.state.index < self.deciding_index:
            return  # the state granted now would be outdated once that entry is committed
        joint = self.state.joint
        if joint is not None and request.refused == joint.number and request.objection:
            self._append_command(EndJointPhase(joint.number, f"turned down by {sender}: {request.objection}"))
        state = None if request.index == self.state.index else self.state
        self._send(
            sender, LeaseGrant(request.timestamp, self.timings.lease, self.state.index, self.name, state)
        )

    def _advance_joint_phase(self) -> None:
        """Bring the joint version into force once no member can be acting on rules that contradict it; drop
        it if members take too long to prepare it."""
        while self.leases:
            name, lease = next(iter(self.leases.items()))
            if lease.expires_at > self.now:
                break
            del self.leases[name]
        if self.joining_member and self._is_effective_leader() and not self._has_uncommitted():
            assert self.raft is not None
            new, self.joining_member = f"{self.joining_member}{VOTER_ID_SEPARATOR}{self.raft.last_index}", ""
            self._step_raft(raft.ChangeVoters((*self.raft.voters, new)))
        joint = self.state.joint
        if (
            joint is None
            or not self._is_effective_leader()
            or self.leading_since is None
            or self._has_uncommitted()
        ):
            return
        if self._is_compatible(joint):
            self._append_command(EndJointPhase(joint.number))
            return
        earlier_leases_expired = self.now - self.leading_since >= self.timings.lease * (
            1.0 + 2.0 * self.timings.clock_drift
        )
        all_prepared = all(
            one.prepared == joint.number or one.expires_at <= self.now for one in self.leases.values()
        )
        if earlier_leases_expired and all_prepared:
            self._append_command(EndJointPhase(joint.number))
        elif self.now - max(self.joint_since, self.leading_since) >= PREPARE_TIMEOUT:
            late = ", ".join(name for name, one in self.leases.items() if one.prepared != joint.number)
            self._append_command(
                EndJointPhase(
                    joint.number, f"not prepared within {PREPARE_TIMEOUT / 1_000:g} s by {late[:150]}"
                )
            )

    def _is_compatible(self, joint: Version) -> bool:
        """Whether the joint version contradicts nothing in force, so that the wait can be skipped. Never for
        the first version: members without a version act on their own settings, which may contradict it."""
        if not self.state.in_force.number:
            return False
        return not contradictions(self._decoded(self.state.in_force), self._decoded(joint))

    def _has_uncommitted(self) -> bool:
        """Whether entries are not committed yet; decisions are taken one at a time."""
        assert self.raft is not None
        return self.raft.last_index > self.raft.commit_index

    def _append_command(self, command: BeginJointPhase | EndJointPhase) -> None:
        if self._is_effective_leader() and not self._has_uncommitted():
            assert self.raft is not None
            self.deciding_index = self.raft.last_index + 1
            self._step_raft(raft.Propose(encode(command)))

    # ---- proposals --------------------------------------------------------------------------------------

    def _propose(self, event: Propose) -> None:
        if len(self.pending_requests) >= MAX_PENDING_REQUESTS or len(event.rules) > MAX_RULES_BYTES:
            text = f"too many proposals, or over {MAX_RULES_BYTES} bytes ({len(event.rules)})"
            self.actions.append(ProposalResolved(event.request, False, 0, text))
            return
        request = f"{self.name}/{self.process_id}/{event.request}"
        proposal = Proposal(request, event.base, event.rules, event.by[:64], event.why[:MAX_REASON_LENGTH])
        self._submit(proposal)

    def _submit(self, message: Proposal | VoterReplacement) -> None:
        self.pending_requests[message.request] = PendingRequest(message, self.now, self.now)
        self._send_to_leader(message)

    def _on_proposal(self, sender: NodeId, proposal: Proposal) -> None:
        """Handle a proposal. The proposer resends it until the verdict arrives, so duplicates are recognised
        by ``request``."""
        if not self._is_effective_leader():
            return
        in_force, joint = self.state.in_force, self.state.joint
        for version in (in_force, joint):
            if version is not None and version.request == proposal.request:
                if version is in_force:
                    text = f"version {in_force.number} is in force"
                    self._send(sender, Verdict(proposal.request, True, in_force.number, text))
                else:
                    self.verdict_recipients[proposal.request] = sender
                return
        objection = self._objection_to(proposal)
        if objection:
            self._send(sender, Verdict(proposal.request, False, 0, objection))
        elif not self._has_uncommitted():
            self.verdict_recipients[proposal.request] = sender
            while len(self.verdict_recipients) > MAX_PENDING_REQUESTS:
                self.verdict_recipients.popitem(last=False)
            version = Version(
                self.state.last_number + 1,
                in_force.number,
                proposal.rules,
                proposal.by,
                proposal.why,
                proposal.request,
            )
            self._append_command(BeginJointPhase(version))

    def _on_voter_replacement(self, sender: NodeId, replacement: VoterReplacement) -> None:
        """Remove one voter, then add another: two single-voter changes, the second after the first is
        committed."""
        if not self._is_effective_leader() or self._has_uncommitted() or self.joining_member:
            return
        assert self.raft is not None
        voters = self.raft.voters
        if any(member_of(one) == replacement.new for one in voters if one != replacement.old):
            text = f"{replacement.new} votes already; voters: {', '.join(voters)}"
            self._send(sender, Verdict(replacement.request, replacement.old not in voters, 0, text))
        elif replacement.old in voters and len(voters) > 1 and replacement.old != self.raft.voter_id:
            self.joining_member = replacement.new
            self._step_raft(raft.ChangeVoters(tuple(one for one in voters if one != replacement.old)))
        elif replacement.old in voters:
            text = f"{replacement.old} leads: ask again once another does"
            self._send(sender, Verdict(replacement.request, False, 0, text))
        else:
            self.joining_member = replacement.new

    def _objection_to(self, proposal: Proposal) -> str:
        in_force, joint = self.state.in_force, self.state.joint
        try:
            rules = decode_rules(proposal.rules)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return f"it can't be read here: {error}"
        if proposal.base not in (-1, in_force.number):
            text = f"it builds on version {proposal.base}, version {in_force.number} is in force"
            if in_force.number:
                differences = contradictions(rules, self._decoded(in_force))
                text += "; it differs in: " + ("; ".join(differences)[:600] or "nothing that contradicts it")
            return text
        if joint is not None:
            return f"version {joint.number} by {joint.by} is being brought into force: propose it again then"
        return ""


def _previous_versions(state: ReplicatedState) -> tuple[Version, ...]:
    """The versions kept for a rollback once the one in force is replaced: the newest within the limits."""
    previous = [*state.previous, state.in_force] if state.in_force.number else []
    while len(previous) > MAX_PREVIOUS or sum(len(one.rules) for one in previous) > MAX_PREVIOUS_BYTES:
        del previous[0]
    return tuple(previous)


def member_of(voter: NodeId) -> NodeId:
    """Name of the member that has this voter id."""
    return voter.partition(VOTER_ID_SEPARATOR)[0]
