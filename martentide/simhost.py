"""Host for the simulator: reads batches, runs one Controller per signalling proxy, writes the replies.

It only translates between the wire format and events; all decisions are in ``martentide/rules.py``.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from martentide.interface import (
    Action,
    AttemptEnded,
    CallerGone,
    CancelAttempt,
    Ending,
    Event,
    Fail,
    FollowList,
    ListKind,
    Note,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    Report,
    SendSetUp,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    SetUpOffered,
    Stands,
    TellPeer,
    TimerDue,
)
from martentide.rules import Controller
from martentide.settings import SettingsError, read_settings


class WireError(Exception):
    """Raised for input that violates the wire format."""


VALUE_COUNTS = {
    "FOR": 1, "CREATE": 2, "CATALOG": 2, "SERVER": 7, "MEMBERSHIP": 3, "JOB_IN": 13, "ACK_FIRST": 4,
    "CANCELLED_BY_CLIENT": 1, "WAKE": 1, "RETIRE": 0, "PROBED": 4, "REPLY": 8, "NOTE_FROM": 2,
    "BATCH": 1, "END": 0,
}  # fmt: skip

STATES = {
    "healthy": ServerState.OPEN, "cordoned": ServerState.DRAINING, "deregistered": ServerState.GONE,
}  # fmt: skip
LIST_KINDS = {
    "changes": ListKind.CHANGES, "all": ListKind.WHOLE,
    "remembered": ListKind.REMEMBERED, "refused": ListKind.FAILED,
}  # fmt: skip
ENDINGS = {
    "delivered": Ending.DELIVERED, "app_error": Ending.ERROR, "shed": Ending.FULL,
    "expired": Ending.TIMED_OUT, "dial_failed": Ending.UNREACHABLE, "dropped": Ending.CUT,
    "revoked": Ending.CANCELLED, "unused": Ending.NOT_SENT,
}  # fmt: skip
NOTE_NO_LINE = 1  # the low four bits of a REPLY's note if no line was free


def _convert(kind: Callable[[str], Any], text: str, what: str) -> Any:
    try:
        return kind(text)
    except (ValueError, KeyError):
        raise WireError(f"{what}: {text!r} is not valid") from None


def _optional_number(text: str, what: str) -> float | None:
    return None if text == "-" else float(_convert(float, text, what))


def _required_number(text: str, what: str) -> float:
    return float(_convert(float, text, what))


def _integer(text: str, what: str) -> int:
    return int(_convert(int, text, what))


def _flag(text: str, what: str) -> bool:
    return bool(_convert({"1": True, "0": False, "-": False}.__getitem__, text, what))


def read_report(text: str, fields: tuple[str, ...]) -> Report | None:
    """Parse a load report; absent, negative, infinite and NaN figures count as not reported."""
    if text == "-":
        return None
    figures = [_optional_number(part, "telemetry") for part in text.split(",")]
    reported = {
        name: value
        for name, value in zip(fields, figures, strict=False)
        if value is not None and 0 <= value < float("inf")
    }
    if not reported:
        return None
    return Report(reported.get("spare"), reported.get("cut_by"), reported.get("mean_ms"))


def read_server(values: list[str]) -> ServerEntry:
    """Parse the values of a SERVER line; raises WireError."""
    started = _optional_number(values[3], "started_at_ms")
    return ServerEntry(
        name=values[4],
        place=_integer(values[6], "place_no"),
        zone=values[2],
        state=_convert(STATES.__getitem__, values[1], "availability"),
        started=started if started else None,
        size=_optional_number(values[5], "nominal") or 1.0,
    )


def read_event(name: str, values: list[str], fields: tuple[str, ...]) -> Event:
    """Convert one event line; ``fields`` names the figures of load reports. Raises WireError."""
    if name == "JOB_IN":
        return SetUpOffered(
            ref=_integer(values[0], "ref"),
            call_class=values[1],
            tenant=None if values[2] in ("-", "0") else values[2],
            number=None if values[3] == "-" else values[3],
            time_left=_required_number(values[4], "time_left_ms"),
            first_choice=-1 if values[6] == "-" else int(_required_number(values[6], "called_node")),
            redial=_flag(values[9], "resent"),
            in_transit=_flag(values[11], "midflow"),
        )
    if name == "ACK_FIRST":
        return Stands(
            _integer(values[0], "ref"),
            _integer(values[2], "trial"),
            values[3],
            _required_number(values[1], "lag_ms"),
        )
    if name == "REPLY":
        ending: Ending = _convert(ENDINGS.__getitem__, values[6], "verdict")
        note = 0 if values[3] == "-" else _integer(values[3], "note")
        return AttemptEnded(
            ref=_integer(values[0], "ref"),
            attempt=_integer(values[4], "trial"),
            server=values[1],
            ending=ending,
            settled=_flag(values[2], "complete"),
            lines_full=note % 16 == NOTE_NO_LINE,
            lag=_optional_number(values[5], "lag_ms") or 0.0,
            report=read_report(values[7], fields),
        )
    if name == "PROBED":
        lag = _optional_number(values[0], "lag_ms") or 0.0
        verdict: Ending = _convert(ENDINGS.__getitem__, values[1], "verdict")
        report = read_report(values[3], fields)
        return ProbeEnded(values[2], verdict, verdict is Ending.DELIVERED and lag == 0.0, lag, report)
    if name == "CANCELLED_BY_CLIENT":
        return CallerGone(_integer(values[0], "ref"))
    if name == "WAKE":
        return TimerDue(_integer(values[0], "token"))
    body: bytes = _convert(bytes.fromhex, "" if values[1] == "-" else values[1], "body")
    return PeerMessage(_integer(values[0], "who"), body)


def write_action(action: Action) -> str:
    """Format an action as a line of the wire format."""
    match action:
        case SendSetUp():
            return f"PLACE {action.ref} {action.server} {action.patience:.3f}"
        case Refuse():
            return f"NOT_NOW {action.ref} {action.hold_off:.3f}"
        case Fail():
            return f"END_FAILED {action.ref}"
        case CancelAttempt():
            return f"CANCEL {action.ref} {action.attempt}"
        case SetTimer():
            return f"WAKE_ME {action.token} {action.delay:.3f}"
        case Probe():
            return f"TOUCH {action.server}"
        case TellPeer():
            return f"SIGNAL {action.peer} {action.body.hex() or '-'}"
        case FollowList():
            return "KEEP_INFORMED 1"
        case Note():
            return "PRINT " + " ".join(action.text.split())


class Host:
    """All instances of this process; they share only the connection to the simulator."""

    def __init__(self) -> None:
        self.instances: dict[int, tuple[Controller, tuple[str, ...]]] = {}
        self.server_lists: dict[int, tuple[ServerEntry, ...]] = {}

    def batch(self, now: float, lines: list[tuple[int, str]]) -> Iterable[str]:
        """Process one batch and yield the reply lines; ``lines`` have numbers for error messages."""
        replies_by_proxy: dict[int, list[str]] = {}
        current: int | None = None
        position = 0
        while position < len(lines):
            number, line = lines[position]
            position += 1
            try:
                name, values = split_line(line)
                if name == "CATALOG":
                    sheet, count = _integer(values[0], "sheet"), _integer(values[1], "members")
                    if count < 0 or position + count > len(lines):
                        raise WireError("CATALOG: fewer SERVER lines than it announces")
                    rows: list[ServerEntry] = []
                    for number, line in lines[position : position + count]:  # noqa: B007 (for messages below)
                        inner, entry = split_line(line)
                        if inner != "SERVER":
                            raise WireError(f"{inner}: a SERVER line was expected")
                        rows.append(read_server(entry))
                    position += count
                    self.server_lists[sheet] = tuple(rows)
                elif name == "FOR":
                    current = _integer(values[0], "proxy")
                elif name in ("SERVER", "BATCH", "END"):
                    raise WireError(f"{name}: not expected here")
                elif current is None:
                    raise WireError(f"{name}: no FOR line names its instance")
                elif name == "RETIRE":
                    self._instance(current, name)
                    del self.instances[current]
                    replies_by_proxy.pop(current, None)  # discards its replies in this batch as well
                else:
                    replies_by_proxy.setdefault(current, []).extend(
                        self._handle_event(now, current, name, values)
                    )
            except WireError as error:
                raise WireError(f"line {number}: {error}") from None
        for proxy, replies in replies_by_proxy.items():
            if replies:
                yield f"SOURCE {proxy}"
                yield from replies

    def _handle_event(self, now: float, proxy: int, name: str, values: list[str]) -> list[str]:
        if name == "CREATE":
            fields = tuple(_report_fields(values[1]))
            try:
                settings = read_settings(values[1])
            except SettingsError as error:
                raise WireError(f"profile_data: {error}") from None
            self.instances[proxy] = (Controller(settings, _integer(values[0], "prng")), fields)
            return []
        controller, fields = self._instance(proxy, name)
        event = self._server_list(values) if name == "MEMBERSHIP" else read_event(name, values, fields)
        if isinstance(event, SetUpOffered) and event.call_class not in controller.classes:
            raise WireError(f"lane: {event.call_class!r} is not a class")
        return [write_action(action) for action in controller.handle(now, event)]

    def _instance(self, proxy: int, name: str) -> tuple[Controller, tuple[str, ...]]:
        if proxy not in self.instances:
            raise WireError(f"{name}: instance {proxy} was never created")
        return self.instances[proxy]

    def _server_list(self, values: list[str]) -> ServerList:
        kind: ListKind = _convert(LIST_KINDS.__getitem__, values[0], "how")
        if kind is ListKind.FAILED:
            return ServerList(kind, ())
        sheet = _integer(values[2], "sheet")
        if sheet not in self.server_lists:
            raise WireError(f"MEMBERSHIP: no CATALOG {sheet} was given")
        return ServerList(kind, self.server_lists[sheet])


def _report_fields(text: str) -> Iterable[str]:
    try:
        return [str(name) for name in json.loads(text)["feedback"]["fields"]]
    except (ValueError, KeyError, TypeError):
        raise WireError("profile_data: feedback.fields is missing or not valid") from None


def split_line(line: str) -> tuple[str, list[str]]:
    """Split a line into its message name and values and check their count; CREATE's text is one value."""
    name, _, rest = line.partition(" ")
    if name not in VALUE_COUNTS:
        raise WireError(f"unknown message {name!r}")
    count = VALUE_COUNTS[name]
    values = rest.split(" ", 1) if name == "CREATE" else rest.split(" ") if rest else []
    if len(values) != count:
        raise WireError(f"{name}: {count} values expected, {len(values)} found")
    return name, values


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the end of input; raises WireError."""
    host = Host()
    number = 0
    lines: list[tuple[int, str]] = []
    now: float | None = None
    for raw in source:
        number += 1
        line = raw.rstrip("\n")
        if now is None:
            if line == "":
                continue
            try:
                name, values = split_line(line)
                if name != "BATCH":
                    raise WireError(f"{name}: a BATCH line was expected")
                now = _required_number(values[0], "time_ms")
            except WireError as error:
                raise WireError(f"line {number}: {error}") from None
        elif line == "END":
            for reply in host.batch(now, lines):
                sink.write(reply + "\n")
            sink.write("READY\n")
            sink.flush()
            lines, now = [], None
        else:
            lines.append((number, line))
    if now is not None:
        raise WireError(f"line {number}: input ended inside a batch")


def main() -> int:
    """Run on standard input and output; return 0 at the end of input, 1 after an error message."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"martentide: {error}", file=sys.stderr)
        return 1
    except Exception as error:
        print(f"martentide: the decisions failed: {error!r}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
