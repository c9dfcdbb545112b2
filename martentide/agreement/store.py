"""A voter's file, byte for byte: ``MTVOTER\\n`` version:2 sum:16 payload. Pure.

It goes to disk by the steps of ``learned.files``. Of its two generations only the newest may ever be used:
the older one has forgotten a vote that was given. It is used in one case, where the newest has not got its
name yet: then nothing was said on the strength of it.
"""

from __future__ import annotations

import hashlib

import msgspec

from martentide.agreement.core import Kept, name_of
from martentide.learned.files import OLD, STATE
from martentide.learned.recovery import Found

MAGIC, VERSION = b"MTVOTER\n", 1
HEAD = len(MAGIC) + 2 + 16
_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Kept)


def write_kept(kept: Kept) -> bytes:
    payload = _ENCODER.encode(kept)
    head = MAGIC + VERSION.to_bytes(2, "big")
    return head + hashlib.blake2b(head + payload, digest_size=16).digest() + payload


def read_kept(data: bytes) -> Kept:
    """Raises ValueError with found and expected."""
    if len(data) < HEAD or not data.startswith(MAGIC):
        raise ValueError(f"expected a voter's file, found {len(data)} bytes of something else")
    version = int.from_bytes(data[8:10], "big")
    if version != VERSION:
        raise ValueError(f"expected version {VERSION}, found {version}")
    if hashlib.blake2b(data[:10] + data[HEAD:], digest_size=16).digest() != data[10:HEAD]:
        raise ValueError("its sum is another: the file is damaged")
    try:
        return _DECODER.decode(data[HEAD:])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"its content can't be read: {error}") from None


def recover(files: list[Found], me: str) -> tuple[Kept | None, str]:
    """From both generations, newest first: the books, or why there are none ("" if there never were any)."""
    by_name = {one.name: one for one in files}
    newest, older = by_name[STATE], by_name[OLD]
    chosen = newest if newest.raw is not None or newest.error else older
    if chosen.error:
        return None, f"{chosen.name}: {chosen.error}"
    if chosen.raw is None:
        return None, ""
    try:
        kept = read_kept(chosen.raw)
    except ValueError as error:
        return None, f"{chosen.name}: {error}"
    if name_of(kept.saved.me) != me:
        return None, f"{chosen.name}: expected the books of {me}, found those of {kept.saved.me}"
    return kept, ""
