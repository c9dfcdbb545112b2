"""Envoy's ``envoy.service.ext_proc.v3.ExternalProcessor``: one stream carries one request.

The request headers are the question, the response headers the outcome; the end of the stream is the end of
the call. Envoy makes one attempt; on failure its caller gets the reason and a retry time.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import martentide.grpc_engine  # noqa: F401  (before grpc)
import grpc
from envoy.service.ext_proc.v3 import external_processor_pb2 as ep

from martentide.extproc import headers
from martentide.extproc.ledger import Ledger, Stream
from martentide.extproc.messages import (
    Ask,
    Cancel,
    Failed,
    Outcome,
    Over,
    Refused,
    Release,
    Route,
    Standing,
    ToFront,
    Welcomed,
    Withdrawn,
)
from martentide.net.close_reason import LOG, CloseReason, log_connection_closed
from martentide.net.extproc.front import FrontActor
from martentide.net.extproc.host import SharedState
from martentide.net.links import unix_ms

REQUEST_HEADERS_TIMEOUT_S = 2.0  # for a new stream to send its request headers
OUTCOME_TIMEOUT_S = 1.0  # for the ledger to process an outcome, which it normally does immediately
MAX_PASSTHROUGH_MESSAGES = 4096  # messages of one stream that concern no decision (bodies, trailers)


class Peer:
    """One host that Envoy's streams come from: its actor and the inboxes of its streams."""

    def __init__(self, name: str, shared: SharedState) -> None:
        self.numbers = itertools.count(1)
        self.inboxes: dict[int, asyncio.Queue[ToFront]] = {}
        ledger = Ledger(
            name,
            shared.lifecycle_settings(single_attempt=True),
            shared.classes,
            shared.admission,
            shared.keys,
        )
        self.front = FrontActor(ledger, shared.dispatcher, self._deliver, self._on_protocol_error)

    def _on_protocol_error(self, detail: str) -> None:
        """Log a protocol violation; request numbers are assigned here, so it is an internal error."""
        LOG.error("internal-error", front=self.front.ledger.front, detail=repr(detail))

    def _deliver(self, messages: list[ToFront]) -> None:
        for message in messages:
            if not isinstance(message, Welcomed):
                inbox = self.inboxes.get(message.request)
                if inbox is not None:
                    inbox.put_nowait(message)


class StreamClosed(Exception):
    """The stream has ended, normally or not."""


class AttemptRevoked(Exception):
    """The attempt was withdrawn or its server is gone; Envoy must reset the request."""


class RequestStream:
    """One stream and its request, from the request headers to the end of the stream."""

    def __init__(self, peer: Peer, shared: SharedState, context: Any) -> None:
        self.peer, self.shared, self.context = peer, shared, context
        self.request = 0
        self.inbox: asyncio.Queue[ToFront] = asyncio.Queue()
        self.asked = self.stands = self.over = self.settled = False
        self.route: Route | None = None
        self.sent_at = 0.0
        self.read_task: asyncio.Task[Any] | None = None
        self.inbox_task: asyncio.Task[ToFront] | None = None
        self.passthrough_count = 0

    def notify(self, event: Ask | Outcome | Cancel | Over) -> None:
        """Pass an event to the front's actor."""
        self.peer.front.enqueue(event)

    async def run(self) -> None:
        """Process the stream's messages; raises StreamClosed, AttemptRevoked, HeaderError or TimeoutError."""
        async with asyncio.timeout(REQUEST_HEADERS_TIMEOUT_S):
            first = await self._read()
        if first.WhichOneof("request") != "request_headers":
            raise headers.HeaderError("the first message must contain the request headers")
        await self._ask(first.request_headers)
        while True:
            message = await self._next()
            if isinstance(message, ep.ProcessingRequest):
                if message.WhichOneof("request") == "response_headers" and not self.stands and self.route:
                    await self._outcome(message.response_headers)
                else:
                    await self._pass_through(message)
            elif (isinstance(message, Withdrawn) and not message.if_unused) or isinstance(message, Release):
                self.over = True
                raise AttemptRevoked(message.why.value)

    async def _ask(self, request_headers: Any) -> None:
        config = self.shared.config
        try:
            question = headers.parse_question(request_headers.headers, config.headers)
        except headers.HeaderError as error:
            await self._write(headers.bad_request_response(str(error)))
            raise StreamClosed from None
        self.asked = True
        self.request = next(self.peer.numbers)  # in the order of the questions
        self.peer.inboxes[self.request] = self.inbox
        self.notify(
            Ask(
                self.request,
                question.call_class,
                question.number,
                question.time_left,
                question.first_choice,
                unix_ms(),
            )
        )
        while True:
            message = await self._next()
            if isinstance(message, Route):
                self.route, self.sent_at = message, self.shared.loop.time()
                await self._write(headers.route_response(message, config.headers))
                return
            if isinstance(message, Refused | Failed):
                self.over = True
                await self._write(headers.final_response(message, config.statuses))
                raise StreamClosed
            if isinstance(message, ep.ProcessingRequest):
                await self._pass_through(message)  # a body that comes before the verdict

    async def _outcome(self, response: Any) -> None:
        assert self.route is not None
        config = self.shared.config
        ending, report = headers.parse_outcome(response.headers, config.headers, config.statuses)
        lag = (self.shared.loop.time() - self.sent_at) * 1000.0
        self.notify(Outcome(self.request, self.route.attempt, ending, lag, report=report))
        final: Refused | Failed | None = None
        async with asyncio.timeout(OUTCOME_TIMEOUT_S):
            while True:
                message = await self.inbox.get() if self.inbox_task is None else await self._received()
                if isinstance(message, Standing):
                    self.stands = True
                    break
                if isinstance(message, Refused | Failed):
                    self.over, final = True, message
                    break
                if isinstance(message, Withdrawn) and not message.if_unused:
                    self.over = True
                    raise AttemptRevoked(message.why.value)
        self.route = None
        await self._write(headers.outcome_response(final))

    async def _pass_through(self, message: Any) -> None:
        self.passthrough_count += 1
        if self.passthrough_count > MAX_PASSTHROUGH_MESSAGES:
            raise headers.HeaderError(f"more than {MAX_PASSTHROUGH_MESSAGES} messages on one stream")
        answer = headers.continue_response(message.WhichOneof("request") or "")
        if answer is not None:
            await self._write(answer)

    async def _write(self, answer: ep.ProcessingResponse) -> None:
        """Write a response; if the peer does not accept it in time, settle the request.

        gRPC can't cancel a write, so this stream waits until the write ends; no other stream is delayed.
        """
        write_timeout_s = self.shared.streams.blocked_ms / 1000.0
        write_timer = self.shared.loop.call_later(write_timeout_s, self.settle)
        try:
            await self.context.write(answer)
        finally:
            write_timer.cancel()
        if self.settled:
            raise StreamClosed

    async def _read(self) -> ep.ProcessingRequest:
        message = await self.context.read()
        if message is grpc.aio.EOF:
            raise StreamClosed
        return message

    async def _received(self) -> ToFront:
        assert self.inbox_task is not None
        message = await self.inbox_task
        self.inbox_task = None
        return message

    async def _next(self) -> ep.ProcessingRequest | ToFront:
        """Next message of the stream or of the front's actor; the actor's message is returned first."""
        if self.inbox_task is None and not self.inbox.empty():
            return self.inbox.get_nowait()
        if self.read_task is None:
            self.read_task = asyncio.create_task(self._read())
        if self.inbox_task is None:
            self.inbox_task = asyncio.create_task(self.inbox.get())
        await asyncio.wait((self.read_task, self.inbox_task), return_when=asyncio.FIRST_COMPLETED)
        if self.inbox_task.done():
            return await self._received()
        read, self.read_task = self.read_task, None
        return read.result()

    def settle(self) -> None:
        """Settle what the stream has open, once, for whatever reason it ends."""
        if self.settled:
            return
        self.settled = True
        for task in (self.read_task, self.inbox_task):
            if task is not None:
                task.cancel()
        self.peer.inboxes.pop(self.request, None)
        if not self.asked or self.over:
            return
        if self.stands:
            self.notify(Over(self.request, cut=False))
        else:
            # Envoy ends the stream without an outcome when its caller leaves or the upstream is reset.
            self.notify(Cancel(self.request))


class ExternalProcessor:
    """The gRPC service; a peer's actor runs as long as the peer has streams or open calls."""

    def __init__(self, shared: SharedState) -> None:
        self.shared = shared
        self.peers: dict[str, Peer] = {}
        self.streams: dict[str, int] = {}
        self.tasks: set[asyncio.Task[Any]] = set()

    async def process(self, _: Any, context: Any) -> None:
        """Handle one stream of the RPC ``Process``."""
        address = str(context.peer())
        name = "envoy:" + address.split(":", 1)[-1].rsplit(":", 1)[0]
        task = asyncio.current_task()
        if task is not None:
            self.tasks.add(task)
        peer = self._acquire_peer(name)
        stream = RequestStream(peer, self.shared, context)
        reason, detail = CloseReason.PEER_CLOSED, ""
        abort: grpc.StatusCode | None = None
        try:
            await stream.run()
        except StreamClosed:
            pass
        except headers.HeaderError as error:
            reason, detail, abort = CloseReason.MALFORMED, str(error), grpc.StatusCode.INVALID_ARGUMENT
        except AttemptRevoked as error:
            reason, detail, abort = CloseReason.SERVER_GONE, str(error), grpc.StatusCode.UNAVAILABLE
        except TimeoutError:
            reason, abort = CloseReason.MUTE, grpc.StatusCode.DEADLINE_EXCEEDED
        except asyncio.CancelledError:
            reason = CloseReason.PEER_RESET
            raise
        finally:
            stream.settle()
            self._release_peer(name)
            if task is not None:
                self.tasks.discard(task)
            # A log line per normally completed request would be too many.
            if reason is not CloseReason.PEER_CLOSED:
                log_connection_closed("front", address, reason, detail)
        if abort is not None:
            await context.abort(abort, detail or reason.value)

    def _acquire_peer(self, name: str) -> Peer:
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = Peer(name, self.shared)
            if self.shared.closing:
                peer.front.stream_changed(Stream.CLOSING)
        self.streams[name] = self.streams.get(name, 0) + 1
        return peer

    def _release_peer(self, name: str) -> None:
        self.streams[name] -= 1
        if not self.streams[name]:  # the peer's next stream starts a new actor
            del self.streams[name]
            self.peers.pop(name).front.stop_when_idle()

    def fronts(self) -> list[FrontActor]:
        """The actors of all connected peers."""
        return [peer.front for peer in self.peers.values()]

    def close(self) -> None:
        """Cancel all streams."""
        for task in tuple(self.tasks):
            task.cancel()
