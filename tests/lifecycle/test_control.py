"""The operator's calls as bytes: one table, and a good call cut and split in every way."""

from __future__ import annotations

import pytest

from martentide.codec.control import MAX_BODY_BYTES, MAX_HEADER_BYTES, ControlCall, Refused, Request
from martentide.lifecycle.calls import IN_SERVICE, OUT_OF_SERVICE, READY

GOOD = b"POST /control/out-of-service HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


@pytest.mark.parametrize(
    ("sent", "said"),
    [
        (b"GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"GET /control/ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"GET http://a/control/ready HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"HEAD /control/ready HTTP/1.1\r\nHost: a\r\n\r\n", Request(READY)),
        (b"GET /control/ready HTTP/1.0\r\n\r\n", Request(READY)),
        (GOOD, Request(OUT_OF_SERVICE)),
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
def test_a_call_and_what_it_amounts_to(sent: bytes, said: Request | int) -> None:
    found = ControlCall().feed(sent)
    assert (found.status if isinstance(found, Refused) else found) == said


def test_the_methods_that_a_path_takes_are_named() -> None:
    call = ControlCall()
    refused = call.feed(b"PUT /control/in-service HTTP/1.1\r\nHost: a\r\n\r\n")
    assert isinstance(refused, Refused)
    answer = call.answer(refused.status, refused.text, refused.allow)
    assert answer.startswith(b"HTTP/1.1 405 ") and b"\r\nAllow: POST\r\n" in answer


def test_every_split_of_a_good_call_is_the_same_call() -> None:
    for cut in range(1, len(GOOD)):
        call = ControlCall()
        assert call.feed(GOOD[:cut]) is None
        assert call.feed(GOOD[cut:]) == Request(OUT_OF_SERVICE)
    call = ControlCall()
    said = [call.feed(GOOD[at : at + 1]) for at in range(len(GOOD))]
    assert said == [None] * (len(GOOD) - 1) + [Request(OUT_OF_SERVICE)]


def test_every_prefix_of_a_good_call_that_ends_there_is_turned_down() -> None:
    for cut in range(1, len(GOOD)):
        call = ControlCall()
        call.feed(GOOD[:cut])
        ended = call.feed(b"")
        assert isinstance(ended, Refused) and ended.status == 400
        assert call.answer(ended.status, ended.text).startswith(b"HTTP/1.1 400 ")


def test_a_body_in_many_parts_has_its_bound_too() -> None:
    call = ControlCall()
    call.feed(b"POST /control/in-service HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"100\r\n" + b"x" * 256 + b"\r\n"
    said = [call.feed(chunk) for _ in range(MAX_BODY_BYTES // 256 + 1)]
    assert said[:-1] == [None] * (MAX_BODY_BYTES // 256)
    assert isinstance(said[-1], Refused) and said[-1].status == 413


def test_an_answer_closes_the_connection_and_one_to_head_has_no_body() -> None:
    call = ControlCall()
    call.feed(b"HEAD /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    answer = call.answer(200, "ready")
    assert b"\r\nConnection: close\r\n" in answer and answer.endswith(b"\r\n\r\n")
