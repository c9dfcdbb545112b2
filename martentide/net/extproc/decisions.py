"""The service ``martentide.decisions.v1``: a stream carries many requests, and its session outlives it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import martentide.grpc_engine  # noqa: F401  (before grpc)
import grpc

from martentide.codec import CodecError
from martentide.codec.discovery import Listed
from martentide.decisions.v1 import decisions_pb2 as pb
from martentide.extproc.ledger import Ledger, Stream
from martentide.extproc.messages import FromFront, ToFront, Welcomed
from martentide.extproc.sessions import Refusal, Session
from martentide.extproc.wire import decode_front_message, encode_proxy_message, encode_server_change
from martentide.net.close_reason import CloseReason, log_connection_closed, log_event
from martentide.net.extproc.front import FrontActor
from martentide.net.extproc.host import SharedState
from martentide.net.links import unix_ms

HELLO_TIMEOUT_S = 2.0  # for a new stream to send Hello
MAX_MESSAGES_PER_FRAME = 256  # keeps a frame within the peer's message size limit
REFUSAL_STATUS = {
    Refusal.UNKNOWN_SESSION: grpc.StatusCode.NOT_FOUND,
    Refusal.ANOTHER_FRONT: grpc.StatusCode.PERMISSION_DENIED,
    Refusal.TOO_MANY: grpc.StatusCode.RESOURCE_EXHAUSTED,
    Refusal.CLOSING: grpc.StatusCode.UNAVAILABLE,
    Refusal.BAD_NAME: grpc.StatusCode.INVALID_ARGUMENT,
}
CLOSE_STATUS = {
    CloseReason.MALFORMED: grpc.StatusCode.INVALID_ARGUMENT,
    CloseReason.BLOCKED: grpc.StatusCode.RESOURCE_EXHAUSTED,
    CloseReason.TAKEN_OVER: grpc.StatusCode.ABORTED,
    CloseReason.SHUTDOWN: grpc.StatusCode.UNAVAILABLE,
    CloseReason.MUTE: grpc.StatusCode.DEADLINE_EXCEEDED,
}


class StreamWriter:
    """Bounded, ordered send queue of one stream; actors never block on it."""

    def __init__(self, max_unsent: int) -> None:
        self.max_unsent = max_unsent
        self.unsent: deque[pb.ProxyMessage] = deque()
        self.wake = asyncio.Event()
        self.closed = asyncio.Event()
        self.reason, self.detail = CloseReason.PEER_CLOSED, ""
        self.writing = False

    def put(self, messages: list[pb.ProxyMessage]) -> None:
        """Queue messages; closes the stream if the queue exceeds ``max_unsent``."""
        if self.closed.is_set():
            return
        if len(self.unsent) + len(messages) > self.max_unsent:
            self.close(CloseReason.BLOCKED, f"{len(self.unsent)} messages waiting to be sent")
            return
        self.unsent.extend(messages)
        self.wake.set()

    def close(self, reason: CloseReason, detail: str = "") -> None:
        """Close the stream; only the first call's reason is kept."""
        if not self.closed.is_set():
            self.reason, self.detail = reason, detail
            self.closed.set()

    async def pump(self, context: Any, write_timeout_s: float) -> None:
        """Write queued messages until the stream ends; a write that takes longer than
        ``write_timeout_s`` closes it.

        That write is still awaited, because gRPC can neither cancel it nor end the stream in the meantime.
        """
        loop = asyncio.get_running_loop()
        while not self.closed.is_set():
            await self.wake.wait()
            self.wake.clear()
            while self.unsent and not self.closed.is_set():
                encoded = [
                    self.unsent.popleft() for _ in range(min(MAX_MESSAGES_PER_FRAME, len(self.unsent)))
                ]
                write_timer = loop.call_later(
                    write_timeout_s, self.close, CloseReason.BLOCKED, "a write timed out"
                )
                self.writing = True
                try:
                    await context.write(pb.ProxyFrame(messages=encoded))
                finally:
                    self.writing = False
                    write_timer.cancel()


class FrontSession:
    """A session with its actor and, while connected, its stream."""

    def __init__(self, session: Session, shared: SharedState) -> None:
        self.session, self.shared = session, shared
        self.writer: StreamWriter | None = None
        self.next_writer: StreamWriter | None = None  # the stream on which the next welcome is sent
        settings = shared.lifecycle_settings(single_attempt=False)
        ledger = Ledger(session.front, settings, shared.classes, shared.admission, shared.keys)
        self.front = FrontActor(ledger, shared.dispatcher, self._deliver, self._on_protocol_error)
        self.protocol_violated = self.leave_received = False

    def _deliver(self, messages: list[ToFront]) -> None:
        encoded: list[pb.ProxyMessage] = []
        for message in messages:
            if isinstance(message, Welcomed):
                # Earlier messages belong to the old stream, which has ended.
                self.writer, self.next_writer = self.next_writer, None
                encoded = self._welcome(message)
            else:
                encoded.append(encode_proxy_message(message))
        if self.writer is not None and encoded:
            self.writer.put(encoded)

    def _welcome(self, message: Welcomed) -> list[pb.ProxyMessage]:
        lease = int(self.shared.sessions.settings.lease)
        welcome = pb.Welcome(
            session=self.session.token, lease_ms=lease, routed=message.routed, standing=message.standing
        )
        listed = self.shared.dispatcher.listed.values()
        servers = [encode_server_change(server.entry, f"{server.host}:{server.port}") for server in listed]
        return [pb.ProxyMessage(welcome=welcome), *servers]

    def _on_protocol_error(self, detail: str) -> None:
        """Close the stream of a front that violated the protocol; the session ends with it."""
        self.protocol_violated = True
        for writer in (self.writer, self.next_writer):
            if writer is not None:
                writer.close(CloseReason.MALFORMED, detail)


class Decisions:
    """The gRPC service; ``sessions`` holds the sessions whose calls are counted, by session number."""

    def __init__(self, shared: SharedState) -> None:
        self.shared = shared
        self.sessions: dict[int, FrontSession] = {}
        self.blocked_streams = 0  # streams waiting for a last write, which gRPC can't cancel

    # ---- one stream ---------------------------------------------------------------------------------------

    async def decide(self, _: Any, context: Any) -> None:
        """Handle one stream of the RPC ``Decide``."""
        peer = str(context.peer())
        writer = StreamWriter(self.shared.streams.most_unsent)
        front_session: FrontSession | None = None
        stream = 0
        tasks: list[asyncio.Task[Any]] = []
        code = grpc.StatusCode.OK
        try:
            hello = await self._hello(context, writer)
            if hello is not None:
                found = self._open_session(hello, writer)
                if isinstance(found, Refusal):
                    writer.close(CloseReason.NO_SESSION, found.value)
                    code = REFUSAL_STATUS[found]
                else:
                    front_session = found
                    peer = f"{front_session.session.front}/{front_session.session.number}"
                    write_timeout_s = self.shared.streams.blocked_ms / 1000.0
                    tasks = [
                        asyncio.create_task(writer.pump(context, write_timeout_s)),
                        asyncio.create_task(self._read(context, writer, front_session)),
                        asyncio.create_task(writer.closed.wait()),
                    ]
                    stream = front_session.session.stream
                    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                    for task in done:
                        if task.exception() is not None:  # the stream broke
                            writer.close(CloseReason.PEER_RESET)
            if code is grpc.StatusCode.OK:
                code = CLOSE_STATUS.get(writer.reason, grpc.StatusCode.OK)
        except asyncio.CancelledError:
            writer.close(CloseReason.PEER_RESET)
            raise
        finally:
            for task in tasks[1 if writer.writing else 0 :]:
                task.cancel()
            writer.close(writer.reason)
            log_connection_closed("front", peer, writer.reason, writer.detail)
            if front_session is not None:
                self._stream_ended(front_session, stream)
        if tasks and writer.writing:
            self.blocked_streams += 1
            try:
                await asyncio.wait(tasks[:1])
            finally:
                self.blocked_streams -= 1
        if code is not grpc.StatusCode.OK:
            await context.abort(code, writer.detail or writer.reason.value)

    async def _hello(self, context: Any, writer: StreamWriter) -> pb.Hello | None:
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                frame = await context.read()
        except TimeoutError:
            writer.close(CloseReason.MUTE)
            return None
        if frame is grpc.aio.EOF:
            return None
        if len(frame.messages) != 1 or frame.messages[0].WhichOneof("kind") != "hello":
            writer.close(CloseReason.MALFORMED, "the first message must be Hello, alone in its frame")
            return None
        hello: pb.Hello = frame.messages[0].hello
        return hello

    async def _read(self, context: Any, writer: StreamWriter, front_session: FrontSession) -> None:
        while True:
            frame = await context.read()
            if frame is grpc.aio.EOF:
                return  # also seen on a reset connection: only a Leave message ends the session at once
            at = unix_ms()
            try:
                messages = [received for received in frame.messages if received.WhichOneof("kind") != "leave"]
                front_session.leave_received = len(messages) < len(frame.messages)
                events: list[FromFront] = [decode_front_message(message, at) for message in messages]
            except CodecError as error:
                writer.close(CloseReason.MALFORMED, str(error))
                return
            if events:
                await front_session.front.unread_credit.acquire()
                front_session.front.enqueue(events)
            if front_session.leave_received:
                return

    # ---- sessions -----------------------------------------------------------------------------------------

    def _open_session(self, hello: pb.Hello, writer: StreamWriter) -> FrontSession | Refusal:
        sessions = self.shared.sessions
        if self.shared.closing:
            return Refusal.CLOSING
        if self.blocked_streams >= sessions.settings.max_sessions:
            return Refusal.TOO_MANY
        if not hello.session:
            opened = sessions.open(hello.front)
            if isinstance(opened, Refusal):
                return opened
            front_session = self.sessions[opened.number] = FrontSession(opened, self.shared)
            front_session.next_writer = writer
            front_session.front.stream_changed(Stream.RESUMED)
            return front_session
        resumed = sessions.resume(hello.front, hello.session, unix_ms())
        if isinstance(resumed, Refusal):
            return resumed
        front_session = self.sessions[resumed.number]
        if front_session.writer is not None:
            front_session.writer.close(CloseReason.TAKEN_OVER)
            # The front asks again what was pending on the old stream.
            front_session.front.stream_changed(Stream.BROKEN)
        if front_session.next_writer is not None:
            front_session.next_writer.close(CloseReason.TAKEN_OVER)
        front_session.next_writer = writer
        front_session.front.stream_changed(Stream.RESUMED)
        return front_session

    def _stream_ended(self, front_session: FrontSession, stream: int) -> None:
        lease = self.shared.sessions.stream_ended(front_session.session, stream, unix_ms())
        if lease is None:
            return  # another stream has replaced this one
        front_session.front.stream_changed(Stream.BROKEN)
        if front_session.protocol_violated or front_session.leave_received or self.shared.closing:
            self._expire(front_session, stream)
        else:
            delay = max(0.0, lease - unix_ms()) / 1000.0
            self.shared.loop.call_later(delay, self._expire, front_session, stream)

    def _expire(self, front_session: FrontSession, stream: int) -> None:
        if not self.shared.sessions.expire(front_session.session, stream):
            return
        front_session.front.stream_changed(Stream.EXPIRED)
        front_session.front.stop_when_idle()
        front_session.front.task.add_done_callback(lambda _: self._forget(front_session))

    def _forget(self, front_session: FrontSession) -> None:
        counts = front_session.front.ledger.counts
        log_event(
            "session-ended",
            front=front_session.session.front,
            session=front_session.session.number,
            **dict(sorted(counts.items())),
        )
        self.sessions.pop(front_session.session.number, None)
        self.shared.sessions.forget(front_session.session)

    # ---- the whole service --------------------------------------------------------------------------------

    def list_changed(self, listed: tuple[Listed, ...]) -> None:
        """Send changed entries of the server list to all connected fronts."""
        messages = [encode_server_change(server.entry, f"{server.host}:{server.port}") for server in listed]
        for front_session in self.sessions.values():
            if front_session.writer is not None:
                front_session.writer.put(messages)

    def fronts(self) -> list[FrontActor]:
        """The actors of all sessions."""
        return [front_session.front for front_session in self.sessions.values()]

    def go_away(self) -> None:
        """Announce the shutdown to all connected fronts."""
        for front_session in self.sessions.values():
            if front_session.writer is not None:
                front_session.writer.put([pb.ProxyMessage(go_away=pb.GoAway(why="closing"))])

    def close(self) -> None:
        """Close all streams."""
        for front_session in self.sessions.values():
            if front_session.writer is not None:
                front_session.writer.close(CloseReason.SHUTDOWN)
