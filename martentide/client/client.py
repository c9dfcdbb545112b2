"""The gRPC client: one stream to one proxy for many requests, with automatic reconnection."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import Any

import martentide.grpc_engine  # noqa: F401  (before grpc)
import grpc

from martentide.client.state import Delivery, Renumbered, RequestTable
from martentide.decisions.v1 import decisions_pb2 as pb
from martentide.extproc.messages import (
    Ask,
    Cancelled,
    Failed,
    FromFront,
    Refused,
    Release,
    Route,
    Standing,
    ToFront,
    Why,
    Withdrawn,
)
from martentide.extproc.wire import decode_proxy_message, encode_front_message
from martentide.interface import Ending

METHOD = "/martentide.decisions.v1.Decisions/Decide"
RECONNECT_DELAY_S = (0.02, 1.0)  # first and longest delay; doubles after each failed stream
WELCOME_TIMEOUT_S = 2.0  # for the proxy to send the welcome on a new stream
MAX_OPEN_CALLS = 50_000  # further questions are refused by the client
MAX_UNSENT_MESSAGES = 100_000  # the stream is cancelled if more messages wait for a proxy that reads none
WRITE_TIMEOUT_S = 2.0
MAX_WAIT_MS = 600_000.0  # for a question without a time left
LEAVE_TIMEOUT_S = 0.5  # for a closing client to send its last messages
MAX_MESSAGES_PER_FRAME = 256
SESSION_LOST_CODES = (grpc.StatusCode.NOT_FOUND, grpc.StatusCode.INVALID_ARGUMENT)  # open a new session

Verdict = Route | Refused | Failed | Standing | Cancelled


class ClientClosed(Exception):
    """The client was closed while the call was open."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """Outcome of one attempt. ``ending`` None: the call stands; ``report``: the server's raw load report."""

    ending: Ending | None
    lines_full: bool = False
    report: str = ""


@dataclass(frozen=True, slots=True)
class Carried:
    """Result of ``Client.carry``: the final verdict, the number of attempts and the call, which may stand."""

    final: Refused | Failed | Standing | Cancelled
    attempts: int
    call: Call


class Call:
    """One request. ``verdict`` is the last one received; a standing call is ended by ``over``."""

    def __init__(self, client: Client, request: int) -> None:
        self.client, self.request = client, request
        self.loop = client.loop
        self.verdicts: asyncio.Queue[Verdict | None] = asyncio.Queue()  # None: the client was closed
        self.verdict: Verdict | None = None
        self.routed_at = 0.0
        self.revoked = asyncio.Event()  # the attempt must be given up, and released if it stands
        self.released = asyncio.Event()  # the standing call has ended at its server
        self.timer: asyncio.TimerHandle | None = None
        self.asked_at = self.loop.time()

    @property
    def final(self) -> bool:
        """Whether the last verdict is a final one."""
        return self.verdict is not None and not isinstance(self.verdict, Route)

    async def next(self) -> Verdict:
        """Wait for the next verdict, on the question or on the last reported outcome; raises ClientClosed."""
        verdict = await self.verdicts.get()
        if verdict is None:
            raise ClientClosed("the client was closed")
        return verdict

    def begin(self) -> bool:
        """Mark the attempt as begun, before its first byte is sent.

        False: the byte must not be sent; await ``next``.
        """
        route = self.verdict
        if not isinstance(route, Route):
            return False
        if (self.loop.time() - self.routed_at) * 1000.0 > route.valid_for:
            self.client.report(self, Attempt(Ending.NOT_SENT))
            return False
        return self.client.requests.begin(self.request)

    async def report(self, attempt: Attempt) -> Verdict:
        """Report the outcome of the attempt and wait for the next verdict; raises ClientClosed."""
        self.client.report(self, attempt)
        return await self.next()

    def cancel(self) -> None:
        """Cancel the request: the caller has left and any attempt was given up. No verdict follows."""
        self.client.cancel(self)

    def over(self, cut: bool = False, report: str = "") -> None:
        """Report that the standing call has ended; ``cut``: it was cut off."""
        self.client.over(self, cut, report)

    def _receive(self, message: ToFront) -> None:
        if isinstance(message, Withdrawn):
            self.revoked.set()
            return
        if isinstance(message, Release):
            self.released.set()
            self._finish()
            return
        if self.final:
            return
        if isinstance(message, Route):
            self.revoked.clear()
            self.routed_at = self.loop.time()
        elif self.timer is not None:
            self.timer.cancel()
        assert isinstance(message, Route | Refused | Failed | Standing | Cancelled)
        self.verdict = message
        self.verdicts.put_nowait(message)
        if self.final and not isinstance(message, Standing):
            self._finish()

    def _finish(self) -> None:
        self.client.calls.pop(self.request, None)
        if self.timer is not None:
            self.timer.cancel()

    def _closed(self) -> None:
        self.verdicts.put_nowait(None)
        self._finish()


class Client:
    """Connects to the first of ``addresses`` that accepts it, and keeps to it after a broken stream.

    It tries the next address if a connection fails while it has no session, or when the proxy goes away.
    ``tap`` is called with each message sent or received, for logs and tests.
    """

    def __init__(
        self, addresses: Sequence[str], front: str, tap: Callable[[FromFront | ToFront], None] | None = None
    ) -> None:
        if not addresses:
            raise ValueError("addresses: expected at least one")
        self.addresses, self.front, self.tap = list(addresses), front, tap
        self.loop = asyncio.get_running_loop()
        self.requests = RequestTable()
        self.calls: dict[int, Call] = {}
        self.servers: dict[str, pb.ServerChange] = {}
        self.token = b""
        self.lease = 0.0
        self.wake = asyncio.Event()
        self.connected = asyncio.Event()
        self.going_away = self.closing = False
        self.breaks = 0
        self.stream: Any = None
        self.task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Client:
        self.task = self.loop.create_task(self._run(), name=f"client {self.front}")
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Send the outstanding messages and leave. Calls that wait for a verdict raise ClientClosed."""
        if self.task is not None:
            await self._send_leave()
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            self.task = None
        for call in list(self.calls.values()):
            call._closed()

    async def _send_leave(self) -> None:
        if not self.connected.is_set():
            return
        self.closing = True
        self.wake.set()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                while self.connected.is_set():
                    await asyncio.sleep(0.005)
        except TimeoutError:
            return  # the proxy does not respond; cancelling the task then ends the stream

    # ---- calls --------------------------------------------------------------------------------------------

    async def ask(
        self,
        call_class: str,
        number: str | None = None,
        time_left: float | None = None,
        first_choice: int = -1,
    ) -> Call:
        """Ask about a request and wait for its first verdict.

        A verdict arrives within ``time_left`` ms: the proxy's, or a refusal by the client if the proxy is
        unreachable.
        """
        call = self.ask_nowait(call_class, number, time_left, first_choice)
        try:
            await call.next()
        except asyncio.CancelledError:
            call.cancel()
            raise
        return call

    def ask_nowait(
        self,
        call_class: str,
        number: str | None = None,
        time_left: float | None = None,
        first_choice: int = -1,
    ) -> Call:
        """Like ``ask``, without waiting: ``await call.next()`` returns the verdict."""
        now = self.loop.time() * 1000.0
        call = Call(self, self.requests.ask(call_class, number, time_left, first_choice, now))
        self.calls[call.request] = call
        wait = MAX_WAIT_MS if time_left is None else max(0.0, time_left)
        call.timer = self.loop.call_later(wait / 1000.0, self._on_deadline, call)
        if len(self.calls) > MAX_OPEN_CALLS:
            self.requests.cancel(call.request)
            call._receive(Refused(call.request, 0.0, Why.FRONT_BUSY))
        self._flush()
        return call

    def report(self, call: Call, attempt: Attempt) -> None:
        """Send the outcome of an attempt."""
        lag = (self.loop.time() - call.routed_at) * 1000.0
        self.requests.report(call.request, attempt.ending, lag, attempt.lines_full, attempt.report)
        self._flush()

    def cancel(self, call: Call) -> None:
        """Cancel a request."""
        self.requests.cancel(call.request)
        call._receive(Cancelled(call.request))
        call._finish()
        self._flush()

    def over(self, call: Call, cut: bool = False, report: str = "") -> None:
        """Report the end of a standing call."""
        self.requests.over(call.request, cut, report)
        call._finish()
        self._flush()

    def _on_deadline(self, call: Call) -> None:
        """Without a final verdict in time, make one here and cancel the request at the proxy."""
        if call.final:
            return
        routed = isinstance(call.verdict, Route)
        self.requests.cancel(call.request)
        call.revoked.set()
        final = Failed(call.request, Why.DEADLINE) if routed else Refused(call.request, 0.0, Why.DEADLINE)
        call._receive(final)
        self._flush()

    async def carry(
        self,
        call_class: str,
        attempt: Callable[[Route], Awaitable[Attempt]],
        number: str | None = None,
        time_left: float | None = None,
        first_choice: int = -1,
    ) -> Carried:
        """Ask about a request, make and report the attempts, and return the final verdict.

        ``attempt`` sets the call up at the route's address. It is cancelled when its patience ends or the
        proxy withdraws it, and must then give up the set-up; an exception raised by it counts as an error.
        """
        call = self.ask_nowait(call_class, number, time_left, first_choice)
        attempts = 0
        try:
            verdict = await call.next()
            while isinstance(verdict, Route):
                if not call.begin():
                    verdict = await call.next()
                    continue
                attempts += 1
                outcome = await self._attempt(call, verdict, attempt)
                if outcome is None:  # withdrawn: nothing is reported
                    verdict = await call.next()
                else:
                    verdict = await call.report(outcome)
        except asyncio.CancelledError:
            call.cancel()
            raise
        return Carried(verdict, attempts, call)

    async def _attempt(
        self, call: Call, route: Route, attempt: Callable[[Route], Awaitable[Attempt]]
    ) -> Attempt | None:
        attempt_task = asyncio.ensure_future(attempt(route))
        revoked = asyncio.ensure_future(call.revoked.wait())
        remaining = route.patience / 1000.0 - (self.loop.time() - call.routed_at)
        try:
            await asyncio.wait(
                (attempt_task, revoked), timeout=max(0.0, remaining), return_when=asyncio.FIRST_COMPLETED
            )
            if attempt_task.done():
                try:
                    return attempt_task.result()
                except Exception:
                    return Attempt(Ending.ERROR)
            return None if revoked.done() else Attempt(Ending.TIMED_OUT)
        finally:
            for task in (attempt_task, revoked):
                task.cancel()
            # Wait until the attempt has given up before reporting it and before any other attempt.
            await asyncio.gather(attempt_task, revoked, return_exceptions=True)

    # ---- the stream ---------------------------------------------------------------------------------------

    def _flush(self) -> None:
        if self.requests.to_send:
            self.wake.set()
        if len(self.requests.to_send) > MAX_UNSENT_MESSAGES and self.stream is not None:
            self.stream.cancel()  # unsent messages are settled by the next welcome

    async def _run(self) -> None:
        delay, address_index = RECONNECT_DELAY_S[0], 0
        while True:
            address = self.addresses[address_index % len(self.addresses)]
            try:
                async with grpc.aio.insecure_channel(address) as channel:
                    welcomed = await self._run_stream(channel)
            except grpc.aio.AioRpcError as error:
                welcomed = False
                if error.code() in SESSION_LOST_CODES:
                    self.token = b""
                elif not self.token:
                    address_index += 1
            except TimeoutError:
                welcomed = False
                address_index += not self.token
            except asyncio.CancelledError:
                # gRPC also raises it if only the stream was cancelled.
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                welcomed = False
            if self.connected.is_set():
                welcomed = True
                self.breaks += 1
            self.connected.clear()
            if self.closing:
                return
            self.requests.stream_ended()
            if self.going_away and self.token:
                self.token, self.going_away, address_index = b"", False, address_index + 1
            delay = RECONNECT_DELAY_S[0] if welcomed else min(RECONNECT_DELAY_S[1], delay * 2.0)
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    async def _run_stream(self, channel: Any) -> bool:
        """Run one stream from Hello to its end; returns whether the proxy sent a welcome."""
        method = channel.stream_stream(
            METHOD,
            request_serializer=pb.FrontFrame.SerializeToString,
            response_deserializer=pb.ProxyFrame.FromString,
        )
        self.stream = stream = method()
        hello = pb.Hello(front=self.front, session=self.token)
        async with asyncio.timeout(WELCOME_TIMEOUT_S):
            await stream.write(pb.FrontFrame(messages=[pb.FrontMessage(hello=hello)]))
            frame = await stream.read()
        if frame is grpc.aio.EOF:
            await self._stream_ended(stream)
            return False
        self._read(frame)
        self.connected.set()
        writing = self.loop.create_task(self._write(stream))
        try:
            while True:
                frame = await stream.read()
                if frame is grpc.aio.EOF:
                    await self._stream_ended(stream)
                    return True
                self._read(frame)
        finally:
            writing.cancel()
            stream.cancel()

    async def _stream_ended(self, stream: Any) -> None:
        code = await stream.code()
        if code in SESSION_LOST_CODES:
            self.token = b""

    async def _write(self, stream: Any) -> None:
        while True:
            await self.wake.wait()
            self.wake.clear()
            unsent, self.requests.to_send = self.requests.to_send, []
            for start in range(0, len(unsent), MAX_MESSAGES_PER_FRAME):
                batch = unsent[start : start + MAX_MESSAGES_PER_FRAME]
                # Offset of Unix time from the loop's clock, in ms.
                unix_offset = time.time() * 1000.0 - self.loop.time() * 1000.0
                encoded = [
                    encode_front_message(
                        message, report, message.at + unix_offset if isinstance(message, Ask) else None
                    )
                    for message, report in batch
                ]
                if self.tap is not None:
                    for message, _ in batch:
                        self.tap(message)
                write_timer = self.loop.call_later(WRITE_TIMEOUT_S, stream.cancel)
                try:
                    await stream.write(pb.FrontFrame(messages=encoded))
                finally:
                    write_timer.cancel()
            if self.closing:
                leave = pb.FrontMessage(leave=pb.Leave())
                await stream.write(pb.FrontFrame(messages=[leave]))
                await stream.done_writing()
                return

    def _read(self, frame: pb.ProxyFrame) -> None:
        now = self.loop.time() * 1000.0
        for message in frame.messages:
            kind = message.WhichOneof("kind")
            if kind == "server":
                change = message.server
                if change.state == pb.ServerChange.GONE:
                    self.servers.pop(change.server, None)
                else:
                    self.servers[change.server] = change
                continue
            if kind == "go_away":
                self.going_away = True
                continue
            if kind == "welcome":
                self.token, self.lease = message.welcome.session, float(message.welcome.lease_ms)
                self.servers.clear()
            decoded = decode_proxy_message(message)
            if decoded is None:
                continue
            if self.tap is not None:
                self.tap(decoded)
            for result in self.requests.handle(decoded, now):
                self._deliver(result)
        self._flush()

    def _deliver(self, result: Delivery | Renumbered) -> None:
        if isinstance(result, Renumbered):
            call = self.calls.pop(result.old_request, None)
            if call is not None:
                call.request = result.new_request
                self.calls[result.new_request] = call
            return
        call = self.calls.get(result.request)
        if call is not None:
            call._receive(result.message)
