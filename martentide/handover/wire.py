"""JSON frames between the old and the new process of an upgrade; descriptors are passed alongside.

A frame is ``[KIND, {field: value}]``, with bytes in hexadecimal. A process of another version is rejected in
the handshake, so a frame that can't be decoded is an error and closes the channel.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

VERSION = 1
MAX_FRAME_BYTES = 128 * 1024
MAX_CALLS_PER_FRAME = 1000  # calls listed in one frame


class HandoverError(ValueError):
    """A frame that can't be decoded."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The new process asks to take over the address ``listen`` under ``name``."""

    version: int
    name: str
    listen: str


@dataclass(frozen=True, slots=True)
class Welcome:
    """The old process accepts the request; the listening socket is passed alongside.

    ``links`` is the number of callers' connections that the old process holds.
    """

    links: int


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The old process rejects the request, with a human-readable reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class Take:
    """The new process is ready to accept connections."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The old process has stopped accepting connections; the new one may start."""


@dataclass(frozen=True, slots=True)
class GiveBack:
    """The new process was told to end and has stopped accepting connections; the old one may resume."""


@dataclass(frozen=True, slots=True)
class Moving:
    """The old process was told to end; its share of the traffic to cold servers goes to the new process."""


@dataclass(frozen=True, slots=True)
class MovedCalls:
    """Standing calls of a calling host without a connection, and its pending releases as (call, message)."""

    host: str
    standing: tuple[bytes, ...]
    owed: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class MovedLink:
    """A caller's connection, whose descriptor is passed alongside, and the calls on it.

    ``begun`` holds the bytes read of an incomplete message. ``mute`` is set if nothing on the connection has
    been answered yet. ``stood`` counts the calls on it that have become standing calls.
    """

    host: str
    port: int
    begun: bytes
    mute: bool
    stood: int
    open: tuple[bytes, ...]
    standing: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Said:
    """A message from the old process to a caller whose connection it has handed over.

    ``stands`` is set if the message is an answer, after which the call is a standing call.
    """

    host: str
    call: bytes
    message: bytes
    stands: bool


@dataclass(frozen=True, slots=True)
class Left:
    """A caller gave up or ended a call that the old process handles, or the caller is gone."""

    host: str
    call: bytes


Frame = Hello | Welcome | TurnedAway | Take | Taken | GiveBack | Moving | MovedCalls | MovedLink | Said | Left
FRAME_TYPES: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (Hello, Welcome, TurnedAway, Take, Taken, GiveBack, Moving, MovedCalls, MovedLink, Said, Left)
}


def _to_json(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    return [_to_json(one) for one in value] if isinstance(value, tuple) else value


def write_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    values = {field.name: _to_json(getattr(frame, field.name)) for field in fields(frame)}
    return json.dumps([type(frame).__name__, values], separators=(",", ":")).encode("ascii")


def _require_type(kind: type[Any]) -> Callable[[Any], Any]:
    def read(value: Any) -> Any:
        if type(value) is not kind:
            raise ValueError(f"expected {kind.__name__}, found {value!r:.40}")
        return value

    return read


def _read_calls(value: Any) -> tuple[bytes, ...]:
    return tuple(bytes.fromhex(one) for one in _require_type(list)(value))


def _read_call_messages(value: Any) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (bytes.fromhex(call), bytes.fromhex(message)) for call, message in _require_type(list)(value)
    )


FIELD_READERS: dict[str, Callable[[Any], Any]] = {
    "int": _require_type(int),
    "str": _require_type(str),
    "bool": _require_type(bool),
    "bytes": lambda value: bytes.fromhex(_require_type(str)(value)),
    "tuple[bytes, ...]": _read_calls,
    "tuple[tuple[bytes, bytes], ...]": _read_call_messages,
}


def read_frame(raw: bytes) -> Frame:
    """Decode a frame. Raises HandoverError."""
    try:
        name, values = json.loads(raw)
        kind = FRAME_TYPES[name]
        expected = {field.name: str(field.type) for field in fields(kind)}
        if values.keys() != expected.keys():
            raise ValueError(f"expected the fields {', '.join(expected) or 'none'}")
        frame: Frame = kind(**{name: FIELD_READERS[what](values[name]) for name, what in expected.items()})
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise HandoverError(f"invalid frame: {error}") from None
    return frame
