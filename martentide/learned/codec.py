"""File format of the learned state. Pure.

    file    = magic:8 format:2 schema:2 settings:16 sequence:8 saved:8 length:4 headsum:4 payload sum:4
    magic   = "MTLEARN\\n"; numbers are big-endian; saved is a Unix time in ms as a double
    headsum = CRC-32C of everything before it; sum = CRC-32C of the payload (polynomial: RFC 3720, B.4)
    payload = Learned as MessagePack

Another format or schema is refused. The header has its own checksum, so that a corrupted length is detected
before it is used.
"""

from __future__ import annotations

import hashlib
import struct
from enum import Enum

import crc32c
import msgspec

from martentide.interface import Settings
from martentide.learned.schema import MAX_REDIALS, MAX_SERVERS, SCHEMA_VERSION, Learned

MAGIC = b"MTLEARN\n"
FORMAT_VERSION = 1
HEADER = struct.Struct(">8sHH16sQdI")
CRC_FIELD = struct.Struct(">I")
HEADER_BYTES = HEADER.size + CRC_FIELD.size
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
MAX_FILE_BYTES = HEADER_BYTES + MAX_PAYLOAD_BYTES + CRC_FIELD.size

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Learned)


class Fault(Enum):
    """Reason for which a file is refused."""

    EMPTY = "empty"
    NOT_STATE = "not-state"
    OTHER_FORMAT = "other-format"
    OTHER_SCHEMA = "other-schema"
    OTHER_SETTINGS = "other-settings"
    CUT = "cut"
    TOO_LARGE = "too-large"
    TRAILING = "trailing-bytes"
    CHECKSUM = "checksum"
    PAYLOAD = "payload"


class StateError(ValueError):
    """An unusable file. ``fault`` is the reason code; the message is one line: found and expected values."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


def fingerprint(settings: Settings) -> bytes:
    """Return a hash of the settings on which the learned values depend; they mean nothing under others."""
    relevant_settings = [
        repr(
            sorted(
                (call_class.name, call_class.worth, call_class.aim, call_class.deadline, call_class.pools)
                for call_class in settings.classes
            )
        ),
        repr((settings.proxies, settings.own_place, settings.report_by.value, settings.repeat_interval)),
        repr((settings.cold_share, settings.cold_time, settings.fall_multiple, settings.fall_time)),
    ]
    return hashlib.sha256("\n".join(relevant_settings).encode()).digest()[:16]


def write_state(learned: Learned, settings_fingerprint: bytes) -> bytes:
    """Return the contents of a whole file. Raises StateError if it would be too large to be read back."""
    payload = _encoder.encode(learned)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise StateError(Fault.TOO_LARGE, f"{len(payload)} bytes, expected at most {MAX_PAYLOAD_BYTES}")
    head = HEADER.pack(
        MAGIC,
        FORMAT_VERSION,
        SCHEMA_VERSION,
        settings_fingerprint,
        learned.sequence,
        learned.saved_at,
        len(payload),
    )
    return b"".join(
        (head, CRC_FIELD.pack(crc32c.crc32c(head)), payload, CRC_FIELD.pack(crc32c.crc32c(payload)))
    )


def read_state(raw: bytes, settings_fingerprint: bytes | None) -> Learned:
    """Return the state in a file; a ``settings_fingerprint`` of None accepts any.

    Raises only StateError.
    """
    if not raw:
        raise StateError(Fault.EMPTY, "no bytes")
    if raw[: len(MAGIC)] != MAGIC[: len(raw)]:
        raise StateError(Fault.NOT_STATE, f"begins with {raw[:8]!r}, expected {MAGIC!r}")
    if len(raw) < HEADER_BYTES:
        raise StateError(Fault.CUT, f"{len(raw)} bytes, expected a header of {HEADER_BYTES}")
    _, format_version, schema, found_fingerprint, sequence, saved_at, length = HEADER.unpack_from(raw)
    if format_version != FORMAT_VERSION:  # before the checksum: another format may place it elsewhere
        raise StateError(Fault.OTHER_FORMAT, f"format {format_version}, expected {FORMAT_VERSION}")
    (head_sum,) = CRC_FIELD.unpack_from(raw, HEADER.size)
    if crc32c.crc32c(raw[: HEADER.size]) != head_sum:
        raise StateError(Fault.CHECKSUM, "header checksum mismatch")
    if schema != SCHEMA_VERSION:
        raise StateError(Fault.OTHER_SCHEMA, f"schema {schema}, expected {SCHEMA_VERSION}")
    if length > MAX_PAYLOAD_BYTES:
        raise StateError(Fault.TOO_LARGE, f"payload of {length} bytes, expected at most {MAX_PAYLOAD_BYTES}")
    total_bytes = HEADER_BYTES + length + CRC_FIELD.size
    if len(raw) < total_bytes:
        raise StateError(Fault.CUT, f"{len(raw)} bytes, expected {total_bytes}")
    if len(raw) > total_bytes:
        raise StateError(Fault.TRAILING, f"{len(raw) - total_bytes} trailing bytes")
    payload = raw[HEADER_BYTES : HEADER_BYTES + length]
    (payload_sum,) = CRC_FIELD.unpack_from(raw, HEADER_BYTES + length)
    if crc32c.crc32c(payload) != payload_sum:
        raise StateError(Fault.CHECKSUM, "payload checksum mismatch")
    if settings_fingerprint is not None and found_fingerprint != settings_fingerprint:
        raise StateError(
            Fault.OTHER_SETTINGS, f"settings {found_fingerprint.hex()}, expected {settings_fingerprint.hex()}"
        )
    return _payload(payload, sequence, saved_at)


def _payload(payload: bytes, sequence: int, saved_at: float) -> Learned:
    try:
        learned = _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise StateError(Fault.PAYLOAD, str(error)) from None
    if learned.sequence != sequence or learned.saved_at != saved_at:
        raise StateError(Fault.PAYLOAD, "header and payload belong to different saves")
    if len(learned.servers) > MAX_SERVERS or len(learned.redials) > MAX_REDIALS:
        raise StateError(Fault.TOO_LARGE, f"{len(learned.servers)} servers, {len(learned.redials)} redials")
    return learned
