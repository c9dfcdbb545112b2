"""Encoding and decoding of upgrade frames, and rejection of invalid ones."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.handover.wire import (
    Frame,
    GiveBack,
    HandoverError,
    Hello,
    Left,
    MovedCalls,
    MovedLink,
    Moving,
    Said,
    Take,
    Taken,
    TurnedAway,
    Welcome,
    read_frame,
    write_frame,
)

calls = st.lists(st.binary(min_size=8, max_size=8), max_size=3).map(tuple)
pairs = st.lists(st.tuples(st.binary(max_size=9), st.binary(max_size=9)), max_size=3).map(tuple)
frames: st.SearchStrategy[Frame] = st.one_of(
    st.builds(Hello, st.integers(), st.text(), st.text()),
    st.builds(Welcome, st.integers()),
    st.builds(TurnedAway, st.text()),
    st.sampled_from([Take(), Taken(), GiveBack(), Moving()]),
    st.builds(MovedCalls, st.text(), calls, pairs),
    st.builds(MovedLink, st.text(), st.integers(), st.binary(), st.booleans(), st.integers(), calls, calls),
    st.builds(Said, st.text(), st.binary(), st.binary(), st.booleans()),
    st.builds(Left, st.text(), st.binary()),
)


@settings(derandomize=True)
@given(frames)
def test_frames_round_trip(frame: Frame) -> None:
    assert read_frame(write_frame(frame)) == frame


@pytest.mark.parametrize(
    "raw",
    [
        b"", b"\0", b"{}", b"[]", b'["Take"]', b'["Nothing",{}]', b'["Take",{"more":1}]', b'["Welcome",{}]',
        b'["Welcome",{"links":"1"}]', b'["Welcome",{"links":true}]', b'["Left",{"host":"a","call":"0g"}]',
        b'["Left",{"host":"a","call":1}]', b'["MovedCalls",{"host":"a","standing":"00","owed":[]}]',
        b'["MovedCalls",{"host":"a","standing":[],"owed":[["00"]]}]', b'[["Take"],{}]', b"\xff\xfe",
    ],
)  # fmt: skip
def test_invalid_frames_are_rejected(raw: bytes) -> None:
    with pytest.raises(HandoverError):
        read_frame(raw)


@settings(derandomize=True)
@given(frames, st.data())
def test_truncated_frames_are_rejected(frame: Frame, data: st.DataObject) -> None:
    raw = write_frame(frame)
    with pytest.raises(HandoverError):
        read_frame(raw[: data.draw(st.integers(0, len(raw) - 1))])
