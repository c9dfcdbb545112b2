"""What a border proxy tells the decisions and what they ask of it.

Only frozen dataclasses and enums: no logic, and no default that decides. Times and durations are
milliseconds; ``now`` is a clock without a fixed zero that never runs backwards. ``None`` means "not told".
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What a second set-up of the same call may do."""

    HARMLESS = "harmless"
    KEYED = "keyed"
    ONCE_ONLY = "once-only"


class ReportBy(Enum):
    """How pressure reports reach this proxy."""

    ANSWERS = "answers"
    PROBES = "probes"
    NEVER = "never"


class ServerState(Enum):
    OPEN = "open"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    FAILED = "failed"


class Ending(Enum):
    """How an attempt or a probe ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed-out"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"


# ---- settings -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of call: worth > 0; aim and deadline in ms from the first try; late_share of worth, 0 to 1."""

    name: str
    worth: float
    aim: float
    deadline: float
    late_share: float
    repeat: Repeat
    pools: tuple[int, ...] | None  # place numbers that can take the class; None: any


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    allowance: float  # set-ups a second inside its share, all proxies together


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start, and again, whole, by SettingsChanged.

    ``proxies`` >= 1 is the size of the fleet and ``own_slot`` this proxy's number in it, 0 to proxies - 1.
    ``over_share_worth`` 0 to 1: worth of a call past its tenant's share, against the usual. ``lists_pushed``:
    list changes come unasked. ``max_attempts`` >= 1 attempts a call. ``max_hold_off`` >= 0 ms: longest advice
    to a refused caller, 0 for none. ``release`` >= 0 ms to wait after an attempt that may still hold lines.
    ``answer_slack`` >= 0 ms after the caller's time in which a final answer still counts. A server starts at
    ``cold_share`` (0 to 1) of its capacity and is warm within ``cold_time`` ms; sent more than
    ``fall_multiple`` (> 1) times what it can do for ``fall_time`` ms, it falls over.
    """

    proxies: int
    own_slot: int
    own_place: int  # place number of this exchange, -1 for none
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    report_by: ReportBy
    lists_pushed: bool
    may_probe: bool
    may_tell_peers: bool
    may_cancel: bool
    max_attempts: int
    max_hold_off: float
    release: float
    repeat_interval: float  # a waiting set-up is sent again after this; 0: never
    answer_slack: float
    cold_share: float
    cold_time: float
    fall_multiple: float
    fall_time: float
    revision: int = 0  # grows by one with each change while the program runs


# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of a list; size > 0, place >= 0 (one number a server, the same at every proxy)."""

    name: str
    place: int
    zone: str
    state: ServerState
    started: float | None  # clock time of its last start; None: long ago
    size: float  # against other servers' sizes; no unit


@dataclass(frozen=True, slots=True)
class ServerList:
    """Changes to the list, a whole one, the one remembered from before a restart, or word that none came."""

    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """One pressure report; a figure that was absent or -1 on the wire is None."""

    free_lines: float | None
    hold_back: float | None  # share of new set-ups each sender is asked to hold back
    wait: float | None  # wait at the server's processor


@dataclass(frozen=True, slots=True)
class SetUpOffered:
    """A call is handed over: it is owed one final answer within ``time_left`` (> 0 ms).

    ``first_choice`` is a place number, -1 for none; ``redial``: the caller marks a repeat; ``in_transit``: it
    may go only to its first choice.
    """

    ref: int
    call_class: str
    tenant: str | None
    number: str | None
    time_left: float
    first_choice: int
    redial: bool
    in_transit: bool


@dataclass(frozen=True, slots=True)
class Stands:
    """An attempt stands, ``delay`` ms (>= 0) after it was sent; attempts of a call count from 0."""

    ref: int
    attempt: int
    server: str
    delay: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over, ``lag`` ms (>= 0) after it was sent; one such event follows every SendSetUp."""

    ref: int
    attempt: int
    server: str
    ending: Ending
    settled: bool  # the call has its final answer
    lines_full: bool  # refused for want of a free line, not by the processor
    lag: float
    report: Report | None


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller hung up: nothing more is owed."""

    ref: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe ended after ``lag`` ms, or (``unasked``) a server's free lines are told."""

    server: str
    ending: Ending
    unasked: bool
    lag: float
    report: Report | None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes (up to 256) from the proxy with slot number ``sender``."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold for what is offered from now on; calls offered before keep their own."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ColdShare:
    """Another process of this proxy serves beside it (an upgrade): ``share`` (0 to 1) of what a cold server
    may be sent is this process's; 1 again once it is alone."""

    share: float


@dataclass(frozen=True, slots=True)
class TestDuty:
    """Other members of the fleet test these servers, and try calls at them: their word is fresh, and this
    proxy leaves it to them. What is not named is its own to test, as without a fleet."""

    __test__ = False  # not for pytest
    no_tests: frozenset[str]
    no_trials: frozenset[str]


@dataclass(frozen=True, slots=True)
class PeerNews:
    """A server answered another member ``age`` ms ago: a test, or a call after ``wait`` ms."""

    server: str
    age: float
    wait: float | None


@dataclass(frozen=True, slots=True)
class Admission:
    """What the whole fleet lets in from now on: by class the share (0 to 1), at the cut settled by the number
    called and ``turn``; ``admitted`` (over 0) of all together; nothing that is worth less than ``floor`` by
    now. Who is shed is told to come back in ``return_from`` to ``return_to`` ms (>= 0)."""

    shares: tuple[tuple[str, float], ...]
    admitted: float
    floor: float
    turn: int
    return_from: float
    return_to: float


@dataclass(frozen=True, slots=True)
class RepeatBudget:
    """Further attempts cost a token each from now on: so many more (>= 0) may be made, and what is left of
    all counts for nothing ``life`` ms (> 0) from now."""

    tokens: float
    life: float


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by SetTimer came due."""

    token: int


Event = (
    ServerList
    | SetUpOffered
    | Stands
    | AttemptEnded
    | CallerGone
    | ProbeEnded
    | PeerMessage
    | SettingsChanged
    | ColdShare
    | TestDuty
    | PeerNews
    | Admission
    | RepeatBudget
    | TimerDue
)


# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendSetUp:
    ref: int
    server: str
    patience: float


@dataclass(frozen=True, slots=True)
class Refuse:
    ref: int
    hold_off: float


@dataclass(frozen=True, slots=True)
class Fail:
    ref: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class TellPeer:
    """A message to one other proxy."""

    peer: int  # its slot number
    body: bytes


@dataclass(frozen=True, slots=True)
class FollowList:
    """Ask for changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the on-call log."""

    text: str


Action = SendSetUp | Refuse | Fail | CancelAttempt | SetTimer | Probe | TellPeer | FollowList | Note
