"""Frames and headers: decoding, rejection of malformed input, and round trips."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest
from envoy.config.core.v3 import base_pb2 as core

from martentide.codec import CodecError
from martentide.decisions.v1 import decisions_pb2 as pb
from martentide.extproc import headers
from martentide.extproc.messages import (
    Ask,
    Cancel,
    Cancelled,
    Failed,
    Outcome,
    Over,
    Refused,
    Release,
    Route,
    Standing,
    Why,
    Withdrawn,
)
from martentide.extproc.wire import (
    decode_front_message,
    decode_proxy_message,
    encode_front_message,
    encode_proxy_message,
)
from martentide.extras import HeadersNode, StatusNode
from martentide.interface import Ending, Report

RECEIVED_AT = 50_000.0


@pytest.mark.parametrize(
    "message",
    [
        Ask(7, "plain", "n", 3000.0, 2, RECEIVED_AT),
        Ask(7, "plain", None, None, -1, RECEIVED_AT),
        *(Outcome(7, 3, ending, 12.0) for ending in (None, *Ending) if ending is not Ending.DELIVERED),
        Cancel(2**63),
        Over(7, cut=True),
    ],
)
def test_front_messages_survive_encoding_and_decoding(message: Any) -> None:
    raw = pb.FrontMessage.FromString(encode_front_message(message).SerializeToString())
    read = decode_front_message(raw, RECEIVED_AT)
    assert (dataclasses.replace(read, received_at=None) if isinstance(read, Ask) else read) == message


@pytest.mark.parametrize(
    "message",
    [
        Route(7, 1, "s-1", "127.0.0.1:1", "east", 800.0, 750.0, held=True, waited=1.5),
        Refused(7, 250.0, Why.FRONT_RATE, waited=0.25),
        Failed(7, Why.DECIDED, held=True),
        Cancelled(7),
        Standing(7),
        Withdrawn(7, 2, True, Why.DRAINING),
        Release(7, Why.SERVER_GONE),
    ],
)
def test_proxy_messages_survive_encoding_and_decoding(message: Any) -> None:
    raw = pb.ProxyMessage.FromString(encode_proxy_message(message).SerializeToString())
    assert decode_proxy_message(raw) == message


@pytest.mark.parametrize(
    ("sent", "at"),
    [
        (RECEIVED_AT - 500.0, RECEIVED_AT - 500.0),
        (RECEIVED_AT + 1.0, RECEIVED_AT),
        (RECEIVED_AT - 10_001.0, RECEIVED_AT),
        (None, RECEIVED_AT),
    ],
)
def test_time_left_counts_from_the_send_time_if_it_is_plausible(sent: float | None, at: float) -> None:
    read = decode_front_message(
        encode_front_message(Ask(1, "plain", None, 10.0, -1, 0.0), sent=sent), RECEIVED_AT
    )
    assert isinstance(read, Ask) and read.at == at


@pytest.mark.parametrize(
    "raw",
    [
        pb.FrontMessage(),
        pb.FrontMessage(hello=pb.Hello()),
        pb.FrontMessage(outcome=pb.Outcome(request=1)),
        pb.FrontMessage(ask=pb.Ask(request=1, call_class="x" * 257)),
    ],
)
def test_invalid_front_messages_are_rejected(raw: pb.FrontMessage) -> None:
    with pytest.raises(CodecError):
        decode_front_message(raw, RECEIVED_AT)


@pytest.mark.parametrize("text", ["x0:", "x0:nan", "\x00", "y" * 300])
def test_unreadable_report_is_ignored_and_the_outcome_kept(text: str) -> None:
    raw = pb.FrontMessage(outcome=pb.Outcome(request=1, ending="STANDS", report=text))
    assert decode_front_message(raw, RECEIVED_AT) == Outcome(1, 0, None, 0.0, report=None)


@pytest.mark.parametrize(
    ("status", "ending"),
    [
        ("200", None),
        ("302", None),
        ("404", Ending.ERROR),
        ("500", Ending.ERROR),
        ("502", Ending.UNREACHABLE),
        ("503", Ending.FULL),
        ("504", Ending.TIMED_OUT),
        ("", Ending.ERROR),
        ("2000", Ending.ERROR),
    ],
)
def test_http_statuses_map_to_the_configured_endings(status: str, ending: Ending | None) -> None:
    values = [
        core.HeaderValue(key=":status", value=status),
        core.HeaderValue(key="X-Load-Report", raw_value=b"x0:3;eps:0.5"),
    ]
    read = headers.parse_outcome(core.HeaderMap(headers=values), HeadersNode(), StatusNode())
    assert read == (ending, Report(3.0, 0.5, None))
