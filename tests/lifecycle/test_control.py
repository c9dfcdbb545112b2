"""Parsing of operator calls: a table of requests, and a valid call split and truncated at every byte."""

from __future__ import annotations

import pytest

from martentide.codec.control import MAX_BODY_BYTES, MAX_HEADER_BYTES, ControlCall, Refused, Request
from martentide.lifecycle.calls import IN_SERVICE, OUT_OF_SERVICE, READY

VALID = b"POST /control/out-of-service HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"GET /control/ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"GET http://a/control/ready HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"HEAD /control/ready HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"GET /control/ready HTTP/1.0\r\n\r\n", Request(READY)),
        (VALID, Request(OUT_OF_SERVICE)),
        (b"POST /control/in-service HTTP/1.1\r\nHost: a\r\n\r\n", Request(IN_SERVICE)),
        (
            b"POST /control/in-service HTTP/1.1\r\nHost: a\r\n"
            b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n",
            Request(IN_SERVICE),
        ),
        (b"GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\nGET /control/ready", Request(READY)),
        (b"GET /control HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"GET //[ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /control/in-service HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"POST /control/ready HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /control/ready HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"\x16\x03\x01 noise\r\n\r\n", 400),
        (b"GET /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n", 400),
        (b"GET /" + b"x" * MAX_HEADER_BYTES, 431),
        (
            b"POST /control/in-service HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + b"x" * 99999,
            413,
        ),
    ],
)
def test_call_is_parsed_or_refused(sent: bytes, expected: Request | int) -> None:
    found = ControlCall().feed(sent)
    assert (found.status if isinstance(found, Refused) else found) == expected


def test_wrong_method_is_answered_with_the_allowed_ones() -> None:
    call = ControlCall()
    refused = call.feed(b"PUT /control/in-service HTTP/1.1\r\nHost: a\r\n\r\n")
    assert isinstance(refused, Refused)
    answer = call.answer(refused.status, refused.text, refused.allow)
    assert answer.startswith(b"HTTP/1.1 405 ") and b"\r\nAllow: POST\r\n" in answer


def test_valid_call_split_anywhere_is_parsed_alike() -> None:
    for cut in range(1, len(VALID)):
        call = ControlCall()
        assert call.feed(VALID[:cut]) is None
        assert call.feed(VALID[cut:]) == Request(OUT_OF_SERVICE)
    call = ControlCall()
    results = [call.feed(VALID[at : at + 1]) for at in range(len(VALID))]
    assert results == [None] * (len(VALID) - 1) + [Request(OUT_OF_SERVICE)]


def test_truncated_call_is_refused() -> None:
    for cut in range(1, len(VALID)):
        call = ControlCall()
        call.feed(VALID[:cut])
        ended = call.feed(b"")
        assert isinstance(ended, Refused) and ended.status == 400
        assert call.answer(ended.status, ended.text).startswith(b"HTTP/1.1 400 ")


def test_chunked_body_is_limited_too() -> None:
    call = ControlCall()
    call.feed(b"POST /control/in-service HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"100\r\n" + b"x" * 256 + b"\r\n"
    results = [call.feed(chunk) for _ in range(MAX_BODY_BYTES // 256 + 1)]
    assert results[:-1] == [None] * (MAX_BODY_BYTES // 256)
    assert isinstance(results[-1], Refused) and results[-1].status == 413


def test_answer_closes_the_connection_and_has_no_body_for_head() -> None:
    call = ControlCall()
    call.feed(b"HEAD /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    answer = call.answer(200, "ready")
    assert b"\r\nConnection: close\r\n" in answer and answer.endswith(b"\r\n\r\n")
