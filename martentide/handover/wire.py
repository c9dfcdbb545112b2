"""The frames between the old and the new process of an upgrade, as JSON; descriptors travel beside them.

A frame is ``[KIND, {field: value}]``. Bytes are hex. Another version is turned away before anything is handed
over, so a frame that can't be read is a fault and ends the channel.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

VERSION = 1
MAX_FRAME_BYTES = 128 * 1024  # bytes
MOST_RECORDS = 1000  # calls named in one frame


class HandoverError(ValueError):
    """A frame that the other process should not have sent."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The new process asks to take over the address ``listen`` under ``name``."""

    version: int
    name: str
    listen: str


@dataclass(frozen=True, slots=True)
class Welcome:
    """The listening socket comes beside this; ``links``: callers' connections that the old process holds."""

    links: int


@dataclass(frozen=True, slots=True)
class TurnedAway:
    reason: str


@dataclass(frozen=True, slots=True)
class Take:
    """The new process is ready to accept."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The old process accepts no more; the new one may."""


@dataclass(frozen=True, slots=True)
class GiveBack:
    """The new process is to end, and accepts no more; the old one may again."""


@dataclass(frozen=True, slots=True)
class Moving:
    """The old process was told to end: what it may still send is the new one's now."""


@dataclass(frozen=True, slots=True)
class MovedCalls:
    """Calls of a party without a link, all of which stand, and releases that it is owed, by call."""

    host: str
    standing: tuple[bytes, ...]
    owed: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class MovedLink:
    """A caller's connection, whose descriptor comes beside this, and the calls on it.

    ``begun``: what was read of a message that is not whole. ``mute``: nothing on it was answered yet.
    ``stood``: calls that have stood on it so far.
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
    """What the old process has to say to a caller whose connection it has handed over."""

    host: str
    call: bytes
    message: bytes
    stands: bool


@dataclass(frozen=True, slots=True)
class Left:
    """A caller gave a call up or ended it, or is gone; the call is the old process's."""

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
    """The frame; raises HandoverError."""
    try:
        name, values = json.loads(raw)
        kind = FRAME_TYPES[name]
        expected = {field.name: str(field.type) for field in fields(kind)}
        if values.keys() != expected.keys():
            raise ValueError(f"expected the fields {', '.join(expected) or 'none'}")
        frame: Frame = kind(**{name: FIELD_READERS[what](values[name]) for name, what in expected.items()})
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise HandoverError(f"a frame of another kind: {error}") from None
    return frame
