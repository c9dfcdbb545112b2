"""Checks the rules of the external processor on what went over the wire and what came to the servers.

It keeps no state of the product's: it reads what a front sent and was told (``Client``'s tap) and what the
stand-in servers saw, and counts what must not be.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from martentide.extproc.messages import (
    Ask,
    Cancel,
    Cancelled,
    Failed,
    FromFront,
    Outcome,
    Refused,
    Route,
    Standing,
    ToFront,
    Welcomed,
    Withdrawn,
)
from martentide_lab.servers import COLD_TIME_MS, OVERLOAD_MULTIPLE, OVERLOAD_TIME_MS, SessionServer

DRAIN_GRACE_MS = 2_050.0  # ms, with what sockets take
RELEASE_WAIT_MS = 200.0  # ms


@dataclass(slots=True)
class RequestRecord:
    """All that was said of one request, in order."""

    asked_at: float
    time_left: float | None
    final_answers: int = 0
    attempts: set[int] = field(default_factory=set)
    attempt_out: int | None = None
    cancelled: bool = False
    stream_broken: bool = False  # its stream broke before the final: the front asked anew or settled it
    messages: list[str] = field(default_factory=list)


class ExternalProcessorChecker:
    """One for each front: its requests' numbers are its own."""

    def __init__(self) -> None:
        self.requests: dict[int, RequestRecord] = {}
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []

    def observe(self, message: FromFront | ToFront, now: float) -> None:
        if isinstance(message, Welcomed):
            for request, story in self.requests.items():
                if request in message.standing:
                    story.final_answers = 1  # said again: the first may have been lost
                elif not story.final_answers and request not in message.routed:
                    story.stream_broken = True
            return
        if isinstance(message, Ask):
            self.requests[message.request] = RequestRecord(now, message.time_left)
            return
        known = self.requests.get(message.request)
        if known is None:
            self._broken("unasked", message.request, "a message about a request that was never asked")
            return
        known.messages.append(f"{now:.1f} {message}")
        if isinstance(message, Route):
            self._route(known, message)
        else:
            self._other(known, message, now)

    def _route(self, story: RequestRecord, route: Route) -> None:
        if story.final_answers:
            self._broken("doubled", route.request, "a route behind the final")
        if route.attempt in story.attempts:
            return  # said once more after a break
        if story.attempt_out is not None and not story.cancelled:
            self._broken("two_out", route.request, "a second attempt while one is out")
        story.attempts.add(route.attempt)
        story.attempt_out = route.attempt

    def _other(self, story: RequestRecord, message: FromFront | ToFront, now: float) -> None:
        match message:
            case Cancel():
                story.cancelled, story.attempt_out = True, None
            case Outcome():
                story.attempt_out = None
            case Withdrawn():
                if not message.if_unused and story.attempt_out == message.attempt:
                    story.attempt_out = None
            case Refused() | Failed() | Cancelled() | Standing():
                story.final_answers += 1
                if story.final_answers > 1:
                    self._broken("doubled", message.request, "a second final")
                if (
                    story.time_left is not None
                    and now > story.asked_at + story.time_left
                    and not story.cancelled
                ):
                    self._broken(
                        "late", message.request, f"a final {now - story.asked_at:.1f} ms after the ask"
                    )

    def _broken(self, rule: str, request: int, what: str) -> None:
        self.counts[rule] += 1
        told = self.requests[request].messages if request in self.requests else []
        self.violations.append(f"{rule}: request {request}: {what}: " + " | ".join(told))

    def finish(self) -> Counter[str]:
        """At the end, when all is answered: each request has its final, or its stream broke before."""
        for request, story in self.requests.items():
            if not story.final_answers and not story.stream_broken:
                self._broken("missing", request, "no final")
        return self.counts


def check_retries(
    servers: Iterable[SessionServer], first_tries: int, share: float, members: int, each: float
) -> list[str]:
    """Further attempts over the whole fleet, by what came to the servers: no more than ``share`` of the
    callers' first tries, and ``each`` for every process that ever ran."""
    came: Counter[bytes] = Counter(one.call for server in servers for one in server.received_set_ups)
    further = sum(count - 1 for count in came.values())
    most = share * first_tries + each * members
    if further > most:
        return [f"repeats: {further} further attempts, for {first_tries} first tries at most {most:.0f}"]
    return []


def cold_start_load(server: SessionServer) -> float:
    """The most that came to a cold server in a window of the fall-over time, over what the rule allows."""
    begin = server.behavior.cold_start_at
    if begin is None:
        return 0.0
    times = sorted(
        one.received_at for one in server.received_set_ups if begin <= one.received_at <= begin + COLD_TIME_MS
    )
    most = 0.0
    for last, when in enumerate(times):
        count = sum(when - OVERLOAD_TIME_MS < at <= when for at in times[: last + 1])
        allowed = OVERLOAD_MULTIPLE * server.behavior.capacity(when) * OVERLOAD_TIME_MS / 1_000.0
        most = max(most, count / allowed)
    return most


def cold_start_load_beyond_chance(server: SessionServer) -> float:
    """As ``cold_start_load``, over what the rule allows, twice its deviation and two more: over 1 is no
    chance."""
    begin = server.behavior.cold_start_at or 0.0
    times = sorted(
        one.received_at for one in server.received_set_ups if begin <= one.received_at <= begin + COLD_TIME_MS
    )
    most = 0.0
    for last, when in enumerate(times):
        count = sum(when - OVERLOAD_TIME_MS < at <= when for at in times[: last + 1])
        allowed = OVERLOAD_MULTIPLE * server.behavior.capacity(when) * OVERLOAD_TIME_MS / 1_000.0
        most = max(most, count / (allowed + 2.0 * math.sqrt(allowed) + 2.0))
    return most


def check_servers(
    servers: Iterable[SessionServer], drained: dict[str, float]
) -> tuple[Counter[str], list[str]]:
    """What the servers saw: no set-up after a drain's grace, and no two of one request at a time.

    ``drained``: when the board told of a server's drain, Unix ms, by name. Set-ups of one request bear the
    same number.
    """
    counts: Counter[str] = Counter()
    stories: list[str] = []
    by_number: dict[bytes, list[tuple[float, float, bool]]] = {}
    for server in servers:
        told = drained.get(server.name)
        for one in server.received_set_ups:
            if told is not None and one.received_at > told + DRAIN_GRACE_MS:
                counts["wrong_server"] += 1
                stories.append(f"wrong_server: {server.name} drains since {one.received_at - told:.0f} ms")
            over = float("inf") if one.ended_at is None else one.ended_at
            by_number.setdefault(one.number, []).append((one.received_at, over, one.stood))
    for number, spans in by_number.items():
        spans.sort()
        for (_, over, _), (begun, _, _) in itertools.pairwise(spans):
            if begun < over:
                counts["two_out"] += 1
                stories.append(f"two_out: number {number!r}: an attempt {over - begun:.1f} ms too early")
    return counts, stories
