"""Interface between a signalling proxy and the decision module: events in, actions out.

Contains only frozen dataclasses and enums, without logic or defaults that affect decisions. Times and
durations are in milliseconds; ``now`` is a monotonic clock with an arbitrary origin. ``None``: unknown.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """Whether a set-up may be repeated if an earlier one of the same call may have taken effect."""

    HARMLESS = "harmless"  # safe
    KEYED = "keyed"  # carries an idempotency key
    ONCE_ONLY = "once-only"  # not safe: may take effect twice


class ReportBy(Enum):
    """How pressure reports reach this proxy."""

    ANSWERS = "answers"  # with the results of attempts
    PROBES = "probes"  # with the results of probes
    NEVER = "never"


class ServerState(Enum):
    """State of a server in the server list."""

    OPEN = "open"  # accepts set-ups
    DRAINING = "draining"  # accepts no new set-ups
    GONE = "gone"  # no longer in the list


class ListKind(Enum):
    """Kind of a server list."""

    CHANGES = "changes"  # only the entries that changed
    WHOLE = "whole"  # the complete list
    REMEMBERED = "remembered"  # the complete list from before a restart
    FAILED = "failed"  # the request for a list failed


class Ending(Enum):
    """How an attempt or a probe ended."""

    DELIVERED = "delivered"
    ERROR = "error"  # the server answered with an error
    FULL = "full"  # the server refused it: no free line or an overloaded processor
    TIMED_OUT = "timed-out"
    UNREACHABLE = "unreachable"  # no connection to the server
    CUT = "cut"  # lost connection, unusable answer or abnormal release
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"


# ---- settings -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls. A call set up within ``aim`` has its ``worth`` (> 0), a later one only ``late_share``
    (0 to 1) of it. ``aim`` and ``deadline`` are in ms from the first try."""

    name: str
    worth: float
    aim: float
    deadline: float
    late_share: float
    repeat: Repeat
    pools: tuple[int, ...] | None  # place numbers of the servers that accept the class; None: any


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its allowance."""

    name: str
    allowance: float  # set-ups/s within its share, for all proxies together


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an instance, given at the start and replaced as a whole by SettingsChanged.

    ``proxies`` >= 1 is the size of the fleet and ``own_slot`` this proxy's number in it, 0 to proxies - 1.
    ``over_share_worth`` (0 to 1) is the relative worth of a call above its tenant's share. ``lists_pushed``:
    list changes arrive without a request. ``max_attempts`` >= 1 is per call. ``max_hold_off`` >= 0 ms is the
    longest hold-off for a refused caller, 0 for none. ``release`` >= 0 ms is the wait after an attempt that
    may still hold lines. ``answer_slack`` >= 0 ms after the caller's time is up, a final answer still counts.
    A server starts at ``cold_share`` (0 to 1) of its capacity and is warm within ``cold_time`` ms; it fails
    if it receives more than ``fall_multiple`` (> 1) times its current capacity for ``fall_time`` ms.
    """

    proxies: int
    own_slot: int
    own_place: int  # place number of the server at this proxy, -1 for none
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
    revision: int = 0  # incremented with each change at run time


# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of a list; size > 0, place >= 0 (a unique number, equal at every proxy)."""

    name: str
    place: int
    zone: str
    state: ServerState
    started: float | None  # clock time of its last start; None: long ago
    size: float  # relative to other servers; no unit


@dataclass(frozen=True, slots=True)
class ServerList:
    """A server list or changes to it; empty if the request for one failed."""

    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """One pressure report; a figure that is absent or -1 on the wire is None."""

    free_lines: float | None
    hold_back: float | None  # share of new set-ups that each sender should hold back
    wait: float | None  # ms of wait at the server's processor


@dataclass(frozen=True, slots=True)
class SetUpOffered:
    """A call is offered; it must get one final answer within ``time_left`` (> 0 ms).

    ``first_choice`` is a place number, -1 for none; ``redial``: marked as a redial by the caller;
    ``in_transit``: the call may be sent only to its first choice.
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
    """An attempt stands, ``delay`` ms (>= 0) after it was sent; attempts of a call are numbered from 0."""

    ref: int
    attempt: int
    server: str
    delay: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended ``lag`` ms (>= 0) after it was sent; one such event follows every SendSetUp."""

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
    """The caller hung up; no answer is required."""

    ref: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe ended after ``lag`` ms, or (``unasked``) a server reported its free lines."""

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
    """New settings for calls offered from now on; calls offered before keep the previous ones."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ColdShare:
    """This process's ``share`` (0 to 1) of a cold server's budget while an upgrade runs two processes of this
    proxy; 1 again once the other process has ended."""

    share: float


@dataclass(frozen=True, slots=True)
class TestDuty:
    """Servers whose health checks and half-open probes other members perform, with recent results; this proxy
    omits its own. Servers not listed are checked by this proxy, as without a fleet."""

    __test__ = False  # not for pytest
    no_tests: frozenset[str]
    no_trials: frozenset[str]


@dataclass(frozen=True, slots=True)
class PeerNews:
    """A server answered another member ``age`` ms ago: a health check, or a call after a ``wait`` in ms."""

    server: str
    age: float
    wait: float | None


@dataclass(frozen=True, slots=True)
class Admission:
    """Fleet-wide admission from now on: the admitted share of each class (0 to 1), decided within a class by
    the called number and ``turn``; ``admitted`` (> 0) is the share of all classes together. Calls whose
    current worth is below ``floor`` are shed. Shed callers get a hold-off from ``return_from`` to
    ``return_to`` ms (>= 0)."""

    shares: tuple[tuple[str, float], ...]
    admitted: float
    floor: float
    turn: int
    return_from: float
    return_to: float


@dataclass(frozen=True, slots=True)
class RepeatBudget:
    """Each retry costs a token from now on: adds ``tokens`` (>= 0) to the budget; all remaining tokens expire
    ``life`` ms (> 0) from now."""

    tokens: float
    life: float


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by SetTimer expired."""

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
    """Send a set-up to a server, with an attempt timeout of ``patience`` ms."""

    ref: int
    server: str
    patience: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a call and ask the caller to wait ``hold_off`` ms before a redial; 0 for no advice."""

    ref: int
    hold_off: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a call with a failure, because an attempt may have taken effect."""

    ref: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that has not ended."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerDue event with ``token`` after ``delay`` ms."""

    token: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health check to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send a message to one other proxy."""

    peer: int  # its slot number
    body: bytes


@dataclass(frozen=True, slots=True)
class FollowList:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class Note:
    """Write a line to the operators' log."""

    text: str


Action = SendSetUp | Refuse | Fail | CancelAttempt | SetTimer | Probe | TellPeer | FollowList | Note
