"""Checks the rules of the external processor on its messages and on the set-ups at the session servers.

It uses no state of the product: it reads the messages that a front sent and received (the tap of ``Client``)
and the records of the test servers, and counts violations.
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

DRAIN_GRACE_MS = 2_050.0  # set-ups may arrive this long after a drain; includes socket delays
RELEASE_WAIT_MS = 200.0  # the same as ``release_ms`` in ``site_settings``


@dataclass(slots=True)
class RequestRecord:
    """The messages about one request, in order; times in ms."""

    asked_at: float
    time_left: float | None
    final_answers: int = 0
    attempts: set[int] = field(default_factory=set)  # numbers of all attempts
    outstanding_attempt: int | None = None
    cancelled: bool = False
    # Its stream broke before the final answer: the front asked again or settled the request itself.
    stream_broken: bool = False
    messages: list[str] = field(default_factory=list)


class ExternalProcessorChecker:
    """Checks the messages of one front; request numbers are unique only within a front."""

    def __init__(self) -> None:
        self.requests: dict[int, RequestRecord] = {}
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []

    def observe(self, message: FromFront | ToFront, now: float) -> None:
        """Record and check a message that the front sent or received at ``now`` (ms)."""
        if isinstance(message, Welcomed):
            for request, earlier_record in self.requests.items():
                if request in message.standing:
                    earlier_record.final_answers = 1  # sent again: the first may have been lost
                elif not earlier_record.final_answers and request not in message.routed:
                    earlier_record.stream_broken = True
            return
        if isinstance(message, Ask):
            self.requests[message.request] = RequestRecord(now, message.time_left)
            return
        record = self.requests.get(message.request)
        if record is None:
            self._record_violation(
                "unasked", message.request, "a message about a request that was never asked"
            )
            return
        record.messages.append(f"{now:.1f} {message}")
        if isinstance(message, Route):
            self._check_route(record, message)
        else:
            self._check_message(record, message, now)

    def _check_route(self, record: RequestRecord, route: Route) -> None:
        if record.final_answers:
            self._record_violation("doubled", route.request, "a route after the final answer")
        if route.attempt in record.attempts:
            return  # sent again after a broken stream
        if record.outstanding_attempt is not None and not record.cancelled:
            self._record_violation("two_out", route.request, "a second attempt while one is outstanding")
        record.attempts.add(route.attempt)
        record.outstanding_attempt = route.attempt

    def _check_message(self, record: RequestRecord, message: FromFront | ToFront, now: float) -> None:
        match message:
            case Cancel():
                record.cancelled, record.outstanding_attempt = True, None
            case Outcome():
                record.outstanding_attempt = None
            case Withdrawn():
                if not message.if_unused and record.outstanding_attempt == message.attempt:
                    record.outstanding_attempt = None
            case Refused() | Failed() | Cancelled() | Standing():
                record.final_answers += 1
                if record.final_answers > 1:
                    self._record_violation("doubled", message.request, "a second final answer")
                if (
                    record.time_left is not None
                    and now > record.asked_at + record.time_left
                    and not record.cancelled
                ):
                    self._record_violation(
                        "late",
                        message.request,
                        f"a final answer {now - record.asked_at:.1f} ms after the request",
                    )

    def _record_violation(self, rule: str, request: int, description: str) -> None:
        self.counts[rule] += 1
        messages = self.requests[request].messages if request in self.requests else []
        self.violations.append(f"{rule}: request {request}: {description}: " + " | ".join(messages))

    def finish(self) -> Counter[str]:
        """Check that each request has a final answer or lost its stream before; return the counts.

        Call it once, after all answers have arrived. The counts are those of all violations by rule.
        """
        for request, record in self.requests.items():
            if not record.final_answers and not record.stream_broken:
                self._record_violation("missing", request, "no final answer")
        return self.counts


def check_retries(
    servers: Iterable[SessionServer],
    first_tries: int,
    retry_ratio: float,
    processes: int,
    allowance_per_process: float,
) -> list[str]:
    """Check the number of retries in the whole fleet by the set-ups that the servers received.

    The limit is ``retry_ratio`` of the callers' first tries plus ``allowance_per_process`` for each of the
    ``processes`` that ran. Return a list of violations.
    """
    attempts: Counter[bytes] = Counter(
        set_up.call for server in servers for set_up in server.received_set_ups
    )
    retries = sum(count - 1 for count in attempts.values())
    limit = retry_ratio * first_tries + allowance_per_process * processes
    if retries > limit:
        return [f"repeats: {retries} retries; {first_tries} first tries allow at most {limit:.0f}"]
    return []


def cold_start_load(server: SessionServer) -> float:
    """Return the highest load of a cold server as a multiple of the allowed load.

    The load is the number of set-ups that arrive within ``OVERLOAD_TIME_MS``.
    """
    cold_start_at = server.behavior.cold_start_at
    if cold_start_at is None:
        return 0.0
    arrival_times = sorted(
        set_up.received_at
        for set_up in server.received_set_ups
        if cold_start_at <= set_up.received_at <= cold_start_at + COLD_TIME_MS
    )
    highest_load = 0.0
    for index, window_end in enumerate(arrival_times):
        count = sum(window_end - OVERLOAD_TIME_MS < at <= window_end for at in arrival_times[: index + 1])
        allowed = OVERLOAD_MULTIPLE * server.behavior.capacity(window_end) * OVERLOAD_TIME_MS / 1_000.0
        highest_load = max(highest_load, count / allowed)
    return highest_load


def cold_start_load_beyond_chance(server: SessionServer) -> float:
    """As ``cold_start_load``, relative to the allowed load plus two standard deviations plus 2.

    A result above 1 is not explained by random variation.
    """
    cold_start_at = server.behavior.cold_start_at or 0.0
    arrival_times = sorted(
        set_up.received_at
        for set_up in server.received_set_ups
        if cold_start_at <= set_up.received_at <= cold_start_at + COLD_TIME_MS
    )
    highest_load = 0.0
    for index, window_end in enumerate(arrival_times):
        count = sum(window_end - OVERLOAD_TIME_MS < at <= window_end for at in arrival_times[: index + 1])
        allowed = OVERLOAD_MULTIPLE * server.behavior.capacity(window_end) * OVERLOAD_TIME_MS / 1_000.0
        highest_load = max(highest_load, count / (allowed + 2.0 * math.sqrt(allowed) + 2.0))
    return highest_load


def check_servers(
    servers: Iterable[SessionServer], drain_announced_at: dict[str, float]
) -> tuple[Counter[str], list[str]]:
    """Check that no set-up arrived after a drain's grace period and that attempts of a request don't overlap.

    ``drain_announced_at`` is the time, in Unix ms, at which the discovery service announced a server's
    drain, by server name. Set-ups of one request have the same called number. Return counts and descriptions
    of the violations.
    """
    counts: Counter[str] = Counter()
    violations: list[str] = []
    by_number: dict[bytes, list[tuple[float, float, bool]]] = {}
    for server in servers:
        announced_at = drain_announced_at.get(server.name)
        for set_up in server.received_set_ups:
            if announced_at is not None and set_up.received_at > announced_at + DRAIN_GRACE_MS:
                counts["wrong_server"] += 1
                violations.append(
                    f"wrong_server: {server.name} received a set-up "
                    f"{set_up.received_at - announced_at:.0f} ms after its drain"
                )
            ended_at = float("inf") if set_up.ended_at is None else set_up.ended_at
            by_number.setdefault(set_up.number, []).append((set_up.received_at, ended_at, set_up.stood))
    for number, spans in by_number.items():
        spans.sort()
        for (_, ended_at, _), (next_received_at, _, _) in itertools.pairwise(spans):
            if next_received_at < ended_at:
                counts["two_out"] += 1
                violations.append(
                    f"two_out: number {number!r}: an attempt began "
                    f"{ended_at - next_received_at:.1f} ms before the previous one ended"
                )
    return counts, violations
