"""File format of a voter's persistent state: ``MTVOTER\\n``, version (2 bytes), checksum (16 bytes), payload.
Without I/O.

``learned.files`` writes the file and keeps two generations. Only the newest may be used, since the older one
may lack a vote that was already granted. The older one is used only if the newest has not been renamed into
place yet: then no message that depends on it was sent.
"""

from __future__ import annotations

import hashlib

import msgspec

from martentide.agreement.core import VoterState, member_of
from martentide.learned.files import OLD, STATE
from martentide.learned.recovery import StateFile

MAGIC, FORMAT_VERSION = b"MTVOTER\n", 1
HEADER_BYTES = len(MAGIC) + 2 + 16
_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(VoterState)


def encode_voter_state(state: VoterState) -> bytes:
    """Encode a voter's state with header and checksum."""
    payload = _ENCODER.encode(state)
    head = MAGIC + FORMAT_VERSION.to_bytes(2, "big")
    return head + hashlib.blake2b(head + payload, digest_size=16).digest() + payload


def decode_voter_state(data: bytes) -> VoterState:
    """Decode a voter's file. Raises ValueError with what was found and expected."""
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        raise ValueError(f"expected a voter file, found {len(data)} bytes of another format")
    version = int.from_bytes(data[8:10], "big")
    if version != FORMAT_VERSION:
        raise ValueError(f"expected version {FORMAT_VERSION}, found {version}")
    if hashlib.blake2b(data[:10] + data[HEADER_BYTES:], digest_size=16).digest() != data[10:HEADER_BYTES]:
        raise ValueError("checksum mismatch: the file is damaged")
    try:
        return _DECODER.decode(data[HEADER_BYTES:])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"cannot decode its content: {error}") from None


def recover(files: list[StateFile], member: str) -> tuple[VoterState | None, str]:
    """Choose between the two generations of the file: the voter's state, or None and the reason why there is
    none ("" if there never was a file)."""
    by_name = {one.name: one for one in files}
    newest, older = by_name[STATE], by_name[OLD]
    chosen = newest if newest.raw is not None or newest.error else older
    if chosen.error:
        return None, f"{chosen.name}: {chosen.error}"
    if chosen.raw is None:
        return None, ""
    try:
        state = decode_voter_state(chosen.raw)
    except ValueError as error:
        return None, f"{chosen.name}: {error}"
    if member_of(state.raft_state.voter_id) != member:
        return (
            None,
            f"{chosen.name}: expected the state of {member}, found that of {state.raft_state.voter_id}",
        )
    return state, ""
