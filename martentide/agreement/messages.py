"""Messages between members about versions of rules, and the commands and state of the replicated log."""

from __future__ import annotations

import msgspec

from martentide.agreement.lists import MAX_CHANGES, ServerRecord
from martentide.agreement.raft import NodeId

MAX_REASON_LENGTH = 200  # characters of ``why`` and of an objection


class Version(msgspec.Struct, array_like=True, frozen=True):
    """A version of the rules. ``number`` is unique, also among dropped versions; ``base`` is the number of
    the version it builds on; ``rules`` are encoded by ``encode_rules``; ``by`` and ``why`` are for people;
    ``request`` identifies the proposer and its request."""

    number: int
    base: int
    rules: bytes
    by: str
    why: str
    request: str = ""


class BeginJointPhase(msgspec.Struct, array_like=True, frozen=True, tag="joint"):
    """Log command: from now on members prepare this version, that is, act on what both it and the version in
    force allow."""

    version: Version


class EndJointPhase(msgspec.Struct, array_like=True, frozen=True, tag="force"):
    """Log command: the joint version is in force or, if ``dropped`` gives a reason, it is dropped."""

    number: int
    dropped: str = ""


Command = BeginJointPhase | EndJointPhase


class ReplicatedState(msgspec.Struct, array_like=True, frozen=True):
    """The state that results from applying the log, as kept in snapshots. ``index``: last applied entry;
    ``history``: number, proposer, reason and outcome of the last versions; ``last_number``: highest version
    number used so far, because the number of a dropped version must not be used again; ``previous``: versions
    formerly in force, newest last."""

    index: int
    in_force: Version
    joint: Version | None
    history: tuple[tuple[int, str, str, str], ...]
    last_number: int = 0
    previous: tuple[Version, ...] = ()


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """A member requests or renews its lease. ``timestamp``: the member's clock in ms; ``process_id``: differs
    for each process of one name; ``index``: of the replicated state it has; ``prepared``: the joint version
    it already acts on (0: none); ``refused``: the joint version it cannot act on (0: none), with its
    ``objection``."""

    timestamp: float
    process_id: int
    index: int
    prepared: int
    refused: int = 0
    objection: str = ""


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """Reply to a lease request: a lease of ``lease`` ms from ``timestamp``. A voter that is not the leader
    replies with 0 and the leader's name. ``state`` is included if the member's is older."""

    timestamp: float
    lease: float
    index: int
    leader: NodeId
    state: ReplicatedState | None = None


class RaftMessage(msgspec.Struct, array_like=True, frozen=True, tag="ballot"):
    """An encoded message of the replicated log, between voters."""

    body: bytes


class Proposal(msgspec.Struct, array_like=True, frozen=True, tag="proposal"):
    """A proposal to the leader; ``base`` -1: whatever is in force."""

    request: str
    base: int
    rules: bytes
    by: str
    why: str


class Verdict(msgspec.Struct, array_like=True, frozen=True, tag="verdict"):
    """The outcome of a proposal: ``number`` of the version, ``text`` for people."""

    request: str
    done: bool
    number: int
    text: str


class PriorStateQuery(msgspec.Struct, array_like=True, frozen=True, tag="blank"):
    """A voter without state asks whether it ever had any. ``is_answer``: the reply, in which ``known`` states
    whether the replying voter ever received a message of the log from it."""

    process_id: int
    is_answer: bool
    known: bool


class VoterReplacement(msgspec.Struct, array_like=True, frozen=True, tag="replace"):
    """Replace the voter ``old``, which lost its state, by the member ``new`` under an unused id."""

    request: str
    old: NodeId
    new: NodeId


class StateChanged(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """The leader's state has changed up to ``index``; members request it with their next lease request."""

    index: int


class ListRequest(msgspec.Struct, array_like=True, frozen=True, tag="want-list"):
    """Request for the receiver's server list, since the digests differ."""

    digest: int


class ListReply(msgspec.Struct, array_like=True, frozen=True, tag="the-list"):
    """The sender's server list."""

    records: list[ServerRecord]


AgreementMessage = (
    LeaseRequest
    | LeaseGrant
    | RaftMessage
    | Proposal
    | Verdict
    | PriorStateQuery
    | VoterReplacement
    | StateChanged
    | ListRequest
    | ListReply
)
_ENCODER = msgspec.msgpack.Encoder()
_MESSAGES, _COMMANDS = msgspec.msgpack.Decoder(AgreementMessage), msgspec.msgpack.Decoder(Command)
_STATES = msgspec.msgpack.Decoder(ReplicatedState)


def encode(item: AgreementMessage | Command | ReplicatedState) -> bytes:
    """Encode a message, a log command or the replicated state as MessagePack."""
    return _ENCODER.encode(item)


def decode_message(body: bytes) -> AgreementMessage:
    """Raises msgspec.DecodeError or ValidationError."""
    return _MESSAGES.decode(body)


def decode_command(body: bytes) -> Command:
    """Raises msgspec.DecodeError or ValidationError."""
    return _COMMANDS.decode(body)


def decode_state(body: bytes) -> ReplicatedState:
    """Raises msgspec.DecodeError or ValidationError."""
    return _STATES.decode(body)


# ---- gossiped state -------------------------------------------------------------------------------------

STATE_ENTRY_KIND, STATE_ENTRY_SCHEMA, STATE_ENTRY_LIFETIME = 4, 1, 10_000  # lifetime in ms
SAFE, OWN, AGREED = 0, 1, 2  # what a member acts on: safe rules, its own settings, an agreed version


class MemberStatus(msgspec.Struct, array_like=True, frozen=True):
    """A member's status, gossiped to all others: what it acts on and for how long, and the digest and latest
    changes of its server list."""

    version: int
    joint: int
    acts: int
    age: int  # ms for which the member has acted on it, at sending
    refused: str
    digest: int
    changes: list[ServerRecord] = []


_STATUSES = msgspec.msgpack.Decoder(MemberStatus)
MAX_STATE_ENTRY_BYTES = 480


def encode_status(status: MemberStatus) -> bytes:
    """Encode a status with as many of the changes as fit into ``MAX_STATE_ENTRY_BYTES``."""
    while len(body := _ENCODER.encode(status)) > MAX_STATE_ENTRY_BYTES and status.changes:
        status = msgspec.structs.replace(status, changes=status.changes[:-1])
    return body


def decode_status(body: bytes) -> MemberStatus:
    """Raises msgspec.DecodeError or ValidationError."""
    status = _STATUSES.decode(body)
    if len(status.changes) > MAX_CHANGES or status.age < 0:
        raise msgspec.ValidationError("number of changes or age out of range")
    return status
