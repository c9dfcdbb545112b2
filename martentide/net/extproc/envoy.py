"""Envoy's ``envoy.service.ext_proc.v3.ExternalProcessor``: one stream carries one request.

The request headers are the question, the response headers the outcome, and the end of the stream the end of
the call. Envoy makes one attempt; what fails goes back to its caller with why, and when to come back.
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
from martentide.net.extproc.front import Front
from martentide.net.extproc.host import Host
from martentide.net.links import unix_ms

FIRST_LIMIT = 2.0  # s in which a stream must bring its request headers
FINAL_LIMIT = 1.0  # s for the ledger to take an outcome in; it does so at once
MOST_PARTS = 4096  # messages of one stream that concern no decision (bodies, trailers)


class Peer:
    """One machine that Envoy's streams come from: an actor, and the streams' inboxes."""

    def __init__(self, name: str, host: Host) -> None:
        self.numbers = itertools.count(1)
        self.inboxes: dict[int, asyncio.Queue[ToFront]] = {}
        ledger = Ledger(name, host.terms(single=True), host.classes, host.admission, host.keys)
        self.front = Front(ledger, host.dispatcher, self._deliver, self._trouble)

    def _trouble(self, detail: str) -> None:
        """The numbers are given here, so it is no fault of the peer's."""
        LOG.error("internal-error", front=self.front.ledger.front, detail=repr(detail))

    def _deliver(self, said: list[ToFront]) -> None:
        for message in said:
            if not isinstance(message, Welcomed):
                inbox = self.inboxes.get(message.request)
                if inbox is not None:
                    inbox.put_nowait(message)


class Closed(Exception):
    """The stream is over, in good order or not."""


class Gone(Exception):
    """The attempt was taken back, or its server is gone: Envoy must reset the request."""


class Exchange:
    """One stream, from the request headers to its end."""

    def __init__(self, peer: Peer, host: Host, context: Any) -> None:
        self.peer, self.host, self.context = peer, host, context
        self.request = 0
        self.inbox: asyncio.Queue[ToFront] = asyncio.Queue()
        self.asked = self.stands = self.over = self.left = False
        self.route: Route | None = None
        self.sent_at = 0.0
        self.reading: asyncio.Task[Any] | None = None
        self.hearing: asyncio.Task[ToFront] | None = None
        self.parts = 0

    def tell(self, event: Ask | Outcome | Cancel | Over) -> None:
        self.peer.front.tell(event)

    async def play(self) -> None:
        async with asyncio.timeout(FIRST_LIMIT):
            first = await self._read()
        if first.WhichOneof("request") != "request_headers":
            raise headers.HeaderError("the first message must bring the request headers")
        await self._ask(first.request_headers)
        while True:
            message = await self._next()
            if isinstance(message, ep.ProcessingRequest):
                if message.WhichOneof("request") == "response_headers" and not self.stands and self.route:
                    await self._outcome(message.response_headers)
                else:
                    await self._pass(message)
            elif (isinstance(message, Withdrawn) and not message.if_unused) or isinstance(message, Release):
                self.over = True
                raise Gone(message.why.value)

    async def _ask(self, asked_headers: Any) -> None:
        part = self.host.part
        try:
            asked = headers.read_ask(asked_headers.headers, part.headers)
        except headers.HeaderError as error:
            await self._write(headers.write_bad_request(str(error)))
            raise Closed from None
        self.asked = True
        self.request = next(self.peer.numbers)  # in the order of the questions
        self.peer.inboxes[self.request] = self.inbox
        self.tell(
            Ask(
                self.request,
                asked.call_class,
                asked.number,
                asked.time_left,
                asked.first_choice,
                unix_ms(),
            )
        )
        while True:
            message = await self._next()
            if isinstance(message, Route):
                self.route, self.sent_at = message, self.host.loop.time()
                await self._write(headers.write_route(message, part.headers))
                return
            if isinstance(message, Refused | Failed):
                self.over = True
                await self._write(headers.write_final(message, part.statuses))
                raise Closed
            if isinstance(message, ep.ProcessingRequest):
                await self._pass(message)  # a body that comes before the verdict

    async def _outcome(self, response: Any) -> None:
        assert self.route is not None
        part = self.host.part
        ending, report = headers.read_outcome(response.headers, part.headers, part.statuses)
        lag = (self.host.loop.time() - self.sent_at) * 1000.0
        self.tell(Outcome(self.request, self.route.attempt, ending, lag, report=report))
        final: Refused | Failed | None = None
        async with asyncio.timeout(FINAL_LIMIT):
            while True:
                message = await self.inbox.get() if self.hearing is None else await self._heard()
                if isinstance(message, Standing):
                    self.stands = True
                    break
                if isinstance(message, Refused | Failed):
                    self.over, final = True, message
                    break
                if isinstance(message, Withdrawn) and not message.if_unused:
                    self.over = True
                    raise Gone(message.why.value)
        self.route = None
        await self._write(headers.write_passed(final))

    async def _pass(self, message: Any) -> None:
        self.parts += 1
        if self.parts > MOST_PARTS:
            raise headers.HeaderError(f"more than {MOST_PARTS} messages on one stream")
        answer = headers.write_continue(message.WhichOneof("request") or "")
        if answer is not None:
            await self._write(answer)

    async def _write(self, answer: ep.ProcessingResponse) -> None:
        """gRPC can't take a write back: one that is not taken in time settles the request, and is waited for
        by this stream alone."""
        limit = self.host.streams.blocked_ms / 1000.0
        watch = self.host.loop.call_later(limit, self.leave)
        try:
            await self.context.write(answer)
        finally:
            watch.cancel()
        if self.left:
            raise Closed

    async def _read(self) -> ep.ProcessingRequest:
        message = await self.context.read()
        if message is grpc.aio.EOF:
            raise Closed
        return message

    async def _heard(self) -> ToFront:
        assert self.hearing is not None
        message = await self.hearing
        self.hearing = None
        return message

    async def _next(self) -> ep.ProcessingRequest | ToFront:
        """Whatever comes first, of the stream or of the front's actor; the actor's word goes before."""
        if self.hearing is None and not self.inbox.empty():
            return self.inbox.get_nowait()
        if self.reading is None:
            self.reading = asyncio.create_task(self._read())
        if self.hearing is None:
            self.hearing = asyncio.create_task(self.inbox.get())
        await asyncio.wait((self.reading, self.hearing), return_when=asyncio.FIRST_COMPLETED)
        if self.hearing.done():
            return await self._heard()
        read, self.reading = self.reading, None
        return read.result()

    def leave(self) -> None:
        """The stream is over, whatever the reason: what it had open is settled, once."""
        if self.left:
            return
        self.left = True
        for task in (self.reading, self.hearing):
            if task is not None:
                task.cancel()
        self.peer.inboxes.pop(self.request, None)
        if not self.asked or self.over:
            return
        if self.stands:
            self.tell(Over(self.request, cut=False))
        else:
            # Envoy ends the stream when its caller leaves or the upstream is reset: no outcome came.
            self.tell(Cancel(self.request))


class ExternalProcessor:
    """The service; a peer's actor stays as long as it has streams or calls."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.peers: dict[str, Peer] = {}
        self.streams: dict[str, int] = {}
        self.tasks: set[asyncio.Task[Any]] = set()

    async def process(self, _: Any, context: Any) -> None:
        address = str(context.peer())
        name = "envoy:" + address.split(":", 1)[-1].rsplit(":", 1)[0]
        task = asyncio.current_task()
        if task is not None:
            self.tasks.add(task)
        peer = self._arrive(name)
        exchange = Exchange(peer, self.host, context)
        reason, detail = CloseReason.PEER_CLOSED, ""
        abort: grpc.StatusCode | None = None
        try:
            await exchange.play()
        except Closed:
            pass
        except headers.HeaderError as error:
            reason, detail, abort = CloseReason.MALFORMED, str(error), grpc.StatusCode.INVALID_ARGUMENT
        except Gone as error:
            reason, detail, abort = CloseReason.SERVER_GONE, str(error), grpc.StatusCode.UNAVAILABLE
        except TimeoutError:
            reason, abort = CloseReason.MUTE, grpc.StatusCode.DEADLINE_EXCEEDED
        except asyncio.CancelledError:
            reason = CloseReason.PEER_RESET
            raise
        finally:
            exchange.leave()
            self._depart(name)
            if task is not None:
                self.tasks.discard(task)
            if (
                reason is not CloseReason.PEER_CLOSED
            ):  # one line for each request in good order would be too many
                log_connection_closed("front", address, reason, detail)
        if abort is not None:
            await context.abort(abort, detail or reason.value)

    def _arrive(self, name: str) -> Peer:
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = Peer(name, self.host)
            if self.host.closing:
                peer.front.stream(Stream.CLOSING)
        self.streams[name] = self.streams.get(name, 0) + 1
        return peer

    def _depart(self, name: str) -> None:
        self.streams[name] -= 1
        if not self.streams[name]:  # the next stream from there finds a new actor
            del self.streams[name]
            self.peers.pop(name).front.end()

    def fronts(self) -> list[Front]:
        return [peer.front for peer in self.peers.values()]

    def close(self) -> None:
        for task in tuple(self.tasks):
            task.cancel()
