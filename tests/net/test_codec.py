"""Table-driven tests of the parsers and encoders."""

from __future__ import annotations

import pytest

from martentide.codec import CodecError
from martentide.codec.discovery import frame_length, read_frame, read_known
from martentide.codec.figures import read_figures, read_first_choice, read_report
from martentide.codec.messages import (
    MAX_MESSAGE_BYTES,
    Code,
    Message,
    Type,
    body_length,
    read_message,
    split,
    write_message,
    write_release,
)
from martentide.interface import Report, ServerState
from tests.net.support import endpoint, frame

CALL = bytes.fromhex("0123456789abcdef")
ZONES = ("east", "west")


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x01" + CALL, Message(1, CALL, {})),
        (b"\x0c" + CALL + b"\x9d\0\x01\x10", Message(12, CALL, {157: b"\x10"})),
        (b"\xfe" + CALL + b"\x01\0\0", Message(254, CALL, {1: b""})),  # unknown types and codes are forwarded
        (b"\x09" + CALL + b"\x9f\0\x01a\x9f\0\x01b", Message(9, CALL, {159: b"a"})),
    ],
)
def test_messages_are_read(data: bytes, message: Message) -> None:
    assert read_message(data) == message


@pytest.mark.parametrize(
    "data", [b"", b"\x01" + CALL[:7], b"\x01" + CALL + b"\x81", b"\x01" + CALL + b"\x81\0\x02a"]
)
def test_truncated_messages_are_malformed(data: bytes) -> None:
    with pytest.raises(CodecError):
        read_message(data)


@pytest.mark.parametrize(
    ("length", "good"), [(8, False), (9, True), (MAX_MESSAGE_BYTES - 2, True), (MAX_MESSAGE_BYTES, False)]
)
def test_message_length_outside_the_limits_is_malformed(length: int, good: bool) -> None:
    if good:
        assert body_length(length.to_bytes(2, "big")) == length
    else:
        with pytest.raises(CodecError):
            body_length(length.to_bytes(2, "big"))


def test_written_messages_are_read_back_unchanged() -> None:
    data = write_message(1, CALL, {Code.CLASS: b"voice", Code.DESCRIPTION: b"\0\xff"})
    assert body_length(data[:2]) == len(data) - 2
    assert read_message(data[2:]) == Message(1, CALL, {129: b"voice", 159: b"\0\xff"})
    with pytest.raises(CodecError):
        write_message(1, CALL, {Code.DESCRIPTION: bytes(MAX_MESSAGE_BYTES)})


@pytest.mark.parametrize(("hold_off", "text"), [(0.0, None), (250.0, "250"), (0.2, "1")])
def test_releases_carry_the_hold_off(hold_off: float, text: str | None) -> None:
    message = read_message(write_release(CALL, 42, hold_off)[2:])
    assert (message.cause(), message.text(Code.HOLD_OFF)) == (42, text)


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("x0:12;x1:40;eps:0.25", Report(12.0, 0.25, None)),
        ("spare:12;total:40;cut_by:0.25;mean_ms:7", Report(12.0, 0.25, 7.0)),
        ("x0:0;x1:40;eps:-1", Report(0.0, None, None)),
        ("queue:3", None),
        ("", None),
    ],
)
def test_reports_are_read(text: str, report: Report | None) -> None:
    assert read_report(text) == report


@pytest.mark.parametrize("text", ["x0", "x0:", ":1", "x0:a", "x0:inf", "x0:nan"])
def test_invalid_figures_are_malformed(text: str) -> None:
    with pytest.raises(CodecError):
        read_figures(text)


@pytest.mark.parametrize(("text", "place"), [("dest:2;width:1;via:-1", 2), ("width:1;again:1", -1), ("", -1)])
def test_first_choices_are_read(text: str, place: int) -> None:
    assert read_first_choice(text) == place


@pytest.mark.parametrize("text", ["dest:-3;width:1", "dest:0.5", "dest:1;width:0", "dest:nan", "dest:x"])
def test_invalid_first_choices_are_malformed(text: str) -> None:
    with pytest.raises(CodecError):
        read_first_choice(text)


def test_complete_messages_are_split_off_also_before_an_invalid_one() -> None:
    message = write_message(Type.TEST, bytes(8))
    received = bytearray(message + message[:5])
    assert list(split(received)) == [message[2:]] and bytes(received) == message[:5]
    received += message[5:] + b"\xff\xff"
    bodies = split(received)
    assert next(bodies) == message[2:]
    with pytest.raises(CodecError):
        next(bodies)


@pytest.mark.parametrize(
    ("kind", "state", "whole", "expected_state"),
    [(1, 0, True, ServerState.OPEN), (2, 1, False, ServerState.DRAINING), (2, 2, False, ServerState.GONE)],
)
def test_frames_are_read(kind: int, state: int, whole: bool, expected_state: ServerState) -> None:
    data = frame(41, kind, (7, 5080, state))
    assert frame_length(data[:4]) == len(data) - 4
    notice = read_frame(data[4:], ZONES)
    assert notice is not None and (notice.number, notice.whole) == (41, whole)
    [listed] = notice.servers
    assert (listed.entry.name, listed.host, listed.port) == ("s-00000007", "127.0.0.1", 5080)
    assert (listed.entry.state, listed.entry.place, listed.entry.size) == (expected_state, 7, 1.0)
    assert (listed.entry.zone, listed.entry.started) == ("east", None)


def test_frame_without_changes_is_no_notice_and_invalid_frames_are_malformed() -> None:
    assert read_frame(frame(41, 0)[4:], ZONES) is None
    with pytest.raises(CodecError):
        read_frame(frame(41, 2, (7, 5080, 0))[4:-1], ZONES)
    with pytest.raises(CodecError):
        read_frame(frame(41, 2, (7, 5080, 9))[4:], ZONES)
    with pytest.raises(CodecError):
        frame_length(b"\0\0\0\x08")


def test_known_notices_are_read() -> None:
    late = {**endpoint(7, 5080, "DRAINING"), "since_ms": 1700000000000}
    pool = {"index": 1, "snapshot": False, "endpoints": [late]}
    last, [notice] = read_known({"rev": 41, "notices": [{"rev": 41, "pool": pool}]})
    assert (last, notice.number, notice.whole) == (41, 41, False)
    assert notice.servers[0].entry.started == 1700000000000.0
    assert notice.servers[0].entry.state is ServerState.DRAINING


@pytest.mark.parametrize("raw", [None, {}, {"rev": "x", "notices": []}, {"rev": 1, "notices": [{"rev": 1}]}])
def test_error_about_an_invalid_known_list_names_the_key(raw: object) -> None:
    with pytest.raises(CodecError, match="known"):
        read_known(raw)
