"""HTTP headers of Envoy's ext_proc: parses questions and outcomes, builds the responses; no I/O.

The messages are those of ``envoy.service.ext_proc.v3`` (Envoy's API, External Processing). The operator
configures the names of the headers and the meaning of the status codes.
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

MAX_VALUE_BYTES = 256  # of a header that is parsed
BAD_REQUEST_STATUS = 400
REASON_HEADER = "x-martentide-why"
RETRY_AFTER_MS_HEADER = "x-martentide-retry-after-ms"
MAX_DIGITS = 9  # of a number in a header; larger values are clamped


class HeaderNames(Protocol):
    """The configured names of the headers."""

    @property
    def call_class(self) -> str:
        """Class of the call."""
        ...

    @property
    def deadline_ms(self) -> str:
        """Time left until the caller's deadline, in ms."""
        ...

    @property
    def number(self) -> str:
        """Called number."""
        ...

    @property
    def first_choice(self) -> str:
        """Number of the first-choice server."""
        ...

    @property
    def report(self) -> str:
        """Load report of the server, in the response."""
        ...

    @property
    def server(self) -> str:
        """Address of the server to route to."""
        ...

    @property
    def patience_ms(self) -> str:
        """Timeout of the attempt, in ms."""
        ...

    @property
    def attempt(self) -> str:
        """Number of the attempt."""
        ...


class StatusCodes(Protocol):
    """The configured HTTP status codes of attempt outcomes and of final verdicts."""

    @property
    def full(self) -> int:
        """The server is full."""
        ...

    @property
    def timed_out(self) -> int:
        """The attempt timed out."""
        ...

    @property
    def unreachable(self) -> int:
        """The server is unreachable."""
        ...

    @property
    def refusal(self) -> int:
        """Sent to the caller for a refusal."""
        ...

    @property
    def failure(self) -> int:
        """Sent to the caller for a failure."""
        ...


class HeaderError(ValueError):
    """A header can't be parsed; the text names the header, the value found and the value expected."""


@dataclass(frozen=True, slots=True)
class Question:
    """What the request headers ask for; ``time_left`` in ms."""

    call_class: str
    number: str | None
    time_left: float | None
    first_choice: int


def header_map(headers: Any) -> dict[str, bytes]:
    """Map lower-case header names to raw values; the first header of a name counts."""
    found: dict[str, bytes] = {}
    for header in headers.headers:
        found.setdefault(header.key.lower(), header.raw_value or header.value.encode("utf-8"))
    return found


def text_value(found: Mapping[str, bytes], name: str) -> str | None:
    """Value of a header as text, None if missing; raises HeaderError."""
    value = found.get(name)
    if value is None:
        return None
    if len(value) > MAX_VALUE_BYTES:
        raise HeaderError(f"{name}: {len(value)} bytes, expected {MAX_VALUE_BYTES} at most")
    try:
        return value.decode("utf-8").strip()
    except UnicodeDecodeError:
        raise HeaderError(f"{name}: {value[:32]!r} is not UTF-8") from None


def int_value(found: Mapping[str, bytes], name: str) -> int | None:
    """Value of a header as a whole number, None if missing or empty; raises HeaderError."""
    text = text_value(found, name)
    if text is None or text == "":
        return None
    digits = text[1:] if text[0] == "-" else text
    if not (digits.isascii() and digits.isdecimal()):
        raise HeaderError(f"{name}: {text[:32]!r}, expected a whole number")
    return (
        int(text) if len(digits) <= MAX_DIGITS else (10**MAX_DIGITS if text[0] != "-" else -(10**MAX_DIGITS))
    )


def parse_question(headers: Any, names: HeaderNames) -> Question:
    """Parse the question in the request headers; raises HeaderError."""
    found = header_map(headers)
    call_class = text_value(found, names.call_class)
    if not call_class:
        raise HeaderError(f"{names.call_class}: missing, expected the name of a class")
    time_left = int_value(found, names.deadline_ms)
    if time_left is not None and time_left < 0:
        raise HeaderError(f"{names.deadline_ms}: {time_left}, expected 0 or more")
    first_choice = int_value(found, names.first_choice)
    return Question(
        call_class=call_class,
        number=text_value(found, names.number) or None,
        time_left=None if time_left is None else float(time_left),
        first_choice=-1 if first_choice is None else max(-1, first_choice),
    )


def parse_outcome(
    headers: Any, names: HeaderNames, statuses: StatusCodes
) -> tuple[Ending | None, Report | None]:
    """Parse the response headers: how the attempt ended (None: the call stands), and the load report."""
    found = header_map(headers)
    report = report_or_none(found.get(names.report, b"").decode("utf-8", "replace"))
    code = found.get(":status", b"").decode("ascii", "replace")
    number = int(code) if code.isdecimal() and len(code) == 3 else 0
    if 100 <= number < 400:
        return None, report
    endings = {
        statuses.timed_out: Ending.TIMED_OUT,
        statuses.unreachable: Ending.UNREACHABLE,
        statuses.full: Ending.FULL,
    }
    return endings.get(number, Ending.ERROR), report


def _header_option(name: str, value: str) -> core.HeaderValueOption:
    return core.HeaderValueOption(
        header=core.HeaderValue(key=name, raw_value=value.encode("utf-8")),
        append_action=core.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD,
    )


def route_response(route: Route, names: HeaderNames) -> ep.ProcessingResponse:
    """Change the request headers to set the server's address, the timeout and the attempt's number."""
    mutation = ep.HeaderMutation(
        set_headers=[
            _header_option(names.server, route.address),
            _header_option(names.patience_ms, str(max(1, int(route.patience)))),
            _header_option(names.attempt, str(route.attempt)),
        ]
    )
    common = ep.CommonResponse(header_mutation=mutation, clear_route_cache=True)
    return ep.ProcessingResponse(request_headers=ep.HeadersResponse(response=common))


def final_response(final: Refused | Failed, statuses: StatusCodes) -> ep.ProcessingResponse:
    """Build the immediate response to the caller: refused or failed, with the reason and the retry time."""
    if final.why in (Why.BAD_REQUEST, Why.UNKNOWN_CLASS):
        return bad_request_response(final.why.value)
    code = statuses.failure
    headers = [_header_option(REASON_HEADER, final.why.value)]
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
    """Retry-After in whole seconds (RFC 9110, 10.2.3), and a second header with the time in ms."""
    if final.retry_after <= 0:
        return []
    return [
        _header_option("retry-after", str(math.ceil(final.retry_after / 1000.0))),
        _header_option(RETRY_AFTER_MS_HEADER, str(math.ceil(final.retry_after))),
    ]


def bad_request_response(detail: str) -> ep.ProcessingResponse:
    """Build the immediate response to a request that can't be parsed or has an unknown class."""
    return ep.ProcessingResponse(
        immediate_response=ep.ImmediateResponse(
            status=status.HttpStatus(code=BAD_REQUEST_STATUS),
            headers=ep.HeaderMutation(set_headers=[_header_option(REASON_HEADER, Why.BAD_REQUEST.value)]),
            body=detail.encode("utf-8"),
            details="martentide_bad_request",
        )
    )


def outcome_response(final: Refused | Failed | None) -> ep.ProcessingResponse:
    """Forward the response headers; if the attempt failed, add the reason of the final verdict."""
    common = ep.CommonResponse()
    if final is not None:
        options = [_header_option(REASON_HEADER, final.why.value)]
        if isinstance(final, Refused):
            options += _retry_after(final)
        common = ep.CommonResponse(header_mutation=ep.HeaderMutation(set_headers=options))
    return ep.ProcessingResponse(response_headers=ep.HeadersResponse(response=common))


def continue_response(kind: str) -> ep.ProcessingResponse | None:
    """Forward a message that concerns no decision unchanged; None for kinds that take no response."""
    empty = ep.CommonResponse()
    match kind:
        case "request_headers" | "response_headers":
            return ep.ProcessingResponse(**{kind: ep.HeadersResponse(response=empty)})
        case "request_body" | "response_body":
            return ep.ProcessingResponse(**{kind: ep.BodyResponse(response=empty)})
        case "request_trailers" | "response_trailers":
            return ep.ProcessingResponse(**{kind: ep.TrailersResponse()})
    return None
