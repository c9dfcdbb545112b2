"""Parser of the operator's HTTP/1.1 requests, here named calls: bytes in, a request or a rejection out."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import urlsplit

import h11

from martentide.lifecycle.calls import MAX_BODY_BYTES_BY_PATH, METHODS

MAX_HEADER_BYTES = 8 * 1024  # bytes of request line and headers
MAX_BODY_BYTES = 4 * 1024  # bytes of a body on a path that does not use one


@dataclass(frozen=True, slots=True)
class Request:
    """A valid call to one of the paths in ``METHODS``; ``body`` only for the paths that use it."""

    path: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Refused:
    """A rejected call; ``allow``: the methods that the path allows, if the method is the reason."""

    status: int
    text: str
    allow: tuple[str, ...] = ()


class ControlCall:
    """One HTTP connection, which carries one call."""

    def __init__(self) -> None:
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.request: h11.Request | None = None
        self.body = bytearray()

    def feed(self, data: bytes) -> Request | Refused | None:
        """Process received bytes, empty at end of stream; return None while the call is incomplete."""
        try:
            self.connection.receive_data(data)
            return self._next()
        except h11.RemoteProtocolError as error:
            return Refused(error.error_status_hint, str(error))

    def _next(self) -> Request | Refused | None:
        while True:
            event = self.connection.next_event()
            match event:
                case h11.Request():
                    self.request = event
                    if (
                        self.connection.they_are_waiting_for_100_continue
                        and self._max_body() == MAX_BODY_BYTES
                    ):
                        return self._check_request(event)  # the final response makes the body unnecessary
                case h11.Data():
                    self.body += event.data
                    if len(self.body) > (most := self._max_body()):
                        return Refused(413, f"the body exceeds {most} bytes")
                case h11.EndOfMessage() if self.request is not None:
                    return self._check_request(self.request)
                case h11.ConnectionClosed():
                    return Refused(400, "connection closed without a call")
                case _:
                    return None

    def _max_body(self) -> int:
        target = b"" if self.request is None else self.request.target
        return MAX_BODY_BYTES_BY_PATH.get(target.decode("ascii", "replace"), MAX_BODY_BYTES)

    def _check_request(self, request: h11.Request) -> Request | Refused:
        try:
            path = urlsplit(request.target.decode("ascii")).path
        except ValueError:
            return Refused(400, "invalid request target")
        method = request.method.decode("ascii")
        if path not in METHODS:
            return Refused(404, f"no such call; available: {', '.join(METHODS)}")
        if method not in METHODS[path]:
            return Refused(405, f"{path} takes {' or '.join(METHODS[path])}", METHODS[path])
        return Request(path, bytes(self.body) if path in MAX_BODY_BYTES_BY_PATH else b"")

    def answer(self, status: int, text: str, allow: tuple[str, ...] = ()) -> bytes:
        """Return the complete response, after which the connection is closed."""
        body = f"{text}\n".encode()
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if allow:
            headers.append(("Allow", ", ".join(allow)))
        if self.connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""  # the client closed the connection without a request
        head = self.connection.send(h11.Response(status_code=status, headers=headers)) or b""
        try:
            return head + (self.connection.send(h11.Data(data=body)) or b"")
        except h11.LocalProtocolError:  # a response to HEAD has no body
            return head
