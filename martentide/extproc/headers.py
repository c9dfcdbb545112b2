"""HTTP headers of Envoy's ext_proc: what is asked, what is answered, how a server's answer ends an attempt.

Pure; the messages are those of ``envoy.service.ext_proc.v3`` (Envoy's API, External Processing). The names of
the headers and the meaning of statuses are the operator's.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from envoy.config.core.v3 import base_pb2 as core
from envoy.service.ext_proc.v3 import external_processor_pb2 as ep
from envoy.type.v3 import http_status_pb2 as status

from martentide.extproc.messages import Failed, Refused, Route, Why
from martentide.extproc.wire import report_or_none
from martentide.interface import Ending, Report

MOST_VALUE = 256  # characters of a header that is read
BAD_REQUEST = 400
WHY = "x-martentide-why"
RETRY_AFTER_MS = "x-martentide-retry-after-ms"
DIGITS = 9  # of a number in a header


class Names(Protocol):
    """The operator's names of headers."""

    @property
    def call_class(self) -> str: ...
    @property
    def deadline_ms(self) -> str: ...
    @property
    def number(self) -> str: ...
    @property
    def first_choice(self) -> str: ...
    @property
    def report(self) -> str: ...
    @property
    def server(self) -> str: ...
    @property
    def patience_ms(self) -> str: ...
    @property
    def attempt(self) -> str: ...


class Statuses(Protocol):
    @property
    def full(self) -> int: ...
    @property
    def timed_out(self) -> int: ...
    @property
    def unreachable(self) -> int: ...
    @property
    def refusal(self) -> int: ...
    @property
    def failure(self) -> int: ...


class HeaderError(ValueError):
    """A header can't be read; the text names it, what was found and what was expected."""


@dataclass(frozen=True, slots=True)
class Asked:
    call_class: str
    number: str | None
    time_left: float | None
    first_choice: int


def read_map(headers: Any) -> dict[str, bytes]:
    """Names in lower case and values as the bytes that came; the first of a name counts."""
    found: dict[str, bytes] = {}
    for header in headers.headers:
        found.setdefault(header.key.lower(), header.raw_value or header.value.encode("utf-8"))
    return found


def text_of(found: Mapping[str, bytes], name: str) -> str | None:
    value = found.get(name)
    if value is None:
        return None
    if len(value) > MOST_VALUE:
        raise HeaderError(f"{name}: {len(value)} bytes, expected {MOST_VALUE} at most")
    try:
        return value.decode("utf-8").strip()
    except UnicodeDecodeError:
        raise HeaderError(f"{name}: {value[:32]!r} is not UTF-8") from None


def number_of(found: Mapping[str, bytes], name: str) -> int | None:
    text = text_of(found, name)
    if text is None or text == "":
        return None
    digits = text[1:] if text[0] == "-" else text
    if not (digits.isascii() and digits.isdecimal()):
        raise HeaderError(f"{name}: {text[:32]!r}, expected a whole number")
    return int(text) if len(digits) <= DIGITS else (10**DIGITS if text[0] != "-" else -(10**DIGITS))


def read_ask(headers: Any, names: Names) -> Asked:
    """What the request headers ask; raises HeaderError."""
    found = read_map(headers)
    call_class = text_of(found, names.call_class)
    if not call_class:
        raise HeaderError(f"{names.call_class}: missing, expected the name of a class")
    left = number_of(found, names.deadline_ms)
    if left is not None and left < 0:
        raise HeaderError(f"{names.deadline_ms}: {left}, expected 0 or more")
    choice = number_of(found, names.first_choice)
    return Asked(
        call_class=call_class,
        number=text_of(found, names.number) or None,
        time_left=None if left is None else float(left),
        first_choice=-1 if choice is None else max(-1, choice),
    )


def read_outcome(headers: Any, names: Names, statuses: Statuses) -> tuple[Ending | None, Report | None]:
    """How the response headers end an attempt (None: it stands), and the load report they carry."""
    found = read_map(headers)
    report = report_or_none(found.get(names.report, b"").decode("utf-8", "replace"))
    code = found.get(":status", b"").decode("ascii", "replace")
    number = int(code) if code.isdecimal() and len(code) == 3 else 0
    if 100 <= number < 400:
        return None, report
    ends = {
        statuses.timed_out: Ending.TIMED_OUT,
        statuses.unreachable: Ending.UNREACHABLE,
        statuses.full: Ending.FULL,
    }
    return ends.get(number, Ending.ERROR), report


def _option(name: str, value: str) -> core.HeaderValueOption:
    return core.HeaderValueOption(
        header=core.HeaderValue(key=name, raw_value=value.encode("utf-8")),
        append_action=core.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD,
    )


def write_route(route: Route, names: Names) -> ep.ProcessingResponse:
    """Request headers changed: where to, for how long, which attempt."""
    mutation = ep.HeaderMutation(
        set_headers=[
            _option(names.server, route.address),
            _option(names.patience_ms, str(max(1, int(route.patience)))),
            _option(names.attempt, str(route.attempt)),
        ]
    )
    common = ep.CommonResponse(header_mutation=mutation, clear_route_cache=True)
    return ep.ProcessingResponse(request_headers=ep.HeadersResponse(response=common))


def write_final(final: Refused | Failed, statuses: Statuses) -> ep.ProcessingResponse:
    """An immediate response to the caller: refused or failed, with why and when to come back."""
    if final.why in (Why.BAD_REQUEST, Why.UNKNOWN_CLASS):
        return write_bad_request(final.why.value)
    code = statuses.failure
    headers = [_option(WHY, final.why.value)]
    if isinstance(final, Refused):
        code = statuses.refusal
        headers += _retry_after(final)
    return ep.ProcessingResponse(
        immediate_response=ep.ImmediateResponse(
            status=status.HttpStatus(code=code),
            headers=ep.HeaderMutation(set_headers=headers),
            details=f"martentide_{final.why.value}",
        )
    )


def _retry_after(final: Refused) -> list[core.HeaderValueOption]:
    """Retry-After counts whole seconds (RFC 9110, 10.2.3); the exact time stands beside it."""
    if final.retry_after <= 0:
        return []
    return [
        _option("retry-after", str(math.ceil(final.retry_after / 1000.0))),
        _option(RETRY_AFTER_MS, str(math.ceil(final.retry_after))),
    ]


def write_bad_request(detail: str) -> ep.ProcessingResponse:
    return ep.ProcessingResponse(
        immediate_response=ep.ImmediateResponse(
            status=status.HttpStatus(code=BAD_REQUEST),
            headers=ep.HeaderMutation(set_headers=[_option(WHY, Why.BAD_REQUEST.value)]),
            body=detail.encode("utf-8"),
            details="martentide_bad_request",
        )
    )


def write_passed(final: Refused | Failed | None) -> ep.ProcessingResponse:
    """Response headers go on; an attempt that ended without standing says why."""
    common = ep.CommonResponse()
    if final is not None:
        options = [_option(WHY, final.why.value)]
        if isinstance(final, Refused):
            options += _retry_after(final)
        common = ep.CommonResponse(header_mutation=ep.HeaderMutation(set_headers=options))
    return ep.ProcessingResponse(response_headers=ep.HeadersResponse(response=common))


def write_continue(kind: str) -> ep.ProcessingResponse | None:
    """What concerns no decision goes on as it is; None for kinds that have no answer."""
    empty = ep.CommonResponse()
    match kind:
        case "request_headers" | "response_headers":
            return ep.ProcessingResponse(**{kind: ep.HeadersResponse(response=empty)})
        case "request_body" | "response_body":
            return ep.ProcessingResponse(**{kind: ep.BodyResponse(response=empty)})
        case "request_trailers" | "response_trailers":
            return ep.ProcessingResponse(**{kind: ep.TrailersResponse()})
    return None
