"""Signalling messages: length, type, call id and parameters.

    message   = length:2 type:1 call:8 parameters      length counts the bytes after it; big-endian
    parameter = code:1 length:2 value

Parameter values stay uninterpreted bytes; unknown types and codes are forwarded, never refused.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from martentide.codec import CodecError

MAX_MESSAGE_BYTES = 16 * 1024  # of one message
MAX_PARAMETERS = 64  # of one message; each is parsed before any other connection gets its turn
HEAD = struct.Struct(">HB8s")
PARAMETER = struct.Struct(">BH")
ID_BYTES = 8
LENGTH_BYTES = 2
MIN_LENGTH = HEAD.size - LENGTH_BYTES


class Type(IntEnum):
    """Message types."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_ACK = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


class Code(IntEnum):
    """Parameter codes."""

    CLASS = 129
    TIME_LEFT = 131
    NUMBER = 137
    FIGURES = 139
    HOLD_OFF = 141
    NOTE = 143
    REPORT = 147
    CAUSE = 157
    DESCRIPTION = 159


class Cause(IntEnum):
    """Values of the cause parameter, named after ITU-T Q.850."""

    NORMAL = 16
    USER_BUSY = 17
    NO_CIRCUIT = 34
    TEMPORARY_FAILURE = 41
    CONGESTION = 42
    RESOURCE_UNAVAILABLE = 47
    INVALID_CONTENTS = 100
    TIMER_EXPIRY = 102


@dataclass(frozen=True, slots=True)
class Message:
    """One message; ``parameters`` maps each code to its first value."""

    type: int
    call: bytes
    parameters: dict[int, bytes]

    def text(self, code: Code) -> str | None:
        """Return a parameter as text; None if it is absent or not ASCII."""
        value = self.parameters.get(code)
        if value is None or not value.isascii():
            return None
        return value.decode("ascii")

    def cause(self) -> int | None:
        """Return the cause value; None if absent or malformed."""
        value = self.parameters.get(Code.CAUSE)
        return value[0] if value is not None and len(value) == 1 else None


def body_length(head: bytes | bytearray) -> int:
    """Return how many bytes follow the length field. Raises CodecError if out of range."""
    length = int.from_bytes(head, "big")
    if not MIN_LENGTH <= length <= MAX_MESSAGE_BYTES - 2:
        raise CodecError(f"invalid message length: {length} bytes")
    return length


def split(buffer: bytearray) -> Iterator[bytes]:
    """Remove and yield complete messages without their length fields; an incomplete one stays buffered."""
    while len(buffer) >= 2:
        end = 2 + body_length(buffer[:2])
        if len(buffer) < end:
            return
        body = bytes(buffer[2:end])
        del buffer[:end]
        yield body


def read_type(part: bytes | bytearray) -> int | None:
    """Return the type of a message that is still incomplete, or None if it has not arrived yet."""
    return part[LENGTH_BYTES] if len(part) > LENGTH_BYTES else None


def read_message(body: bytes) -> Message:
    """Parse a message without its length field. Raises CodecError."""
    if len(body) < MIN_LENGTH:
        raise CodecError(f"message too short: {len(body)} bytes")
    kind, call = body[0], body[1:MIN_LENGTH]
    parameters: dict[int, bytes] = {}
    offset, count = MIN_LENGTH, 0
    while offset < len(body):
        count += 1
        if count > MAX_PARAMETERS:
            raise CodecError(f"more than {MAX_PARAMETERS} parameters")
        if offset + PARAMETER.size > len(body):
            raise CodecError("truncated parameter header")
        code, length = PARAMETER.unpack_from(body, offset)
        offset += PARAMETER.size
        if offset + length > len(body):
            raise CodecError(f"parameter {code} is truncated")
        parameters.setdefault(code, body[offset : offset + length])
        offset += length
    return Message(kind, call, parameters)


def write_message(kind: int, call: bytes, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encode a complete message, including its length. Raises CodecError if it is too long."""
    parts = [PARAMETER.pack(code, len(value)) + value for code, value in (parameters or {}).items()]
    body = b"".join(parts)
    if MIN_LENGTH + len(body) > MAX_MESSAGE_BYTES - 2:
        raise CodecError(f"message too long: {MIN_LENGTH + len(body)} bytes")
    return HEAD.pack(MIN_LENGTH + len(body), kind, call) + body


def write_release(call: bytes, cause: int, hold_off: float = 0.0) -> bytes:
    """Encode a release; ``hold_off`` is sent in whole milliseconds, rounded up."""
    parameters: dict[int, bytes] = {Code.CAUSE: bytes((cause,))}
    if hold_off > 0:
        parameters[Code.HOLD_OFF] = str(-int(-hold_off // 1)).encode("ascii")
    return write_message(Type.RELEASE, call, parameters)
