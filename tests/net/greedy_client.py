"""A client that sends at full speed, and reconnects when a connection is closed; a process of its own.

Usage: ``python -m tests.net.greedy_client PORT KIND CONNECTIONS SECONDS``
"""

from __future__ import annotations

import contextlib
import select
import socket
import sys
import time
from threading import Thread

from martentide.codec.messages import Cause, Code, Type, write_message, write_release
from tests.net.support import parameters_of

ADDRESS = "127.0.0.2"  # other callers come from another one
LARGE = bytes(16_000)  # description that nearly fills a message
FIELDS = 5400  # empty fields of one message, which nearly fill it
SET_UPS = 50  # set-ups written at once
NUMBERS_PER_CONNECTION = 1_000_000


def messages(kind: str, number: int) -> bytes:
    """Return the next bytes to send: very many fields, or large, withdrawn, invalid or usual set-ups."""
    if kind == "fields":
        body = bytes((Type.SET_UP,)) + number.to_bytes(8, "big") + b"\xc8\0\0" * FIELDS
        return len(body).to_bytes(2, "big") + body
    if kind == "large":
        parameters = {**parameters_of(3000), Code.DESCRIPTION: LARGE}
        return write_message(Type.SET_UP, number.to_bytes(8, "big"), parameters)
    data = b""
    for call in range(number * SET_UPS, (number + 1) * SET_UPS):
        call_id = call.to_bytes(8, "big")
        invalid: dict[int, bytes] = {Code.TIME_LEFT: b"x"}
        data += write_message(Type.SET_UP, call_id, invalid if kind == "invalid" else parameters_of(3000))
        if kind == "withdrawn":
            data += write_release(call_id, Cause.NORMAL)
    return data


def send_on_one_connection(port: int, kind: str, number: int, end: float) -> int:
    """Send until ``end`` (monotonic s) or until the connection is closed; return the next number."""
    with socket.create_connection(("127.0.0.1", port), 5.0, (ADDRESS, 0)) as sock:
        sock.setblocking(False)
        unsent = b""
        while time.monotonic() < end:
            readable, writable, _ = select.select([sock], [sock], [], 0.1)
            if readable and not sock.recv(65536):
                break
            if writable:
                if not unsent:
                    unsent, number = messages(kind, number), number + 1
                unsent = unsent[sock.send(unsent) :]
    return number


def send_until(port: int, kind: str, number: int, end: float) -> None:
    """Send until ``end`` (monotonic s), with call ids from ``number`` on."""
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            number = send_on_one_connection(port, kind, number, end)


def main() -> None:
    """Send on that many connections for the time given on the command line."""
    port, kind, connections, seconds = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    end = time.monotonic() + seconds
    for connection in range(connections):
        number = 1 + connection * NUMBERS_PER_CONNECTION
        Thread(target=send_until, args=(port, kind, number, end), daemon=True).start()
    time.sleep(seconds)


if __name__ == "__main__":
    main()
