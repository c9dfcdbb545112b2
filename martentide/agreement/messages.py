"""What members say to each other about versions, and what is in the log of them."""

from __future__ import annotations

import msgspec

from martentide.agreement.lists import MOST_TOLD, Record
from martentide.agreement.raft import Name

MOST_WHY = 200


class Version(msgspec.Struct, array_like=True, frozen=True):
    """``number`` is no other version's, also not a dropped one's; ``base``: that of the one it builds on;
    ``rules`` as ``write_rules`` has them; ``by`` and ``why`` are for people; ``request`` is who asked for it
    and a number of theirs."""

    number: int
    base: int
    rules: bytes
    by: str
    why: str
    request: str = ""


class Joint(msgspec.Struct, array_like=True, frozen=True, tag="joint"):
    """In the log: from now on members act by what both this version and the one in force allow."""

    version: Version


class Force(msgspec.Struct, array_like=True, frozen=True, tag="force"):
    """In the log: the joint one is in force; or, with a reason, it is dropped."""

    number: int
    dropped: str = ""


Command = Joint | Force


class Books(msgspec.Struct, array_like=True, frozen=True):
    """What the log says, all told: the state in a snapshot. ``index`` of the last entry in it; ``last``: the
    highest number that any version had, since a dropped one's must not be borne by another; ``kept``: what
    was in force before, newest last; ``past``: number, who, why, and what became of the last versions."""

    index: int
    force: Version
    joint: Version | None
    past: tuple[tuple[int, str, str, str], ...]
    last: int = 0
    kept: tuple[Version, ...] = ()


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """A member asks for its lease. ``stamp`` is its own clock, ``life`` its process; ``index`` of the books
    it has; ``prepared``: the joint version by which it acts already (0: none); ``no``: it turned that one
    down."""

    stamp: float
    life: int
    index: int
    prepared: int
    refused: int = 0
    no: str = ""


class Grant(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """A leader's answer: ``lease`` ms from when ``stamp`` was said; 0 with the leader's name from one that
    does not lead. ``books`` where the member's are older."""

    stamp: float
    lease: float
    index: int
    leader: Name
    books: Books | None = None


class Ballot(msgspec.Struct, array_like=True, frozen=True, tag="ballot"):
    """Of the replicated log, from voter to voter."""

    body: bytes


class Proposal(msgspec.Struct, array_like=True, frozen=True, tag="proposal"):
    """``base`` -1: whatever is in force."""

    request: str
    base: int
    rules: bytes
    by: str
    why: str


class Verdict(msgspec.Struct, array_like=True, frozen=True, tag="verdict"):
    """What became of a proposal; ``text`` in words, ``number`` of the version."""

    request: str
    done: bool
    number: int
    text: str


class Blank(msgspec.Struct, array_like=True, frozen=True, tag="blank"):
    """A voter without books asks whether it ever had any (``answer``: of the one asked; ``met``: it had)."""

    life: int
    answer: bool
    met: bool


class Replace(msgspec.Struct, array_like=True, frozen=True, tag="replace"):
    """A voter that has lost its books is to make room for the member ``new``, under an id that is
    nobody's."""

    request: str
    old: Name
    new: Name


class News(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """A leader's books go to ``index`` now: ask for them."""

    index: int


class WantList(msgspec.Struct, array_like=True, frozen=True, tag="want-list"):
    """Lists differ: tell me yours."""

    digest: int


class TheList(msgspec.Struct, array_like=True, frozen=True, tag="the-list"):
    records: list[Record]


Word = Ask | Grant | Ballot | Proposal | Verdict | Blank | Replace | News | WantList | TheList
_ENCODER = msgspec.msgpack.Encoder()
_WORDS, _COMMANDS = msgspec.msgpack.Decoder(Word), msgspec.msgpack.Decoder(Command)
_BOOKS = msgspec.msgpack.Decoder(Books)


def write(word: Word | Command | Books) -> bytes:
    return _ENCODER.encode(word)


def read_word(body: bytes) -> Word:
    """Raises msgspec.DecodeError or ValidationError."""
    return _WORDS.decode(body)


def read_command(body: bytes) -> Command:
    return _COMMANDS.decode(body)


def read_books(body: bytes) -> Books:
    return _BOOKS.decode(body)


# ---- the facet --------------------------------------------------------------------------------------------

FACET, FACET_SCHEMA, FACET_END = 4, 1, 10_000  # kind; ms that a word counts
SAFE, OWN, AGREED = 0, 1, 2


class Told(msgspec.Struct, array_like=True, frozen=True):
    """What a member tells all others: by what it acts, and since when; its list, by digest and last
    changes."""

    version: int
    joint: int
    acts: int
    since: int  # ms before this was said
    refused: str
    digest: int
    changes: list[Record] = []


_TOLD = msgspec.msgpack.Decoder(Told)
MOST_FACET = 480  # bytes


def write_told(told: Told) -> bytes:
    """With as many of the changes as fit."""
    while len(body := _ENCODER.encode(told)) > MOST_FACET and told.changes:
        told = msgspec.structs.replace(told, changes=told.changes[:-1])
    return body


def read_told(body: bytes) -> Told:
    """Raises msgspec.DecodeError or ValidationError."""
    told = _TOLD.decode(body)
    if len(told.changes) > MOST_TOLD or told.since < 0:
        raise msgspec.ValidationError("figures out of range")
    return told
