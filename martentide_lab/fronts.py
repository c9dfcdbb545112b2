"""Test front proxies: they ask the proxy for decisions and send the set-ups to the session servers.

``UpstreamConnections`` holds a front's connections to the servers. ``RawFrontProxy`` uses the Decisions
service frame by frame, so that a test can violate its protocol. ``EnvoyStream`` processes one request as
Envoy's ext_proc filter does.
"""

from __future__ import annotations

import asyncio
import itertools
from types import TracebackType
from typing import Any

import martentide.grpc_engine  # noqa: F401  (before grpc)
import grpc
from envoy.config.core.v3 import base_pb2 as core
from envoy.service.ext_proc.v3 import external_processor_pb2 as ep

from martentide.client import Attempt, Ending, Route
from martentide.codec.messages import (
    Cause,
    Code,
    Message,
    Type,
    read_message,
    split,
    write_message,
    write_release,
)
from martentide.decisions.v1 import decisions_pb2 as pb
from martentide.net.links import unix_ms

DECIDE = "/martentide.decisions.v1.Decisions/Decide"
PROCESS = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"


class UpstreamConnections:
    """One connection to each session server, shared by all set-ups of a front.

    ``instance_number`` keeps the call ids of several instances apart.
    """

    def __init__(self, instance_number: int = 1) -> None:
        self.writers: dict[str, asyncio.StreamWriter] = {}
        self.connect_locks: dict[str, asyncio.Lock] = {}
        self.pending: dict[bytes, asyncio.Future[Message]] = {}
        self.pending_addresses: dict[bytes, str] = {}  # server address of each pending set-up
        self.ids = itertools.count(instance_number << 40)
        self.tasks: set[asyncio.Task[None]] = set()

    async def _writer(self, address: str) -> asyncio.StreamWriter:
        async with self.connect_locks.setdefault(address, asyncio.Lock()):
            writer = self.writers.get(address)
            if writer is None or writer.is_closing():
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                self.writers[address] = writer
                task = asyncio.get_running_loop().create_task(self._receive(address, reader, writer))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            return writer

    async def _receive(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        buffer = bytearray()
        try:
            while data := await reader.read(65536):
                buffer += data
                for body in split(buffer):
                    message = read_message(body)
                    future = self.pending.get(message.call)
                    if future is not None and not future.done():
                        future.set_result(message)
        except OSError:
            pass
        writer.close()
        for call, future in list(self.pending.items()):
            if not future.done() and self.pending_addresses.get(call) == address:
                future.set_exception(ConnectionResetError())

    async def set_up(self, route: Route, call_class: str, number: bytes = b"7f3a") -> tuple[Attempt, bytes]:
        """Set up a call at the route's server; return the result and the call id.

        If cancelled, it sends the release (the give-up) before it raises.
        """
        call = next(self.ids).to_bytes(8, "big")
        try:
            writer = await self._writer(route.address)
        except OSError:
            return Attempt(Ending.UNREACHABLE), call
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.pending[call], self.pending_addresses[call] = future, route.address
        writer.write(
            write_message(
                Type.SET_UP,
                call,
                {
                    Code.CLASS: call_class.encode(),
                    Code.TIME_LEFT: str(int(route.patience)).encode(),
                    Code.NUMBER: number,
                    Code.DESCRIPTION: call,
                },
            )
        )
        try:
            message = await future
        except asyncio.CancelledError:
            writer.write(write_release(call, Cause.NORMAL))
            raise
        except ConnectionResetError:
            return Attempt(Ending.CUT), call
        finally:
            del self.pending[call], self.pending_addresses[call]
        report = message.text(Code.REPORT) or ""
        if message.type == Type.ANSWER:
            return Attempt(None, report=report), call
        endings = {Cause.NO_CIRCUIT: Ending.FULL, Cause.TEMPORARY_FAILURE: Ending.CUT}
        ending = endings.get(Cause(message.cause() or Cause.RESOURCE_UNAVAILABLE), Ending.ERROR)
        full = message.text(Code.NOTE) == "all_trunks_busy"
        return Attempt(ending, full, report), call

    async def release(self, address: str, call: bytes) -> None:
        """Release a standing call."""
        (await self._writer(address)).write(write_release(call, Cause.NORMAL))

    def close(self) -> None:
        """Close all connections."""
        for task in tuple(self.tasks):
            task.cancel()
        for writer in self.writers.values():
            writer.close()


class RawFrontProxy:
    """Client of the Decisions service that sends and receives single frames on one stream."""

    def __init__(self, address: str) -> None:
        self.channel = grpc.aio.insecure_channel(address)
        self.stream: Any = None
        self.received_messages: list[pb.ProxyMessage] = []
        self.token = b""
        self.lock = asyncio.Lock()

    async def __aenter__(self) -> RawFrontProxy:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.channel.close()

    async def open(self) -> None:
        """Open a new stream without sending anything."""
        method = self.channel.stream_stream(
            DECIDE,
            request_serializer=pb.FrontFrame.SerializeToString,
            response_deserializer=pb.ProxyFrame.FromString,
        )
        self.stream = method()

    async def hello(self, front: str = "raw", session: bytes = b"") -> pb.Welcome:
        """Open a stream, send the hello and return the welcome; messages of the server list are dropped."""
        await self.open()
        await self.send(pb.FrontMessage(hello=pb.Hello(front=front, session=session)))
        message = await self.next()
        welcome: pb.Welcome = message.welcome
        self.token = welcome.session
        return welcome

    async def send(self, *messages: pb.FrontMessage) -> None:
        """Send the messages in one frame."""
        async with self.lock:  # gRPC allows one write at a time
            await self.stream.write(pb.FrontFrame(messages=messages))

    async def ask(self, *requests: int, name: str = "status-check", left: int | None = 3000) -> None:
        """Send requests for a decision in one frame; ``left`` is the remaining time in ms."""
        asks = []
        for request in requests:
            ask = pb.Ask(request=request, call_class=name, number="7f3a")
            if left is not None:
                ask.time_left_ms = left
                ask.sent_unix_ms = int(unix_ms())
            asks.append(pb.FrontMessage(ask=ask))
        await self.send(*asks)

    async def outcome(self, request: int, ending: str = "STANDS", attempt: int = 0) -> None:
        """Send the outcome of an attempt."""
        outcome = pb.Outcome(request=request, attempt=attempt, ending=ending, lag_ms=5)
        await self.send(pb.FrontMessage(outcome=outcome))

    async def cancel(self, request: int) -> None:
        """Cancel a request."""
        await self.send(pb.FrontMessage(cancel=pb.Cancel(request=request)))

    async def over(self, request: int) -> None:
        """Send that the standing call of a request has ended."""
        await self.send(pb.FrontMessage(over=pb.Over(request=request)))

    async def next(self, *kinds: str) -> pb.ProxyMessage:
        """Return the next message of one of these kinds; without kinds, of any kind but ``server``.

        Other messages are dropped. Raises EOFError at the end of the stream and TimeoutError after
        15 s without a frame.
        """
        while True:
            while self.received_messages:
                message = self.received_messages.pop(0)
                kind = message.WhichOneof("kind")
                if kind in kinds or (not kinds and kind != "server"):
                    return message
            async with asyncio.timeout(15):
                frame = await self.stream.read()
            if frame is grpc.aio.EOF:
                raise EOFError(f"{await self.stream.code()}: {await self.stream.details()}")
            self.received_messages += frame.messages

    async def code(self) -> grpc.StatusCode:
        """Wait for the end of the stream, dropping further messages, and return its status code."""
        try:
            while True:
                await self.next("none")
        except EOFError:
            pass
        except grpc.aio.AioRpcError as error:
            return error.code()
        code: grpc.StatusCode = await self.stream.code()
        return code

    def reset_stream(self) -> None:
        """Cancel the stream without closing it properly."""
        self.stream.cancel()


def header_map(headers: dict[str, str | bytes]) -> core.HeaderMap:
    """Build Envoy's header map from names and values."""
    values = [
        core.HeaderValue(key=name, raw_value=value if isinstance(value, bytes) else value.encode())
        for name, value in headers.items()
    ]
    return core.HeaderMap(headers=values)


class EnvoyStream:
    """One HTTP request as Envoy's ext_proc filter processes it."""

    def __init__(self, channel: Any) -> None:
        method = channel.stream_stream(
            PROCESS,
            request_serializer=ep.ProcessingRequest.SerializeToString,
            response_deserializer=ep.ProcessingResponse.FromString,
        )
        self.stream = method()

    async def request(self, headers: dict[str, str | bytes]) -> ep.ProcessingResponse:
        """Send the request headers and return the response of the processor."""
        http_headers = ep.HttpHeaders(headers=header_map(headers), end_of_stream=True)
        await self.stream.write(ep.ProcessingRequest(request_headers=http_headers))
        return await self._receive()

    async def response(self, status: int, **headers: str) -> ep.ProcessingResponse:
        """Send the response headers and return the response of the processor."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        http_headers = ep.HttpHeaders(headers=header_map({":status": str(status), **names}))
        await self.stream.write(ep.ProcessingRequest(response_headers=http_headers))
        return await self._receive()

    async def _receive(self) -> ep.ProcessingResponse:
        async with asyncio.timeout(15):
            message = await self.stream.read()
        if message is grpc.aio.EOF:
            raise EOFError(str(await self.stream.code()))
        return message

    async def done(self) -> None:
        """Close the stream for writing, at the end of the HTTP exchange."""
        await self.stream.done_writing()

    def reset(self) -> None:
        """Cancel the stream."""
        self.stream.cancel()


def headers_set_by(response: ep.ProcessingResponse) -> dict[str, str]:
    """Return the headers that a response of any kind sets."""
    kind = response.WhichOneof("response")
    if kind == "immediate_response":
        mutation = response.immediate_response.headers
    elif kind == "response_headers":
        mutation = response.response_headers.response.header_mutation
    else:
        mutation = response.request_headers.response.header_mutation
    return {option.header.key: option.header.raw_value.decode() for option in mutation.set_headers}
